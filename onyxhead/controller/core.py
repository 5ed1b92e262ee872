"""One controller's whole state and every step it takes, with no I/O: the module's host.

What is heard comes in by method; `act` lets the module decide and returns what the daemon must carry out. Times are
the module's (tenths of a millisecond). Each step is the same for the same inputs, live or replayed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from onyxhead.controller.delivery_queue import DeliveryQueue, QueuedMessage, QueueFullError
from onyxhead.controller.endpoint_list import EndpointUpdate
from onyxhead.controller.join_backoff import JoinBackoff
from onyxhead.controller.request_statistics import DuplicateFilter, RequestStatistics, StatisticsAggregator
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
from onyxhead.tables.table_set import Freeze
from onyxhead.tables.table_state import TableState
from onyxhead.tables.updates import ProxyUpdate
from onyxhead.tables.view import View

MOST_PROXIES = 65_535
SETTLE_SHARE = 0.45
"""Of the queue limit, for lines of held or released tables; as much as the module gives its own turns."""
CAUSES = 12
"""So many causes are told with an order; more say no more."""


class JoinRequest(NamedTuple):
    """A proxy that asks to join, and what it holds. `usual` in flows a second."""

    name: str
    zone: str
    baseline_rate: float
    has_standing_table: bool
    view: View


class Disconnect(NamedTuple):
    """A stream to give up, and why."""

    proxy: int
    name: str
    reason: str


class RoundResult(NamedTuple):
    """One pull of the module that sent something: its turn, what it decided, and what had been heard before."""

    round_number: int
    decisions: list[Decision]
    causes: list[str]


@dataclass
class Effects:
    """What there is to carry out."""

    rounds: list[RoundResult] = field(default_factory=list)
    deliveries: list[QueuedMessage[ProxyUpdate]] = field(default_factory=list)
    health_checks: list[tuple[str, str]] = field(default_factory=list)
    disconnects: list[Disconnect] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    subscribe: bool = False


class JoinedProxy(NamedTuple):
    name: str
    zone: int
    joined_at: int


class ControllerCore:
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
        self.deployment, self.groups, self.zones, self.epoch = start, groups, zones, epoch
        self.policy = BalancingPolicy(start, seed, now)
        self.proxy_tables = TableState(groups, start.admission_mode, start.channel.message_overhead)
        self.delivery_queue: DeliveryQueue[ProxyUpdate] = DeliveryQueue(start.channel, patience)
        self.join_backoff, self.duplicate_filter, self.statistics = (
            JoinBackoff(),
            DuplicateFilter(),
            StatisticsAggregator(),
        )
        self.numbers = dict(numbers or {})
        self.joined: dict[int, JoinedProxy] = {}
        self.applied: dict[int, tuple[int, str]] = {}
        self.backend_by_address: dict[str, str] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.causes: list[str] = []
        self.effects = Effects()
        self.wake_at = self.report_at = now
        self.counts: Counter[str] = Counter()
        self.history = history or History()
        self.new_versions: list[tuple[Version, dict[LineKey, int]]] = []
        self.last_sent: dict[LineKey, int] = {}
        self.unsettled, self.at, self.seen_revision = False, now, 0
        # Proxies of earlier lives hold other tables; a version begins from what this life has sent.
        if self.history.latest.lines:
            gone = dict.fromkeys(self.history.latest.lines, 0)
            if (version := self.history.append(epoch, now, "restart", gone)) is not None:
                self.new_versions.append((version, gone))
        self.pin: PinnedVersion | None = None
        self.canary: Canary | None = None
        self.load_estimator = LoadEstimator()
        self.group_numbers = {name: place for place, name in enumerate(groups)}

    # What is heard

    def on_endpoint_update(self, now: int, news: EndpointUpdate) -> None:
        for backend, place in news.addresses.items():
            known = self.proxy_tables.addresses.get(backend)
            # Lines name the address they were sent with: another one is another process, to be let in anew.
            if known is not None and known.address != place.address and backend in self.endpoints:
                gone = self.endpoints[backend]._replace(ready=False, draining=False)
                self.policy.on_endpoint_update(now, WatchEvent.DELTA, [gone])
                self._add_cause(f"backend {backend} moved from {known.address} to {place.address}")
                self._take_decisions(now)
            self.proxy_tables.addresses[backend] = place
            self.backend_by_address[place.address] = backend
        self.endpoints |= {entry.backend: entry for entry in news.endpoints}
        serving = [entry for entry in self.endpoints.values() if entry.ready or entry.draining]
        self.load_estimator.on_endpoint_list({entry.backend: str(entry.kind) for entry in serving})
        self.policy.on_endpoint_update(now, news.event, news.endpoints)
        self._add_cause(f"list: {len(news.endpoints)} {'entries' if news.event is WatchEvent.SNAPSHOT else 'changes'}")

    def on_subscription_rejected(self, now: int) -> None:
        self.policy.on_endpoint_update(now, WatchEvent.REJECTED, [])
        self._add_cause("discovery refused")

    def restore_withdrawals(self, now: int, backends: Iterable[str]) -> None:
        """Backends that an earlier life had withdrawn and the list no longer names: proxies may still hold them."""
        gone = [Endpoint(b, 0, 0, False, False, 1.0, 0) for b in backends if b not in self.endpoints]
        if gone:
            self.endpoints |= {entry.backend: entry for entry in gone}
            self.policy.on_endpoint_update(now, WatchEvent.DELTA, gone)

    def proxy_number(self, name: str) -> int:
        """The proxy's number. Raises OverflowError when there are none left."""
        if name not in self.numbers:
            free = max(self.numbers.values(), default=-1) + 1
            if free >= MOST_PROXIES:
                raise OverflowError(f"{MOST_PROXIES} proxies are known already")
            self.numbers[name] = free
        return self.numbers[name]

    def on_proxy_joined(self, now: int, who: JoinRequest) -> int:
        """The proxy's stream stands; an earlier one of the same name is over. Returns its number."""
        number = self.proxy_number(who.name)
        if number in self.joined:
            self.on_proxy_left(now, number)
        self.effects.disconnects = [cut for cut in self.effects.disconnects if cut.proxy != number]
        zone = self.zones.index(who.zone)
        self.joined[number] = JoinedProxy(who.name, zone, now)
        self.delivery_queue.add_proxy(number)
        self.proxy_tables.join(number, who.view)
        self.policy.on_proxy_joined(now, number, zone, who.baseline_rate, who.has_standing_table)
        self.counts["joins"] += 1
        self._add_cause(f"{who.name} joined")
        return number

    def on_proxy_left(self, now: int, proxy: int, why: str = "") -> None:
        """The proxy's stream is over; what waits for it is lost."""
        if (known := self.joined.pop(proxy, None)) is None:
            return
        self.delivery_queue.remove_proxy(proxy)
        self.proxy_tables.leave(proxy)
        self.applied.pop(proxy, None)
        self.policy.on_proxy_left(now, proxy)
        self.counts["breaks"] += 1
        self.load_estimator.on_proxy_left(known.name)
        self._add_cause(f"{known.name} left{': ' + why if why else ''}")

    def on_acknowledgement(self, now: int, proxy: int, message: ProxyUpdate, tag: str, ordered: int) -> None:
        """The proxy says that it applied a message and holds the view with this tag."""
        if proxy not in self.joined:
            return
        if tag != message.result.etag:
            self.on_stream_fault(now, proxy, "it holds another view than it was sent")
            return
        if not message.round_number:
            return
        self.applied[proxy] = (message.round_number, tag)
        self.policy.on_acknowledgement(now, proxy, message.round_number, now - ordered)
        self._add_cause(f"{self.joined[proxy].name} applied {message.round_number}")

    def on_stream_fault(self, now: int, proxy: int, why: str) -> None:
        """The proxy's side broke what was agreed; its stream is given up, and its next join may have to wait."""
        if (known := self.joined.get(proxy)) is None:
            return
        self.join_backoff.on_stream_fault(now, known.name)
        self.counts["faults"] += 1
        self._disconnect(now, proxy, why)

    def on_request_statistics(self, now: int, name: str, boot: str, number: int, report: RequestStatistics) -> bool:
        """One proxy's sums; False if they were heard before or the proxy is not joined here."""
        proxy = self.numbers.get(name)
        if proxy is None or proxy not in self.joined:
            self.counts["sums of strangers"] += 1
            return False
        if not self.duplicate_filter.is_new(name, boot, number):
            self.counts["sums repeated"] += 1
            return False
        zone = self.joined[proxy].zone
        self.statistics.add(zone, proxy, report, self.backend_by_address, self.group_numbers)
        # What was counted before the trial's lines were in force says nothing about them.
        if self.canary is not None and now - self.canary.started_at > 2 * self.deployment.report_interval:
            met = report.backends.values()
            self.canary.record(name, sum(each.attempts for each in met), sum(each.failures for each in met))
        return True

    def on_health_check(self, now: int, backend: str, sight: HealthCheckResult, load: LoadReport) -> None:
        self.policy.on_health_check(now, backend, sight, load)

    def update_budget_shares(self, now: int, budget: SlowStartBudget) -> list[BudgetGrant]:
        """Rule 4's budget among controllers: tells it what is cold here, lends, and tells the module its shares. Raises
        what `budget.keep` does; the module's shares are then as they were."""
        found = self.policy.warming_backends(now)
        budget.on_loads(
            {Incarnation(name, started): IncarnationLoad(usual, asked) for name, started, usual, asked in found}
        )
        made = budget.grant()
        for name, started, _, _ in found:
            self.policy.on_budget_share(now, name, budget.share(Incarnation(name, started)))
        return made

    # What is decided

    def decide(self, now: int) -> Effects:
        """One step: sums that are due are told, the module decides, messages whose time has come leave."""
        if now >= self.report_at:
            self.report_at = now + self.deployment.report_interval
            met, flows = self.statistics.drain()
            for zone, backend, own, load in met:
                mean = round(own.latency_sum / (own.attempts - own.failures)) if own.attempts > own.failures else 0
                span = own.window or self.deployment.report_interval
                self.load_estimator.on_attempts(now, backend, own.attempts, own.failures, mean / 10, span, span // 2)
                # A word that agrees with what proxies met, and is young, tells more than the last answer's header.
                if (busy := self.load_estimator.utilization(now, backend)) is not None:
                    load = load._replace(utilization=busy)
                if (latency := self.load_estimator.response_time(now, backend)) is not None:
                    load = load._replace(latency=latency)
                self.policy.on_attempt_statistics(now, backend, zone, own.attempts, own.failures, mean, span, load)
            for proxy, group, came, span in flows:
                if span > 0 and proxy in self.joined:
                    self.load_estimator.on_demand(
                        now, self.joined[proxy].name, self.groups[group], came * 10_000 / span
                    )
                self.policy.on_request_rate(now, proxy, group, came, span)
        self._take_decisions(now)
        if self.pin is not None and now >= self.pin.until:
            self.release(now, "its time is over")
        self._settle(now)
        for proxy in self.delivery_queue.stalled_proxies(now):
            self.on_stream_fault(now, proxy, "it takes nothing")
        self.effects.deliveries = self.delivery_queue.release_due(now)
        work, self.effects = self.effects, Effects()
        return work

    def next_decision_at(self) -> int:
        """When to act again if nothing is heard before."""
        at = self.delivery_queue.next_event_at()
        return min(self.wake_at, self.report_at, at if at is not None else self.wake_at)

    def _take_decisions(self, now: int) -> None:
        decisions, turn, work = list(self.policy.decisions(now)), 0, self.effects
        for decision in decisions:
            match decision:
                case AcknowledgementRequest(marked, _):
                    turn = marked
                case HealthCheckRequest(backend) if backend in self.proxy_tables.addresses:
                    work.health_checks.append((backend, self.proxy_tables.addresses[backend].address))
                case WakeUp(after):
                    self.wake_at = now + after
                case SubscribeToEndpoints():
                    work.subscribe = True
                case LogMessage(text):
                    work.log_messages.append(text)
        # Also with no one to tell: lines decided while no proxy is joined are what the first to join must get.
        reached = set()
        for message in self.proxy_tables.apply_decisions(turn, decisions):
            reached.add(message.proxy)
            self._enqueue(now, message)
        # While tables are held some get no message; the module must not wait for answers that can't come.
        for proxy in [proxy for proxy in self.policy.round_recipients if turn and proxy not in reached]:
            self.policy.on_acknowledgement(now, proxy, turn, 0)
        self._record_version(now, ", ".join(self.causes) or "time")
        if turn:
            work.rounds.append(RoundResult(turn, decisions, self.causes))
            self.causes = []

    # Versions, and the way back

    def _record_version(self, now: int, cause: str) -> None:
        if self.proxy_tables.revision == self.seen_revision:
            return
        self.seen_revision, sent = self.proxy_tables.revision, self.proxy_tables.sent_lines()
        keys = {*sent, *self.last_sent}
        changes = {key: sent.get(key, 0) for key in keys if sent.get(key, 0) != self.last_sent.get(key, 0)}
        self.last_sent = sent
        if (version := self.history.append(self.epoch, now, cause, changes)) is not None:
            self.new_versions.append((version, changes))

    def current_endpoints(self, now: int) -> CurrentEndpoints:
        """Backends that are ready, and since when each is warm."""
        cold = self.deployment.safety.warmup_time
        found: dict[str, int | None] = {}
        for name, entry in self.endpoints.items():
            if entry.ready:
                warm = entry.started_at + cold if entry.started_at else 0
                found[name] = (entry.started_at if warm <= now else None) if entry.started_at else 0
        return CurrentEndpoints(found)

    def preview_rollback(self, now: int, name: str) -> tuple[RollbackPlan, float]:
        """What going back would do, and the seconds that the channel takes.

        Raises RollbackRejectedError, UnknownVersionError."""
        back = plan_rollback(
            self.history.find(name),
            self.proxy_tables.desired,
            self.proxy_tables.sent_lines(),
            self.current_endpoints(now),
        )
        users = max((len(users) for users in self.proxy_tables.proxies_by_table.values()), default=0)
        return back, users * (
            back.changed_lines + self.proxy_tables.message_overhead + 1
        ) / self.deployment.channel.lines_per_second

    def roll_back(self, now: int, name: str, seconds: float) -> tuple[RollbackPlan, float]:
        """Holds the tables as in a version for so long; returns what `preview` does. Withdrawals and levels go on.
        Raises RollbackRejectedError, UnknownVersionError."""
        back, took = self.preview_rollback(now, name)
        self._set_pin(PinnedVersion(self.history.find(name), now + round(seconds * 10_000)))
        self._add_cause(f"rolled back to version {back.version}")
        return back, took

    def freeze(self, now: int, seconds: float) -> int:
        """Holds the tables as they are now, for so long. Returns the version that they are in."""
        version = self.history.latest._replace(created_at=now)
        self._set_pin(PinnedVersion(version, now + round(seconds * 10_000)))
        self._add_cause(f"held as in version {version.number}")
        return version.number

    def _set_pin(self, pin: PinnedVersion) -> None:
        self.pin, self.proxy_tables.main.freeze, self.unsettled = pin, self._freeze_to(pin), True

    def _freeze_to(self, pin: PinnedVersion) -> Freeze:
        return lambda wanted: pin.target(wanted, self.current_endpoints(self.at))

    def release(self, now: int, why: str) -> bool:
        """Follows the module again; its lines are sent as the channel has room. False if nothing was held."""
        held, self.pin, self.proxy_tables.main.freeze = self.pin is not None, None, None
        if held:
            self._add_cause(f"released: {why}")
        return held

    def start_canary(self, now: int, name: str, share: float, seconds: float) -> tuple[RollbackPlan, Canary]:
        """Holds a share of the proxies as in a version; worse than the others, it is taken back, else it is held for
        all when the time is over. Raises RollbackRejectedError, UnknownVersionError."""
        if self.canary is not None:
            raise RollbackRejectedError(f"version {self.canary.version} is on trial already")
        back, _ = self.preview_rollback(now, name)
        bound = {known.name: number for number, known in self.joined.items() if self.proxy_tables.tables_of(number)}
        names = select_canary_proxies(bound, share)
        if not names:
            raise RollbackRejectedError("a trial needs two proxies at least")
        pin = PinnedVersion(self.history.find(name), now + round(seconds * 10_000))
        self.canary = canary = Canary(back.version, frozenset(names), now, pin.until)
        self.proxy_tables.begin_canary(frozenset(bound[name] for name in names), self._freeze_to(pin))
        self.unsettled = True
        self._add_cause(f"version {back.version} is tried on {len(names)} of {len(bound)} proxies")
        return back, canary

    def _evaluate_canary(self, now: int) -> None:
        if (canary := self.canary) is None:
            return
        verdict = canary.verdict()
        if verdict is not Verdict.WORSE and now < canary.ends_at:
            return
        self.canary = None
        self.proxy_tables.end_canary()
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
        self.effects.log_messages.append(told)
        self._add_cause(told)

    def _settle(self, now: int) -> None:
        self.at = now
        self._evaluate_canary(now)
        if self.pin is None and self.canary is None and not self.unsettled:
            return
        room = SETTLE_SHARE * self.delivery_queue.limits.max_queued_lines - self.delivery_queue.queued_lines
        for message in self.proxy_tables.reconcile(room):
            self._enqueue(now, message)
        left = self.proxy_tables.pending_lines()
        if self.canary is None and not any(line.tables is self.proxy_tables.canary for line in left):
            # Those that were on trial hold what all others hold, and are like all others again.
            self.proxy_tables.canary_proxies = frozenset()
        self.unsettled = self.pin is not None or bool(left) or bool(self.proxy_tables.canary_proxies)
        self._record_version(now, "held tables" if self.pin is not None else "released tables")

    def _enqueue(self, now: int, message: ProxyUpdate) -> None:
        if message.proxy not in self.joined:
            return
        try:
            self.delivery_queue.enqueue(now, message.proxy, message, message.line_cost)
        except QueueFullError as error:
            # The module takes what it ordered as sent. Only a new join makes it think about this proxy anew.
            self.counts["refused by the limit"] += 1
            self._disconnect(now, message.proxy, f"the channel's limit: {error}")

    def _disconnect(self, now: int, proxy: int, why: str) -> None:
        self.effects.disconnects.append(Disconnect(proxy, self.joined[proxy].name, why))
        self.on_proxy_left(now, proxy, why)

    def _add_cause(self, text: str) -> None:
        if len(self.causes) < CAUSES:
            self.causes.append(text)

    # What operators see

    def state(self, now: int) -> dict[str, Any]:
        """All that is known, in plain values."""
        up = {e.backend: e for e in self.endpoints.values()}
        return {
            "epoch": self.epoch,
            "now": now,
            "channel": {
                "waiting": round(self.delivery_queue.queued_lines, 1),
                "most": self.delivery_queue.limits.max_queued_lines,
                "peak": round(self.delivery_queue.peak_queued_lines, 1),
            },
            "version": self.history.latest.number,
            "trial": self.canary.version if self.canary is not None else None,
            "held": self.pin.version.number if self.pin is not None else None,
            "counts": dict(sorted(self.counts.items())) | {"tries at unknown": self.statistics.unknown_attempts},
            "proxies": {
                known.name: {
                    "zone": self.zones[known.zone],
                    "joined_for_s": round((now - known.joined_at) / 10_000, 1),
                    "bound": bool(self.proxy_tables.tables_of(number)),
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
                    "withdrawn": name in self.proxy_tables.withdrawn,
                    "lines": {
                        str(table): lines[name] for table, lines in self.proxy_tables.tables.items() if name in lines
                    },
                }
                for name, place in sorted(self.proxy_tables.addresses.items())
            },
        }
