"""Test doubles of the systems around onyxhead: clients, proxies, backends, service discovery and the network.

Each test double runs in a process of its own, and records what it sent, received and did as events in a file:

    python -m onyxhead.testbed.process KIND

The process reads its parameters from the first line of standard input. Each later line changes some of its faults.
Both are JSON objects.
"""
