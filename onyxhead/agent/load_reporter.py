"""Reads the proxy's statistics at intervals and sends the controller a load report for each period."""

from __future__ import annotations

import asyncio
import time
from collections import deque

import structlog

from onyxhead.agent.controller_session import ControllerSession
from onyxhead.agent.proxy_counters import (
    Counters,
    ReportPeriod,
    counter_increments,
    load_report,
    parse_counters,
    parse_utilizations,
)
from onyxhead.http.client import fetch_once
from onyxhead.http.messages import HttpError, Request, json_response
from onyxhead.settings.model import Address

STATS_TIMEOUT_S = 1.0
STATS_PATH = "/stats"
MAX_PENDING_REPORTS = 3
"""Maximum number of reports kept for sending; older ones are dropped, since they describe an outdated load.

Reports wait while no controller accepts them.
"""

log = structlog.get_logger()


class LoadReporter:
    """Sends load reports to the session's controller, from the proxy statistics served at address `stats`."""

    def __init__(self, stats: Address, session: ControllerSession, incarnation: str) -> None:
        self.stats, self.session, self.incarnation = stats, session, incarnation
        self.pending: deque[dict[str, object]] = deque(maxlen=MAX_PENDING_REPORTS)
        self._counters: Counters = {}
        self._counted_at = 0.0
        self._report_number = 0

    async def run(self) -> None:
        """Send reports without end."""
        self._counted_at = time.monotonic()
        while True:
            await asyncio.sleep(self.session.report_interval)
            try:
                counters, utilizations = await self._fetch_statistics()
            except (OSError, HttpError, TimeoutError, ValueError, TypeError, KeyError, AttributeError) as error:
                log.debug("proxy statistics unavailable", error=str(error))
                continue
            self._add_report(counters, utilizations)
            await self._send_pending()

    async def _fetch_statistics(self) -> tuple[Counters, dict[str, float]]:
        response = await fetch_once(self.stats, Request("GET", STATS_PATH), STATS_TIMEOUT_S)
        document = response.json()
        return parse_counters(document), parse_utilizations(document)

    def _add_report(self, counters: Counters, utilizations: dict[str, float]) -> None:
        now = time.monotonic()
        self._report_number += 1
        period = ReportPeriod(self.session.settings.name, self.incarnation, self._report_number, now - self._counted_at)
        self.pending.append(load_report(period, counter_increments(self._counters, counters), utilizations))
        self._counters, self._counted_at = counters, now

    async def _send_pending(self) -> None:
        path = f"/v1/proxies/{self.session.settings.name}/sums"
        while self.pending and self.session.controller is not None:
            content = json_response(200, self.pending[0])
            request = Request("POST", path, content.headers, content.body)
            try:
                await self.session.client.fetch(self.session.controller, request, STATS_TIMEOUT_S)
            except (OSError, HttpError, TimeoutError):
                break
            self.pending.popleft()
