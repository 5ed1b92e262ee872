"""Zones of `limit_req_zone` and `limit_conn_zone`, to which limits refer by name."""

from __future__ import annotations

import re
from typing import NamedTuple

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_report import ImportReport
from onyxhead.fronts.nginx.words import parse_options

SECONDS_BY_RATE_UNIT = {"s": 1, "m": 60}
COUNTED_BY_PROXY = "counted by each proxy, with no size of memory"


class LimitZone(NamedTuple):
    """What a zone counts by, and its requests per second (0 for a zone of connections)."""

    key: str
    rate: float


class LimitZones:
    """The zones that were defined so far."""

    def __init__(self) -> None:
        self._zones: dict[str, LimitZone] = {}

    def define(self, directive: Directive, report: ImportReport) -> None:
        """Take a `limit_req_zone` or `limit_conn_zone`."""
        try:
            options = parse_options(directive.arguments[1:])
            name = options["zone"].partition(":")[0]
            rate = _parse_rate(options["rate"]) if "rate" in options else 0.0
        except (DirectiveError, KeyError) as error:
            report.not_carried(directive, error_text(error))
            return
        self._zones[name] = LimitZone(directive.arguments[0], rate)
        report.changed(directive, COUNTED_BY_PROXY)

    def find(self, name: str) -> LimitZone:
        """Return a zone by its name. Raises DirectiveError if no line before has defined it."""
        if name not in self._zones:
            raise DirectiveError(f"there is no zone {name!r} before it")
        return self._zones[name]


def _parse_rate(text: str) -> float:
    match = re.fullmatch(r"(\d+)r/(s|m)", text)
    if match is None:
        raise DirectiveError(f"{text!r} is no rate")
    return int(match[1]) / SECONDS_BY_RATE_UNIT[match[2]]


def error_text(error: Exception) -> str:
    """Return the text of an error; of a KeyError, whose text is the quoted key, the key."""
    return str(error).strip("'")
