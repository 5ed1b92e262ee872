"""Benchmarks; `python -m benchmarks NAME` runs one and prints its results as JSON.

Where there is one, a result comes with a baseline: the cost of the bare system calls or of a simpler method.
"""
