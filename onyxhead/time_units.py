"""Conversion factors for the tick, the unit of time of the policy and its callers: a tenth of a millisecond."""

TICKS_PER_MILLISECOND = 10
TICKS_PER_SECOND = 1_000 * TICKS_PER_MILLISECOND
NANOSECONDS_PER_TICK = 100_000
