"""The answer to an operator's command, as the controller stores and sends it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class CommandStatus(StrEnum):
    """The result of a command as its sender knows it. A controller answers only APPLIED or REFUSED."""

    APPLIED = "applied"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """The controller gave no answer."""


@dataclass(frozen=True, slots=True)
class CommandEffect:
    """The effect of a command, or the effect it would have in the case of a dry run.

    `changed` lists the backends whose overrides change; `channel_seconds` is the time for which the resulting updates
    occupy the channel. Either is None if the command was refused before the value was computed.
    """

    status: CommandStatus
    reason: str
    changed: list[str] | None = None
    channel_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """A command with its effect.

    `repeated` marks the stored answer to a command that has been executed before and is received again.
    """

    command_id: str
    request: list[Any]
    operator: str
    backends: list[str]
    effect: CommandEffect
    dry_run: bool = False
    repeated: bool = False

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> CommandAnswer:
        """Return the answer from a record that `to_record` made."""
        effect = CommandEffect(
            CommandStatus(record["status"]), record["why"], record.get("changed"), record.get("channel_s")
        )
        return cls(record["id"], record["asked"], record["by"], record["backends"], effect)

    def to_record(self) -> dict[str, Any]:
        """Return the answer as a record with the field names of the store."""
        record: dict[str, Any] = {
            "id": self.command_id,
            "asked": self.request,
            "by": self.operator,
            "backends": self.backends,
            "status": self.effect.status.value,
            "why": self.effect.reason,
        }
        if self.effect.changed is not None:
            record["changed"] = self.effect.changed
        if self.effect.channel_seconds is not None:
            record["channel_s"] = self.effect.channel_seconds
        return record

    def to_json(self) -> dict[str, Any]:
        """Return the answer as the JSON object that the controller sends."""
        return self.to_record() | ({"again": True} if self.repeated else {"dry_run": self.dry_run})
