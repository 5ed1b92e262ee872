"""The last answers of a member, as the console holds them. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

MAX_AGE_S = 10.0
"""Age above which an answer isn't shown, since the member's present state may differ."""

State = Mapping[str, Any]
"""A JSON object from a controller's answer."""


class MemberSnapshot(NamedTuple):
    """A member's last answers, and their age in seconds.

    `state` is the answer to `/v1/state`, None for a member that never answered; `rounds` are the decision rounds from
    `/v1/orders`; `load` is the answer to `/v1/load`, None if the member takes no load reports.
    """

    state: State | None
    rounds: list[State]
    load: State | None
    age: float

    @property
    def current_state(self) -> State | None:
        """The state if it is recent enough to be shown, otherwise None."""
        return self.state if self.age <= MAX_AGE_S else None


Snapshots = Mapping[str, MemberSnapshot]
"""Snapshots by member."""


def current_states(snapshots: Snapshots) -> dict[str, State]:
    """Return the states that are recent enough to be shown, by member, sorted by name."""
    return {
        name: state for name, snapshot in sorted(snapshots.items()) if (state := snapshot.current_state) is not None
    }
