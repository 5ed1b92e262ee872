"""Measurements, each beside its limit in the same run. `python -m benchmarks NAME`; figures go to docs/measures.md."""
