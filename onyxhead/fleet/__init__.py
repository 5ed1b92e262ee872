"""Controllers that share a fleet: membership, ownership of proxies, fencing tokens, slow-start budget.

Nothing here does I/O or reads a clock, and nothing is needed to keep a safety rule: each controller keeps them alone.
Sharing makes service better.
"""
