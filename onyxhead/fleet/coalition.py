"""One controller's part in a shared fleet: whom it takes, whom it sends on, whom it hands over, and when. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhead.fleet.membership import Membership, Status
from onyxhead.fleet.serving import Member, deal, preference

SECOND = 10_000
REMEMBERED = 60 * SECOND
"""For so long a proxy that no member serves any more stays on the roll."""


class News(NamedTuple):
    """What a member says of itself beside being there; `at` by the receiver's clock."""

    proxies: dict[str, str]
    withdrawn: tuple[str, ...]
    version: int
    at: int


class Coalition:
    """`settle`: for how long nothing may have changed among the members before proxies are moved for balance."""

    def __init__(
        self, membership: Membership, members: Mapping[str, Member], now: int, settle: int = 3 * SECOND
    ) -> None:
        self.membership, self.members, self.settle = membership, dict(members), settle
        self.news: dict[str, News] = {}
        self.changed, self.seen = now, tuple(membership.alive())
        self.moved_at = now
        self.pinned: dict[str, str] = {}
        self.roll: dict[str, tuple[str, int]] = {}
        self.rolled = now

    @property
    def own(self) -> str:
        return self.membership.own

    def serving(self) -> dict[str, Member]:
        return {name: self.members[name] for name in self.membership.alive() if name in self.members}

    def look(self, now: int) -> list[str]:
        """Notes who came and who went; tells it in words."""
        alive = tuple(self.membership.alive())
        if alive == self.seen:
            return []
        said = [f"{name} is here" for name in alive if name not in self.seen]
        said += [f"{name} is gone" for name in self.seen if name not in alive]
        self.seen, self.changed = alive, now
        return said

    def told(self, name: str, news: News) -> None:
        """What a member said of itself; older news never replaces newer."""
        if name in self.members and name != self.own and news.at >= self.news.get(name, news).at:
            self.news[name] = news

    def withdrawn_elsewhere(self, now: int, younger: int) -> set[str]:
        """Backends that other members keep withdrawn, as far as they said so of late. It only ever adds to caution."""
        return {backend for news in self.news.values() if now - news.at < younger for backend in news.withdrawn}

    def proxies(self, own: Mapping[str, str], now: int) -> dict[str, str]:
        """All proxies of the fleet as far as known, with their zones.

        One that is on its way from a member to another stays on the roll: were it left out, members would deal the
        rest differently and hand proxies back and forth."""
        for news in [news for name, news in sorted(self.news.items()) if name in self.seen]:
            for proxy, zone in news.proxies.items():
                self._enrol(proxy, zone, news.at, now)
        for proxy, zone in own.items():
            self._enrol(proxy, zone, now, now)
        gone = [proxy for proxy, (_, seen) in self.roll.items() if now - seen > REMEMBERED]
        for proxy in gone:
            del self.roll[proxy]
            self.rolled = now
        return {proxy: zone for proxy, (zone, _) in self.roll.items()}

    def _enrol(self, proxy: str, zone: str, seen: int, now: int) -> None:
        if proxy not in self.roll:
            if now - seen > REMEMBERED:
                return
            self.rolled = now
        self.roll[proxy] = (zone, max(seen, self.roll.get(proxy, (zone, 0))[1]))

    def better(self, proxy: str, zone: str, own: Mapping[str, str], now: int) -> str | None:
        """The member that should serve this proxy in place of this one; None if it is best served here."""
        serving = self.serving()
        if self.own not in serving and serving:
            return preference(proxy, zone, serving)[0]
        if self.pinned.get(proxy) in serving:
            return None if self.pinned[proxy] == self.own else self.pinned[proxy]
        dealt = deal(self.proxies(own, now) | {proxy: zone}, serving)
        return dealt[proxy] if dealt.get(proxy, self.own) != self.own else None

    def move(self, own: Mapping[str, str], now: int, gap: int) -> tuple[str, str] | None:
        """The next proxy to hand over and to whom, if it is time: one at a time, `gap` apart, once all is settled.

        A member that leaves hands over at once; for balance alone nothing is moved while members come and go."""
        leaving = self.membership.status is Status.LEAVING
        proxies = self.proxies(own, now)
        quiet = now - max(self.changed, self.rolled) >= self.settle
        if now - self.moved_at < gap or not (leaving or quiet):
            return None
        serving = self.serving()
        if not serving or serving.keys() == {self.own}:
            return None
        dealt = deal(proxies, serving)
        for proxy in sorted(own):
            to = self.pinned.get(proxy, dealt.get(proxy, self.own))
            if to != self.own and to in serving:
                self.moved_at = now
                return proxy, to
        return None

    def state(self, now: int) -> dict[str, Any]:
        """What operators see; what is not known is None."""
        return {
            "own": self.own,
            "twins": sorted(self.membership.twins),
            "members": {
                name: {
                    "status": known.status.name.lower() if known.incarnation >= 0 else "never heard",
                    "incarnation": max(0, known.incarnation),
                    "since_s": round((now - known.since) / SECOND, 1) if name != self.own else None,
                    "proxies": len(self.news[name].proxies) if name in self.news else None,
                    "news_age_s": round((now - self.news[name].at) / SECOND, 1) if name in self.news else None,
                    "list": self.news[name].version if name in self.news else None,
                }
                for name, known in sorted(self.membership.statuses().items())
            },
        }
