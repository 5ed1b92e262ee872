"""Hosts the module for streams, with no I/O: what is heard becomes calls on it, what it decides one message a proxy.

Nothing here decides, paces or doubts. The host keeps what the protocol makes it keep: who is joined by which stream,
which tables each stream was told to use, and which turns it has yet to answer. Times are the module's tenths."""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Hashable
from dataclasses import dataclass, field

from onyxhead.fronts.streams.orders import Level, Orders, Rows
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    HealthCheckRequest,
    LogMessage,
    SubscribeToEndpoints,
    TableAssignment,
    TableChange,
    WakeUp,
    Withdrawal,
)
from onyxhead.policy.inputs import Deployment, Endpoint, HealthCheckResult, LoadReport, WatchEvent

MOST_UNANSWERED = 256
"""Turns of one stream that may still be answered; older answers are no longer told apart from made-up ones."""
MOST_NAMES = 8192
"""Backends remembered as listed once; an order or report on an older one names nothing."""
SILENCE = 40_000
"""Tenths in which a stream owes an answer and says nothing, before it counts as silent."""


@dataclass
class Joined:
    """One proxy on one stream."""

    stream: Hashable
    zone: int
    usual: float
    heard: int
    silent: bool = False
    bound: dict[int, tuple[int, ...]] = field(default_factory=dict)  # groups by table, as this stream was told
    turns: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MOST_UNANSWERED))  # and when ordered


@dataclass
class PendingUpdate:
    """What one pull tells one proxy, as it is gathered."""

    out: dict[str, None] = field(default_factory=dict)
    back: dict[str, None] = field(default_factory=dict)
    whole: list[int] = field(default_factory=list)
    lines: dict[int, dict[str, float]] = field(default_factory=dict)
    levels: list[Level] = field(default_factory=list)


@dataclass
class Effects:
    """What there is to carry out: messages by stream, backends to look at, when to come back at the latest."""

    orders: list[tuple[int, Hashable, Orders]] = field(default_factory=list)
    probes: list[str] = field(default_factory=list)
    remarks: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    wake: int | None = None
    subscribe: bool = False


class Host:
    def __init__(self, start: Deployment, seed: int, now: int) -> None:
        self.brain = BalancingPolicy(start, seed, now)
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[int, dict[tuple[int, ...], Level]] = {}
        self.shut: dict[str, None] = {}
        self.joined: dict[int, Joined] = {}
        # Every backend listed since the start, as it was last; a proxy keeps shut-outs across streams, so one that is
        # ready again may still be shut out at a proxy that missed its return.
        self.listed: dict[str, Endpoint] = {}
        self.returned: set[str] = set()
        self.passed = 0  # when the latest turn that anyone has answered was ordered
        self.counts: Counter[str] = Counter()

    # What is heard

    def list_heard(self, now: int, news: WatchEvent, entries: list[Endpoint]) -> None:
        named = {entry.backend for entry in entries}
        for entry in entries:
            before = self.listed.pop(entry.backend, None)
            # Only what was seen to go and come: after a deploy nearly all have started lately, and a line for each at
            # every joining took a quarter of the channel just when tables had to go out.
            if entry.ready and before is not None and (not before.ready or before.started_at != entry.started_at):
                self.returned.add(entry.backend)
            self.listed[entry.backend] = entry
        if news is WatchEvent.SNAPSHOT:
            for name in [name for name, entry in self.listed.items() if name not in named and entry.ready]:
                self.listed[name] = self.listed[name]._replace(ready=False, draining=False)
        self.returned = {name for name in self.returned if self.listed[name].ready}
        self.brain.on_endpoint_update(now, news, entries)
        if len(self.listed) > MOST_NAMES:
            for name in [name for name, entry in self.listed.items() if not entry.ready][: len(self.listed) // 2]:
                del self.listed[name]
                self.shut.pop(name, None)

    def list_refused(self, now: int) -> None:
        self.brain.on_endpoint_update(now, WatchEvent.REJECTED, [])

    def joins(self, now: int, proxy: int, zone: int, usual: float, standing: bool, stream: Hashable) -> None:
        """A stream of this proxy stands; an earlier one is over, whether its end was seen or not."""
        if proxy in self.joined:
            self.counts["replaced"] += 1
            self._leave(now, proxy)
        self.joined[proxy] = Joined(stream, zone, usual, now)
        self.brain.on_proxy_joined(now, proxy, zone, usual, standing)
        self.counts["joins"] += 1

    def _on(self, proxy: int, stream: Hashable) -> Joined | None:
        """The proxy, if it is joined by this stream and not by a later one."""
        known = self.joined.get(proxy)
        return known if known is not None and known.stream == stream else None

    def left(self, now: int, proxy: int, stream: Hashable) -> bool:
        """The stream is over; False if another one has taken its place, and nothing changes."""
        if self._on(proxy, stream) is None:
            return False
        self._leave(now, proxy)
        self.counts["left"] += 1
        return True

    def _leave(self, now: int, proxy: int) -> None:
        if not self.joined.pop(proxy).silent:
            self.brain.on_proxy_left(now, proxy)

    def alive(self, now: int, proxy: int, stream: Hashable) -> None:
        """Something was heard on this stream."""
        if (known := self._on(proxy, stream)) is None:
            return
        known.heard = now
        if known.silent:
            # It was taken as gone, and what it holds is no longer known: the module begins with it anew.
            known.silent, known.bound = False, {}
            known.turns.clear()
            self.brain.on_proxy_joined(now, proxy, known.zone, known.usual, False)
            self.counts["spoke again"] += 1

    def applied(self, now: int, proxy: int, stream: Hashable, turn: int, took: int) -> bool:
        """The proxy applied this turn; False if this stream was asked for no such answer."""
        known = self._on(proxy, stream)
        if known is None or all(turn != each for each, _ in known.turns):
            return False
        while True:
            # Messages are applied in order: what was asked earlier is applied too, its answer lost or spoilt.
            asked, ordered = known.turns.popleft()
            if asked == turn:
                break
        self.passed = max(self.passed, ordered)
        self.brain.on_acknowledgement(now, proxy, turn, took)
        return True

    def tries(
        self, now: int, backend: str, zone: int, tries: int, bad: int, mean: int, span: int, load: LoadReport
    ) -> None:
        self.brain.on_attempt_statistics(now, backend, zone, tries, bad, mean, span, load)

    def flows(self, now: int, proxy: int, group: int, came: int, bad: int, span: int) -> None:
        self.brain.on_request_rate(now, proxy, group, came, span)

    def probed(self, now: int, backend: str, sight: HealthCheckResult, load: LoadReport) -> None:
        self.brain.on_health_check(now, backend, sight, load)

    def detect_silent(self, now: int) -> list[int]:
        """Proxies whose streams have just fallen silent: they owe an answer that the channel, which is in order, has
        let pass at others, and nothing at all comes from them. The platform says nothing when a machine vanishes; what
        waits for one must not count as waiting for good, nor a slow channel be taken for silence."""
        found = [
            proxy
            for proxy, known in self.joined.items()
            if not known.silent
            and known.turns
            and known.turns[0][1] < self.passed
            and now - max(known.heard, known.turns[0][1]) > SILENCE
        ]
        for proxy in found:
            self.joined[proxy].silent, self.joined[proxy].bound = True, {}
            self.brain.on_proxy_left(now, proxy)
            self.counts["silent"] += 1
        return found

    # What is decided

    def act(self, now: int) -> Effects:
        """One pull of the module, as one message for each proxy concerned."""
        effects, updates, returning, turn = Effects(), dict[int, PendingUpdate](), list[str](), 0
        pull = self.brain.decisions(now)
        while True:
            try:
                if (decision := next(pull, None)) is None:
                    break
                turn = self._carry(decision, effects, updates, returning) or turn
            except Exception as error:
                # A fault of the module ends its pull, one of ours this decision alone: the others still hold, since the
                # module has booked them as ordered and says them to nobody again.
                effects.faults.append(place(error))
        for backend in returning:
            # Known only now: the line that holds it comes behind the word that it is let back.
            for proxy, known in self.joined.items():
                if any(backend in self.tables.get(table, {}) for table in known.bound):
                    updates.setdefault(proxy, PendingUpdate()).back[backend] = None
        made: dict[tuple[object, ...], Orders] = {}
        for proxy, update in updates.items():
            known = self.joined[proxy]
            if turn:
                known.turns.append((turn, now))
            orders = self._orders(known, update, turn)
            effects.orders.append((proxy, known.stream, made.setdefault(orders, orders)))
        return effects

    def _carry(
        self, decision: Decision, effects: Effects, updates: dict[int, PendingUpdate], returning: list[str]
    ) -> int:
        """Books one decision; returns the turn if it is a turn mark."""
        match decision:
            case Withdrawal(backend, shut):
                self._shut_out(backend, shut, updates)
                if not shut:
                    returning.append(backend)
            case TableChange(table, lines):
                self._change(table, lines, updates)
            case AdmissionLevel(table, groups, level, tries):
                own = Level(groups, level, tries)
                self.levels.setdefault(table, {})[groups] = own
                for proxy in self._users(table):
                    updates.setdefault(proxy, PendingUpdate()).levels.append(own)
            case TableAssignment(proxy, table, groups) if proxy in self.joined:
                self._bind(proxy, table, groups, updates.setdefault(proxy, PendingUpdate()))
            case AcknowledgementRequest(turn, _):
                # Whoever the module counts a message for gets one, also where it only asks for an answer.
                for proxy in self.brain.round_recipients:
                    if proxy in self.joined:
                        updates.setdefault(proxy, PendingUpdate())
                return turn
            case HealthCheckRequest(backend):
                effects.probes.append(backend)
            case WakeUp(after):
                effects.wake = after
            case SubscribeToEndpoints():
                effects.subscribe = True
            case LogMessage(text):
                effects.remarks.append(text)
        return 0

    def _users(self, table: int) -> list[int]:
        return [proxy for proxy, known in self.joined.items() if table in known.bound]

    def _shut_out(self, backend: str, shut: bool, updates: dict[int, PendingUpdate]) -> None:
        if shut:
            self.shut[backend] = None
            self.returned.discard(backend)
        else:
            self.shut.pop(backend, None)
            self.returned.add(backend)
        for proxy, known in self.joined.items() if shut else ():
            # Tables that are not of this controller may hold anything.
            holds = any(backend in self.tables.get(table, {}) for table in known.bound)
            if not known.silent and (holds or not known.bound):
                updates.setdefault(proxy, PendingUpdate()).out[backend] = None

    def _change(self, table: int, lines: tuple[tuple[str, float], ...], updates: dict[int, PendingUpdate]) -> None:
        held = self.tables.setdefault(table, {})
        for backend, weight in lines:
            held.pop(backend, None)
            if weight > 0:
                held[backend] = weight
        for proxy in self._users(table):
            updates.setdefault(proxy, PendingUpdate()).lines.setdefault(table, {}).update(lines)

    def _bind(self, proxy: int, table: int, groups: tuple[int, ...], update: PendingUpdate) -> None:
        known = self.joined[proxy]
        if not update.whole:
            known.bound = {}
            update.lines.clear()
            update.levels.clear()
        known.bound[table] = groups
        update.whole.append(table)
        for backend in self.tables.get(table, {}):
            if backend in self.shut:
                update.out[backend] = None
            elif backend in self.returned:
                update.back[backend] = None
        update.levels += self.levels.get(table, {}).values()

    def _orders(self, known: Joined, update: PendingUpdate, turn: int) -> Orders:
        rows = [Rows(known.bound[table], True, tuple(self.tables.get(table, {}).items())) for table in update.whole]
        changed = ((table, lines) for table, lines in update.lines.items() if table not in update.whole)
        rows += [Rows(known.bound[table], False, tuple(lines.items())) for table, lines in changed]
        return Orders(tuple(update.out), tuple(update.back), tuple(rows), tuple(update.levels), turn)

    def figures(self) -> dict[str, float]:
        """What the module believes, for the log: read only."""
        policy = self.brain.statistics()
        return {
            "joined": len(self.joined),
            "bound": sum(1 for known in self.joined.values() if known.bound),
            "silent": sum(known.silent for known in self.joined.values()),
            "ready": sum(entry.ready for entry in self.listed.values()),
            "names": len(self.listed),
            "backends": policy.known_backends,
            "shut": len(self.shut),
            "waiting": round(policy.queued_lines),
            "unanswered": policy.unacknowledged_messages,
            "asked": round(policy.request_rate, 1),
            "attempts": round(policy.attempt_rate, 1),
            "failed": round(policy.failure_fraction, 3),
            "late": round(policy.late_fraction, 3),
            "let_in": round(policy.admitted_fraction, 3),
            "cells": policy.subset_count,
        }


def place(error: Exception) -> str:
    """A fault and where it arose, on one line."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return " ".join(f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})".split())
