"""What the console knows of one member. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

MAX_AGE_S = 10.0
"""Older answers are not shown: what the member does now is not known."""

State = Mapping[str, Any]
"""A JSON object from a controller's answer."""


class MemberSnapshot(NamedTuple):
    """A member's last answers, and how many seconds ago they came.

    `state` is the answer of `/v1/state`, None for a member that never answered; `rounds` are the decision rounds of
    `/v1/orders`; `load` is the answer of `/v1/load`, None where the member takes no load reports.
    """

    state: State | None
    rounds: list[State]
    load: State | None
    age: float

    @property
    def current_state(self) -> State | None:
        """The state if it is recent enough to be shown."""
        return self.state if self.age <= MAX_AGE_S else None


Snapshots = Mapping[str, MemberSnapshot]
"""Snapshots by member."""


def current_states(snapshots: Snapshots) -> dict[str, State]:
    """Return the states that are recent enough, by member in order of name."""
    return {
        name: state for name, snapshot in sorted(snapshots.items()) if (state := snapshot.current_state) is not None
    }
