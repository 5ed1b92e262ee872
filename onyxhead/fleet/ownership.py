"""One controller's part in a shared fleet: whom it takes, whom it sends on, whom it hands over, and when. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.fleet.assignment import Member, assign_proxies, rank_members
from onyxhead.fleet.membership import Membership, Status

SECOND = 10_000
PROXY_RETENTION = 60 * SECOND
"""For so long a proxy that no member serves any more stays on the roll."""


class PeerReport(NamedTuple):
    """What a member says of itself beside being there; `at` by the receiver's clock."""

    proxies: dict[str, str]
    withdrawn: tuple[str, ...]
    list_version: int
    received_at: int


class OwnershipCoordinator:
    """`settle`: for how long nothing may have changed among the members before proxies are moved for balance."""

    def __init__(
        self, membership: Membership, members: Mapping[str, Member], now: int, settle: int = 3 * SECOND
    ) -> None:
        self.membership, self.members, self.settle = membership, dict(members), settle
        self.peer_reports: dict[str, PeerReport] = {}
        self.membership_changed_at, self.alive = now, tuple(membership.alive())
        self.moved_at = now
        self.sticky: dict[str, str] = {}
        self.known_proxies: dict[str, tuple[str, int]] = {}
        self.known_proxies_changed_at = now

    @property
    def own_name(self) -> str:
        return self.membership.own_name

    def serving(self) -> dict[str, Member]:
        return {name: self.members[name] for name in self.membership.alive() if name in self.members}

    def observe_membership(self, now: int) -> list[str]:
        """Notes who came and who went; tells it in words."""
        alive = tuple(self.membership.alive())
        if alive == self.alive:
            return []
        said = [f"{name} is here" for name in alive if name not in self.alive]
        said += [f"{name} is gone" for name in self.alive if name not in alive]
        self.alive, self.membership_changed_at = alive, now
        return said

    def on_peer_report(self, name: str, news: PeerReport) -> None:
        """What a member said of itself; older news never replaces newer."""
        if (
            name in self.members
            and name != self.own_name
            and news.received_at >= self.peer_reports.get(name, news).received_at
        ):
            self.peer_reports[name] = news

    def withdrawn_by_peers(self, now: int, younger: int) -> set[str]:
        """Backends that other members keep withdrawn, as far as they said so of late. It only ever adds to caution."""
        return {
            backend
            for news in self.peer_reports.values()
            if now - news.received_at < younger
            for backend in news.withdrawn
        }

    def fleet_proxies(self, own: Mapping[str, str], now: int) -> dict[str, str]:
        """All proxies of the fleet as far as known, with their zones.

        One that is on its way from a member to another stays on the roll: were it left out, members would deal the
        rest differently and hand proxies back and forth."""
        for news in [news for name, news in sorted(self.peer_reports.items()) if name in self.alive]:
            for proxy, zone in news.proxies.items():
                self._remember_proxy(proxy, zone, news.received_at, now)
        for proxy, zone in own.items():
            self._remember_proxy(proxy, zone, now, now)
        gone = [proxy for proxy, (_, seen) in self.known_proxies.items() if now - seen > PROXY_RETENTION]
        for proxy in gone:
            del self.known_proxies[proxy]
            self.known_proxies_changed_at = now
        return {proxy: zone for proxy, (zone, _) in self.known_proxies.items()}

    def _remember_proxy(self, proxy: str, zone: str, seen: int, now: int) -> None:
        if proxy not in self.known_proxies:
            if now - seen > PROXY_RETENTION:
                return
            self.known_proxies_changed_at = now
        self.known_proxies[proxy] = (zone, max(seen, self.known_proxies.get(proxy, (zone, 0))[1]))

    def better_owner(self, proxy: str, zone: str, own: Mapping[str, str], now: int) -> str | None:
        """The member that should serve this proxy in place of this one; None if it is best served here."""
        serving = self.serving()
        if self.own_name not in serving and serving:
            return rank_members(proxy, zone, serving)[0]
        if self.sticky.get(proxy) in serving:
            return None if self.sticky[proxy] == self.own_name else self.sticky[proxy]
        dealt = assign_proxies(self.fleet_proxies(own, now) | {proxy: zone}, serving)
        return dealt[proxy] if dealt.get(proxy, self.own_name) != self.own_name else None

    def next_handover(self, own: Mapping[str, str], now: int, gap: int) -> tuple[str, str] | None:
        """The next proxy to hand over and to whom, if it is time: one at a time, `gap` apart, once all is settled.

        A member that leaves hands over at once; for balance alone nothing is moved while members come and go."""
        leaving = self.membership.status is Status.LEAVING
        proxies = self.fleet_proxies(own, now)
        quiet = now - max(self.membership_changed_at, self.known_proxies_changed_at) >= self.settle
        if now - self.moved_at < gap or not (leaving or quiet):
            return None
        serving = self.serving()
        if not serving or serving.keys() == {self.own_name}:
            return None
        dealt = assign_proxies(proxies, serving)
        for proxy in sorted(own):
            to = self.sticky.get(proxy, dealt.get(proxy, self.own_name))
            if to != self.own_name and to in serving:
                self.moved_at = now
                return proxy, to
        return None

    def state(self, now: int) -> dict[str, Any]:
        """What operators see; what is not known is None."""
        return {
            "own": self.own_name,
            "twins": sorted(self.membership.duplicate_boots),
            "members": {
                name: {
                    "status": known.status.name.lower() if known.incarnation >= 0 else "never heard",
                    "incarnation": max(0, known.incarnation),
                    "since_s": round((now - known.since) / SECOND, 1) if name != self.own_name else None,
                    "proxies": len(self.peer_reports[name].proxies) if name in self.peer_reports else None,
                    "news_age_s": round((now - self.peer_reports[name].received_at) / SECOND, 1)
                    if name in self.peer_reports
                    else None,
                    "list": self.peer_reports[name].list_version if name in self.peer_reports else None,
                }
                for name, known in sorted(self.membership.statuses().items())
            },
        }
