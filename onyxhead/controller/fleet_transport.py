"""Communication with the other controllers of a fleet: gossip packets and reports over HTTP, and paced hand-overs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.fleet_state import FleetState
from onyxhead.controller.task_supervisor import TaskSupervisor
from onyxhead.fleet.errors import MalformedPacketError
from onyxhead.fleet.ownership import PeerReport
from onyxhead.fleet.packets import Packet
from onyxhead.fleet.wire_format import (
    decode_budget_report,
    decode_packet,
    encode_budget_report,
    encode_packet,
)
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request, Response, json_response, problem_response
from onyxhead.keys.credentials import TlsCredentials
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.time_units import TICKS_PER_SECOND

FLEET_PATH = "/v1/fleet"
BUDGET_INTERVAL = TICKS_PER_SECOND // 4
WITHDRAWAL_GRACES = 10
"""Withdrawals are taken over only from members' reports younger than this many drain graces."""
MAX_LOGGED_ERRORS = 100
"""Number of different packet errors that are logged, each once."""

log = structlog.get_logger()


class StreamControl(Protocol):
    """The interface to the proxies' streams that hand-overs need."""

    def end_stream(self, name: str, reason: str) -> None:
        """Close one proxy's stream, so that the proxy joins again."""

    def join_time_s(self) -> float:
        """Return the seconds for which one proxy's full tables occupy the channel."""


class FleetTransport:
    """Exchanges packets and reports with the other members, and hands proxies over to them.

    `list_version` returns the version of the endpoint list that this controller follows, 0 for none.
    """

    def __init__(
        self,
        fleet: FleetState,
        host: CoreHost,
        supervisor: TaskSupervisor,
        keys: TlsCredentials | None,
        streams: StreamControl,
        list_version: Callable[[], int],
    ) -> None:
        self.fleet, self.settings = fleet, fleet.settings
        self.coordinator, self.budget = fleet.coordinator, fleet.budget
        self.host, self.supervisor, self.keys, self.streams = host, supervisor, keys, streams
        self.list_version = list_version
        self.budget_due_at = host.now()
        self.logged_errors: set[str] = set()

    async def run(self) -> None:
        """Take part in the fleet until cancelled."""
        while True:
            now = self.host.now()
            for packet in self.coordinator.membership.tick(now):
                self.supervisor.start_background(self._send(packet))
            for change in self.coordinator.observe_membership(now):
                self._on_membership_change(now, change)
            self._share_budget(now)
            self._hand_over_next(now)
            await asyncio.sleep(self.settings.probe_timeout / TICKS_PER_SECOND / 2)

    def _on_membership_change(self, now: int, change: str) -> None:
        log.info(log_events.FLEET_MEMBERSHIP_CHANGED, change=change, alive=self.coordinator.alive)
        self._take_over_withdrawals(now)
        for name in [name for name in self.budget.shortfalls if name not in self.coordinator.alive]:
            self.budget.on_member_left(name)

    def _hand_over_next(self, now: int) -> None:
        """Hand over the next proxy that another controller should serve, if the last hand-over is long enough ago."""
        gap = round(2 * self.streams.join_time_s() * TICKS_PER_SECOND)
        if (move := self.coordinator.next_handover(self.fleet.own_proxies(), now, gap)) is not None:
            proxy, to = move
            log.info(log_events.PROXY_HANDED_OVER, proxy=proxy, to=to)
            self.streams.end_stream(proxy, f"handed over to {to}")

    def _share_budget(self, now: int) -> None:
        if now < self.budget_due_at:
            return
        self.budget_due_at = now + BUDGET_INTERVAL
        try:
            grants = self.host.core.update_budget_shares(now, self.budget)
        except StoreUnavailableError as error:
            log.warning(log_events.BUDGET_GRANT_FAILED, error=str(error))
            return
        for grant in grants:
            log.info(
                log_events.BUDGET_GRANTED,
                to=grant.borrower,
                backend=grant.incarnation.backend,
                amount=grant.amount,
                number=grant.number,
            )

    def _take_over_withdrawals(self, now: int) -> None:
        """Withdraw backends that members recently reported as withdrawn and that the endpoint list doesn't name."""
        grace = self.host.core.deployment.safety.drain_grace
        withdrawn = self.coordinator.withdrawn_by_peers(now, WITHDRAWAL_GRACES * grace)
        self.host.core.restore_withdrawals(now, sorted(withdrawn))

    async def _send(self, packet: Packet) -> None:
        member = self.settings.members.get(packet.to)
        if member is None:
            return
        document = json_response(HTTPStatus.OK, {"packet": encode_packet(packet), "news": self._report()})
        timeout_s = 2 * self.settings.probe_timeout / TICKS_PER_SECOND
        request = Request("POST", FLEET_PATH, document.headers, document.body)
        try:
            response = await fetch_once(
                member.address, request, timeout_s, self.keys.client_context if self.keys is not None else None
            )
            body = response.json()
            self._receive(body["packets"], body.get("news"), packet.to)
        except (OSError, HttpError, TimeoutError, ValueError, KeyError, TypeError):
            # The membership protocol expects packet loss, so a packet without a valid answer is treated as lost.
            return

    def _receive(self, packets: list[Any], report: Any, sender: str) -> list[Packet]:  # noqa: ANN401  decoded JSON
        """Process packets and a member's report. Return the packets to send in reply."""
        now = self.host.now()
        replies = []
        for packet in packets:
            replies += self.coordinator.membership.receive(decode_packet(packet), now)
        if isinstance(report, dict):
            proxies = {str(name): str(zone) for name, zone in dict(report.get("proxies", {})).items()}
            withdrawn = tuple(map(str, report.get("withdrawn", ())))
            version = int(report.get("list") or 0)
            self.coordinator.on_peer_report(sender, PeerReport(proxies, withdrawn, version, now))
            # A member that runs an older version reports no budget, and nothing is granted to it.
            if sender in self.coordinator.alive and sender != self.coordinator.own_name and "budget" in report:
                self.budget.on_report(sender, decode_budget_report(report["budget"]))
        return replies

    def handle_packet(self, request: Request) -> Response:
        """Process another member's packet. Replies to it go into the response; packets to other members are sent."""
        try:
            body = request.json()
            sender = str(body["packet"]["sender"])
            replies = self._receive([body["packet"]], body.get("news"), sender)
        except MalformedPacketError as error:
            if str(error) not in self.logged_errors and len(self.logged_errors) < MAX_LOGGED_ERRORS:
                self.logged_errors.add(str(error))
                log.warning(log_events.GOSSIP_PACKET_REJECTED, error=str(error))
            return problem_response(HTTPStatus.UNPROCESSABLE_ENTITY, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(HTTPStatus.BAD_REQUEST, f"malformed packet: {error}")
        replies_to_sender = [packet for packet in replies if packet.to == sender]
        for packet in replies:
            if packet.to != sender:
                self.supervisor.start_background(self._send(packet))
        return json_response(
            HTTPStatus.OK, {"packets": [encode_packet(packet) for packet in replies_to_sender], "news": self._report()}
        )

    def _report(self) -> dict[str, Any]:
        """Return the report that this controller sends with each packet."""
        return {
            "proxies": self.fleet.own_proxies(),
            "withdrawn": sorted(self.host.core.proxy_tables.withdrawn),
            "list": self.list_version(),
            "budget": encode_budget_report(self.budget.report()),
        }
