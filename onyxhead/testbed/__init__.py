"""Test doubles of everything around onyxhead: clients, proxies, backends, service discovery, the network between.

Each runs as a process of its own and records what its sockets carried:

    python -m onyxhead.testbed.process KIND

It reads its parameters as one line of JSON from standard input, and changes of its faults from the lines after that.
"""
