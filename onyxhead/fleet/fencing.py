"""Fencing tokens: if two controllers both believe that they own a proxy, only the newer one can update it. No I/O.

The agent decides, because only the agent knows which controller it joined last. It stores on disk the highest token
that it has accepted. A controller offers a higher token at each join. The agent rejects an update with any other token
than the current one, and answers with the current one, so that a controller learns that it lost the proxy. The
controllers need no agreement among themselves.
"""

from __future__ import annotations

from onyxhead.fleet.errors import StaleTokenError

MAX_TOKEN = 2**62
"""The highest token. An agent that has reached it needs its state file recreated by an operator."""


def next_token(current: int) -> int:
    """Return the token that a controller offers to an agent with this one. Raise StaleTokenError if none is left."""
    if current >= MAX_TOKEN:
        raise StaleTokenError("fencing tokens are used up; the agent's state must be recreated", current)
    return current + 1


class FencingTokenGuard:
    """The agent's side of fencing: `advance` handles the token of a join, `check` that of an update."""

    def __init__(self, current: int = 0) -> None:
        self.current = current

    def advance(self, token: int) -> None:
        """Accept a token above the current one. Raise StaleTokenError.

        The caller must store the token before it answers the join.
        """
        if not self.current < token <= MAX_TOKEN:
            raise StaleTokenError(f"token {token} is not above the current token {self.current}", self.current)
        self.current = token

    def check(self, token: int) -> None:
        """Raise StaleTokenError if an update has any other token than the current one."""
        if token != self.current:
            raise StaleTokenError(f"token {token} does not hold", self.current)
