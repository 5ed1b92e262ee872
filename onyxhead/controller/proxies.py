"""Data about the proxies of one controller: their join requests, the joined proxies and their acknowledgements."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.tables.view import View


class JoinRequest(NamedTuple):
    """A proxy's request to join, with the view that it holds.

    `baseline_rate` is its usual request rate in requests per second. `has_standing_table` says that it still uses the
    table it was configured with, as no controller has sent it one.
    """

    name: str
    zone: str
    baseline_rate: float
    has_standing_table: bool
    view: View


class JoinedProxy(NamedTuple):
    """A proxy with an open stream. `zone` is the index of its zone in the settings, `joined_at` in ticks."""

    name: str
    zone: int
    joined_at: int


class Acknowledgement(NamedTuple):
    """The last decision round that a proxy has applied, and the etag of the resulting view."""

    round_number: int
    etag: str


NEVER_ACKNOWLEDGED = Acknowledgement(0, "")
