"""Estimates of the load of backends from their reports and from what proxies observe: late, noisy, incomplete or false.

No I/O and no clock: callers pass the time, in ticks (`onyxhead.time_units`).
"""
