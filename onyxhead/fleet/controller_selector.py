"""Which controller an agent dials next. No I/O.

It asks its controllers in their order; one that knows a better one says so and is passed over. When all were asked and
none took it, it insists: then whoever answers must take it, for a proxy with a controller that is not the best is
better off than one with none."""

from __future__ import annotations

from typing import NamedTuple

MAX_BACKOFF_FACTOR = 8
"""Rounds after which the pause between two dials has grown to its most."""


class ConnectAttempt(NamedTuple):
    """Whom to ask, whether to insist, and how many times the usual pause to wait before."""

    position: int
    insist: bool
    backoff_factor: float


class ControllerSelector:
    """`count` controllers, by their places in the settings."""

    def __init__(self, count: int) -> None:
        self.count, self.place, self.asked = count, 0, 0
        self.answered = self.insist = False
        self.names: dict[str, int] = {}
        self.wanted: int | None = None

    def next_attempt(self) -> ConnectAttempt:
        rounds = self.asked // self.count
        pause = 0.0 if self.asked == 0 else 1.0 if rounds < 2 else min(MAX_BACKOFF_FACTOR, 2.0 ** (rounds - 1))
        place = self.wanted if self.wanted is not None else self.place
        return ConnectAttempt(place, self.insist, pause)

    def on_accepted(self, name: str) -> None:
        """The one asked last took it."""
        self.names[name] = self._now()
        self.asked, self.answered, self.insist, self.wanted = 0, False, False, None

    def on_redirected(self, name: str, to: str) -> None:
        """The one asked last knows a better one."""
        self.names[name] = self._now()
        self.answered = True
        self._on(self.names.get(to))

    def on_failed(self) -> None:
        """The one asked last gave no answer, or a refusal."""
        self._on(None)

    def on_disconnected(self) -> None:
        """The stream ended; the first of the settings is asked first again, since it may be back."""
        self.place = self.asked = 0
        self.answered = self.insist = False
        self.wanted = None

    def _now(self) -> int:
        return self.wanted if self.wanted is not None else self.place

    def _on(self, wanted: int | None) -> None:
        self.asked += 1
        if self.wanted is None:
            self.place = (self.place + 1) % self.count
        # Whoever was recommended and failed is not asked again in this round: the one who said so may be wrong.
        self.wanted = wanted if wanted is not None and wanted != self._now() and not self.insist else None
        if self.asked >= 2 * self.count or (self.asked >= self.count and self.answered):
            self.insist = True
