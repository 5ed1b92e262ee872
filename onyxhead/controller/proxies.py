"""Proxies of one controller: what they say when they join, and what is known of those that have joined."""

from __future__ import annotations

from typing import NamedTuple

from onyxhead.tables.view import View


class JoinRequest(NamedTuple):
    """A proxy that asks to join, and the view that it holds. `baseline_rate` in requests a second."""

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
    """The last decision round that a proxy has applied, and the etag of the view that it then held."""

    round_number: int
    etag: str


NEVER_ACKNOWLEDGED = Acknowledgement(0, "")
