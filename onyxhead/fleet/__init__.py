"""Controllers that share a fleet: membership, ownership of proxies, fencing tokens and slow-start budget.

Nothing in this package does I/O or reads a clock. No safety rule depends on it, because each controller keeps the rules
on its own; cooperation only improves service.
"""
