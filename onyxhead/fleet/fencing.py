"""Fencing tokens: of two controllers that each believe they lead a proxy, only the newer one's orders count. No I/O.

The agent is the judge, since only it knows whom it joined last. It keeps the highest token it ever took on disk; a
controller offers a higher one at each join, and an order with another is refused with the one that holds, so that the
loser learns of it. No agreement among controllers is needed, and none can break it."""

from __future__ import annotations

MAX_TOKEN = 2**62
"""No token beyond this one; an agent that has reached it must be given a new state by hand."""


class StaleTokenError(Exception):
    """An order or a join under a token that does not hold. `held` is the one that does."""

    def __init__(self, text: str, held: int) -> None:
        super().__init__(text)
        self.current = held


def next_token(held: int) -> int:
    """The token that a controller offers to an agent which holds this one. Raises StaleTokenError if none is left."""
    if held >= MAX_TOKEN:
        raise StaleTokenError("tokens are used up; the agent's state must be made anew", held)
    return held + 1


class FencingTokenGuard:
    """The agent's side. `raise_to` is for a join, `check` for an order."""

    def __init__(self, held: int = 0) -> None:
        self.current = held

    def advance(self, token: int) -> None:
        """Takes a token above all before. Raises StaleTokenError; the caller keeps it on disk before it answers."""
        if not self.current < token <= MAX_TOKEN:
            raise StaleTokenError(f"token {token} is not above {self.current}", self.current)
        self.current = token

    def check(self, token: int) -> None:
        """Raises StaleTokenError for an order under any other token than the one that holds."""
        if token != self.current:
            raise StaleTokenError(f"token {token} does not hold", self.current)
