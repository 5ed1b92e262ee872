"""Errors of the agent."""

from __future__ import annotations


class AgentError(Exception):
    """Base class of this package's errors; the message gives the reason."""


class CorruptStateError(AgentError):
    """The state file is incomplete, malformed or inconsistent."""


class JoinRejectedError(AgentError):
    """The join was not accepted."""


class JoinRedirectedError(JoinRejectedError):
    """The controller redirects the agent to `better`, a controller that suits this proxy better."""

    def __init__(self, controller: str, better: str) -> None:
        super().__init__(f"{controller} redirects to {better}")
        self.controller, self.better = controller, better
