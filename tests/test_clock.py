"""Tests of the clock that the policy uses."""

from __future__ import annotations

from onyxhead.clock import Clock
from tests.controller_rig import SECOND


def test_clock_never_goes_back_and_treats_future_wall_times_as_now() -> None:
    wall, monotonic = [1000.0], [5.0]
    clock = Clock(lambda: wall[0], lambda: monotonic[0])
    wall[0], monotonic[0] = 10.0, 6.0
    assert clock.now() == 1001 * SECOND
    assert clock.from_wall_time(2000.0) == clock.now() and clock.from_wall_time(500.0) == 500 * SECOND
