"""Hosts many instances on standard input and output, each as if it were alone on its machine."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable
from typing import Any, TextIO

from onyxhead.policy.balancer import BalancingPolicy
from onyxhead.policy.inputs import Endpoint, LoadReport
from onyxhead.settings.instance import NS, Unfit, deployment, load, load_fields
from onyxhead.wirehost.codec import (
    NEWS,
    SIGHTS,
    WireError,
    listed,
    settings,
    split,
    whole,
    written,
)


class Host:
    """Reads batches, keeps instances apart, and writes one reply to each batch."""

    def __init__(self, source: Iterable[str], sink: TextIO) -> None:
        self.source = enumerate(source, 1)
        self.sink = sink
        self.line_number = 0
        self.instances: dict[int, BalancingPolicy | None] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.fields: dict[int, list[str]] = {}

    def next_line(self) -> str | None:
        for line_number, line in self.source:
            self.line_number = line_number
            if line.strip():
                return line.rstrip("\r\n")
        return None

    def run(self) -> None:
        while (line := self.next_line()) is not None:
            name, _, clock = line.partition(" ")
            if name != "FRAME":
                raise WireError(f"expected FRAME, found {name!r}")
            self.batch(whole(clock) // NS)

    def batch(self, now: int) -> None:
        touched: dict[int, None] = {}
        chosen: int | None = None
        faults: dict[int, str] = {}
        while (line := self.next_line()) != "OVER_TO_YOU":
            if line is None:
                raise WireError("input ends inside a batch")
            name, values = split(line)
            if name == "SELECT":
                chosen = values[0]
            elif name == "DEFINE_LIST":
                self.lists[values[0]] = self.rows(values[1])
            elif name == "ROW":
                raise WireError("a ROW outside a list")
            elif chosen is None:
                raise WireError(f"{name} before any SELECT")
            else:
                touched[chosen] = None
                call = self.call(chosen, name, values, now)
                try:
                    call()
                except Exception as error:  # the module's own fault, told in the wire's word for it
                    faults.setdefault(chosen, place(error))
        out: list[str] = []
        for number in touched:
            out.append(f"FROM {number}")
            try:
                if number not in faults and (brain := self.instances.get(number)) is not None:
                    for decision in brain.decisions(now):
                        out.extend(written(decision))
            except Exception as error:
                faults[number] = place(error)
            if number in faults:
                out.append(f"BUG {faults[number]}")
        self.sink.write("\n".join([*out, "END\n"]))
        self.sink.flush()

    def rows(self, count: int) -> list[Endpoint]:
        rows = []
        for _ in range(count):
            line = self.next_line()
            name, values = split(line or "")
            if name != "ROW":
                raise WireError(f"expected ROW, found {name!r}")
            rows.append(listed(values))
        return rows

    def report(self, number: int, told: tuple[float, ...]) -> LoadReport:
        """A load report, its values in the order that this instance's settings name."""
        return load(dict(zip(self.fields[number], told, strict=False)))

    def call(self, number: int, name: str, values: list[Any], now: int) -> Any:  # noqa: ANN401
        """The call that an event means, its arguments checked; run apart so that faults are told apart."""
        if name == "BEGIN":
            given = settings(values[1])
            try:
                known = deployment(given)
            except Unfit as error:
                raise WireError(str(error)) from None
            self.fields[number] = load_fields(given)
            return lambda: self.instances.__setitem__(number, BalancingPolicy(known, values[0], now))
        if name == "STOP":
            return lambda: self.instances.__setitem__(number, None)
        if number not in self.instances:
            raise WireError(f"{name} for controller {number}, which has never begun")
        brain = self.instances[number]
        if brain is None:  # stopped: what is still on its way to it is lost
            return lambda: None
        if name == "PEERS_KNOWN":
            mode, _version, list_number = values
            entries: list[Endpoint] = []
            if mode != "refused":
                if list_number not in self.lists:
                    raise WireError(f"list {list_number} was never defined")
                entries = self.lists[list_number]
            return lambda: brain.on_endpoint_update(now, NEWS[mode], entries)
        if name == "STATS":
            zone, age, backend, bad, mean, tries, told = values
            report = self.report(number, told)
            return lambda: brain.on_attempt_statistics(now, backend, zone, tries, bad, mean, age, report)
        if name == "INTAKE":
            proxy, group, flows, _bad, age = values
            return lambda: brain.on_request_rate(now, proxy, group, flows, age)
        if name == "ATTACHED":
            return lambda: brain.on_proxy_joined(now, *values)
        if name == "STREAM_DOWN":
            return lambda: brain.on_proxy_left(now, values[0])
        if name == "IN_FORCE":
            proxy, turn, took = values
            return lambda: brain.on_acknowledgement(now, proxy, turn, took)
        if name == "PROBED":
            backend, end, _took, told = values
            report = self.report(number, told)
            sight = SIGHTS[end]
            return lambda: sight and brain.on_health_check(now, backend, sight, report)
        # Wake-ups need no more than the pull that follows; peers and slices are told nothing and ask nothing.
        return lambda: None


def place(error: Exception) -> str:
    frame = traceback.extract_tb(error.__traceback__)[-1]
    text = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
    return " ".join(text.split())


def main() -> int:
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except WireError as error:
        print(f"line {host.line_number}: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"line {host.line_number + 1}: not UTF-8: {error.reason}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
