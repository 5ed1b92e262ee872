"""Measurements, each beside the limit it is compared with: `python -m benchmarks NAME` prints its figures as JSON."""
