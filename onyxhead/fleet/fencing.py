"""Fencing tokens: of two controllers that each believe they lead a proxy, only the newer one's updates count. No I/O.

The agent is the judge, since only it knows whom it joined last. It keeps the highest token it ever accepted on disk. A
controller offers a higher one at each join, and an update with another token is rejected with the current one, so that
the controller that lost the proxy learns of it. No agreement among controllers is needed, and none can break it.
"""

from __future__ import annotations

from onyxhead.fleet.errors import StaleTokenError

MAX_TOKEN = 2**62
"""The last token; the state of an agent that has reached it must be made anew by hand."""


def next_token(current: int) -> int:
    """The token that a controller offers to an agent which holds this one. Raises StaleTokenError if none is left."""
    if current >= MAX_TOKEN:
        raise StaleTokenError("tokens are used up; the agent's state must be made anew", current)
    return current + 1


class FencingTokenGuard:
    """The agent's side: `advance` is for a join, `check` for an update."""

    def __init__(self, current: int = 0) -> None:
        self.current = current

    def advance(self, token: int) -> None:
        """Accepts a token above all before; the caller keeps it on disk before it answers. Raises StaleTokenError."""
        if not self.current < token <= MAX_TOKEN:
            raise StaleTokenError(f"token {token} is not above {self.current}", self.current)
        self.current = token

    def check(self, token: int) -> None:
        """Raises StaleTokenError for an update under any other token than the current one."""
        if token != self.current:
            raise StaleTokenError(f"token {token} does not hold", self.current)
