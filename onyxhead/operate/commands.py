"""An operator's command as a value, and the selectors by which it names backends. No I/O."""

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
    """A request that is not a command, or contradicts an earlier one; the text says why."""


class Backend(NamedTuple):
    """The properties of a backend that selectors are matched against."""

    id: str
    zone: str
    kind: str


class Command(NamedTuple):
    """A command to change backends, identified so that a repeated request acts once."""

    command_id: str
    verb: str
    selectors: tuple[str, ...]
    operator: str
    dry_run: bool

    @classmethod
    def parse(cls, message: Any) -> Command:  # noqa: ANN401  # any JSON value
        """Return the command in a JSON message. Raises CommandError."""
        if not isinstance(message, dict):
            raise CommandError("a command is an object")
        command_id, verb, selectors = message.get("id"), message.get("verb"), message.get("names")
        operator, dry_run = message.get("by", ""), message.get("dry_run", False)
        if not isinstance(command_id, str) or not COMMAND_ID.fullmatch(command_id):
            raise CommandError("id is missing, or no word of up to 64 letters, digits and _.:-")
        if verb not in VERBS:
            raise CommandError(f"there is no {verb!r}; {', '.join(VERBS)} are")
        if not isinstance(selectors, list) or not selectors:
            raise CommandError("names is no list of selectors")
        if not all(isinstance(each, str) and each for each in selectors):
            raise CommandError("names is no list of selectors")
        if not isinstance(operator, str) or not isinstance(dry_run, bool):
            raise CommandError("by is no text, or dry_run neither true nor false")
        return cls(command_id, str(verb), tuple(selectors), operator[:MAX_OPERATOR_LENGTH], dry_run)

    def request(self) -> list[Any]:
        """Return what was asked for, in the form that is stored to recognize a repeated command."""
        return [self.verb, list(self.selectors)]


def select_backends(selectors: Iterable[str], backends: Iterable[Backend]) -> list[str]:
    """Return the sorted ids of the backends that any selector matches.

    A selector is a name with * and ?, `zone=` or `kind=` with a pattern, or several of these joined by & that must all
    match.
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
