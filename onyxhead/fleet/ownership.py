"""Ownership of proxies in a shared fleet: which proxies one controller accepts, redirects and hands over. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.fleet.assignment import Member, assign_proxies, rank_members
from onyxhead.fleet.membership import Membership, MemberState
from onyxhead.fleet.packets import Status
from onyxhead.time_units import TICKS_PER_SECOND

PROXY_RETENTION = 60 * TICKS_PER_SECOND
"""The time for which a proxy still counts as part of the fleet after the last member has stopped serving it."""
DEFAULT_SETTLE_TIME = 3 * TICKS_PER_SECOND


class PeerReport(NamedTuple):
    """A member's report on itself, which it sends besides gossip packets.

    `proxies` maps the proxies that it serves to their zones. `list_version` is the version of the endpoint list that it
    uses. `received_at` is the time of receipt by the receiver's clock.
    """

    proxies: dict[str, str]
    withdrawn: tuple[str, ...]
    list_version: int
    received_at: int


class KnownProxy(NamedTuple):
    """The zone of a proxy of the fleet, and when a member last served the proxy."""

    zone: str
    seen_at: int


class Handover(NamedTuple):
    """A proxy to hand over and the member that takes it."""

    proxy: str
    to: str


class OwnershipCoordinator:
    """Coordinator that decides, consistently with its peers, which member owns which proxy.

    `settle_time` is how long the members and the known proxies must be unchanged before proxies are moved for balance.
    """

    def __init__(
        self, membership: Membership, members: Mapping[str, Member], now: int, settle_time: int = DEFAULT_SETTLE_TIME
    ) -> None:
        self.membership, self.members, self.settle_time = membership, dict(members), settle_time
        self.peer_reports: dict[str, PeerReport] = {}
        self.alive, self.membership_changed_at = tuple(membership.alive()), now
        self.last_handover_at = now
        self.requested_owners: dict[str, str] = {}
        self.known_proxies: dict[str, KnownProxy] = {}
        self.known_proxies_changed_at = now

    @property
    def own_name(self) -> str:
        """The name of this member."""
        return self.membership.own_name

    def serving(self) -> dict[str, Member]:
        """Return the members that may serve proxies now."""
        return {name: self.members[name] for name in self.membership.alive() if name in self.members}

    # Peers

    def observe_membership(self, now: int) -> list[str]:
        """Record members that joined or left, and return a log text for each."""
        alive = tuple(self.membership.alive())
        if alive == self.alive:
            return []
        changes = [f"{name} joined" for name in alive if name not in self.alive]
        changes += [f"{name} left" for name in self.alive if name not in alive]
        self.alive, self.membership_changed_at = alive, now
        return changes

    def on_peer_report(self, name: str, report: PeerReport) -> None:
        """Store a member's report on itself, unless a newer one is stored already."""
        if name not in self.members or name == self.own_name:
            return
        if report.received_at >= self.peer_reports.get(name, report).received_at:
            self.peer_reports[name] = report

    def withdrawn_by_peers(self, now: int, max_age: int) -> set[str]:
        """Return the backends that other members have withdrawn, according to reports younger than `max_age`.

        The result may only be used to withdraw more backends, never to return one to service.
        """
        recent = [report for report in self.peer_reports.values() if now - report.received_at < max_age]
        return {backend for report in recent for backend in report.withdrawn}

    # Proxies

    def fleet_proxies(self, own_proxies: Mapping[str, str], now: int) -> dict[str, str]:
        """Return all known proxies of the fleet with their zones; `own_proxies` are those that this member serves.

        A proxy that is moving between two members is included. If it were left out, the members would compute other
        assignments for the remaining proxies and hand them back and forth.
        """
        for name, report in sorted(self.peer_reports.items()):
            if name in self.alive:
                for proxy, zone in report.proxies.items():
                    self._remember_proxy(proxy, zone, report.received_at, now)
        for proxy, zone in own_proxies.items():
            self._remember_proxy(proxy, zone, now, now)
        self._forget_expired_proxies(now)
        return {proxy: known.zone for proxy, known in self.known_proxies.items()}

    def _remember_proxy(self, proxy: str, zone: str, seen_at: int, now: int) -> None:
        known = self.known_proxies.get(proxy)
        if known is None:
            if now - seen_at > PROXY_RETENTION:
                return
            self.known_proxies_changed_at = now
        self.known_proxies[proxy] = KnownProxy(zone, max(seen_at, known.seen_at if known is not None else 0))

    def _forget_expired_proxies(self, now: int) -> None:
        expired = [proxy for proxy, known in self.known_proxies.items() if now - known.seen_at > PROXY_RETENTION]
        for proxy in expired:
            del self.known_proxies[proxy]
            self.known_proxies_changed_at = now

    # Decisions

    def better_owner(self, proxy: str, zone: str, own_proxies: Mapping[str, str], now: int) -> str | None:
        """Return the member that should serve a proxy instead of this one, or None if this one should."""
        serving = self.serving()
        if self.own_name not in serving and serving:
            return rank_members(proxy, zone, serving)[0]
        if self.requested_owners.get(proxy) in serving:
            return None if self.requested_owners[proxy] == self.own_name else self.requested_owners[proxy]
        assigned = assign_proxies(self.fleet_proxies(own_proxies, now) | {proxy: zone}, serving)
        owner = assigned.get(proxy, self.own_name)
        return owner if owner != self.own_name else None

    def next_handover(self, own_proxies: Mapping[str, str], now: int, min_gap: int) -> Handover | None:
        """Return the next proxy to hand over, or None if none is due; handovers are at least `min_gap` apart.

        A leaving member hands over at once. Otherwise proxies are moved only for balance, and only while the fleet is
        settled.
        """
        proxies = self.fleet_proxies(own_proxies, now)
        if now - self.last_handover_at < min_gap or not (self._leaving() or self._settled(now)):
            return None
        serving = self.serving()
        if not serving or serving.keys() == {self.own_name}:
            return None
        assigned = assign_proxies(proxies, serving)
        for proxy in sorted(own_proxies):
            to = self.requested_owners.get(proxy, assigned.get(proxy, self.own_name))
            if to != self.own_name and to in serving:
                self.last_handover_at = now
                return Handover(proxy, to)
        return None

    def _leaving(self) -> bool:
        return self.membership.status is Status.LEAVING

    def _settled(self, now: int) -> bool:
        return now - max(self.membership_changed_at, self.known_proxies_changed_at) >= self.settle_time

    # Status for operators

    def state(self, now: int) -> dict[str, Any]:
        """Return the state of the fleet for operators as JSON, with None for unknown values."""
        states = sorted(self.membership.states().items())
        return {
            "own": self.own_name,
            "twins": sorted(self.membership.duplicate_boots),
            "members": {name: self._member_state(name, state, now) for name, state in states},
        }

    def _member_state(self, name: str, state: MemberState, now: int) -> dict[str, Any]:
        report = self.peer_reports.get(name)
        return {
            "status": state.status.name.lower() if state.incarnation >= 0 else "never heard",
            "incarnation": max(0, state.incarnation),
            "since_s": _seconds(now - state.since) if name != self.own_name else None,
            "proxies": len(report.proxies) if report is not None else None,
            "news_age_s": _seconds(now - report.received_at) if report is not None else None,
            "list": report.list_version if report is not None else None,
        }


def _seconds(ticks: int) -> float:
    return round(ticks / TICKS_PER_SECOND, 1)
