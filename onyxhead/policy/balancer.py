"""Decides for one controller which backends its proxies use, and with what weight.

The caller makes one BalancingPolicy when the controller starts, reports events through the `on_...` methods, which only
update what is known, and then takes `decisions(now)` until there are none; the decisions of one such round leave as one
message for each proxy concerned. `docs/design.md` describes the mechanism and how it departs from the paper.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    AdmissionLevel,
    Decision,
    HealthCheckRequest,
    SubscribeToEndpoints,
    TableAssignment,
    TableChange,
    WakeUp,
    Withdrawal,
)
from onyxhead.policy.inputs import (
    AdmissionMode,
    Deployment,
    Endpoint,
    HealthCheckResult,
    LoadReport,
    RetrySafety,
    TrafficGroup,
    WatchEvent,
)

SECOND = 10_000
UNREACHED = 2  # probes in a row; a single one may meet a full accept queue
PROBE_GAP = 2 * SECOND  # a probe costs work and points; twice as often tells no more than the noise
BEAT = SECOND // 4  # what waits on time alone (ramps, holds) is looked at this often
HURRY_SHARE = 0.7  # of the queue limit, for full tables where a rule presses; withdrawals must still fit
STALE = 4  # graces that a proxy may have been away, and missed what was withdrawn
AHEAD = 4  # of the grace, full tables may take up a part in so many of the channel's time ahead
GATHERED = 6  # of the grace, a part in so many may pass while withdrawals gather behind a busy channel
RAMP_STEPS = 10  # a just-started backend has one, and no turn gives it more than one
WORTH_A_LINE = 0.12  # smaller changes of weight than this are noise and not sent
URGENT_SHARE = 0.9  # of the queue limit, for what a rule demands; the rest covers lines not foreseen
CALM_SHARE = 0.5  # of the queue limit, for full tables at a join
TURN_SHARE = 0.45  # of the queue limit, for changes: in a slow channel they would delay the next withdrawal
SLOWEST = 50  # a channel may be this many times slower than stated before its silence proves a loss
NEED_TRIES = 6.0  # fewer tries than this say nothing about a backend
SOUND_EXCESS = 0.1  # loss above the fleet's usual that chance and small differences explain
MEMORY = 0.8  # of a backend's load reports, what the next one leaves
PRIOR = 3.0  # reports of its own, at the usual flows, that weigh as much as what all of its kind told
RETURN = 0.3  # of its part, what a backend gets back at least each time it loses no more than the fleet
LEAST_TRUST = 0.05  # a stepped-down backend keeps this much, so that its recovery shows in reports
TRICKLE = 0.005  # what a backend out of reach keeps: a table must not run out of lines, nor waste flows
NO_LIMIT = 1e6
NEARLY_FULL = 0.6  # backends that would be busier than this give up a part before they answer late
COMFORT = 0.7  # busy so much, a backend still answers in time
OVERLOADED = 0.2  # when even the best quarter loses this much, less must come in
CROWDED = 0.3  # when so many tries fail and the others are quick, fewer backends are used by each proxy
CELLS_LAST = 30 * SECOND  # then the tables are whole again, since nothing tells that the cause has gone
SWELL = 1.25  # while levels hold, so much more may be coming than is told
SLIGHT = 0.9  # of the usual flows, what levels leave at least while only some is late
RATTLED = 0.1  # of lately failed tries, from which proxies' avoiding counts whole against cold backends
QUICK_MEMORY = 0.9  # of how long a backend's answers take, what the next look leaves
LOOK_TRIES = 12  # so many tries one look at a backend stands for
UNSTEADY = 0.3  # a smaller change of that part is not worth new lines
LEAST_QUICK = 0.3  # what takes longer still has most likely a queue, and steps see to that
NARROWEST = 12  # backends of a table; with fewer, differences of speed no longer even out
MOST_GONE = 200  # backends that have left and are still known, to be withdrawn again from who held them
LEAST_LEVEL = 0.2  # no traffic group is shut out whole


class Record:
    def __init__(self) -> None:
        self.tries = self.bad = self.delay = 0.0

    def add(self, tries: int, bad: int, mean: int) -> None:
        self.tries += tries
        self.bad += bad
        self.delay += (tries - bad) * mean

    def fade(self) -> None:
        self.tries, self.bad, self.delay = self.tries / 2, self.bad / 2, self.delay / 2

    @property
    def mean(self) -> float:
        return self.delay / (self.tries - self.bad) if self.tries > self.bad else 0.0


class Backend:
    def __init__(self, backend: str, cell: int) -> None:
        self.id, self.cell = backend, cell
        self.zone = self.kind = -1
        self.ready = self.down = self.silent = self.unseen = False
        self.weight = 1.0
        self.started = self.look_at = self.unreached = 0
        self.shut = 0  # when the withdrawal was last ordered
        self.out_at: int | None = None
        self.lines: dict[int, float] = defaultdict(float)
        self.versions: dict[int, int] = {}
        self.hear_anew(0)

    def hear_anew(self, now: int) -> None:
        self.trust, self.part, self.load, self.held = 1.0, 1.0, 0.0, 0.0
        self.share, self.asked = 1.0, 0.0  # of what it bears: agreed on by controllers; what would come
        self.fits: dict[int, float] = {}  # by table
        self.takes: int | None = None  # the mean time of its answers, in its own latest word
        self.long, self.quick = 0.0, 1.0  # that over its last words, and its part if slower than its kind
        self.recent = Record()
        self.forget(now)

    def hear_load(self, load: LoadReport, pulls: dict[int, float]) -> None:
        drawn = self.drawn(pulls)
        self.takes = load.latency if load.latency is not None else self.takes
        if load.utilization is not None and drawn > 0 and max(self.lines.values()) > LEAST_TRUST:
            self.load = MEMORY * self.load + load.utilization
            self.held = MEMORY * self.held + drawn

    def drawn(self, pulls: dict[int, float]) -> float:
        return sum(pulls.get(number, 0.0) * line for number, line in self.lines.items())

    def forget(self, now: int) -> None:
        self.since = Record()
        self.judged = now


class Proxy:
    def __init__(self, proxy: int, zone: int, usual: float, standing: bool, now: int) -> None:
        self.id, self.zone, self.usual, self.standing, self.joined = proxy, zone, usual, standing, now
        self.bound = False
        self.applied = self.cell = 0
        self.written: deque[int] = deque()
        self.rates: list[float] = []
        self.held: set[int] = set()  # tables that it was told to use, also before the last split


class Table:
    def __init__(
        self,
        number: int,
        plan: Table | None,
        zones: frozenset[int] | None,
        home: int | None,
        groups: list[int],
        cell: int = 0,
        of: int = 1,
    ) -> None:
        self.number, self.zones, self.home, self.groups, self.cell = number, zones, home, groups, cell
        self.plan, self.of = plan or self, of  # so many cells share out what the plan's one holds
        self.gates: dict[int, float] = {}
        self.top, self.able = 1.0, 0.0  # the largest fit of its backends, and what they can do

    def takes(self, backend: Backend) -> bool:
        return self.cell == backend.cell % self.of and (self.zones is None or backend.zone in self.zones)

    def serves(self, proxy: Proxy) -> bool:
        return self.cell == proxy.cell % self.of and self.home in (None, proxy.zone)


class PolicyStatistics(NamedTuple):
    """What the policy measures, for logs and metrics; rates are per second, fractions are from 0 to 1."""

    known_backends: int
    queued_lines: float
    unacknowledged_messages: int
    request_rate: float
    attempt_rate: float
    failure_fraction: float
    late_fraction: float
    admitted_fraction: float
    subset_count: int


class BalancingPolicy:
    def __init__(self, start: Deployment, seed: int, now: int) -> None:
        self.vary = random.Random(seed).uniform
        channel, guards = start.channel, start.safety
        self.head, self.limit, self.transit = channel.message_overhead + 1, channel.max_queued_lines, channel.max_delay
        self.cap, self.cap_span = channel.max_messages, channel.message_window
        self.pace = channel.lines_per_second
        # Whole tables for all proxies, as after the other controllers' deaths, have to fit into the grace.
        each = self.pace * guards.drain_grace / SECOND / max(1, start.proxy_count)
        self.width = max(NARROWEST, each - self.head - 1 - len(start.groups))
        self.grace, self.gather = guards.drain_grace, guards.drain_grace // GATHERED
        self.cold_share, self.cold_time = guards.initial_warmup_fraction, guards.warmup_time
        self.patience = 2 * start.report_interval + channel.max_delay
        self.throttle = start.admission_mode
        self.budgets = [(group.utility, group.latency_budget) for group in start.groups]
        self.tries = [_further_tries(group, start) for group in start.groups]
        self.backends: dict[str, Backend] = {}
        self.proxies: dict[int, Proxy] = {}
        self.plan = self.tables = _lay_out(start)
        self.asks, self.ask_at = start.subscription_required, now
        self.turned = self.looked = now - SECOND
        self.free_at = float(now)
        self.unanswered: list[tuple[int, int, float, int]] = []
        self.lost_after = 2 * self.transit + round(SLOWEST * self.limit * SECOND / channel.lines_per_second)
        self.spent: dict[int, float] = {}
        self.turn, self.wake_at, self.cells, self.told, self.crowded = 0, -1, 1, False, False
        self.let_in = self.spare = 1.0
        self.best = self.target = self.peak = 0.0
        self.dark: set[int] = set()
        self.reckon_gap = max(start.report_interval, SECOND)
        self.reckoned = self.rationed = self.split = self.sent = self.answered = now
        self.probes, self.avoids = start.health_checks_allowed, start.proxy_ejection_failures > 0
        # Half the load that fells a cold backend, for chance and late reports; less the sooner proxies avoid.
        self.haste = 6 / start.proxy_ejection_failures if start.proxy_ejection_failures else 0.0
        self.half = guards.overload_factor / 2
        self.bearable = self.half / (1 + self.haste)
        self.unit = self.attempts = self.failed = self.shunned = self.late = self.slow = self.able = 0.0
        self.met = Record()
        self.pulls: dict[int, float] = {}
        self.flows: dict[int, float] = {}
        self.levels = [1.0] * len(start.groups)

    # What is heard

    def on_endpoint_update(self, now: int, event: WatchEvent, endpoints: list[Endpoint]) -> None:
        if event is WatchEvent.REJECTED:
            self.ask_at = now + round(SECOND * self.vary(0.5, 1.5))
            return
        lost, healthy = [], sum(b.ready for b in self.backends.values())
        named = {entry.backend for entry in endpoints} if event is WatchEvent.SNAPSHOT else set(self.backends)
        unnamed = [known for known in self.backends.values() if known.id not in named]
        gone = [Endpoint(b.id, b.zone, b.kind, False, False, b.weight, b.started) for b in unnamed]
        for entry in [*endpoints, *gone]:
            if (known := self.backends.get(entry.backend)) is None:
                known = self.backends[entry.backend] = Backend(entry.backend, self._emptiest(entry))
            known.zone, known.kind, known.weight = entry.zone, entry.kind, entry.weight or 1.0
            if entry.ready:
                if not known.ready or known.started != entry.started_at:
                    known.hear_anew(now)
                known.ready, known.down, known.out_at, known.started = True, False, None, entry.started_at
            elif not known.down:
                known.down = True
                if entry.draining or not known.ready:
                    known.out_at = now
                else:
                    lost.append(known)
                known.ready = False
        # A list that drops most of the fleet at once is more often wrong than right, and soon corrected.
        spread = min(SECOND, self.grace // 3) if 2 * len(lost) > healthy else 0
        for place, known in enumerate(lost):
            known.out_at = now + spread * place // len(lost)
        # Where machines are replaced new ids come for ever; those longest out have left all tables by then.
        out = [b for b in self.backends.values() if b.down and b.shut and not any(b.lines.values())]
        for known in sorted(out, key=lambda b: b.shut)[: max(0, len(out) - MOST_GONE)]:
            del self.backends[known.id]

    def on_attempt_statistics(
        self,
        now: int,
        backend: str,
        zone: int,
        attempts: int,
        failures: int,
        mean_latency: int,
        window: int,
        load: LoadReport,
    ) -> None:
        if (known := self.backends.get(backend)) is None:
            return
        known.hear_load(load, self.pulls)
        known.recent.add(attempts, failures, mean_latency)
        if known.zone not in self.dark:  # a cut zone's tries tell nothing of the others
            self.met.add(attempts, failures, mean_latency)
        if now - window >= known.judged:
            known.since.add(attempts, failures, mean_latency)

    def on_request_rate(self, now: int, proxy: int, group: int, requests: int, window: int) -> None:
        known = self.proxies.get(proxy)
        if known is not None and group < len(known.rates) and window > 0:
            known.rates[group] = (known.rates[group] + requests * SECOND / window) / 2

    def on_budget_share(self, now: int, backend: str, share: float) -> None:
        if (known := self.backends.get(backend)) is not None:
            known.share = share

    def on_health_check(self, now: int, backend: str, result: HealthCheckResult, load: LoadReport) -> None:
        if (known := self.backends.get(backend)) is None:
            return
        known.silent = result is HealthCheckResult.TIMED_OUT
        known.takes = None  # what it told before it fell silent is no longer so
        if result is HealthCheckResult.UNREACHABLE:
            known.unreached += 1
            known.look_at = now if known.unreached < UNREACHED else known.look_at
        else:
            known.unreached = 0
            full = LoadReport(utilization=1.0 if known.load else None)
            known.hear_load(load if result is HealthCheckResult.HEALTHY else full, self.pulls)
        if known.takes and self._warmth(known, now) == 1:
            known.long = QUICK_MEMORY * (known.long or known.takes) + (1 - QUICK_MEMORY) * known.takes
        # Where proxies are many, sums come seconds late; a look meets a long queue or an error at once. Where
        # many fail them all have too much. A quick answer proves little: flows may fail all the same.
        failed = known.unseen = result in (HealthCheckResult.TIMED_OUT, HealthCheckResult.REJECTED)
        bad = failed or self._late(known.takes or 0) > SOUND_EXCESS
        if bad and now >= known.judged and 3 * sum(b.unseen for b in self._up()) < len(self._up()):
            known.since.add(LOOK_TRIES, LOOK_TRIES * failed, known.takes or 0)

    def on_proxy_joined(self, now: int, proxy: int, zone: int, baseline_rate: float, has_standing_table: bool) -> None:
        coming = [0.0] * self.cells
        for other in self.proxies.values():
            coming[other.cell] += other.usual
        known = self.proxies[proxy] = Proxy(proxy, zone, baseline_rate, has_standing_table, now)
        known.rates, known.cell = [baseline_rate / len(self.budgets)] * len(self.budgets), coming.index(min(coming))

    def on_proxy_left(self, now: int, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        # What was on its way to it is lost, and must not count as waiting for good.
        self.unanswered = [sent for sent in self.unanswered if sent[1] != proxy]

    def on_acknowledgement(self, now: int, proxy: int, round_number: int, elapsed: int) -> None:
        if proxy in self.proxies:
            self.proxies[proxy].applied = round_number
        # The channel is in order, so an answer proves that all ordered earlier has left it.
        place = next((n for n, sent in enumerate(self.unanswered) if sent[:2] == (round_number, proxy)), -1)
        self.answered = now if place >= 0 else self.answered
        earlier = [sent for sent in self.unanswered[: max(0, place)] if sent[0] == round_number]
        self.unanswered = earlier + self.unanswered[place + 1 :]

    # What is decided

    @property
    def round_number(self) -> int:
        """The number of the last round that sent messages, 0 before the first."""
        return self.turn

    @property
    def round_recipients(self) -> Mapping[int, float]:
        """The proxies that get a message of the current round, with the lines that each message costs."""
        return self.spent

    def statistics(self) -> PolicyStatistics:
        return PolicyStatistics(
            known_backends=len(self.backends),
            queued_lines=sum(sent[2] for sent in self.unanswered),
            unacknowledged_messages=len(self.unanswered),
            request_rate=sum(sum(proxy.rates) for proxy in self.proxies.values()),
            attempt_rate=self.attempts,
            failure_fraction=self.failed,
            late_fraction=self.late,
            admitted_fraction=self.let_in,
            subset_count=self.cells,
        )

    def warming_backends(self, now: int) -> list[tuple[str, int, float, float]]:
        """Cold backends, their starts, the usual flows of their weight, and what would come unheld."""
        usual = [(b, self.unit * b.weight) for b in self._up() if self._warmth(b, now) < 1]
        return [(b.id, b.started, flows, flows * b.asked) for b, flows in usual]

    def decisions(self, now: int) -> Iterator[Decision]:
        self.spent, self.reach_all = {}, False
        for proxy in self.proxies.values():
            while proxy.written and proxy.written[0] <= now - self.cap_span:
                proxy.written.popleft()
        self.unanswered = [sent for sent in self.unanswered if sent[3] > now]
        if self.asks and 0 <= self.ask_at <= now:
            self.ask_at = -1
            yield SubscribeToEndpoints()
        yield from self._shut_out(now)
        for backend in self._up() if self.probes else ():
            if backend.look_at <= now:
                # Only where probes tell how long answers take does a second one a gap tell more than noise.
                backend.look_at = now + (PROBE_GAP // 2 if backend.takes else PROBE_GAP)
                yield HealthCheckRequest(backend.id)
        if now >= max(self.turned + SECOND, self.looked + BEAT):
            self.looked = now
            yield from self._take_turn(now)
        yield from self._assign(now)
        if self.spent:
            self.sent, self.free_at = now, self._free_at(now)
            self.turn = self.turn % 65_535 + 1
            for number, lines in self.spent.items():
                self.unanswered.append((self.turn, number, lines, now + self.lost_after))
                self.proxies[number].written.append(now)
            yield AcknowledgementRequest(self.turn, self.reach_all)
        if self.wake_at <= now:
            self.wake_at = now + BEAT
            yield WakeUp(BEAT)

    def _room(self, share: float, receivers: list[Proxy]) -> float:
        # A part of the messages a proxy may be written is kept back for what cannot wait.
        most = self.cap * share if share < URGENT_SHARE else self.cap
        fresh = [proxy for proxy in receivers if proxy.id not in self.spent]
        if self.cap and any(len(proxy.written) + 1 > most for proxy in fresh):
            return -1.0
        return (share * self.limit - self._waiting() - self.head * len(fresh)) / max(1, len(receivers))

    def _free_at(self, now: int) -> float:
        """When all that was ordered has left, if the channel is as fast as stated."""
        return max(self.free_at, now) + sum(self.spent.values()) * SECOND / self.pace

    def _waiting(self) -> float:
        return sum(sent[2] for sent in self.unanswered) + sum(self.spent.values())

    def _spend(self, lines: float, receivers: list[Proxy]) -> None:
        for proxy in receivers:
            self.spent[proxy.id] = self.spent.get(proxy.id, self.head) + lines

    def _due(self, now: int, gather: int) -> list[Backend]:
        # Whole tables for many that join take longer than the grace; so late withdrawals are said again.
        waiting = [p for p in self.proxies.values() if not p.bound and now - p.joined > gather]
        # Tables that fit are given sooner: said again, all who hold an uncleared line hear it once more.
        fits = max(self.head * len(self.proxies), self.pace * self.grace / 2 / SECOND * (self.cells > 1))
        if len(waiting) * (self.head + len(self._up()) / self.cells) < fits:
            waiting = []
        joined = max((p.joined for p in waiting), default=0)
        since = min((p.joined for p in waiting), default=now) - STALE * self.grace
        gone = [b for b in self.backends.values() if b.down and (b.out_at or now) <= now]
        again = now - self.grace // 3  # each time it fills the channel, so those that join together wait
        return [b for b in gone if not b.shut or (b.shut < min(joined, again) and (b.out_at or now) > since)]

    def _shut_out(self, now: int) -> Iterator[Decision]:
        everyone, due = list(self.proxies.values()), self._due(now, self.gather)
        if not due:
            return
        # Heads outweigh a withdrawal's own line: one message each would fill the channel.
        room = self._room(URGENT_SHARE, everyone) * len(everyone)
        holding = self._holding(due, everyone)
        early = now - min(b.out_at or now for b in due) < self.gather
        cost = sum(map(len, holding.values()))
        # A slow channel is not free when it should be: sent singly, withdrawals would be nearly all heads.
        slow = now < self.answered + 2 * self.transit and room < self.head * len(everyone)
        full = room < cost and (slow or self._free_at(now) > now)
        if self._waiting() > self.head * len(everyone) and (full or early):
            return
        # Said again, the latest come first: a proxy that joins has most likely heard of the others before.
        for backend in sorted(due, key=lambda b: (b.shut > 0, (b.out_at or now) * (-1 if b.shut else 1))):
            room -= len(holding[backend.id])
            if room < 0:
                return
            backend.shut = max(1, now)
            # Who is not bound may hold no such line, and a message never sent is never answered. Where few
            # are not, later answers of others tell as much; a head at all for each joining fills the channel.
            self.reach_all = 2 * sum(not proxy.bound for proxy in everyone) > len(everyone)
            self._spend(0, everyone if self.reach_all else holding[backend.id])
            self._spend(1, holding[backend.id])
            yield Withdrawal(backend.id, True)

    def _holding(self, due: list[Backend], proxies: list[Proxy]) -> dict[str, list[Proxy]]:
        # Asked at each pull while withdrawals wait: once for all whose lines are in the same tables.
        held = {b.id: tuple(t for t in self._taking(b) if b.lines[t.number]) for b in due}
        users = {
            tables: [p for p in proxies if not p.bound or any(t.serves(p) for t in tables)]
            for tables in set(held.values())
        }
        return {name: users[tables] for name, tables in held.items()}

    def _assign(self, now: int) -> Iterator[Decision]:
        waiting = [proxy for proxy in self.proxies.values() if not proxy.bound]
        # Empty tables would take away the last lines a proxy has, and full ones the room for withdrawals.
        if not waiting or self._due(now, self.gather):
            return
        soon = self._due(now, -1)
        binding = any(b.shut or (b.ready and self._warmth(b, now) < 1) for b in self.backends.values())
        lines = {number for b in self._up() if not b.shut for number, line in b.lines.items() if line}
        for proxy in sorted(waiting, key=lambda p: (p.held <= lines, not p.standing, -p.usual, p.id)):
            tables = [table for table in self.tables if table.serves(proxy)]
            if not {table.number for table in tables} <= lines:
                continue
            known = [(t, b) for t in tables for b in self.backends.values() if t.takes(b)]
            cost = sum((b.lines[t.number] > 0) + (b.shut > 0) for t, b in known)
            cost += sum(1 + len(table.groups) for table in tables)
            if soon and len(waiting) * cost > self.pace * self.grace / 2 / SECOND:
                return  # what was withdrawn is said again first, or full tables would hold it back
            # A standing table may hold what drains or is cold, and those rules bind from the join on.
            hurry = (binding and now - proxy.joined > self.gather) or not proxy.held <= lines
            if self._room(HURRY_SHARE if hurry else CALM_SHARE, [proxy]) < cost:
                return
            # The channel is kept busy, not full: a withdrawal told next must still fit into the grace.
            # What costs less than counted shows in the answers.
            if min(self._free_at(now) - now, self._waiting() * SECOND / self.pace) > self.grace / AHEAD:
                return
            proxy.bound, proxy.held = True, {table.number for table in tables}
            self._spend(cost, [proxy])
            for table in tables:
                named = () if len(table.groups) == len(self.budgets) else tuple(table.groups)
                yield TableAssignment(proxy.id, table.number, named)

    def _take_turn(self, now: int) -> Iterator[Decision]:
        self._judge(now)
        self._crowd(now)
        self.dark = self._dark()
        self.peak = max(self.peak, sum(b.weight for b in self._up()))
        usual = self._usual()
        self.unit = max(self.unit, usual / self.peak if self.peak else 0.0)
        self.pulls = self._pulls()
        self._foresee(now)
        self._ease(now)
        self._press(now)
        self._set_levels(now)
        if self._due(now, self.gather):
            return  # levels and weights must not fill the channel that withdrawals wait for
        if self.throttle is not AdmissionMode.DISABLED:
            yield from self._admit()
        bound = [proxy for proxy in self.proxies.values() if proxy.bound]
        users = {table.number: self._users(table) for table in self.tables}
        room = self._room(TURN_SHARE, bound) * len(bound)
        # Many small messages would be mostly heads, and a slow channel must keep room for what cannot wait;
        # but one that reached nobody is never answered.
        last = max(self.sent, self.answered)
        if self._waiting() > TURN_SHARE * self.limit / 4 and now < last + 2 * self.transit + SECOND:
            return
        chosen: dict[int, list[tuple[str, float]]] = {}
        # Where all that is ready has returned, waiting until all are bound would leave them bare for good.
        usable = [backend for backend in self._up() if not backend.shut]
        served = all(any(t.takes(b) and b.lines[t.number] for b in usable) for t in self.tables)
        for backend, lines in self._changes(now, served and len(bound) < len(self.proxies)):
            back = backend.shut and backend.ready
            room -= sum(len(users[number]) for number in lines) * (1 + (back > 0))
            if room < 0:
                break
            for number, weight in lines.items():
                self._spend(1 + (back > 0), users[number])
                backend.lines[number] = weight
                backend.versions[number] = self.turn + 1
                backend.forget(now + self.transit)
                chosen.setdefault(number, []).append((backend.id, weight))
            if back:
                backend.shut = 0
                yield Withdrawal(backend.id, False)
        for number, sent in chosen.items():
            self.turned = now
            yield TableChange(number, tuple(sent))

    def _pulls(self) -> dict[int, float]:
        pulls = {}
        for table in self.tables:
            held = sum(b.lines[table.number] for b in self._up() if not b.shut)
            users = [proxy for proxy in self.proxies.values() if table.serves(proxy)]
            flows = sum(proxy.rates[g] * self.levels[g] for proxy in users for g in table.groups)
            pulls[table.number] = flows / held if held else 0.0
            # Levels may rise before the next turn: cold backends must bear what comes then.
            self.flows[table.number] = sum(
                proxy.rates[g] * min(1.0, 1.5 * self.levels[g]) for proxy in users for g in table.groups
            )
        return pulls

    def _changes(self, now: int, unbound: bool) -> list[tuple[Backend, dict[int, float]]]:
        """Lines that should be other than they are, those first that move the most flows."""
        found: list[tuple[float, Backend, dict[int, float]]] = []
        for backend in self.backends.values():
            back = backend.shut and backend.ready
            lines: dict[int, float] = {}
            for table in self._taking(backend):
                weight = self._weight(backend, now, table)
                sent = backend.lines[table.number]
                if self._warmth(backend, now) < 1:
                    weight = min(weight, sent + backend.weight / RAMP_STEPS)
                if back:
                    lines[table.number] = weight
                elif _differ(weight, sent):
                    moved = abs(weight - sent) * (self.pulls[table.number] or NO_LIMIT) * backend.ready
                    found.append((moved, backend, {table.number: weight}))
            # Its line comes with the end of the shut-out, so no standing table may hold it unramped.
            if any(lines.values()) and not unbound:
                found.append((NO_LIMIT, backend, lines))
        return [(backend, lines) for _, backend, lines in sorted(found, key=lambda change: -change[0])]

    def _ration(self, now: int, sound: float, served: float) -> None:
        asked = sum(sum(proxy.rates) for proxy in self.proxies.values())
        self.best = max(0.995 * self.best, served)
        if self.told:
            return
        if sound > OVERLOADED and self.late > OVERLOADED / 2 and now >= self.rationed:
            self._cut(min(asked, max(self.best, self._usual())))
            self.rationed = now + self.patience
        elif self.late < OVERLOADED / 2 and self.target:
            self.target *= 1.2

    def _press(self, now: int) -> None:
        """Where probes tell how long answers take, levels follow them: in a burst, sums come too late."""
        told = sorted(self._late(b.takes) for b in self._up() if b.takes)
        self.told = 2 * len(told) > len(self._up())
        if not self.told:
            return
        # Not the mean: a few slow backends are no reason to refuse flows that the others could serve. Where
        # queues are short, what is turned away shows in the sums alone.
        self.late = max(told[len(told) // 2], self.slow if self.failed > CROWDED else 0.0)
        if now < self.rationed:
            return
        self.rationed = now + SECOND
        if self.late > OVERLOADED / 4:
            self._cut(max(self.best, self._usual()))
        else:
            self.target *= 2

    def _usual(self) -> float:
        return sum(proxy.usual for proxy in self.proxies.values())

    def _cut(self, base: float) -> None:
        # What comes is told late, so a further cut mostly answers to what the one before has mended.
        self.target = max(0.7 * base, 0.8 * (self.target or base))

    def _set_levels(self, now: int) -> None:
        asked = [sum(p.rates[group] for p in self.proxies.values()) for group in range(len(self.levels))]
        # Where no warm backends are left to spare the cold ones, or all answer late, the level has to give.
        if self.spare < 1 - OVERLOADED:
            self.target = min(self.target or math.inf, self.spare * self.let_in * sum(asked))
        if self.late > OVERLOADED / 2 and 0 < self.able < sum(asked):
            # Some lateness may be a few backends' own, and what can be done is a guess: only a little less.
            least = SLIGHT * self._usual() if self.late < OVERLOADED else 0.0
            self.target = min(self.target or math.inf, max(self.able, least))
        if self.target >= sum(asked):
            self.target = 0.0
        self.let_in = self.target / sum(asked) if self.target else 1.0
        left = self.let_in * sum(asked)
        for group in sorted(range(len(asked)), key=lambda group: (-self.budgets[group][0], group)):
            # More than its own backends can do would only shut out what others could have served.
            own = sum(t.able for t in self.tables if group in t.groups) or left
            most = min(left, own if own < 0.99 * self.able else left)
            level = min(1.0, most / asked[group]) if asked[group] > 0 else 1.0
            self.levels[group] = max(LEAST_LEVEL, level) if self.let_in < 1 else 1.0
            left = max(0.0, left - level * asked[group])

    def _admission(self, group: int) -> float:
        level = self.levels[group]
        if self.throttle is AdmissionMode.FRACTION or self.let_in >= 1:
            return level if self.throttle is AdmissionMode.FRACTION else NO_LIMIT
        # A group let in whole is held to what is known of it, as a burst is told seconds late.
        rates = sorted(SWELL * proxy.rates[group] for proxy in self.proxies.values())
        left = level * sum(rates) / SWELL
        for place, rate in enumerate(rates):
            if rate * (len(rates) - place) >= left:
                return left / (len(rates) - place)
            left -= rate
        return NO_LIMIT

    def _split(self, now: int, parts: list[int], crowded: bool) -> None:
        """Deals proxies and backends out to cells with narrow tables of their own, by what comes to each."""
        cells = self.cells = max(parts)
        self.split, self.crowded, first = now, crowded, self.tables[-1].number + 1
        laid = [(t, cell, of) for t, of in zip(self.plan, parts, strict=True) for cell in range(of)]
        self.tables = [Table(first + n, t, t.zones, t.home, t.groups, *x) for n, (t, *x) in enumerate(laid)]
        coming, held = [0.0] * cells, [0.0] * cells
        for proxy in sorted(self.proxies.values(), key=lambda p: (-sum(p.rates), p.id)):
            proxy.bound, proxy.cell = False, coming.index(min(coming))
            coming[proxy.cell] += sum(proxy.rates)
        # Warm ones that may serve all groups first: a cell without one leaves its proxies bare.
        wide = {b.id: sum(t.zones is None or b.zone in t.zones for t in self.plan) for b in self._up()}
        order = [(self._warmth(b, now) < 1, -wide[b.id], b.zone, b.kind, b.id) for b in self._up()]
        for backend in (self.backends[key[-1]] for key in sorted(order)):
            backend.cell = max(range(cells), key=lambda c: (held[c] == 0, (coming[c] or 1) / (held[c] + 1)))
            held[backend.cell] += backend.weight

    def _emptiest(self, entry: Endpoint) -> int:
        """The cell for a newcomer. All need some of each zone, as whole ones are lost, and of each kind."""
        held = [(0, 0, 0)] * self.cells
        for b in self._up() if self.cells > 1 else ():
            zone, kind, all_ = held[cell := b.cell % self.cells]  # it may date from when cells were more
            held[cell] = (zone + (b.zone == entry.zone), kind + (b.kind == entry.kind), all_ + 1)
        return held.index(min(held))

    def _crowd(self, now: int) -> None:
        """Lays narrow tables: as many as the channel asks for, more where backends accept few connections."""
        up = self._up()
        ready = {t: [b for b in up if t.zones is None or b.zone in t.zones] for t in self.plan}
        parts = [max(1, round(len(of) / self.width)) for of in ready.values()]
        left = max((b.out_at or 0 for b in self.backends.values()), default=0)
        # A cell may lose all its backends where they come and go, while another one has some to spare.
        held = [[self._warmth(b, now) for b in ready[t.plan] if t.takes(b)] for t in self.tables]
        bare = any(not own and len(ready[t.plan]) >= t.of for t, own in zip(self.tables, held, strict=True))
        cold = any(1 not in own for own in held) or left > self.split or now > self.split + CELLS_LAST
        grown = max(parts) >= 2 * self.cells or (bare and now > self.split + self.grace)
        if cold if self.crowded else grown:
            self._split(now, parts, False)
        quiet = max(self.split + 2 * self.patience, left + self.cold_time)
        if self.failed > CROWDED and self.slow < OVERLOADED and now > quiet and not self.crowded:
            # Connections are few, and each split costs all tables again: one backend a cell at once.
            # But each cell needs a warm one for each table.
            warm = (sum(self._warmth(b, now) == 1 for b in of) for of in ready.values())
            if (cells := min(len(self.proxies), *warm)) > self.cells:
                self._split(now, [cells] * len(self.plan), True)

    def _dark(self) -> set[int]:
        """Zones of which no backend answers while another zone's do: a cut, not a fault of each of them."""
        up = self._up()
        silent = {zone: [b.silent for b in up if b.zone == zone] for zone in {b.zone for b in up}}
        lit = any(2 * sum(seen) < len(seen) for seen in silent.values())
        return {zone for zone, seen in silent.items() if lit and len(seen) > 1 and all(seen)}

    def _foresee(self, now: int) -> None:
        """Finds who would be too busy at full weight, by what its flows were seen to cost it and its kind."""
        up = self._up()
        kinds = {kind: [b for b in up if b.kind == kind] for kind in {b.kind for b in up}}
        rates = {k: sum(b.load for b in of) / (sum(b.held for b in of) or 1.0) for k, of in kinds.items()}
        prior = PRIOR * sum(b.drawn(self.pulls) for b in up) / max(1, len(up))
        # Machines of a kind differ in speed, and sums tell it late: the slower half of each gets less.
        for alike in kinds.values():
            told = sorted(b.long for b in alike if b.long)
            for backend in (b for b in alike if b.long):
                # In a cell of one backend its part says nothing, and only costs lines.
                quick = 1.0 if self.crowded else max(LEAST_QUICK, told[len(told) // 2] / backend.long)
                quick = min(1.0, quick)
                # A line costs a head at every proxy, and one word is mostly noise.
                if abs(quick - backend.quick) > UNSTEADY * backend.quick:
                    backend.quick = quick
        rate: dict[str, float] = {}
        able: dict[str, float] = {}
        for backend in up if prior else ():
            cost = rate[backend.id] = (backend.load + prior * rates[backend.kind]) / (backend.held + prior)
            able[backend.id] = COMFORT / cost if cost else self.bearable * self.unit * backend.weight
            able[backend.id] *= backend.trust * self._warmth(backend, now)
        self.able = sum(able.values())
        mean = sum(rate.get(b.id, 0.0) * b.drawn(self.pulls) for b in up) / max(1, len(up))
        room = {backend.id: max(NEARLY_FULL, mean) for backend in up}
        # The groups with the fewest backends come first; what they leave is for those that may go elsewhere.
        for table in sorted(self.tables, key=lambda table: sum(table.takes(b) for b in up)):
            table.able = sum(able.get(b.id, 0.0) for b in up if table.takes(b))
            for backend in (b for b in up if table.takes(b)):
                cost = rate.get(backend.id, 0.0) * self.pulls[table.number]
                part = room[backend.id] / cost / backend.weight if cost else 1.0
                backend.fits[table.number] = min(1.0, max(LEAST_TRUST, part))
                room[backend.id] -= cost * backend.lines[table.number]
            # Parts are relative: where all of a table are too busy, less for each is the same.
            table.top = max((b.fits[table.number] for b in up if table.takes(b)), default=1.0)

    def _ease(self, now: int) -> None:
        """Keeps what all tables bring to a cold backend under what it bears, however few are warm."""
        coming = sum(self.flows[table.number] for table in self.tables)
        strain = max(1.0, self.attempts / coming if coming else 1.0) / max(0.2, 1 - self.shunned)
        self.spare = 1.0
        cold = [(b, self._warmth(b, now)) for b in self._up() if self._warmth(b, now) < 1]
        # Where proxies avoid failing backends those without a record get all, sooner where more is asked.
        usual = self.unit * sum(b.weight * self._warmth(b, now) for b in self._up())
        most = SOUND_EXCESS / 2 if coming > usual else SOUND_EXCESS
        wait = self.avoids and self.shunned > most and 2 * len(cold) < len(self._up())
        for backend in self._up():
            backend.part = 0.0 if wait and self._warmth(backend, now) < 1 else 1.0
        # Where next to nothing fails nobody is avoided, and a fleet that grows needs its cold ones.
        bearable = self.half / (1 + self.haste * min(1.0, self.shunned / RATTLED))
        for again in range(8 if cold else 0):
            shares, self.spare = {}, 1.0
            for table in self.tables:
                total = sum(self._weight(b, now, table) for b in self._up() if table.takes(b))
                shares[table.number] = self.flows[table.number] * strain / total if total else 0.0
            for backend, warmth in cold:
                brought = sum(shares[t.number] * self._weight(backend, now, t) for t in self._taking(backend))
                bears = bearable * self.unit * backend.weight * backend.trust * warmth
                backend.asked = backend.asked if again else brought / bears if bears else 0.0
                bears *= backend.share
                if brought > bears:
                    self.spare = min(self.spare, bears / brought)
                    backend.part *= bears / brought

    def _admit(self) -> Iterator[Decision]:
        # In rates, a group let in whole has a bound while levels hold; as a share it has none.
        most = 0.99 if self.let_in < 1 and self.throttle is AdmissionMode.RATE else 1.0
        for table in self.tables:
            users = self._users(table)
            for group in table.groups:
                wanted = round(min(self.levels[group], most), 2)
                gate = table.gates.get(group, 1.0)  # a small change is not worth a head at every proxy
                if wanted != gate and (max(wanted, gate) >= 1 or _differ(wanted, gate)):
                    if self._room(TURN_SHARE, users) < 1:
                        return
                    table.gates[group] = wanted
                    self._spend(1, users)
                    yield AdmissionLevel(table.number, (group,), self._admission(group), self.tries[group])

    def _users(self, table: Table) -> list[Proxy]:
        return [proxy for proxy in self.proxies.values() if proxy.bound and table.serves(proxy)]

    def _up(self) -> list[Backend]:
        return [backend for backend in self.backends.values() if backend.ready]

    def _pending(self, backend: Backend, now: int) -> bool:
        taking = self._taking(backend)
        return all(_differ(self._weight(backend, now, t), backend.lines[t.number]) for t in taking)

    def _taking(self, backend: Backend) -> list[Table]:
        return [table for table in self.tables if table.takes(backend)]

    def _weight(self, backend: Backend, now: int, table: Table) -> float:
        if not backend.ready:
            return 0.0
        warmth = self._warmth(backend, now)
        if warmth < 1:
            steps = math.floor(warmth * RAMP_STEPS) if now - backend.started >= SECOND else 1
            warmth = max(1, steps) / RAMP_STEPS
        reach = TRICKLE if backend.unreached >= UNREACHED or backend.zone in self.dark else 1.0
        fit = min(backend.trust, backend.fits.get(table.number, 1.0) / table.top)
        return backend.weight * warmth * backend.part * fit * reach * backend.quick

    def _warmth(self, backend: Backend, now: int) -> float:
        age = max(0, now - backend.started) if backend.started else self.cold_time
        return min(1.0, self.cold_share + (1 - self.cold_share) * age / self.cold_time)

    def _late(self, mean: float) -> float:
        whole = sum(utility for utility, _ in self.budgets)
        return sum(u * math.exp(-budget / mean) for u, budget in self.budgets) / whole if mean > 0 else 0.0

    def _loss(self, met: Record) -> float:
        return (met.bad + (met.tries - met.bad) * self._late(met.mean)) / met.tries

    def _step(self, backend: Backend, met: Record, usual: float, now: int) -> None:
        """Moves a backend's part towards equal loss; the first step down needs more than chance explains."""
        if met.tries < NEED_TRIES * max(backend.trust, 0.3):
            return
        gap, sure = self._loss(met) - usual, met.tries / (met.tries + NEED_TRIES)
        if backend.trust == 1 and gap <= SOUND_EXCESS + 0.5 / math.sqrt(met.tries):
            return
        backend.judged = now
        if gap > 0:
            backend.trust = max(LEAST_TRUST, backend.trust * max(0.2, 1 - sure * gap))
        else:
            backend.trust = min(1.0, backend.trust * (1 + sure * max(RETURN, -gap)))

    def _judge(self, now: int) -> None:
        if now < self.reckoned + self.reckon_gap:
            return
        met, self.met = self.met, Record()
        self.attempts = (self.attempts + met.tries * SECOND / (now - self.reckoned)) / 2
        self.failed = met.bad / met.tries if met.tries else 0.0
        self.shunned = max(self.failed, 0.9 * self.shunned)  # proxies avoid what failed for some time yet
        self.slow = self._late(met.mean)
        self.late = self.late if self.told else self.slow
        served = self.attempts * (1 - self.failed)
        self.reckoned = now
        up = self._up()
        heard = [b for b in up if b.recent.tries >= NEED_TRIES]
        if 2 * len(heard) <= len(up):
            return
        losses = sorted(self._loss(b.recent) for b in heard)
        # Steps aim at equal loss; measured against the best, a few would carry ever more and all step down.
        usual = sum(self._loss(b.recent) * b.recent.tries for b in heard) / sum(b.recent.tries for b in heard)
        sound = losses[len(losses) // 4]
        self._ration(now, sound, served)
        for backend in up:
            met = backend.since
            if backend.zone in self.dark:
                backend.forget(now)
                continue
            # A step not yet sent cannot have helped, and must not be followed by another.
            if now >= backend.judged + self.patience and not self._pending(backend, now):
                self._step(backend, met, usual, now)
            met.fade()
            backend.recent.fade()


def _differ(weight: float, line: float) -> bool:
    return abs(weight - line) > WORTH_A_LINE * max(weight, line)


def _further_tries(group: TrafficGroup, start: Deployment) -> int:
    if group.retry_safety is not RetrySafety.IDEMPOTENT and start.safety.rejection_may_have_effect:
        return 0  # a refused flow may have run, so no second try of it is surely the first
    return (
        start.default_retry_mode if group.retry_safety is RetrySafety.IDEMPOTENT else min(1, start.default_retry_mode)
    )


def _lay_out(start: Deployment) -> list[Table]:
    tables: dict[tuple[frozenset[int] | None, int | None], Table] = {}
    for place, group in enumerate(start.groups):
        for home in range(start.zone_count) if group.home_zone_only else (None,):
            zones = (
                group.allowed_zones
                if home is None
                else frozenset((home,)) & (group.allowed_zones or frozenset((home,)))
            )
            key = (zones, home)
            tables.setdefault(key, Table(len(tables), None, zones, home, [])).groups.append(place)
    return list(tables.values())
