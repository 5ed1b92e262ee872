"""Carries a controller's part in a shared fleet: packets over HTTP, news beside them, hand-overs at a pace."""

from __future__ import annotations

import asyncio
import secrets
import time
from random import Random
from typing import TYPE_CHECKING, Any

import structlog

from onyxhead.fleet.assignment import Member
from onyxhead.fleet.errors import MalformedPacketError
from onyxhead.fleet.membership import Membership
from onyxhead.fleet.ownership import OwnershipCoordinator, PeerReport
from onyxhead.fleet.packets import Packet
from onyxhead.fleet.slow_start_budget import SlowStartBudget
from onyxhead.fleet.wire_format import (
    decode_budget_report,
    decode_grants,
    decode_packet,
    encode_budget_report,
    encode_grants,
    encode_packet,
)
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request, Response, json_response, problem_response
from onyxhead.settings.model import FleetMember, FleetSettings
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.value_names import BUDGET_GRANTS, FLEET_MEMBERS
from onyxhead.tables.addresses import parse_address

if TYPE_CHECKING:
    from onyxhead.controller.server import ControllerServer

PATH = "/v1/fleet"
LEND_EVERY = 2_500
TENTHS = 10_000
log = structlog.get_logger()


class FleetTransport:
    def __init__(self, daemon: ControllerServer, settings: FleetSettings) -> None:
        self.daemon, self.settings = daemon, settings
        now = daemon.clock.now()
        # A later start must win over an earlier one of the same name, also on an empty or a restored disk.
        boot = f"{int(time.time() * 1000):015d}.{secrets.token_hex(3)}"
        membership = Membership(
            daemon.settings.name,
            boot,
            tuple(settings.members),
            Random(boot),
            now,
            settings.probe_period,
            settings.probe_timeout,
            settings.suspicion_timeout,
        )
        members = {name: Member(name, each.zone, each.lines_per_second) for name, each in settings.members.items()}
        self.coalition = OwnershipCoordinator(membership, members, now, settings.settle_time)
        self.logged_errors: set[str] = set()
        # A disk that knows of an earlier life would know its loans; an empty one proves nothing.
        kept = daemon.store.get(BUDGET_GRANTS) or ([] if daemon.core.epoch > 1 else None)
        self.budget = SlowStartBudget(
            daemon.settings.name,
            now,
            decode_grants(kept) if kept is not None else None,
            lambda grants: daemon.store.put(BUDGET_GRANTS, encode_grants(grants)),
        )
        self.lend_at = now
        for name, each in (daemon.store.get(FLEET_MEMBERS) or {}).items():
            self._set_member(name, each, now)

    def _set_member(self, name: str, given: dict[str, Any] | None, now: int) -> None:
        """Adds, changes or (with None) removes a member. Raises ValueError, KeyError for what is none."""
        coalition, members = self.coalition, self.settings.members
        if given is None:
            members.pop(name, None)
            coalition.members.pop(name, None)
            coalition.peer_reports.pop(name, None)
            coalition.membership.remove(name)
            return
        fellow = FleetMember(parse_address(given["address"]), str(given["zone"]), float(given["pace"]))
        if not name or not 0 < fellow.lines_per_second < 1e9:
            raise ValueError("name or pace out of range")
        members[name] = fellow
        coalition.members[name] = Member(name, fellow.zone, fellow.lines_per_second)
        coalition.membership.add(name, now)

    def joined_zones(self) -> dict[str, str]:
        house = self.daemon.core
        return {known.name: house.zones[known.zone] for known in house.joined.values()}

    def better_owner(self, proxy: str, zone: str) -> str | None:
        return self.coalition.better_owner(proxy, zone, self.joined_zones(), self.daemon.clock.now())

    # Carrying

    async def run(self) -> None:
        while True:
            now = self.daemon.clock.now()
            for packet in self.coalition.membership.tick(now):
                self.daemon.start(self._send(packet), vital=False)
            for said in self.coalition.observe_membership(now):
                log.info("fleet", said=said, alive=self.coalition.alive)
                self._renew(now)
                for name in [name for name in self.budget.shortfalls if name not in self.coalition.alive]:
                    self.budget.on_member_left(name)
            self._share(now)
            if (
                move := self.coalition.next_handover(
                    self.joined_zones(), now, round(2 * self.daemon.join_time() * TENTHS)
                )
            ) is not None:
                proxy, to = move
                log.info("handed over", proxy=proxy, to=to)
                self.daemon.end_stream(proxy, f"handed over to {to}")
            await asyncio.sleep(self.settings.probe_timeout / TENTHS / 2)

    def _share(self, now: int) -> None:
        if now < self.lend_at:
            return
        self.lend_at = now + LEND_EVERY
        try:
            made = self.daemon.core.update_budget_shares(now, self.budget)
        except StoreUnavailableError as error:
            log.warning("nothing is lent", why=str(error))
            return
        for loan in made:
            log.info("lent", to=loan.borrower, backend=loan.incarnation.backend, flows=loan.amount, number=loan.number)

    def _renew(self, now: int) -> None:
        """What members kept withdrawn and no list names any more is kept withdrawn here too."""
        grace = self.daemon.core.deployment.safety.drain_grace
        self.daemon.core.restore_withdrawals(now, sorted(self.coalition.withdrawn_by_peers(now, 10 * grace)))

    async def _send(self, packet: Packet) -> None:
        member = self.settings.members.get(packet.to)
        if member is None:
            return
        keys = self.daemon.keys
        request = json_response(200, {"packet": encode_packet(packet), "news": self._news()})
        seconds = 2 * self.settings.probe_timeout / TENTHS
        try:
            told = await fetch_once(
                member.address,
                Request("POST", PATH, request.headers, request.body),
                seconds,
                keys.client_context if keys is not None else None,
            )
            given = told.json()
            self._receive(given["packets"], given.get("news"), packet.to)
        except (OSError, HttpError, TimeoutError, ValueError, KeyError, TypeError):
            return

    def _receive(self, packets: list[Any], news: Any, sender: str) -> list[Packet]:  # noqa: ANN401
        now = self.daemon.clock.now()
        replies = []
        for each in packets:
            replies += self.coalition.membership.receive(decode_packet(each), now)
        if isinstance(news, dict):
            proxies = {str(name): str(zone) for name, zone in dict(news.get("proxies", {})).items()}
            withdrawn = tuple(map(str, news.get("withdrawn", ())))
            self.coalition.on_peer_report(sender, PeerReport(proxies, withdrawn, int(news.get("list") or 0), now))
            # A member of an older program says nothing of budgets; nothing is lent to it.
            if sender in self.coalition.alive and sender != self.coalition.own_name and "budget" in news:
                self.budget.on_report(sender, decode_budget_report(news["budget"]))
        return replies

    def handle_packet(self, request: Request) -> Response:
        """Another member's packet. The answer carries what goes back to it; the rest is sent."""
        try:
            given = request.json()
            sender = str(given["packet"]["sender"])
            replies = self._receive([given["packet"]], given.get("news"), sender)
        except MalformedPacketError as error:
            if str(error) not in self.logged_errors and len(self.logged_errors) < 100:
                self.logged_errors.add(str(error))
                log.warning("fleet", refused=str(error))
            return problem_response(422, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(400, f"not a packet: {error}")
        back = [packet for packet in replies if packet.to == sender]
        for packet in replies:
            if packet.to != sender:
                self.daemon.start(self._send(packet), vital=False)
        return json_response(200, {"packets": [encode_packet(packet) for packet in back], "news": self._news()})

    def _news(self) -> dict[str, Any]:
        last = self.daemon.follower.last
        house = self.daemon.core
        return {
            "proxies": self.joined_zones(),
            "withdrawn": sorted(house.proxy_tables.withdrawn),
            "list": last.version if last else 0,
            "budget": encode_budget_report(self.budget.report()),
        }

    # What operators ask

    def command(self, what: str, given: Any) -> Response:  # noqa: ANN401
        coalition, now = self.coalition, self.daemon.clock.now()
        if what == "handover":
            coalition.membership.leave()
            log.info("fleet", said="leaving: all proxies are handed over")
            return json_response(200, {"proxies": len(self.joined_zones())})
        if what == "move":
            proxy, to = str(given.get("proxy")), str(given.get("to"))
            if to not in coalition.serving():
                return problem_response(409, f"{to} is not known to serve now")
            coalition.sticky[proxy] = to
            return json_response(200, {"proxy": proxy, "to": to, "here": proxy in self.joined_zones()})
        if what == "members":
            name, each = str(given.get("name")), given.get("member")
            if name == coalition.own_name and each is None:
                return problem_response(409, "a controller leaves by handover, not by removing itself")
            try:
                self._set_member(name, each, now)
            except (ValueError, KeyError, TypeError) as error:
                return problem_response(422, f"not a member: {error}")
            # Over the settings, and on disk before it is answered.
            kept = self.daemon.store.get(FLEET_MEMBERS) or {}
            self.daemon.store.put(FLEET_MEMBERS, kept | {name: each})
            log.info("fleet", said=f"{name} {'removed' if each is None else 'put in'} by command")
            return json_response(200, {"members": sorted(self.settings.members)})
        if what == "who":
            proxy = str(given.get("proxy"))
            # A member that is gone serves nobody, whatever it said last; of the others the newest word counts.
            heard = sorted(coalition.peer_reports.items(), key=lambda item: -item[1].received_at)
            told: list[str | None] = [n for n, news in heard if n in coalition.alive and proxy in news.proxies]
            found = coalition.own_name if proxy in self.joined_zones() else (told or [None])[0]
            return json_response(200, {"proxy": proxy, "served_by": found})
        return json_response(200, coalition.state(now) | {"budget": self.budget.status()})
