"""Hosts many instances of the policy on one wire, each as if it were alone on its machine."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TextIO

from onyxhead.error_location import describe_error
from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.inputs import Endpoint, LoadReport, WatchEvent
from onyxhead.settings.instance import InvalidSettingsError, load_report, load_report_fields, read_deployment
from onyxhead.wirehost.codec import (
    BATCH_END,
    REPLY_END,
    REPLY_FAULT,
    REPLY_INSTANCE,
    WireError,
    encode_decision,
    parse_batch_start,
    parse_line,
    parse_settings,
)
from onyxhead.wirehost.messages import (
    AttemptsReported,
    EndpointListDefined,
    EndpointListObserved,
    EndpointRow,
    HealthChecked,
    IgnoredEvent,
    InstanceEvent,
    InstanceMessage,
    InstanceSelected,
    InstanceStarted,
    InstanceStopped,
    ProxyJoined,
    ProxyLeft,
    RequestsReported,
    RoundAcknowledged,
)


@dataclass(slots=True)
class Instance:
    """One running controller; its load reports have their values in the order of `load_fields`."""

    policy: BalancingPolicy
    load_fields: list[str]

    def load_report(self, values: tuple[float, ...]) -> LoadReport:
        """The load report that these values make."""
        return load_report(dict(zip(self.load_fields, values, strict=False)))


class Batch:
    """One batch of messages: its time, the instances that it concerns in order, and their faults."""

    def __init__(self, now: int) -> None:
        self.now = now
        self.selected: int | None = None
        self.concerned: dict[int, None] = {}
        self.faults: dict[int, str] = {}


class WireHost:
    """Reads batches, keeps instances apart, and writes one reply to each batch."""

    def __init__(self, source: Iterable[str], sink: TextIO) -> None:
        self.source = enumerate(source, 1)
        self.sink = sink
        self.line_number = 0
        self.instances: dict[int, Instance | None] = {}  # None for one that was stopped
        self.endpoint_lists: dict[int, list[Endpoint]] = {}

    def run(self) -> None:
        """Answers every batch until the input ends. Raises WireError for malformed input."""
        while (line := self._next_line()) is not None:
            batch = Batch(parse_batch_start(line))
            self._read_batch(batch)
            self._write_reply(batch)

    def _next_line(self) -> str | None:
        for line_number, line in self.source:
            self.line_number = line_number
            if line.strip():
                return line.rstrip("\r\n")
        return None

    def _read_batch(self, batch: Batch) -> None:
        while (line := self._next_line()) != BATCH_END:
            if line is None:
                raise WireError("input ends inside a batch")
            name, message = parse_line(line)
            match message:
                case InstanceSelected(instance):
                    batch.selected = instance
                case EndpointListDefined(list_number, row_count):
                    self.endpoint_lists[list_number] = self._read_rows(row_count)
                case EndpointRow():
                    raise WireError("a ROW outside a list")
                case _ if batch.selected is None:
                    raise WireError(f"{name} before any SELECT")
                case _:
                    batch.concerned[batch.selected] = None
                    self._handle(batch, batch.selected, name, message)

    def _read_rows(self, count: int) -> list[Endpoint]:
        endpoints = []
        for _ in range(count):
            name, message = parse_line(self._next_line() or "")
            if not isinstance(message, EndpointRow):
                raise WireError(f"expected ROW, found {name!r}")
            endpoints.append(message.endpoint)
        return endpoints

    def _handle(self, batch: Batch, number: int, name: str, message: InstanceMessage) -> None:
        """A fault of the policy is the instance's alone and is reported in the reply; malformed input ends it all."""
        if isinstance(message, InstanceStarted):
            self._start(batch, number, message)
            return
        if isinstance(message, InstanceStopped):
            self.instances[number] = None
            return
        if number not in self.instances:
            raise WireError(f"{name} for controller {number}, which has never begun")
        if (instance := self.instances[number]) is None:
            return  # what was still on its way to a stopped instance is lost
        try:
            self._deliver(instance, message, batch.now)
        except WireError:
            raise
        except Exception as error:
            batch.faults.setdefault(number, describe_error(error))

    def _start(self, batch: Batch, number: int, message: InstanceStarted) -> None:
        settings = parse_settings(message.settings)
        try:
            deployment = read_deployment(settings)
        except InvalidSettingsError as error:
            raise WireError(str(error)) from error
        load_fields = load_report_fields(settings)
        try:
            self.instances[number] = Instance(BalancingPolicy(deployment, message.seed, batch.now), load_fields)
        except Exception as error:
            batch.faults.setdefault(number, describe_error(error))

    def _deliver(self, instance: Instance, event: InstanceEvent, now: int) -> None:
        policy = instance.policy
        match event:
            case AttemptsReported(zone, window, backend, failed, mean_latency, attempts, values):
                report = instance.load_report(values)
                policy.on_attempt_statistics(now, backend, zone, attempts, failed, mean_latency, window, report)
            case RequestsReported(proxy, group, requests, _, window):
                policy.on_request_rate(now, proxy, group, requests, window)
            case RoundAcknowledged(proxy, round_number, elapsed):
                policy.on_acknowledgement(now, proxy, round_number, elapsed)
            case HealthChecked(backend, result, _, values):
                if result is not None:
                    policy.on_health_check(now, backend, result, instance.load_report(values))
            case ProxyJoined(proxy, zone, baseline_rate, has_standing_table):
                policy.on_proxy_joined(now, proxy, zone, baseline_rate, has_standing_table)
            case ProxyLeft(proxy):
                policy.on_proxy_left(now, proxy)
            case EndpointListObserved(watch_event, _, list_number):
                policy.on_endpoint_update(now, watch_event, self._endpoints(watch_event, list_number))
            case IgnoredEvent():
                pass

    def _endpoints(self, event: WatchEvent, list_number: int | None) -> list[Endpoint]:
        if event is WatchEvent.REJECTED:
            return []
        if list_number is None or list_number not in self.endpoint_lists:
            raise WireError(f"list {list_number} was never defined")
        return self.endpoint_lists[list_number]

    def _write_reply(self, batch: Batch) -> None:
        lines: list[str] = []
        for number in batch.concerned:
            lines.append(f"{REPLY_INSTANCE} {number}")
            instance = self.instances.get(number)
            try:
                if number not in batch.faults and instance is not None:
                    for decision in instance.policy.decisions(batch.now):
                        lines.extend(encode_decision(decision))
            except Exception as error:
                batch.faults[number] = describe_error(error)
            if number in batch.faults:
                lines.append(f"{REPLY_FAULT} {batch.faults[number]}")
        self.sink.write("\n".join([*lines, f"{REPLY_END}\n"]))
        self.sink.flush()
