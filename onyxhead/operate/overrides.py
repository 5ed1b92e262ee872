"""Operators' overrides of one controller's backends, and the answers to the commands that made them. No I/O.

The controller stores `to_record` before it acts on a command or answers it. A command that is sent twice is therefore
executed only once, even if the controller restarts in between: either its answer was stored and is given again, or its
execution had not begun.

A drained backend is out of use until it is restored. A cordoned backend that serves stays in use until it restarts; a
cordoned backend that does not serve stays out of use.
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
"""Number of latest commands whose answers are kept for repeated requests."""


class BackendOverrides:
    """The drained and cordoned backends, and the answers to completed commands."""

    def __init__(self, record: Any = None) -> None:  # noqa: ANN401  # a stored value
        """Restore the state from a record of `to_record`; start empty if `record` is not a dictionary."""
        record = record if isinstance(record, dict) else {}
        self.drained: set[str] = set(record.get("drained", ()))
        self.cordoned: set[str] = set(record.get("cordoned", ()))
        self.completed: OrderedDict[str, CommandAnswer] = OrderedDict(
            (command_id, CommandAnswer.from_record(answer)) for command_id, answer in record.get("done", ())
        )

    def to_record(self) -> dict[str, Any]:
        """Return the state as a record for the store."""
        completed = [(command_id, answer.to_record()) for command_id, answer in self.completed.items()]
        return {"drained": sorted(self.drained), "cordoned": sorted(self.cordoned), "done": completed}

    def copy(self) -> BackendOverrides:
        """Return an independent copy."""
        copy = BackendOverrides()
        copy.drained, copy.cordoned = set(self.drained), set(self.cordoned)
        copy.completed = self.completed.copy()
        return copy

    def execute(self, command: Command, tree: Tree, backends: Iterable[Backend], facts: FleetFacts) -> CommandAnswer:
        """Execute a command and return its answer; return the earlier answer if the command was executed before.

        Raise CommandError if the id was already used for another command.
        """
        earlier = self.completed.get(command.command_id)
        if earlier is not None:
            if earlier.request != command.request():
                earlier_request = " ".join(map(str, earlier.request))
                raise CommandError(f"id {command.command_id!r} was already used for another command: {earlier_request}")
            return replace(earlier, repeated=True)
        selected = self._select(command, backends)
        if selected:
            effect = self._apply(command, tree, selected, facts)
        else:
            effect = CommandEffect(CommandStatus.REFUSED, "no backend of this controller matches")
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
        # The endpoint list may no longer hold an overridden backend; its override can still be removed.
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
            reason = f"{', '.join(configured)}: drained by the configuration, which alone can restore them"
            return CommandEffect(CommandStatus.REFUSED, reason, [])
        if not command.dry_run:
            self.drained, self.cordoned = drains, cordons
        reason = "" if changed else "nothing to change"
        return CommandEffect(CommandStatus.APPLIED, reason, changed, round(plan.channel_time_s, 3))

    def _remember(self, answer: CommandAnswer) -> None:
        self.completed[answer.command_id] = answer
        while len(self.completed) > MAX_COMPLETED:
            self.completed.popitem(last=False)


def with_drains(tree: Tree, drains: Iterable[str]) -> Tree:
    """Return a copy of a configuration tree in which these backends are drained too."""
    entries = {entry["id"]: dict(entry) for entry in tree.get("backend", ())}
    for backend in drains:
        entries[backend] = entries.get(backend, {"id": backend}) | {"drained": True}
    return {**tree, "backend": [entries[backend] for backend in sorted(entries)]}


def keeps_out(overrides: BackendOverrides, backend: str, started: float, serving: Mapping[str, float]) -> bool:
    """Return whether an override keeps a backend out of use.

    `started` is the start time of the backend in the endpoint list. `serving` maps the backends in use to their start
    times.
    """
    if backend in overrides.drained:
        return True
    return backend in overrides.cordoned and serving.get(backend) != started
