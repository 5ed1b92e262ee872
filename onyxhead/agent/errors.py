"""Errors of the agent."""

from __future__ import annotations


class AgentError(Exception):
    """Base of this package's errors; the text says why."""


class CorruptStateError(AgentError):
    """The state file is not one that the agent wrote."""


class JoinRejectedError(AgentError):
    """A controller did not accept the agent."""


class JoinRedirectedError(JoinRejectedError):
    """The controller that was asked knows one that is better for this proxy."""

    def __init__(self, controller: str, better: str) -> None:
        super().__init__(f"{controller} redirects to {better}")
        self.controller, self.better = controller, better
