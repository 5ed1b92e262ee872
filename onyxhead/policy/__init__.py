"""The balancing policy of one controller: which backends its proxies use, with what weight, and how much they admit.

`inputs` and `decisions` are the types that cross its boundary, `balancer` is what callers use. No module here does I/O
or reads a clock; the caller passes the time, in ticks (`onyxhead.time_units`).

- Known state: `endpoints`, `proxies`, `tables`, `channel_budget`, `attempt_statistics`.
- Estimates: `request_rates`, `capacity`, `utility`, `slow_start`.
- Decisions: `withdrawals`, `table_assignment`, `table_changes` (by `line_weights`), `admission`, `subsetting`,
  `outlier_detection`, `warmup_limits`, `health_checks`.

Decisions are repeatable: the same events give the same decisions to the last bit. So the order in which state is read,
sums are taken and random numbers are drawn is part of the behaviour.
"""
