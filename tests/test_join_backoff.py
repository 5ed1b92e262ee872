"""The backoff for proxies whose streams keep failing."""

from __future__ import annotations

from onyxhead.controller.join_backoff import JoinBackoff
from tests.controller_rig import SECOND


def test_join_backoff_is_zero_after_one_fault_and_grows_with_repeated_faults() -> None:
    backoff = JoinBackoff()
    backoff.on_stream_fault(0, "p")
    assert backoff.remaining(1, "p") == 0
    waits = []
    for now in range(SECOND, 7 * SECOND, SECOND):
        backoff.on_stream_fault(now, "p")
        waits.append(backoff.remaining(now, "p"))
    assert waits == sorted(waits) and waits[-1] > 5 * SECOND and backoff.remaining(10**9, "p") == 0
