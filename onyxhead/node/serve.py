"""The node: sockets, clock and signals round a `Host`, which makes every step. Nothing here decides anything."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from collections import Counter
from collections.abc import Callable, Hashable
from pathlib import Path
from typing import Any

from onyxhead.controller.clock import Clock
from onyxhead.fronts.streams.messages import InvalidMessage, Known, Said, read
from onyxhead.fronts.streams.orders import ALIVE, Encoder, rejected
from onyxhead.fronts.streams.resp import Words
from onyxhead.node import start as starting
from onyxhead.node.connections import Connection, Listener
from onyxhead.node.discovery import Watch
from onyxhead.node.host import Host, place
from onyxhead.node.listing import InvalidListing, Listing, Names, listing
from onyxhead.node.notes import Notes
from onyxhead.node.probes import AT_ONCE, Probes
from onyxhead.policy.inputs import HealthCheckResult, LoadReport, WatchEvent

TENTHS = 10_000
ASIDE = AT_ONCE + 16
"""Descriptors set aside: probes, the discovery watch and its successor, the listener, the loop's own, standard ones."""
LAG_INTERVAL = 0.25
"""Seconds between looks at silent streams, and by which the loop's lag is measured."""
FIGURES = 5.0
LAST = 0.3
"""Seconds to the end, after SIGTERM, in which peers may still take what was written; the platform kills after 0.7."""
IDLE = 1.0
"""Seconds after which the module is asked again whatever it said: a fault must not put it to sleep for good."""


class Node:
    def __init__(self, given: starting.Start, config: Path, notes: Notes) -> None:
        self.given, self.config, self.notes = given, config, notes
        self.clock = Clock(time.time, time.monotonic)
        self.loop = asyncio.get_running_loop()
        self.host = Host(given.deployment, given.seed, self.clock.now())
        zones = {name: place for place, name in enumerate(given.zones)}
        self.names = Names(zones, {name: place for place, name in enumerate(given.kinds)}, self.clock.from_wall_time)
        groups = {name: place for place, name in enumerate(given.groups)}
        self.known = Known(groups, zones, given.deployment.proxy_count, self.host.listed)
        self.encoder = Encoder(given.groups)
        self.listener = Listener(given.sockets - ASIDE, self.heard, self.ended, rejected)
        self.proxies: dict[int, Connection] = {}
        self.by_connection: dict[int, int] = {}  # proxies by the number of their connection
        self.places: dict[str, tuple[str, int]] = {}
        self.probes = Probes("/load" if given.reports else "/healthz", self.probed)
        self.watch = Watch(given.discovery, self.names, self.on_listing, self.discovery_failed, given.seed)
        self.counts: Counter[str] = Counter()
        self.pulled = 0.0
        self.waiting: asyncio.TimerHandle | None = None
        self.waking: asyncio.TimerHandle | None = None
        self.over = asyncio.Event()
        self.lag = self.longest = self.busy = 0.0
        self.watching = False

    async def run(self) -> None:
        """Serves until told to end. Raises OSError if the address can't be had."""
        self._remember()
        host, port = self.listener.open(self.given.listen)
        for each in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(each, self.over.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.notes.say("serving", name=self.given.name, host=host, port=port, sockets=self.given.sockets)
        if not self.given.deployment.subscription_required:
            self._follow()
        self.schedule_round()
        self.loop.set_exception_handler(self._unhandled)
        self.loop.call_later(LAG_INTERVAL, self._sample_lag, self.loop.time() + LAG_INTERVAL)
        self.loop.call_later(FIGURES, self._figures)
        # What was loaded stays; collections then look only at what is made in service.
        gc.collect()
        gc.freeze()
        await self.over.wait()
        self.notes.say("ending", name=self.given.name)
        await self.watch.stop()
        if self.waiting is not None:
            # What was heard and not yet told is owed to those that are joined; no pull comes after this one.
            self.waiting.cancel()
            self._round()
        await self.listener.finish(LAST)

    def _remember(self) -> None:
        if self.given.known is None:
            self.notes.say("starting with no list")
            return
        try:
            found = listing(self.given.known, self.names)
        except InvalidListing as error:
            self.notes.say("the known list is not used", why=str(error))
            return
        self.places = found.places
        self.host.list_heard(self.clock.now(), WatchEvent.CACHED, found.entries)
        self.notes.say("remembered", backends=len(found.entries), revision=found.revision)

    def _follow(self) -> None:
        if not self.watching:
            self.watching = True
            self.watch.start()

    def reload(self) -> None:
        """Reads the configuration again and follows discovery to where it says; streams are not touched."""
        try:
            given = starting.read(self.config)
        except starting.Unstartable as error:
            self.notes.say("the new configuration is not used", why=str(error))
            return
        if given.listen != self.given.listen or given.deployment != self.given.deployment:
            self.notes.say("only discovery is taken from a new configuration; the rest needs a restart")
        moved = given.discovery != self.given.discovery
        self.given = self.given._replace(discovery=given.discovery)
        self.notes.say("configuration read again", discovery=":".join(map(str, given.discovery)), moved=moved)
        if moved and self.watching:
            self.watch.move(given.discovery)

    def _unhandled(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A timer or task of ours raised. Timers set their next turn before they work, so only this one is lost."""
        error = context.get("exception")
        self._fault("fault in a callback", place(error) if isinstance(error, Exception) else str(context["message"]))

    def _fault(self, event: str, where: str) -> None:
        """A fault of ours is told once a place, not each time, and ends nothing."""
        self.counts["faults"] += 1
        self.notes.once(event, where)

    # What is heard

    def heard(self, connection: Connection, words: Words) -> None:
        """One message. What is wrong with it or with us ends neither the loop nor a stream that has joined."""
        try:
            self._heard(connection, words)
        except InvalidMessage as error:
            if not connection.joined:
                self.counts["rejected"] += 1
                self.listener.reject(connection, str(error))
                return
            self.counts["invalid"] += 1
            self.notes.once("message refused", str(error)[:200], connection=connection.number)
        except Exception as error:
            self._fault("fault in a message", place(error))

    def _heard(self, connection: Connection, words: Words) -> None:
        now, proxy = self.clock.now(), self.by_connection.get(connection.number)
        if proxy is not None:
            self.host.alive(now, proxy, connection.number)
        said, values = read(words, self.known)
        if said is Said.ALIVE:
            connection.send(ALIVE)
            return
        if said is Said.JOINS and not connection.joined:
            self._join(now, connection, *values)
        elif said is Said.COLLECTS and not connection.joined:
            connection.join()
            self.notes.say("collector", zone=self.given.zones[values[0]], connection=connection.number)
        elif not connection.joined or said in (Said.JOINS, Said.COLLECTS):
            where = "on a joined stream" if connection.joined else "before joining"
            raise InvalidMessage(f"{words[0][:32]!r} has no place {where}")
        elif said is Said.APPLIED:
            if proxy != values[0] or not self.host.applied(now, values[0], connection.number, *values[1:]):
                raise InvalidMessage("an answer to a mark that was not set on this stream")
        elif said is Said.TRIES:
            self.host.tries(now, *values)
        elif said is Said.FLOWS:
            if proxy not in (None, values[0]):
                raise InvalidMessage("flows of another proxy")
            self.host.flows(now, *values)
        self.counts[said.name.lower()] += 1
        self.schedule_round()

    def _join(self, now: int, connection: Connection, proxy: int, zone: int, usual: float, standing: bool) -> None:
        connection.join()
        old = self.proxies.get(proxy)
        self.proxies[proxy], self.by_connection[connection.number] = connection, proxy
        try:
            self.host.joins(now, proxy, zone, usual, standing, connection.number)
        except Exception:
            # Half booked it would be told nothing for good; it has to join anew.
            self.listener.end(connection, "its joining could not be booked")
            raise
        finally:
            if old is not None:
                self.by_connection.pop(old.number, None)
                self.listener.end(old, "replaced by a new stream of the same proxy")

    def ended(self, connection: Connection, why: str) -> None:
        proxy = self.by_connection.pop(connection.number, None)
        if proxy is not None and self.proxies.get(proxy) is connection:
            del self.proxies[proxy]
            if self.host.left(self.clock.now(), proxy, connection.number):
                self.notes.say("proxy left", proxy=proxy, why=why)
                self.schedule_round()
        elif connection.joined:
            self.notes.say("connection over", connection=connection.number, why=why)

    def on_listing(self, found: Listing) -> None:
        if found.whole:
            self.places = dict(found.places)
        else:
            self.places |= found.places
            for entry in found.entries:
                if not entry.ready and not entry.draining:
                    self.places.pop(entry.backend, None)
        news = WatchEvent.SNAPSHOT if found.whole else WatchEvent.DELTA
        try:
            self.host.list_heard(self.clock.now(), news, found.entries)
        except Exception as error:
            self._fault("fault in a list", place(error))
        self.counts["lists"] += 1
        self.notes.say("list", revision=found.revision, whole=found.whole, entries=len(found.entries))
        self.schedule_round()

    def discovery_failed(self, why: str) -> None:
        self.counts["discovery failed"] += 1
        self.notes.once("discovery", why)
        if self.given.deployment.subscription_required:
            self.host.list_refused(self.clock.now())
            self.schedule_round()

    def _life(self, backend: str) -> Hashable:
        """Where a backend is and since when: another one may come under its name while a look is under way."""
        listed = self.host.listed.get(backend)
        return self.places.get(backend), listed.started_at if listed else 0

    def probed(self, backend: str, life: Hashable, sight: HealthCheckResult, load: LoadReport) -> None:
        if life != self._life(backend):
            self.counts["probe outlived"] += 1
            return
        self.counts[f"probe {sight.name.lower()}"] += 1
        try:
            self.host.probed(self.clock.now(), backend, sight, load)
        except Exception as error:
            self._fault("fault in a probe", place(error))
        self.schedule_round()

    # What is decided

    def schedule_round(self) -> None:
        """Has the module asked once for all that comes in until then."""
        if self.waiting is None:
            due = self.pulled + self.given.gap / TENTHS
            self.waiting = self.loop.call_at(max(due, self.loop.time()), self._round)

    def _round(self) -> None:
        began = self.pulled = self.loop.time()
        self.waiting = None
        try:
            effects = self.host.act(self.clock.now())
        except Exception as error:
            self._fault("fault in a round", place(error))
            self._wake(IDLE)
            return
        if effects.wake is not None:
            self._wake(effects.wake / TENTHS)
        encoded: dict[int, bytes] = {}
        for proxy, stream, orders in effects.orders:
            connection = self.proxies.get(proxy)
            if connection is None or connection.number != stream:
                continue
            try:
                if (message := encoded.get(id(orders))) is None:
                    message = encoded[id(orders)] = self.encoder.message(orders)
                connection.send(message)
            except Exception as error:
                # The module has booked it as sent, and says it to nobody again: this stream alone has to join anew.
                self._fault("fault in a message to a proxy", place(error))
                self.listener.end(connection, "its orders could not be written")
                continue
            self.counts["messages"] += 1
            self.counts["lines"] += orders.lines
        for backend in effects.probes:
            if (where := self.places.get(backend)) is not None:
                self.probes.start(backend, where, self._life(backend))
        for fault in effects.faults:
            self._fault("fault in the module", fault)
        for text in effects.remarks:
            self.notes.say("remark", text=text)
        if effects.subscribe:
            self._follow()
        took = self.loop.time() - began
        self.longest, self.busy = max(self.longest, took), self.busy + took
        self.counts["rounds"] += 1

    def _wake(self, after: float) -> None:
        if self.waking is not None:
            self.waking.cancel()
        self.waking = self.loop.call_later(after, self.schedule_round)

    # What is watched

    def _sample_lag(self, due: float) -> None:
        now = self.loop.time()
        self.lag = max(self.lag, now - due)
        self.loop.call_later(LAG_INTERVAL, self._sample_lag, now + LAG_INTERVAL)
        if found := self.host.detect_silent(self.clock.now()):
            self.notes.say("streams fell silent", proxies=found)
            self.schedule_round()

    def _figures(self) -> None:
        self.loop.call_later(FIGURES, self._figures)
        cpu = time.process_time()
        self.notes.say(
            "figures",
            cpu_s=round(cpu, 2),
            lag_ms=round(self.lag * 1000, 1),
            longest_round_ms=round(self.longest * 1000, 1),
            round_share=round(self.busy / FIGURES, 3),
            connections=len(self.listener.connections),
            pending=len(self.listener.pending),
            **self.host.figures(),
            counts=dict(self.counts),
            listener=dict(self.listener.counts),
            host=dict(self.host.counts),
        )
        self.lag = self.longest = self.busy = 0.0


async def serve(given: starting.Start, config: Path, notes: Notes) -> None:
    await Node(given, config, notes).run()


def main(environment: dict[str, str], say_fault: Callable[[str], None]) -> int:
    """Runs a node from its environment; returns the exit code."""
    try:
        given, config = starting.told(environment)
    except starting.Unstartable as error:
        say_fault(str(error))
        return 2
    try:
        asyncio.run(serve(given, config, Notes()))
    except OSError as error:
        say_fault(f"listen: {':'.join(map(str, given.listen))}: {error.strerror or error}")
        return 1
    return 0
