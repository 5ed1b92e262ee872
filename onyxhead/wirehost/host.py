"""Runs many independent instances of the policy over one connection to the simulator."""

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
    REPLY_INSTANCE,
    REPLY_POLICY_ERROR,
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
    """One instance of the policy; `load_fields` names the values of its load reports in order."""

    policy: BalancingPolicy
    load_fields: list[str]

    def load_report(self, values: tuple[float, ...]) -> LoadReport:
        """Return the load report with these values."""
        return load_report(dict(zip(self.load_fields, values, strict=False)))


class Batch:
    """One batch of messages: its time, the instances that receive messages, and the errors of their policies.

    `addressed` serves as an ordered set: its keys are instance numbers in the order of their first message.
    """

    def __init__(self, now: int) -> None:
        self.now = now
        self.selected: int | None = None
        self.addressed: dict[int, None] = {}
        self.policy_errors: dict[int, str] = {}


class WireHost:
    """Reads batches, delivers their messages to the instances, and writes one reply to each batch."""

    def __init__(self, input_lines: Iterable[str], output: TextIO) -> None:
        self.numbered_lines = enumerate(input_lines, 1)
        self.output = output
        self.line_number = 0
        self.instances: dict[int, Instance | None] = {}  # None for a stopped instance
        self.endpoint_lists: dict[int, list[Endpoint]] = {}

    def run(self) -> None:
        """Answer every batch until the input ends. Raise WireError for malformed input."""
        while (line := self._next_line()) is not None:
            batch = Batch(parse_batch_start(line))
            self._read_batch(batch)
            self._write_reply(batch)

    def _next_line(self) -> str | None:
        for line_number, line in self.numbered_lines:
            self.line_number = line_number
            if line.strip():
                return line.rstrip("\r\n")
        return None

    def _read_batch(self, batch: Batch) -> None:
        while (line := self._next_line()) != BATCH_END:
            if line is None:
                raise WireError(f"the input ends inside a batch, before {BATCH_END}")
            name, message = parse_line(line)
            match message:
                case InstanceSelected(instance):
                    batch.selected = instance
                case EndpointListDefined(list_number, row_count):
                    self.endpoint_lists[list_number] = self._read_rows(row_count)
                case EndpointRow():
                    raise WireError("ROW outside an endpoint list")
                case _ if batch.selected is None:
                    raise WireError(f"{name} before any SELECT")
                case _:
                    batch.addressed[batch.selected] = None
                    self._handle(batch, batch.selected, name, message)

    def _read_rows(self, count: int) -> list[Endpoint]:
        endpoints = []
        for _ in range(count):
            name, message = parse_line(self._next_line() or "")
            if not isinstance(message, EndpointRow):
                raise WireError(f"expected ROW, found {name!r}")
            endpoints.append(message.endpoint)
        return endpoints

    def _handle(self, batch: Batch, instance_number: int, name: str, message: InstanceMessage) -> None:
        """Apply one message to an instance.

        An exception in the policy affects this instance only and is reported in the reply. Malformed input raises
        WireError, which ends the program.
        """
        if isinstance(message, InstanceStarted):
            self._start(batch, instance_number, message)
            return
        if isinstance(message, InstanceStopped):
            self.instances[instance_number] = None
            return
        if instance_number not in self.instances:
            raise WireError(f"{name} for instance {instance_number}, which has never begun")
        if (instance := self.instances[instance_number]) is None:
            return  # messages that were in transit when the instance stopped are discarded
        try:
            self._deliver(instance, message, batch.now)
        except WireError:
            raise
        except Exception as error:
            batch.policy_errors.setdefault(instance_number, describe_error(error))

    def _start(self, batch: Batch, instance_number: int, message: InstanceStarted) -> None:
        settings = parse_settings(message.settings)
        try:
            deployment = read_deployment(settings)
        except InvalidSettingsError as error:
            raise WireError(str(error)) from error
        load_fields = load_report_fields(settings)
        try:
            self.instances[instance_number] = Instance(
                BalancingPolicy(deployment, message.seed, batch.now), load_fields
            )
        except Exception as error:
            batch.policy_errors.setdefault(instance_number, describe_error(error))

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
            raise WireError(f"endpoint list {list_number} was never defined")
        return self.endpoint_lists[list_number]

    def _write_reply(self, batch: Batch) -> None:
        lines: list[str] = []
        for instance_number in batch.addressed:
            lines.append(f"{REPLY_INSTANCE} {instance_number}")
            instance = self.instances.get(instance_number)
            try:
                if instance_number not in batch.policy_errors and instance is not None:
                    for decision in instance.policy.decisions(batch.now):
                        lines.extend(encode_decision(decision))
            except Exception as error:
                batch.policy_errors[instance_number] = describe_error(error)
            if instance_number in batch.policy_errors:
                lines.append(f"{REPLY_POLICY_ERROR} {batch.policy_errors[instance_number]}")
        self.output.write("\n".join([*lines, f"{REPLY_END}\n"]))
        self.output.flush()
