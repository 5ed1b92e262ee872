"""An operator's command, and the selectors that choose its backends. No I/O."""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

VERBS = ("drain", "restore", "cordon", "uncordon")
MAX_OPERATOR_LENGTH = 100
COMMAND_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")
SELECTOR_KEYS = ("zone", "kind")


class OperateError(Exception):
    """Base of this package's errors."""


class CommandError(OperateError, ValueError):
    """A request that is not a valid command, or reuses the id of another command; the text gives the reason."""


class Backend(NamedTuple):
    """The properties of a backend that selectors are matched against."""

    id: str
    zone: str
    kind: str


class Command(NamedTuple):
    """A command on backends. Its id lets a controller execute a command once even if the request is repeated."""

    command_id: str
    verb: str
    selectors: tuple[str, ...]
    operator: str
    dry_run: bool

    @classmethod
    def parse(cls, message: Any) -> Command:  # noqa: ANN401  # any JSON value
        """Return the command that a JSON message holds. Raise CommandError for an invalid message."""
        if not isinstance(message, dict):
            raise CommandError("a command must be a JSON object")
        command_id, verb, selectors = message.get("id"), message.get("verb"), message.get("names")
        operator, dry_run = message.get("by", ""), message.get("dry_run", False)
        if not isinstance(command_id, str) or not COMMAND_ID.fullmatch(command_id):
            raise CommandError("id must be a string of 1 to 64 letters, digits and _.:-")
        if verb not in VERBS:
            raise CommandError(f"unknown verb {verb!r}; known verbs: {', '.join(VERBS)}")
        if not isinstance(selectors, list) or not selectors:
            raise CommandError("names must be a list of one or more selectors")
        if not all(isinstance(selector, str) and selector for selector in selectors):
            raise CommandError("each selector in names must be a string that is not empty")
        if not isinstance(operator, str) or not isinstance(dry_run, bool):
            raise CommandError("by must be a string, and dry_run must be true or false")
        return cls(command_id, str(verb), tuple(selectors), operator[:MAX_OPERATOR_LENGTH], dry_run)

    def request(self) -> list[Any]:
        """Return the verb and the selectors in their stored form, for comparison with those of a repeated command."""
        return [self.verb, list(self.selectors)]


def select_backends(selectors: Iterable[str], backends: Iterable[Backend]) -> list[str]:
    """Return the sorted ids of the backends that any selector matches.

    A selector consists of one or more terms joined by &, all of which must match. A term is a pattern for the backend's
    id, or `zone=` or `kind=` followed by a pattern. Patterns may hold *, ? and sets such as [ab].
    """
    alternatives = [[term.strip() for term in selector.split("&")] for selector in selectors]
    return sorted(
        {
            backend.id
            for backend in backends
            if any(all(_matches(term, backend) for term in terms) for terms in alternatives)
        }
    )


def _matches(term: str, backend: Backend) -> bool:
    key, equals, pattern = term.partition("=")
    if equals and key in SELECTOR_KEYS:
        return fnmatch.fnmatchcase(backend.zone if key == "zone" else backend.kind, pattern)
    return fnmatch.fnmatchcase(backend.id, term)
