"""Benchmarks; `python -m benchmarks NAME` runs one and prints its results as JSON.

Some results come with a baseline: the cost of the bare system calls, or that of a simpler method.
"""
