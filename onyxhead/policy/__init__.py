"""The balancing policy of one controller: which backends its proxies use, with what weight, and how much they admit.

`balancer` holds the class that callers use; `inputs` and `decisions` define the types that they pass in and get back.
No module here does I/O or reads a clock; the caller passes the time, in ticks (`onyxhead.time_units`).

- State: `endpoints`, `proxies`, `tables`, `channel_budget`, `attempt_statistics`.
- Estimates: `request_rates`, `capacity`, `utility`, `slow_start`.
- Decisions: `withdrawals`, `table_assignment`, `table_changes` (with weights from `line_weights`), `admission`,
  `subsetting`, `outlier_detection`, `warmup_limits`, `health_checks`.

The policy is deterministic: the same events give the same decisions, to the last bit of each number. The order in which
code reads state, adds floating-point numbers and draws random numbers is therefore part of the behaviour.
"""
