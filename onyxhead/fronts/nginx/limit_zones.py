"""The zones that `limit_req_zone` and `limit_conn_zone` define and to which limits refer by name."""

from __future__ import annotations

import re
from typing import NamedTuple

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_report import ImportReport
from onyxhead.fronts.nginx.words import parse_options

SECONDS_BY_RATE_UNIT = {"s": 1, "m": 60}
COUNTED_BY_PROXY = "each proxy counts separately; the memory size is ignored"


class LimitZone(NamedTuple):
    """A zone, which counts requests separately for each value of `key`.

    `rate` is the limit in requests per second; it is 0 for a zone of connections."""

    key: str
    rate: float


class LimitZones:
    """Holds the zones that have been defined so far."""

    def __init__(self) -> None:
        self._zones: dict[str, LimitZone] = {}

    def define(self, directive: Directive, report: ImportReport) -> None:
        """Add the zone that a `limit_req_zone` or `limit_conn_zone` defines, and report the directive."""
        try:
            options = parse_options(directive.arguments[1:])
            name = options["zone"].partition(":")[0]
            rate = _parse_rate(options["rate"]) if "rate" in options else 0.0
        except (DirectiveError, KeyError) as error:
            report.add_not_carried(directive, error_text(error))
            return
        self._zones[name] = LimitZone(directive.arguments[0], rate)
        report.add_changed(directive, COUNTED_BY_PROXY)

    def find(self, name: str) -> LimitZone:
        """Return a zone by its name. Raise DirectiveError if no preceding directive has defined it."""
        if name not in self._zones:
            raise DirectiveError(f"zone {name!r} is not defined before this directive")
        return self._zones[name]


def _parse_rate(text: str) -> float:
    match = re.fullmatch(r"(\d+)r/(s|m)", text)
    if match is None:
        raise DirectiveError(f"rate {text!r} does not have the form 10r/s or 60r/m")
    return int(match[1]) / SECONDS_BY_RATE_UNIT[match[2]]


def error_text(error: Exception) -> str:
    """Return the text of an error, without the quotes that enclose the key in the text of a KeyError."""
    return str(error).strip("'")
