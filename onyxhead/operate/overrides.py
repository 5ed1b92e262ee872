"""Operators' overrides of one controller's backends, and the commands that made them. No I/O.

The controller stores `to_record` before it acts on a command or answers it. A command sent twice therefore acts once:
after a restart it is either known, and its first answer is given again, or it was never begun.

A drained backend is out until it is restored. A cordoned one stays out if it does not serve now or starts anew; one
that serves goes on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from onyxhead.controller.configuration.commit_plan import FleetFacts, drained_backends, plan_commit
from onyxhead.controller.configuration.tree import RpcError, Tree
from onyxhead.operate.answers import CommandAnswer, CommandEffect, CommandStatus
from onyxhead.operate.commands import Backend, Command, CommandError, select_backends

MAX_COMPLETED = 500
"""Commands whose answers are kept for a repeated request."""


class BackendOverrides:
    """The drained and cordoned backends, and the answers to completed commands."""

    def __init__(self, record: Any = None) -> None:  # noqa: ANN401  # a stored value
        """Start from what `to_record` returned; anything but a dictionary counts as none."""
        record = record if isinstance(record, dict) else {}
        self.drained: set[str] = set(record.get("drained", ()))
        self.cordoned: set[str] = set(record.get("cordoned", ()))
        self.completed: OrderedDict[str, CommandAnswer] = OrderedDict(
            (command_id, CommandAnswer.from_record(answer)) for command_id, answer in record.get("done", ())
        )

    def to_record(self) -> dict[str, Any]:
        """Return the state to be stored."""
        completed = [(command_id, answer.to_record()) for command_id, answer in self.completed.items()]
        return {"drained": sorted(self.drained), "cordoned": sorted(self.cordoned), "done": completed}

    def copy(self) -> BackendOverrides:
        """Return an independent copy."""
        copy = BackendOverrides()
        copy.drained, copy.cordoned = set(self.drained), set(self.cordoned)
        copy.completed = self.completed.copy()
        return copy

    def execute(self, command: Command, tree: Tree, backends: Iterable[Backend], facts: FleetFacts) -> CommandAnswer:
        """Apply a command and return its answer.

        Raises CommandError for an id that was already used for another command.
        """
        known = self.completed.get(command.command_id)
        if known is not None:
            if known.request != command.request():
                earlier = " ".join(map(str, known.request))
                raise CommandError(f"id {command.command_id!r} was given to another command: {earlier}")
            return replace(known, repeated=True)
        selected = self._select(command, backends)
        if selected:
            effect = self._apply(command, tree, selected, facts)
        else:
            effect = CommandEffect(CommandStatus.REFUSED, "no backend here is called so")
        answer = CommandAnswer(
            command.command_id, command.request(), command.operator, selected, effect, command.dry_run
        )
        if not command.dry_run:
            self._remember(answer)
        return answer

    def _select(self, command: Command, backends: Iterable[Backend]) -> list[str]:
        selected = select_backends(command.selectors, backends)
        if command.verb not in ("restore", "uncordon"):
            return selected
        # An override of a backend that is no longer listed can still be removed.
        overridden = [Backend(name, "", "") for name in self.drained | self.cordoned]
        return sorted({*selected, *select_backends(command.selectors, overridden)})

    def _apply(self, command: Command, tree: Tree, selected: list[str], facts: FleetFacts) -> CommandEffect:
        drains, cordons = set(self.drained), set(self.cordoned)
        match command.verb:
            case "drain":
                drains |= set(selected)
            case "restore":
                drains -= set(selected)
                cordons -= set(selected)
            case "cordon":
                cordons |= set(selected)
            case "uncordon":
                cordons -= set(selected)
        changed = sorted((drains ^ self.drained) | (cordons ^ self.cordoned))
        try:
            plan = plan_commit(with_drains(tree, self.drained), with_drains(tree, drains), facts)
        except RpcError as error:
            return CommandEffect(CommandStatus.REFUSED, error.text, [])
        if command.verb == "restore" and (configured := sorted(set(selected) & drained_backends(tree))):
            reason = f"{', '.join(configured)}: drained by the configuration, and only that can restore them"
            return CommandEffect(CommandStatus.REFUSED, reason, [])
        if not command.dry_run:
            self.drained, self.cordoned = drains, cordons
        reason = "" if changed else "it was so already"
        return CommandEffect(CommandStatus.APPLIED, reason, changed, round(plan.channel_time_s, 3))

    def _remember(self, answer: CommandAnswer) -> None:
        self.completed[answer.command_id] = answer
        while len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)


def with_drains(tree: Tree, drains: Iterable[str]) -> Tree:
    """Return a configuration tree with these backends drained besides its own."""
    rows = {each["id"]: dict(each) for each in tree.get("backend", ())}
    for name in drains:
        rows[name] = rows.get(name, {"id": name}) | {"drained": True}
    return {**tree, "backend": [rows[name] for name in sorted(rows)]}


def keeps_out(overrides: BackendOverrides, backend: str, started: float, serving: Mapping[str, float]) -> bool:
    """Tell whether an override keeps this backend out; `serving` maps the backends in use to their start times."""
    if backend in overrides.drained:
        return True
    return backend in overrides.cordoned and serving.get(backend) != started
