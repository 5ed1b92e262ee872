"""Scripts of days: what goes wrong, when. Each kind of trouble that the operators named has an entry here."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from typing import Any

from onyxhead.trial.run import ZONES, Fleet

Step = Callable[[Fleet], None]
Steps = list[tuple[float, Step]]


def _some(fleet: Fleet, names: list[str], share: float) -> list[str]:
    return fleet.chance.sample(names, max(1, round(share * len(names))))


def _spell(at: float, span: float, pick: Callable[[Fleet], list[str]], on: Any, off: Any) -> Steps:  # noqa: ANN401
    """A fault on some stand-ins for a while."""
    chosen: list[str] = []

    def begin(fleet: Fleet) -> None:
        chosen.extend(pick(fleet))
        for name in chosen:
            fleet.say(name, on)

    def end(fleet: Fleet) -> None:
        for name in chosen:
            fleet.say(name, off)

    return [(at, begin), (at + span, end)]


def _backends(share: float) -> Callable[[Fleet], list[str]]:
    return lambda fleet: _some(fleet, fleet.up(), share)


def _one(name: str) -> Callable[[Fleet], list[str]]:
    return lambda _: [name]


def _die(at: float, span: float, pick: Callable[[Fleet], list[str]], return_: Callable[[Fleet, str], None]) -> Steps:
    chosen: list[str] = []

    def begin(fleet: Fleet) -> None:
        chosen.extend(pick(fleet))
        for name in chosen:
            fleet.kill(name)

    def end(fleet: Fleet) -> None:
        for name in chosen:
            return_(fleet, name)

    return [(at, begin), (at + span, end)]


def _return_backend(fleet: Fleet, name: str) -> None:
    entry = fleet.listed[name]
    fleet.start_backend(name, int(entry["address"].rpartition(":")[2]), entry["zone"], cold=True)
    entry.update(state="ready", started=round(time.time(), 3))
    fleet.publish()


def crash(at: float, span: float) -> Steps:
    steps = _die(at, span, _backends(0.2), _return_backend)

    def unlist(fleet: Fleet) -> None:
        for name, entry in fleet.listed.items():
            if fleet.processes[name].poll() is not None:
                entry["state"] = "draining"
        fleet.publish()

    return [*steps, (at + 1.5, unlist)]


def deploy(at: float, span: float) -> Steps:
    """Replaces most backends, some at a time: new ones come cold, old ones drain and end."""
    steps: Steps = []
    batches = 4
    old: list[list[str]] = []

    def batch(fleet: Fleet) -> None:
        leaving = [name for name in fleet.up() if not fleet.listed[name]["started"]][:2]
        old.append(leaving)
        for name in leaving:
            fleet.add_backend(cold=True)
            fleet.listed[name]["state"] = "draining"
        fleet.publish()

    def end(fleet: Fleet) -> None:
        for name in old.pop(0):
            fleet.listed.pop(name)
            fleet.kill(name)
        fleet.publish()

    for place in range(batches):
        steps += [(at + place * span / batches, batch), (at + place * span / batches + 3.0, end)]
    return steps


def grow(at: float, span: float) -> Steps:
    def more(fleet: Fleet) -> None:
        for _ in range(max(2, fleet.size.backends // 3)):
            fleet.add_backend(cold=True)
        fleet.publish()

    return [(at, more), (at + span / 3, lambda fleet: fleet.say("client", {"burst": 1.4}))]


def wrong_table(at: float, span: float) -> Steps:
    """Somebody lists most backends at a fiftieth of their weight; an operator goes back to the version before, at every
    controller, and the list is put right much later."""
    before: dict[str, int] = {}
    wrong: list[str] = []

    def spoil(fleet: Fleet) -> None:
        for name in fleet.controllers:
            if (told := fleet.ask(name, "/v1/tables/log", {"most": 1})) is not None:
                before[name] = told[0]["version"]
        wrong.extend(_some(fleet, fleet.up(), 0.6))
        for name in wrong:
            fleet.listed[name]["weight"] = 0.02
        fleet.publish()
        fleet.note({"what": "wrong", "backends": wrong})

    def undo(fleet: Fleet) -> None:
        for name, version in before.items():
            given = {"version": str(version), "seconds": 600.0}
            answer = fleet.ask(name, "/v1/tables/rollback", given)
            fleet.note({"what": "undo", "controller": name, "version": version, "done": answer is not None})

    def mend(fleet: Fleet) -> None:
        for name in wrong:
            if name in fleet.listed:
                fleet.listed[name]["weight"] = 1.0
        fleet.publish()

    return [(at, spoil), (at + 2.5, undo), (at + max(4.0, 0.9 * span), mend)]


def balancer_crash(at: float, span: float, what: str = "proxies", share: float = 0.5) -> Steps:
    def pick(fleet: Fleet) -> list[str]:
        return _some(fleet, list(getattr(fleet, what)), share)

    return _die(at, min(span, 2.0), pick, lambda fleet, name: fleet.serve(name))


def restart(at: float, span: float) -> Steps:
    """All controllers die with no warning in the middle of it, and come back on what their disks hold."""
    return _die(at + span / 3, 1.0, lambda fleet: list(fleet.controllers), lambda fleet, name: fleet.serve(name))


def balancer_stall(at: float, span: float) -> Steps:
    steps: Steps = []
    for place in range(max(1, int(span // 2))):
        chosen: list[str] = []

        def stop(fleet: Fleet, chosen: list[str] = chosen) -> None:
            chosen.extend(_some(fleet, [*fleet.controllers, *fleet.proxies], 0.4))
            for name in chosen:
                fleet.kill(name, signal.SIGSTOP)

        def go_on(fleet: Fleet, chosen: list[str] = chosen) -> None:
            for name in chosen:
                fleet.kill(name, signal.SIGCONT)

        steps += [(at + 2 * place, stop), (at + 2 * place + 0.8, go_on)]
    return steps


def zone_cut(at: float, span: float) -> Steps:
    def cut(zones: list[str]) -> Step:
        def step(fleet: Fleet) -> None:
            for name in ["wire", *(f"{proxy}-proxy" for proxy in fleet.proxies)]:
                fleet.say(name, {"cut": zones})

        return step

    return [(at, cut([ZONES[0]])), (at + span, cut([]))]


def flapping(at: float, span: float) -> Steps:
    steps: Steps = []
    for place in range(int(span // 2)):
        steps += _spell(at + 2 * place, 1.0, lambda fleet: fleet.up()[:2], {"connections": 0}, {"connections": 400})
    return steps


def siege(at: float, span: float) -> Steps:
    """Controllers are killed, stopped and cut off at random, most of the time one or two at once."""
    steps: Steps = []
    chance = random.Random(at)
    begin = at
    while begin < at + span:
        hold, what = chance.uniform(0.6, 3.0), chance.choice(("kill", "stop", "cut", "break"))
        chosen: list[str] = []

        def strike(fleet: Fleet, what: str = what, chosen: list[str] = chosen) -> None:
            chosen.extend(_some(fleet, list(fleet.controllers), 0.34))
            match what:
                case "kill" | "stop":
                    for name in chosen:
                        fleet.kill(name, signal.SIGKILL if what == "kill" else signal.SIGSTOP)
                case "cut":
                    fleet.say("wire", {"down": chosen})
                case _:
                    fleet.say("wire", {"break": 0.5})

        def mend(fleet: Fleet, what: str = what, chosen: list[str] = chosen) -> None:
            for name in chosen:
                if what == "kill" and fleet.processes[name].poll() is not None:
                    fleet.serve(name)
                elif what == "stop":
                    fleet.kill(name, signal.SIGCONT)
            fleet.say("wire", {"down": [], "break": 0.0})

        steps += [(begin, strike), (begin + hold, mend)]
        begin += hold + chance.uniform(0.2, 2.0)
    return steps


TROUBLES: dict[str, Callable[[float, float], Steps]] = {
    "crash": crash,
    "vanish": lambda at, span: _spell(at, span, _backends(0.2), {"silent": True}, {"silent": False}),
    "fast_errors": lambda at, span: _spell(at, span, _backends(0.2), {"errors": 0.8}, {"errors": 0.0}),
    "neighbour": lambda at, span: _spell(at, span, _backends(0.4), {"slower": 2.0}, {"slower": 1.0}),
    "burst": lambda at, span: _spell(at, min(span, 6.0), _one("client"), {"burst": 1.8}, {"burst": 1.0}),
    "zone_cut": zone_cut,
    "deploy": deploy,
    "balancer_crash": balancer_crash,
    "controller_crash": lambda at, span: balancer_crash(at, span, "controllers", 0.5),
    "restart": restart,
    "siege": siege,
    "shared_slow": lambda at, span: _spell(at, span, lambda fleet: fleet.up(), {"slower": 1.6}, {"slower": 1.0}),
    "origin_slow": lambda at, span: _spell(at, span, _one("wire"), {"bytes_per_s": 40_000}, {"bytes_per_s": 0}),
    "counter_down": lambda at, span: _spell(
        at, min(span, 6.0), _one("wire"), {"down": [f"p{n}" for n in range(3)]}, {"down": []}
    ),
    "reconnect": lambda at, span: _spell(at, 0.5, _one("wire"), {"break": 0.6}, {"break": 0.0}),
    "balancer_stall": balancer_stall,
    "grow": grow,
    "shift": lambda at, span: [
        (at, lambda fleet: fleet.say("client", {"to zone": ZONES[1], "shift": 0.6, "mix": 0.1}))
    ],
    "conn_squeeze": lambda at, span: _spell(
        at, span, lambda fleet: fleet.up(), {"connections": 12}, {"connections": 400}
    ),
    "false_reports": lambda at, span: _spell(
        at, span, _backends(0.25), {"slower": 2.0, "shown": 0.2}, {"slower": 1.0, "shown": 1.0}
    ),
    "answer_lost": lambda at, span: _spell(at, span, _backends(0.7), {"lost": 0.2}, {"lost": 0.0}),
    "class_fail": lambda at, span: _spell(at, span, _backends(0.4), {"failing group": "report"}, {"failing group": ""}),
    "flapping": flapping,
    "wrong_table": wrong_table,
    "discovery_down": lambda at, span: _spell(at, span, _one("discovery"), {"refuse": True}, {"refuse": False}),
}
DAYS = {
    "quiet": (),
    "storm": ("deploy", "burst", "balancer_crash"),
    "siege": ("siege",),
    "wrong": ("deploy", "burst", "balancer_crash", "wrong_table"),
    "restart": ("deploy", "restart"),
    "cut": ("zone_cut", "controller_crash"),
}


def script(name: str, seed: int, seconds: float) -> Steps:
    """The steps of a day, or of troubles joined by '+', in order. Raises KeyError for what there is none of."""
    troubles = DAYS[name] if name in DAYS else name.split("+")
    chance = random.Random(seed)
    steps: Steps = []
    for trouble in troubles:
        begin = 0.2 * seconds + chance.uniform(0.0, 0.1 * seconds)
        steps += TROUBLES[trouble](begin, 0.5 * seconds if trouble != "siege" else 0.75 * seconds)
    return sorted(steps, key=lambda step: step[0])
