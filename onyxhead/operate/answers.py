"""The answer to an operator's command, as the controller stores and sends it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class CommandStatus(StrEnum):
    """How a command ended, as its sender knows it; a controller answers only the first two."""

    APPLIED = "applied"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """The controller gave no answer."""


@dataclass(frozen=True, slots=True)
class CommandEffect:
    """What a command did, or would do in a dry run.

    `changed` are the backends whose overrides changed; `channel_seconds` is the time that the resulting updates take on
    the channel. Both are None where the command was refused before that was known.
    """

    status: CommandStatus
    reason: str
    changed: list[str] | None = None
    channel_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class CommandAnswer:
    """A command with its effect. `repeated` marks the first answer given again to a command that was sent again."""

    command_id: str
    request: list[Any]
    operator: str
    backends: list[str]
    effect: CommandEffect
    dry_run: bool = False
    repeated: bool = False

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> CommandAnswer:
        """Return the answer that `to_record` stored."""
        effect = CommandEffect(
            CommandStatus(record["status"]), record["why"], record.get("changed"), record.get("channel_s")
        )
        return cls(record["id"], record["asked"], record["by"], record["backends"], effect)

    def to_record(self) -> dict[str, Any]:
        """Return the answer under its stored names."""
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
        """Return the answer as it is sent."""
        return self.to_record() | ({"again": True} if self.repeated else {"dry_run": self.dry_run})
