"""One controller's whole state and every step it takes, with no I/O: the module's host.

What is heard comes in by method; `act` lets the module decide and returns what the daemon must carry out. Times are
the module's (tenths of a millisecond). Each step is the same for the same inputs, live or replayed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from onyxhead.controller.channel import Channel, Overfull, Sent
from onyxhead.controller.door import Door
from onyxhead.controller.roster import Followed
from onyxhead.controller.sums import Gate, Gathered, Report
from onyxhead.fleet.slow_start_budget import BudgetGrant, Incarnation, IncarnationLoad, SlowStartBudget
from onyxhead.intake.load_estimator import LoadEstimator
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.decisions import (
    AcknowledgementRequest,
    Decision,
    HealthCheckRequest,
    LogMessage,
    SubscribeToEndpoints,
    WakeUp,
)
from onyxhead.policy.inputs import Deployment, Endpoint, HealthCheckResult, LoadReport, WatchEvent
from onyxhead.tables.canary import Canary, Verdict, select_canary_proxies
from onyxhead.tables.errors import RollbackRejectedError, UnknownVersionError
from onyxhead.tables.history import History, LineKey, Version
from onyxhead.tables.rollback import CurrentEndpoints, PinnedVersion, RollbackPlan, plan_rollback
from onyxhead.tables.table_state import Freeze, TableState
from onyxhead.tables.updates import ProxyUpdate
from onyxhead.tables.view import View

MOST_PROXIES = 65_535
SETTLE_SHARE = 0.45
"""Of the queue limit, for lines of held or released tables; as much as the module gives its own turns."""
CAUSES = 12
"""So many causes are told with an order; more say no more."""


class Joining(NamedTuple):
    """A proxy that asks to join, and what it holds. `usual` in flows a second."""

    name: str
    zone: str
    usual: float
    standing: bool
    held: View


class Cut(NamedTuple):
    """A stream to give up, and why."""

    proxy: int
    name: str
    why: str


class Step(NamedTuple):
    """One pull of the module that sent something: its turn, what it decided, and what had been heard before."""

    turn: int
    decisions: list[Decision]
    causes: list[str]


@dataclass
class Work:
    """What there is to carry out."""

    steps: list[Step] = field(default_factory=list)
    leaving: list[Sent[ProxyUpdate]] = field(default_factory=list)
    probes: list[tuple[str, str]] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    remarks: list[str] = field(default_factory=list)
    subscribe: bool = False


class Joined(NamedTuple):
    name: str
    zone: int
    since: int


class House:
    """`numbers` are the proxies' numbers of earlier lives, so that a proxy keeps its own."""

    def __init__(
        self,
        start: Deployment,
        groups: tuple[str, ...],
        zones: tuple[str, ...],
        seed: int,
        epoch: int,
        patience: int,
        now: int,
        numbers: dict[str, int] | None = None,
        history: History | None = None,
    ) -> None:
        self.start, self.groups, self.zones, self.epoch = start, groups, zones, epoch
        self.brain = BalancingPolicy(start, seed, now)
        self.books = TableState(groups, start.admission_mode, start.channel.message_overhead)
        self.channel: Channel[ProxyUpdate] = Channel(start.channel, patience)
        self.door, self.gate, self.gathered = Door(), Gate(), Gathered()
        self.numbers = dict(numbers or {})
        self.joined: dict[int, Joined] = {}
        self.applied: dict[int, tuple[int, str]] = {}
        self.by_address: dict[str, str] = {}
        self.listed: dict[str, Endpoint] = {}
        self.causes: list[str] = []
        self.work = Work()
        self.wake_at = self.tell_at = now
        self.counts: Counter[str] = Counter()
        self.history = history or History()
        self.fresh_versions: list[tuple[Version, dict[LineKey, int]]] = []
        self.last_sent: dict[LineKey, int] = {}
        self.unsettled, self.at, self.seen_revision = False, now, 0
        # Proxies of earlier lives hold other tables; a version begins from what this life has sent.
        if self.history.latest.lines:
            gone = dict.fromkeys(self.history.latest.lines, 0)
            if (version := self.history.append(epoch, now, "restart", gone)) is not None:
                self.fresh_versions.append((version, gone))
        self.pin: PinnedVersion | None = None
        self.canary: Canary | None = None
        self.load_estimator = LoadEstimator()
        self.group_numbers = {name: place for place, name in enumerate(groups)}

    # What is heard

    def list_heard(self, now: int, news: Followed) -> None:
        for backend, place in news.places.items():
            known = self.books.addresses.get(backend)
            # Lines name the address they were sent with: another one is another process, to be let in anew.
            if known is not None and known.address != place.address and backend in self.listed:
                gone = self.listed[backend]._replace(ready=False, draining=False)
                self.brain.on_endpoint_update(now, WatchEvent.DELTA, [gone])
                self._cause(f"backend {backend} moved from {known.address} to {place.address}")
                self._decide(now)
            self.books.addresses[backend] = place
            self.by_address[place.address] = backend
        self.listed |= {entry.backend: entry for entry in news.listed}
        serving = [entry for entry in self.listed.values() if entry.ready or entry.draining]
        self.load_estimator.on_endpoint_list({entry.backend: str(entry.kind) for entry in serving})
        self.brain.on_endpoint_update(now, news.kind, news.listed)
        self._cause(f"list: {len(news.listed)} {'entries' if news.kind is WatchEvent.SNAPSHOT else 'changes'}")

    def list_refused(self, now: int) -> None:
        self.brain.on_endpoint_update(now, WatchEvent.REJECTED, [])
        self._cause("discovery refused")

    def withdrawn_before(self, now: int, backends: Iterable[str]) -> None:
        """Backends that an earlier life had withdrawn and the list no longer names: proxies may still hold them."""
        gone = [Endpoint(b, 0, 0, False, False, 1.0, 0) for b in backends if b not in self.listed]
        if gone:
            self.listed |= {entry.backend: entry for entry in gone}
            self.brain.on_endpoint_update(now, WatchEvent.DELTA, gone)

    def number(self, name: str) -> int:
        """The proxy's number. Raises OverflowError when there are none left."""
        if name not in self.numbers:
            free = max(self.numbers.values(), default=-1) + 1
            if free >= MOST_PROXIES:
                raise OverflowError(f"{MOST_PROXIES} proxies are known already")
            self.numbers[name] = free
        return self.numbers[name]

    def joins(self, now: int, who: Joining) -> int:
        """The proxy's stream stands; an earlier one of the same name is over. Returns its number."""
        number = self.number(who.name)
        if number in self.joined:
            self.left(now, number)
        self.work.cuts = [cut for cut in self.work.cuts if cut.proxy != number]
        zone = self.zones.index(who.zone)
        self.joined[number] = Joined(who.name, zone, now)
        self.channel.join(number)
        self.books.join(number, who.held)
        self.brain.on_proxy_joined(now, number, zone, who.usual, who.standing)
        self.counts["joins"] += 1
        self._cause(f"{who.name} joined")
        return number

    def left(self, now: int, proxy: int, why: str = "") -> None:
        """The proxy's stream is over; what waits for it is lost."""
        if (known := self.joined.pop(proxy, None)) is None:
            return
        self.channel.leave(proxy)
        self.books.leave(proxy)
        self.applied.pop(proxy, None)
        self.brain.on_proxy_left(now, proxy)
        self.counts["breaks"] += 1
        self.load_estimator.on_proxy_left(known.name)
        self._cause(f"{known.name} left{': ' + why if why else ''}")

    def answered(self, now: int, proxy: int, message: ProxyUpdate, tag: str, ordered: int) -> None:
        """The proxy says that it applied a message and holds the view with this tag."""
        if proxy not in self.joined:
            return
        if tag != message.result.etag:
            self.fault(now, proxy, "it holds another view than it was sent")
            return
        if not message.round_number:
            return
        self.applied[proxy] = (message.round_number, tag)
        self.brain.on_acknowledgement(now, proxy, message.round_number, now - ordered)
        self._cause(f"{self.joined[proxy].name} applied {message.round_number}")

    def fault(self, now: int, proxy: int, why: str) -> None:
        """The proxy's side broke what was agreed; its stream is given up, and its next join may have to wait."""
        if (known := self.joined.get(proxy)) is None:
            return
        self.door.fault(now, known.name)
        self.counts["faults"] += 1
        self._cut(now, proxy, why)

    def summed(self, now: int, name: str, boot: str, number: int, report: Report) -> bool:
        """One proxy's sums; False if they were heard before or the proxy is not joined here."""
        proxy = self.numbers.get(name)
        if proxy is None or proxy not in self.joined:
            self.counts["sums of strangers"] += 1
            return False
        if not self.gate.fresh(name, boot, number):
            self.counts["sums repeated"] += 1
            return False
        zone = self.joined[proxy].zone
        self.gathered.add(zone, proxy, report, self.by_address, self.group_numbers)
        # What was counted before the trial's lines were in force says nothing about them.
        if self.canary is not None and now - self.canary.started_at > 2 * self.start.report_interval:
            met = report.met.values()
            self.canary.record(name, sum(each.tries for each in met), sum(each.bad for each in met))
        return True

    def probed(self, now: int, backend: str, sight: HealthCheckResult, load: LoadReport) -> None:
        self.brain.on_health_check(now, backend, sight, load)

    def shared(self, now: int, budget: SlowStartBudget) -> list[BudgetGrant]:
        """Rule 4's budget among controllers: tells it what is cold here, lends, and tells the module its shares. Raises
        what `budget.keep` does; the module's shares are then as they were."""
        found = self.brain.warming_backends(now)
        budget.on_loads(
            {Incarnation(name, started): IncarnationLoad(usual, asked) for name, started, usual, asked in found}
        )
        made = budget.grant()
        for name, started, _, _ in found:
            self.brain.on_budget_share(now, name, budget.share(Incarnation(name, started)))
        return made

    # What is decided

    def act(self, now: int) -> Work:
        """One step: sums that are due are told, the module decides, messages whose time has come leave."""
        if now >= self.tell_at:
            self.tell_at = now + self.start.report_interval
            met, flows = self.gathered.tell()
            for zone, backend, own, load in met:
                mean = round(own.time / (own.tries - own.bad)) if own.tries > own.bad else 0
                span = own.span or self.start.report_interval
                self.load_estimator.on_attempts(now, backend, own.tries, own.bad, mean / 10, span, span // 2)
                # A word that agrees with what proxies met, and is young, tells more than the last answer's header.
                if (busy := self.load_estimator.utilization(now, backend)) is not None:
                    load = load._replace(utilization=busy)
                if (latency := self.load_estimator.response_time(now, backend)) is not None:
                    load = load._replace(latency=latency)
                self.brain.on_attempt_statistics(now, backend, zone, own.tries, own.bad, mean, span, load)
            for proxy, group, came, span in flows:
                if span > 0 and proxy in self.joined:
                    self.load_estimator.on_demand(
                        now, self.joined[proxy].name, self.groups[group], came * 10_000 / span
                    )
                self.brain.on_request_rate(now, proxy, group, came, span)
        self._decide(now)
        if self.pin is not None and now >= self.pin.until:
            self.release(now, "its time is over")
        self._settle(now)
        for proxy in self.channel.stuck(now):
            self.fault(now, proxy, "it takes nothing")
        self.work.leaving = self.channel.leave_now(now)
        work, self.work = self.work, Work()
        return work

    def next_at(self) -> int:
        """When to act again if nothing is heard before."""
        at = self.channel.next_at()
        return min(self.wake_at, self.tell_at, at if at is not None else self.wake_at)

    def _decide(self, now: int) -> None:
        decisions, turn, work = list(self.brain.decisions(now)), 0, self.work
        for decision in decisions:
            match decision:
                case AcknowledgementRequest(marked, _):
                    turn = marked
                case HealthCheckRequest(backend) if backend in self.books.addresses:
                    work.probes.append((backend, self.books.addresses[backend].address))
                case WakeUp(after):
                    self.wake_at = now + after
                case SubscribeToEndpoints():
                    work.subscribe = True
                case LogMessage(text):
                    work.remarks.append(text)
        # Also with no one to tell: lines decided while no proxy is joined are what the first to join must get.
        reached = set()
        for message in self.books.apply_decisions(turn, decisions):
            reached.add(message.proxy)
            self._send(now, message)
        # While tables are held some get no message; the module must not wait for answers that can't come.
        for proxy in [proxy for proxy in self.brain.round_recipients if turn and proxy not in reached]:
            self.brain.on_acknowledgement(now, proxy, turn, 0)
        self._remember(now, ", ".join(self.causes) or "time")
        if turn:
            work.steps.append(Step(turn, decisions, self.causes))
            self.causes = []

    # Versions, and the way back

    def _remember(self, now: int, cause: str) -> None:
        if self.books.revision == self.seen_revision:
            return
        self.seen_revision, sent = self.books.revision, self.books.sent_lines()
        keys = {*sent, *self.last_sent}
        changes = {key: sent.get(key, 0) for key in keys if sent.get(key, 0) != self.last_sent.get(key, 0)}
        self.last_sent = sent
        if (version := self.history.append(self.epoch, now, cause, changes)) is not None:
            self.fresh_versions.append((version, changes))

    def truth(self, now: int) -> CurrentEndpoints:
        """Backends that are ready, and since when each is warm."""
        cold = self.start.safety.warmup_time
        found: dict[str, int | None] = {}
        for name, entry in self.listed.items():
            if entry.ready:
                warm = entry.started_at + cold if entry.started_at else 0
                found[name] = (entry.started_at if warm <= now else None) if entry.started_at else 0
        return CurrentEndpoints(found)

    def preview(self, now: int, name: str) -> tuple[RollbackPlan, float]:
        """What going back would do, and the seconds that the channel takes.

        Raises RollbackRejectedError, UnknownVersionError."""
        back = plan_rollback(self.history.find(name), self.books.desired, self.books.sent_lines(), self.truth(now))
        users = max((len(users) for users in self.books.proxies_by_table.values()), default=0)
        return back, users * (
            back.changed_lines + self.books.message_overhead + 1
        ) / self.start.channel.lines_per_second

    def roll_back(self, now: int, name: str, seconds: float) -> tuple[RollbackPlan, float]:
        """Holds the tables as in a version for so long; returns what `preview` does. Withdrawals and levels go on.
        Raises RollbackRejectedError, UnknownVersionError."""
        back, took = self.preview(now, name)
        self._pin(PinnedVersion(self.history.find(name), now + round(seconds * 10_000)))
        self._cause(f"rolled back to version {back.version}")
        return back, took

    def freeze(self, now: int, seconds: float) -> int:
        """Holds the tables as they are now, for so long. Returns the version that they are in."""
        version = self.history.latest._replace(created_at=now)
        self._pin(PinnedVersion(version, now + round(seconds * 10_000)))
        self._cause(f"held as in version {version.number}")
        return version.number

    def _pin(self, pin: PinnedVersion) -> None:
        self.pin, self.books.main.freeze, self.unsettled = pin, self._hold(pin), True

    def _hold(self, pin: PinnedVersion) -> Freeze:
        return lambda wanted: pin.target(wanted, self.truth(self.at))

    def release(self, now: int, why: str) -> bool:
        """Follows the module again; its lines are sent as the channel has room. False if nothing was held."""
        held, self.pin, self.books.main.freeze = self.pin is not None, None, None
        if held:
            self._cause(f"released: {why}")
        return held

    def try_version(self, now: int, name: str, share: float, seconds: float) -> tuple[RollbackPlan, Canary]:
        """Holds a share of the proxies as in a version; worse than the others, it is taken back, else it is held for
        all when the time is over. Raises RollbackRejectedError, UnknownVersionError."""
        if self.canary is not None:
            raise RollbackRejectedError(f"version {self.canary.version} is on trial already")
        back, _ = self.preview(now, name)
        bound = {known.name: number for number, known in self.joined.items() if self.books.tables_of(number)}
        names = select_canary_proxies(bound, share)
        if not names:
            raise RollbackRejectedError("a trial needs two proxies at least")
        pin = PinnedVersion(self.history.find(name), now + round(seconds * 10_000))
        self.canary = canary = Canary(back.version, frozenset(names), now, pin.until)
        self.books.begin_canary(frozenset(bound[name] for name in names), self._hold(pin))
        self.unsettled = True
        self._cause(f"version {back.version} is tried on {len(names)} of {len(bound)} proxies")
        return back, canary

    def _judge_trial(self, now: int) -> None:
        if (canary := self.canary) is None:
            return
        verdict = canary.verdict()
        if verdict is not Verdict.WORSE and now < canary.ends_at:
            return
        self.canary = None
        self.books.end_canary()
        self.unsettled = True
        told = f"version {canary.version} on trial: {verdict.value}"
        own, others = canary.canary_counts, canary.baseline_counts
        told += f" ({own.failures}/{own.attempts} failed, elsewhere {others.failures}/{others.attempts})"
        if verdict is Verdict.NOT_WORSE:
            try:
                self.roll_back(now, str(canary.version), (canary.ends_at - canary.started_at) / 10_000)
                told += "; held for all"
            except (RollbackRejectedError, UnknownVersionError) as error:
                told += f"; not held for all: {error}"
        self.work.remarks.append(told)
        self._cause(told)

    def _settle(self, now: int) -> None:
        self.at = now
        self._judge_trial(now)
        if self.pin is None and self.canary is None and not self.unsettled:
            return
        room = SETTLE_SHARE * self.channel.limits.max_queued_lines - self.channel.waiting
        for message in self.books.reconcile(room):
            self._send(now, message)
        left = self.books.pending_changes()
        if self.canary is None and not any(own is self.books.canary for own, _, _ in left):
            # Those that were on trial hold what all others hold, and are like all others again.
            self.books.canary_proxies = frozenset()
        self.unsettled = self.pin is not None or bool(left) or bool(self.books.canary_proxies)
        self._remember(now, "held tables" if self.pin is not None else "released tables")

    def _send(self, now: int, message: ProxyUpdate) -> None:
        if message.proxy not in self.joined:
            return
        try:
            self.channel.offer(now, message.proxy, message, message.line_cost)
        except Overfull as error:
            # The module takes what it ordered as sent. Only a new join makes it think about this proxy anew.
            self.counts["refused by the limit"] += 1
            self._cut(now, message.proxy, f"the channel's limit: {error}")

    def _cut(self, now: int, proxy: int, why: str) -> None:
        self.work.cuts.append(Cut(proxy, self.joined[proxy].name, why))
        self.left(now, proxy, why)

    def _cause(self, text: str) -> None:
        if len(self.causes) < CAUSES:
            self.causes.append(text)

    # What operators see

    def state(self, now: int) -> dict[str, Any]:
        """All that is known, in plain values."""
        up = {e.backend: e for e in self.listed.values()}
        return {
            "epoch": self.epoch,
            "now": now,
            "channel": {
                "waiting": round(self.channel.waiting, 1),
                "most": self.channel.limits.max_queued_lines,
                "peak": round(self.channel.peak, 1),
            },
            "version": self.history.latest.number,
            "trial": self.canary.version if self.canary is not None else None,
            "held": self.pin.version.number if self.pin is not None else None,
            "counts": dict(sorted(self.counts.items())) | {"tries at unknown": self.gathered.unknown},
            "proxies": {
                known.name: {
                    "zone": self.zones[known.zone],
                    "joined_for_s": round((now - known.since) / 10_000, 1),
                    "bound": bool(self.books.tables_of(number)),
                    "turn": self.applied.get(number, (0, ""))[0],
                    "tag": self.applied.get(number, (0, ""))[1],
                }
                for number, known in sorted(self.joined.items())
            },
            "backends": {
                name: {
                    "address": place.address,
                    "zone": place.zone,
                    "ready": name in up and up[name].ready,
                    "draining": name in up and up[name].draining,
                    "withdrawn": name in self.books.withdrawn,
                    "lines": {str(table): lines[name] for table, lines in self.books.tables.items() if name in lines},
                }
                for name, place in sorted(self.books.addresses.items())
            },
        }
