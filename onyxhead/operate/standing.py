"""What operators ordered of a controller's backends, and the commands that did. No I/O.

A command has an id. The host keeps what `run` returns on disk before it acts or answers, so a command sent twice acts
once, and one whose answer was lost in a restart is either known, and its first answer is given again, or was never
begun.

Drained: out until restored. Cordoned: one that serves goes on, one that does not serve now, or starts anew, stays
out."""

from __future__ import annotations

import fnmatch
import re
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from onyxhead.controller.configuration.commit_plan import FleetFacts, drained, plan_commit
from onyxhead.controller.configuration.tree import RpcError, Tree

VERBS = ("drain", "restore", "cordon", "uncordon")
KEPT = 500
ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")


class Odd(ValueError):
    """No command; the text says why."""


class Backend(NamedTuple):
    """What selectors are held against."""

    id: str
    zone: str
    kind: str


class Command(NamedTuple):
    id: str
    verb: str
    names: tuple[str, ...]
    by: str
    dry_run: bool

    @classmethod
    def read(cls, given: Any) -> Command:  # noqa: ANN401
        """Raises Odd."""
        if not isinstance(given, dict):
            raise Odd("a command is an object")
        made = given.get("id"), given.get("verb"), given.get("names"), given.get("by", ""), given.get("dry_run", False)
        number, verb, names, by, dry_run = made
        if not isinstance(number, str) or not ID.fullmatch(number):
            raise Odd("id is missing, or no word of up to 64 letters, digits and _.:-")
        if verb not in VERBS:
            raise Odd(f"there is no {verb!r}; {', '.join(VERBS)} are")
        if not isinstance(names, list) or not names or not all(isinstance(each, str) and each for each in names):
            raise Odd("names is no list of selectors")
        if not isinstance(by, str) or not isinstance(dry_run, bool):
            raise Odd("by is no text, or dry_run neither true nor false")
        return cls(number, str(verb), tuple(names), by[:100], dry_run)

    def asks(self) -> list[Any]:
        return [self.verb, list(self.names)]


def selected(selectors: Iterable[str], backends: Iterable[Backend]) -> list[str]:
    """Backends that any selector takes: a name with * and ?, or `zone=`, `kind=`, joined by & where all must hold."""
    parts = [[each.strip() for each in selector.split("&")] for selector in selectors]
    return sorted({backend.id for backend in backends if any(all(_takes(p, backend) for p in each) for each in parts)})


def _takes(part: str, backend: Backend) -> bool:
    name, equals, wanted = part.partition("=")
    if equals and name in ("zone", "kind"):
        return fnmatch.fnmatchcase(backend.zone if name == "zone" else backend.kind, wanted)
    return fnmatch.fnmatchcase(backend.id, part)


class Standing:
    """`kept` is what `plain` returned in an earlier life."""

    def __init__(self, kept: Any = None) -> None:  # noqa: ANN401
        kept = kept if isinstance(kept, dict) else {}
        self.drained: set[str] = set(kept.get("drained", ()))
        self.cordoned: set[str] = set(kept.get("cordoned", ()))
        self.done: OrderedDict[str, dict[str, Any]] = OrderedDict(kept.get("done", ()))

    def plain(self) -> dict[str, Any]:
        return {"drained": sorted(self.drained), "cordoned": sorted(self.cordoned), "done": list(self.done.items())}

    def copy(self) -> Standing:
        return Standing(self.plain())

    def run(self, command: Command, tree: Tree, backends: Iterable[Backend], facts: FleetFacts) -> dict[str, Any]:
        """The answer to a command; what it changes is in effect in these books from now on. Raises Odd for an id that
        was given to another command."""
        known = self.done.get(command.id)
        if known is not None:
            if known["asked"] != command.asks():
                raise Odd(f"id {command.id!r} was given to another command: {' '.join(map(str, known['asked']))}")
            return known | {"again": True}
        chosen = selected(command.names, backends)
        # What was ordered of a backend that is gone can still be taken back.
        if command.verb in ("restore", "uncordon"):
            held = self.drained | self.cordoned
            chosen = sorted({*chosen, *selected(command.names, [Backend(name, "", "") for name in held])})
        answer: dict[str, Any] = {"id": command.id, "asked": command.asks(), "by": command.by, "backends": chosen}
        if not chosen:
            answer |= {"status": "refused", "why": "no backend here is called so"}
        else:
            answer |= self._effect(command, tree, chosen, facts)
        if not command.dry_run:
            self.done[command.id] = answer
            while len(self.done) > KEPT:
                self.done.popitem(last=False)
        return answer | {"dry_run": command.dry_run}

    def _effect(self, command: Command, tree: Tree, chosen: list[str], facts: FleetFacts) -> dict[str, Any]:
        drains, cordons = set(self.drained), set(self.cordoned)
        match command.verb:
            case "drain":
                drains |= set(chosen)
            case "restore":
                drains -= set(chosen)
                cordons -= set(chosen)
            case "cordon":
                cordons |= set(chosen)
            case "uncordon":
                cordons -= set(chosen)
        changed = sorted((drains ^ self.drained) | (cordons ^ self.cordoned))
        try:
            plan = plan_commit(over(tree, self.drained), over(tree, drains), facts)
        except RpcError as problem:
            return {"status": "refused", "why": problem.text, "changed": []}
        if command.verb == "restore" and (held := sorted(set(chosen) & drained(tree))):
            why = f"{', '.join(held)}: drained by the configuration, and only that can restore them"
            return {"status": "refused", "why": why, "changed": []}
        if not command.dry_run:
            self.drained, self.cordoned = drains, cordons
        why = "" if changed else "it was so already"
        return {"status": "applied", "why": why, "changed": changed, "channel_s": round(plan.seconds, 3)}


def over(tree: Tree, drains: Iterable[str]) -> Tree:
    """A configuration tree with these backends drained besides its own."""
    rows = {each["id"]: dict(each) for each in tree.get("backend", ())}
    for name in drains:
        rows[name] = rows.get(name, {"id": name}) | {"drained": True}
    return {**tree, "backend": [rows[name] for name in sorted(rows)]}


def held_out(standing: Standing, entry_id: str, started: float, serving: Mapping[str, float]) -> bool:
    """Whether an operator's word keeps this backend out; `serving` are those in use now, with their starts."""
    if entry_id in standing.drained:
        return True
    return entry_id in standing.cordoned and serving.get(entry_id) != started
