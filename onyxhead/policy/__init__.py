"""The balancing policy of one controller: which backends its proxies use, with what weight, and how much they admit.

`inputs` and `decisions` are the types that cross its boundary. No module here does I/O or reads a clock; the caller
passes the time, in ticks (`onyxhead.time_units`).
"""
