"""Selection of the controller that an agent connects to next. No I/O.

The agent tries its controllers in the order of the settings. A controller that knows a better one redirects the agent
to it. Once all controllers were tried and none accepted, the agent insists: a controller that answers then must accept
the agent, since any controller is better for a proxy than none.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_BACKOFF_FACTOR = 8
"""The longest pause between two attempts, in multiples of the usual pause."""
ROUNDS_WITHOUT_BACKOFF = 2
"""The number of rounds over all controllers before the pause grows."""


class ConnectAttempt(NamedTuple):
    """The next attempt to connect to a controller, which `position` identifies.

    `insist` is set if the controller must accept the agent. `backoff_factor` is the pause before the attempt, in
    multiples of the usual pause.
    """

    position: int
    insist: bool
    backoff_factor: float


class ControllerSelector:
    """Selector among `count` controllers, which are known by their positions in the settings."""

    def __init__(self, count: int) -> None:
        self.count, self.position, self.attempts = count, 0, 0
        self.redirected = self.insist = False
        self.positions: dict[str, int] = {}
        self.recommended: int | None = None

    def next_attempt(self) -> ConnectAttempt:
        """Return the next attempt to make."""
        return ConnectAttempt(self._current(), self.insist, self._backoff_factor())

    def on_accepted(self, name: str) -> None:
        """Record that the controller tried last, which is called `name`, accepted the agent."""
        self.positions[name] = self._current()
        self.attempts, self.redirected, self.insist, self.recommended = 0, False, False, None

    def on_redirected(self, name: str, to: str) -> None:
        """Record that the controller tried last, which is called `name`, redirected the agent to `to`."""
        self.positions[name] = self._current()
        self.redirected = True
        self._advance(self.positions.get(to))

    def on_failed(self) -> None:
        """Record that the controller tried last did not answer, or rejected the agent."""
        self._advance(None)

    def on_disconnected(self) -> None:
        """Record that the stream ended; start again with the first controller of the settings, which may be back."""
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
        # A recommended controller that failed, or redirects to itself, is not tried again at once, because the
        # recommendation may be wrong.
        self.recommended = None if self.insist or recommended == self._current() else recommended
        if self.attempts >= 2 * self.count or (self.attempts >= self.count and self.redirected):
            self.insist = True
