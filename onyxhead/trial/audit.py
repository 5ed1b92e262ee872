"""Judges a played day from what the sockets carried. It asks no controller and no agent anything.

What it goes by: bytes that passed the relays (parsed here again), lists as discovery sent them, flows as proxies sent
and backends met them, effects as backends had them, and what clients got."""

from __future__ import annotations

import base64
import json
import re
from bisect import bisect_right
from collections import defaultdict
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

import h11

Event = dict[str, Any]
LISTED = 1_000_000
"""A line of a backend listed at 1, as the published formats carry it."""
SLACK = 0.05
"""Seconds that the stand-ins' own clocks and schedulers may add to what a rule allows."""


class Push(NamedTuple):
    """One order as it passed: when it was ordered, when it had come whole, when it was answered, with what."""

    controller: str
    agent: str
    ordered: float
    came: float
    answered: float
    status: int
    lines: int
    whole: bool
    document: dict[str, Any]
    stream: str
    token: int


class Stay(NamedTuple):
    """A stretch in which an agent was joined to a controller, as their stream shows."""

    controller: str
    agent: str
    since: float
    until: float


def read(folder: Path) -> list[Event]:
    found: list[Event] = []
    for path in sorted(folder.glob("*.jsonl")):
        # A killed process may leave its last line in part.
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
    return sorted(found, key=lambda event: event["t"])


def streams(events: list[Event], end: float) -> tuple[list[Push], list[Stay]]:
    """Pushes and stays, from the relays' bytes."""
    links: dict[int, Event] = {e["link"]: e for e in events if e["what"] == "open"}
    closed = {e["link"]: e["t"] for e in events if e["what"] == "closed"}
    carried: dict[int, list[Event]] = defaultdict(list)
    for event in events:
        if event["what"] == "carried":
            carried[event["link"]].append(event)
    pushes, stays = [], []
    for number, link in links.items():
        asked = _requests([e for e in carried[number] if e["way"] == ">"])
        if not any(target == "/v1/view" for _, target, *_ in asked):
            continue
        of = next(headers["onyxhead-stream"].rpartition(".")[0] for _, _, headers, *_ in asked)
        methods = [method for method, *_ in asked]
        answers = _responses([e for e in carried[number] if e["way"] == "<"], methods)
        if answers and answers[0][0] < 300:
            stays.append(Stay(of, link["to"], answers[0][1], closed.get(number, end)))
        for place, (method, _, headers, body, came) in enumerate(asked):
            if method in ("PUT", "PATCH"):
                order = dict(re.findall(r"(\w+)=(\d+)", headers.get("onyxhead-order", "")))
                status, at = answers[place] if place < len(answers) else (0, end)
                ordered = int(order["at"]) / 10_000
                document = json.loads(body)
                pushes.append(
                    Push(
                        link["of"],
                        link["to"],
                        ordered,
                        came,
                        at,
                        status,
                        int(order["lines"]),
                        method == "PUT",
                        document,
                        headers["onyxhead-stream"],
                        int(headers["onyxhead-token"]),
                    )
                )
    return pushes, stays


def _requests(chunks: list[Event]) -> list[tuple[str, str, dict[str, str], bytes, float]]:
    state, found, head, body = h11.Connection(h11.SERVER), [], None, b""
    for chunk in chunks:
        state.receive_data(base64.b64decode(chunk["data"]))
        while (event := state.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {k.decode(): v.decode() for k, v in head.headers}
                found.append((head.method.decode(), head.target.decode(), headers, body, chunk["t"]))
                # Only the requests matter here; an answer is made up so that the next may follow.
                state.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                state.send(h11.EndOfMessage())
                state.start_next_cycle()
            else:
                return found
    return found


def _responses(chunks: list[Event], methods: list[str]) -> list[tuple[int, float]]:
    state, found = h11.Connection(h11.CLIENT), list[tuple[int, float]]()
    for chunk in chunks:
        data = base64.b64decode(chunk["data"])
        if state.our_state is h11.IDLE and len(found) < len(methods):
            _ask(state, methods[len(found)])
        state.receive_data(data)
        while (event := state.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                found.append((event.status_code, chunk["t"]))
            elif isinstance(event, h11.EndOfMessage):
                if len(found) >= len(methods):
                    return found
                state.start_next_cycle()
                _ask(state, methods[len(found)])
            elif not isinstance(event, h11.Data):
                return found
    return found


def _ask(state: h11.Connection, method: str) -> None:
    state.send(h11.Request(method=method, target="/", headers=[("host", "x"), ("content-length", "0")]))
    state.send(h11.EndOfMessage())


class Lists:
    """What each controller had been told of each backend, by time."""

    def __init__(self, events: list[Event]) -> None:
        self.times: dict[str, list[float]] = defaultdict(list)
        self.told: dict[str, list[dict[str, Event]]] = defaultdict(list)
        self.ids: dict[str, str] = {}
        for event in events:
            if event["what"] == "listed":
                entries = {entry["id"]: entry for entry in event["list"]["backends"]}
                self.times[event["to"]].append(event["t"])
                self.told[event["to"]].append(entries)
                self.ids |= {entry["address"]: name for name, entry in entries.items()}

    def at(self, controller: str, when: float) -> dict[str, Event]:
        place = bisect_right(self.times[controller], when)
        return self.told[controller][place - 1] if place else {}

    def shut_since(self, controller: str, backend: str, when: float) -> float | None:
        """Since when the controller had been told that the backend drains or is gone; None if it is ready."""
        since = None
        for at, entries in zip(self.times[controller], self.told[controller], strict=True):
            if at > when:
                break
            known = any(backend in told for told in self.told[controller])
            ready = entries.get(backend, {}).get("state") == "ready"
            since = None if ready or not known else (at if since is None else since)
        return since


def judge(folder: Path, figures: dict[str, float], repeats: dict[str, str], seed: int) -> dict[str, Any]:
    """The verdict. `figures` are the rules' own, in seconds and lines; `repeats` by traffic group."""
    events = read(folder)
    end = events[-1]["t"] if events else 0.0
    pushes, stays = streams(events, end)
    lists = Lists(events)
    found: dict[str, list[str]] = {str(rule): [] for rule in range(1, 6)}
    found["1"] = bare(events, stays, lists, figures)
    found["2"] = twice(events, repeats)
    found["3"] = drains(events, stays, lists, figures["drain_grace"])
    found["4"] = [f"{e['backend']} was pushed over at {e['t']:.2f}" for e in events if e["what"] == "fell"]
    found["5"] = queues(pushes, stays, figures["most_waiting"], figures["pace"])
    asked = {e["flow"]: e for e in events if e["what"] == "asked"}
    good = [e["flow"] for e in events if e["what"] == "ended" and e["good"]]
    ended = {e["flow"] for e in events if e["what"] == "ended"}
    whole = sum(asked[flow]["utility"] for flow in ended if flow in asked)
    served = sum(asked[flow]["utility"] for flow in good if flow in asked)
    undone, never = restored(events, pushes)
    slowest = max(withdrawals(pushes, stays, lists), default=0.0)
    return {
        "rules": {rule: len(broken) for rule, broken in found.items()},
        "breaks": [f"rule {rule}: {text}" for rule, broken in found.items() for text in broken[:5]],
        "doubled_orders": doubled(pushes),
        "torn_reads": sum(e["what"] == "torn" for e in events),
        "swaps": sum(e["what"] == "swap" for e in events),
        "service": round(served / whole, 4) if whole else None,
        "flows": len(ended),
        "pushes": len(pushes),
        "lines": sum(push.lines for push in pushes),
        "joins": len(stays),
        "apart_max_ms": round(max(gaps(stays), default=0.0) * 1000),
        "withdrawal_max_ms": round(slowest * 1000),
        "undone_max_ms": round(undone * 1000),
        "not_undone": never,
        "seed": seed,
    }


def gaps(stays: list[Stay]) -> list[float]:
    """How long agents were with no controller between two stays: what a take-over took."""
    found = []
    for agent in sorted({stay.agent for stay in stays}):
        own = sorted((stay for stay in stays if stay.agent == agent), key=lambda stay: stay.since)
        found += [max(0.0, after.since - before.until) for before, after in pairwise(own)]
    return found


def doubled(pushes: list[Push]) -> int:
    """Orders that an agent took twice, or took from a controller after it had listened to a newer one."""
    count, seen = 0, set()
    highest: dict[str, int] = {}
    for push in sorted((push for push in pushes if 200 <= push.status < 300), key=lambda push: push.answered):
        key = (push.agent, push.stream, push.ordered, json.dumps(push.document, sort_keys=True))
        count += key in seen or push.token < highest.get(push.agent, 0)
        seen.add(key)
        highest[push.agent] = max(push.token, highest.get(push.agent, 0))
    return count


def restored(events: list[Event], pushes: list[Push]) -> tuple[float, int]:
    """After a wrong table and the command to undo it: how long until the last agent's lines were right again, by what
    was pushed to it, and how many agents never came to that. Lines of backends that left since don't count."""
    wrong = next((event for event in events if event["what"] == "wrong"), None)
    asked = [event["t"] for event in events if event["what"] == "undo"]
    if wrong is None or not asked:
        return 0.0, 0
    worst, never = 0.0, 0
    for agent in sorted({push.agent for push in pushes}):
        held: dict[str, Any] = {}
        since: float | None = None
        spoiled = False
        for push in sorted((p for p in pushes if p.agent == agent and p.status < 300), key=lambda p: p.answered):
            held = push.document if push.whole else merged(held, push.document)
            tables = held.get("tables", {}).values()
            lines = [
                lines[name]
                for each in tables
                if (lines := each.get("lines", {}))
                for name in wrong["backends"]
                if name in lines
            ]
            low = any(line["weight"] < LISTED / 10 for line in lines)
            spoiled = spoiled or (low and push.answered < asked[0])
            if push.answered >= asked[0]:
                since = None if low else (push.answered if since is None else since)
        if spoiled:
            never += since is None
            worst = max(worst, (since or asked[0]) - asked[0])
    return worst, never


def merged(held: Any, patch: Any) -> Any:  # noqa: ANN401
    """RFC 7396: what a merge patch makes of a document."""
    if not isinstance(patch, dict):
        return patch
    result = dict(held) if isinstance(held, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merged(result.get(name), value)
    return result


def bare(events: list[Event], stays: list[Stay], lists: Lists, figures: dict[str, float]) -> list[str]:
    found = []
    since: dict[tuple[str, str], float] = {}
    for event in events:
        if event["what"] == "sent":
            since.pop((event["proxy"], event["group"]), None)
        elif event["what"] == "bare":
            proxy, at = event["proxy"], event["t"]
            stay = _stay(stays, proxy, at)
            warm = stay and any(
                entry["state"] == "ready" and entry["started"] + figures["cold_time"] < at
                for entry in lists.at(stay.controller, at - figures["unserved_limit"]).values()
            )
            began = since.setdefault((proxy, event["group"]), at)
            if stay and warm and at - max(began, stay.since) > figures["unserved_limit"] + SLACK:
                found.append(f"{proxy} had no line for {event['group']} from {began:.2f} to {at:.2f}")
    return found


def twice(events: list[Event], repeats: dict[str, str]) -> list[str]:
    effects: dict[tuple[str, str], list[str]] = defaultdict(list)
    for event in events:
        if event["what"] == "effect" and repeats[event["group"]] != "retriable":
            effects[event["flow"], event["attempt"]].append(event["backend"])
    return [f"{flow}, try {attempt}: {' and '.join(at)}" for (flow, attempt), at in effects.items() if len(at) > 1]


def drains(events: list[Event], stays: list[Stay], lists: Lists, grace: float) -> list[str]:
    found = []
    for event in events:
        if event["what"] != "sent" or (stay := _stay(stays, event["proxy"], event["t"])) is None:
            continue
        backend = lists.ids.get(event["to"], "")
        since = lists.shut_since(stay.controller, backend, event["t"])
        if since is not None and event["t"] - max(since, stay.since) > grace + SLACK:
            late = event["t"] - max(since, stay.since)
            found.append(f"{event['proxy']} sent to {backend} {late:.2f} s after {stay.controller} knew")
    return found


def queues(pushes: list[Push], stays: list[Stay], most: float, pace: float) -> list[str]:
    """Lines between being ordered and having come; what a message takes on its own counts as leaving it."""
    found = []
    for controller in sorted({push.controller for push in pushes}):
        own = [push for push in pushes if push.controller == controller]
        steps = [(push.ordered, push.lines) for push in own] + [(max(p.ordered, p.came), -p.lines) for p in own]
        waiting = 0
        for at, lines in sorted(steps):
            waiting += lines
            if waiting > most:
                found.append(f"{waiting} lines waited at {controller} at {at:.2f}")
                break
    return found


def withdrawals(pushes: list[Push], stays: list[Stay], lists: Lists) -> list[float]:
    """For each backend told as not ready and each proxy joined then: how long until its files were swapped."""
    took = []
    shut: dict[tuple[str, str], list[float]] = defaultdict(list)
    for push in pushes:
        for backend, value in push.document.get("withdrawn", {}).items():
            if value and push.status < 300:
                shut[push.agent, backend].append(push.answered)
    for controller, times in lists.times.items():
        for place in range(1, len(times)):
            before, after = lists.told[controller][place - 1 : place + 1]
            for backend, entry in before.items():
                if entry["state"] != "ready" or after.get(backend, {}).get("state") == "ready":
                    continue
                for stay in stays:
                    if stay.controller == controller and stay.since < times[place] < stay.until - 2:
                        done = [at for at in shut[stay.agent, backend] if at >= times[place]]
                        if done:
                            took.append(min(done) - times[place])
    return took


def _stay(stays: list[Stay], agent: str, at: float) -> Stay | None:
    return next((stay for stay in stays if stay.agent == agent and stay.since <= at < stay.until), None)
