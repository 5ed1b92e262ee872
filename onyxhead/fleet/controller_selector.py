"""Which controller an agent connects to next. No I/O.

It asks its controllers in the order of the settings. One that knows a better controller says so and is passed over.
When all were asked and none accepted, the agent insists: whoever answers then must accept it, since a proxy with a
controller that is not the best is better off than one with none.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_BACKOFF_FACTOR = 8
"""How many times the usual pause the agent waits between two attempts at most."""
ROUNDS_WITHOUT_BACKOFF = 2
"""Rounds over all controllers before the pause grows."""


class ConnectAttempt(NamedTuple):
    """Whom to ask, whether to insist, and how many times the usual pause to wait before."""

    position: int
    insist: bool
    backoff_factor: float


class ControllerSelector:
    """Chooses among `count` controllers, by their positions in the settings."""

    def __init__(self, count: int) -> None:
        self.count, self.position, self.attempts = count, 0, 0
        self.redirected = self.insist = False
        self.positions: dict[str, int] = {}
        self.recommended: int | None = None

    def next_attempt(self) -> ConnectAttempt:
        """The controller to ask now."""
        return ConnectAttempt(self._current(), self.insist, self._backoff_factor())

    def on_accepted(self, name: str) -> None:
        """The controller asked last, of this name, accepted the agent."""
        self.positions[name] = self._current()
        self.attempts, self.redirected, self.insist, self.recommended = 0, False, False, None

    def on_redirected(self, name: str, to: str) -> None:
        """The controller asked last, of this name, recommends another."""
        self.positions[name] = self._current()
        self.redirected = True
        self._advance(self.positions.get(to))

    def on_failed(self) -> None:
        """The controller asked last gave no answer, or rejected the agent."""
        self._advance(None)

    def on_disconnected(self) -> None:
        """The stream ended; the first controller of the settings is asked first again, since it may be back."""
        self.position = self.attempts = 0
        self.redirected = self.insist = False
        self.recommended = None

    def _current(self) -> int:
        return self.recommended if self.recommended is not None else self.position

    def _backoff_factor(self) -> float:
        if self.attempts == 0:
            return 0.0
        rounds = self.attempts // self.count
        if rounds < ROUNDS_WITHOUT_BACKOFF:
            return 1.0
        return min(MAX_BACKOFF_FACTOR, 2.0 ** (rounds - 1))

    def _advance(self, recommended: int | None) -> None:
        self.attempts += 1
        if self.recommended is None:
            self.position = (self.position + 1) % self.count
        # A controller that was recommended and failed is not asked again in this round: the advice may be wrong.
        self.recommended = None if self.insist or recommended == self._current() else recommended
        if self.attempts >= 2 * self.count or (self.attempts >= self.count and self.redirected):
            self.insist = True
