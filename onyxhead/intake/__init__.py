"""Load estimation for backends, from their own load reports and from what proxies observe.

Reports may be late, noisy, incomplete or false. The package does no I/O and reads no clock: callers pass the time, in
ticks (`onyxhead.time_units`).
"""
