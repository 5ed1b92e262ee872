"""Where load reports reach the controller: decoded here in small bites between steps, or by receivers of their own.

Orders never wait behind reports: here a bite is bounded by bytes, and what does not fit is shed fairly; with
receivers only sums arrive, a few hundred bytes a backend and beat."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import structlog

from onyxhead.controller.receiver import DECODE, HEAD, Frame, Taking
from onyxhead.http.messages import Response
from onyxhead.intake.picture import Sums, merged
from onyxhead.series.courses import Courses
from onyxhead.settings.model import LoadReportSettings

if TYPE_CHECKING:
    from onyxhead.controller.daemon import Daemon

TENTHS = 10_000
WEIGH = 1.0
COURSE = 10.0
AGAIN = 0.5
SHED = "shed of "
MOST_SHED = 1_000
log = structlog.get_logger()


class Reception:
    def __init__(self, daemon: Daemon, settings: LoadReportSettings) -> None:
        self.daemon, self.settings = daemon, settings
        self.taking = Taking(daemon.settings.seed, settings.byte_rate_limit, None, daemon.clock)
        self.counts: Counter[str] = Counter()
        self.shed: Counter[str] = Counter()
        self.waiting: list[Sums] = []
        self.courses = Courses(settings.series) if settings.series is not None else None
        self.begun = self.ended = 0

    def take(self, sender: str, body: bytes) -> Response:
        return self.taking.take(sender, body)

    async def run(self) -> None:
        for number in range(self.settings.processes):
            self.daemon.start(self._receiver(number))
        weighed = written = self.daemon.clock.now()
        while True:
            await asyncio.sleep(self.settings.interval)
            frame = self.taking.beat()
            self._count(frame)
            # All that came since the last beat, from whomever, is one picture: none is judged on half of it.
            sums, self.waiting = merged([*frame.sums, *self.waiting]), []
            now = self.daemon.clock.now()
            self.daemon.house.picture.absorb(now, sums)
            if now - weighed >= WEIGH * TENTHS:
                weighed = now
                self.daemon.house.picture.weigh(now)
                for notice in self.daemon.house.picture.told_notices():
                    log.info("changed", where=notice.where, what=notice.what, way=notice.way)
            if self.courses is not None and now - written >= COURSE * TENTHS:
                written = now
                await asyncio.to_thread(self.courses.write, time.time(), self._figures(now))

    def _count(self, frame: Frame) -> None:
        for name, count in frame.counts.items():
            if name.startswith(SHED):
                self.shed[name.removeprefix(SHED)] += count
            else:
                self.counts[name] += count
        if len(self.shed) > 2 * MOST_SHED:
            # Whoever sends under ever new names must not fill the memory with them.
            self.shed = Counter(dict(self.shed.most_common(MOST_SHED)))

    def _figures(self, now: int) -> dict[str, float]:
        house, found = self.daemon.house, {}
        for backend in house.picture.known:
            figures = house.picture.figures(now, backend)
            if figures is None or figures.age > 2 * COURSE * TENTHS:
                continue
            for name in ("rate", "busy", "queue", "loss", "p99"):
                if (figure := getattr(figures, name)) is not None:
                    found[f"{name}.{backend}"] = figure.value
            found[f"trust.{backend}"] = figures.trust
        for (proxy, group), trend in house.picture.demand.items():
            if (level := trend.level.figure()) is not None and now - trend.at < 2 * COURSE * TENTHS:
                found[f"flows.{proxy}/{group}"] = level.value
        found["channel.waiting"] = house.channel.waiting
        return found

    # Receivers

    async def _receiver(self, number: int) -> None:
        """Keeps one receiver going; one that ends is started again, and what it had not told is lost, as reports may
        be."""
        settings, tls = self.settings, self.daemon.settings.tls
        assert settings.listen is not None
        given = {
            "listen": settings.listen,
            "every": settings.interval,
            "seed": number,
            "budget": settings.byte_rate_limit,
            "tls": [str(each) if each else None for each in (tls.certificate, tls.key, tls.authorities, tls.revoked)]
            if tls
            else None,
        }
        while True:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "onyxhead.controller.receiver",
                json.dumps(given),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            self.begun += 1
            log.info("receiver", number=number, pid=process.pid)
            try:
                assert process.stdout is not None
                while True:
                    (length,) = HEAD.unpack(await process.stdout.readexactly(HEAD.size))
                    frame = DECODE.decode(await process.stdout.readexactly(length))
                    self._count(frame)
                    self.waiting += frame.sums
            except asyncio.IncompleteReadError:
                self.ended += 1
                log.warning("a receiver ended", number=number, pid=process.pid)
                await asyncio.sleep(AGAIN)
            finally:
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await asyncio.shield(process.wait())

    # What operators ask

    def brief(self) -> dict[str, Any]:
        """Busy shares only, for who asks often."""
        picture = self.daemon.house.picture
        figures = {name: picture.believed(name) for name in picture.known}
        found = {name: {"value": own.value, "error": own.error} for name, own in figures.items() if own is not None}
        return {"counts": dict(self.counts), "busy": found}

    def state(self) -> dict[str, Any]:
        now, view = self.daemon.clock.now(), self.daemon.house.picture
        backends = {}
        for name in sorted(view.known):
            if (figures := view.figures(now, name)) is not None:
                backends[name] = figures.plain()
        return {
            "counts": dict(self.counts) | dict(view.counts),
            "shed_most": dict(self.shed.most_common(10)),
            "receivers": self.begun - self.ended,
            "series": self.courses.failing if self.courses is not None else None,
            "backends": backends,
        }
