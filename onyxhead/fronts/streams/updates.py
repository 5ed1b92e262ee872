"""What proxies are told: updates as values, their cost in lines, and their bytes on the stream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from onyxhead.fronts.streams.resp import encode_message
from onyxhead.settings.instance import format_number

MAX_PARTS = 64
"""Messages that one update may be split into."""

# Kinds and fields of the protocol.
UPDATE = b"assign"
WITHDRAWN = b"drop"
RESTORED = b"undrop"
GROUPS = b"for"
REPLACES_TABLE = b"replace"
TABLE_LINES = b"rows"
ADMISSION_LEVEL = b"gate"
RETRY_MODE = b"again"
ROUND = b"stamp"
MORE_PARTS = b"part"
TRUE = b"1"

HEARTBEAT_REPLY = encode_message([b"hb_ok"])


class AdmissionUpdate(NamedTuple):
    """How many requests of some traffic groups a proxy admits, and how it retries. No groups means all."""

    groups: tuple[int, ...]
    level: float
    retry_mode: int


class TableUpdate(NamedTuple):
    """Lines of the table that some traffic groups use, as pairs of backend and weight. No groups means all.

    With `replaces_table` they are the whole table, else the lines that changed; a weight of 0 removes a line.
    """

    groups: tuple[int, ...]
    replaces_table: bool
    lines: tuple[tuple[str, float], ...]


class ProxyUpdate(NamedTuple):
    """All that one decision round tells one proxy. `round_number` is 0 where no acknowledgement is asked for."""

    withdrawn: tuple[str, ...]
    restored: tuple[str, ...]
    tables: tuple[TableUpdate, ...]
    admission: tuple[AdmissionUpdate, ...]
    round_number: int

    @property
    def line_count(self) -> int:
        """The lines that the message adds to the channel beyond its fixed overhead."""
        table_lines = sum(len(table.lines) + table.replaces_table for table in self.tables)
        withdrawals = len(self.withdrawn) + len(self.restored)
        return withdrawals + table_lines + len(self.admission) + (self.round_number > 0)


class UpdateEncoder:
    """Turns updates into bytes; `groups` are the names of the traffic groups by number."""

    def __init__(self, groups: tuple[str, ...]) -> None:
        self.group_names = [name.encode() for name in groups]

    def encode(self, update: ProxyUpdate) -> bytes:
        """One update, split into as many messages as its tables and levels need.

        Raises ValueError if that is more than the protocol allows.
        """
        parts = list(self._parts(update)) or [[]]
        if len(parts) > MAX_PARTS:
            raise ValueError(f"{len(parts)} parts in one message")
        # Withdrawals come first: what a proxy must stop doing should not wait for the rest to be read.
        if update.restored:
            parts[0][:0] = [RESTORED, ",".join(update.restored).encode()]
        if update.withdrawn:
            parts[0][:0] = [WITHDRAWN, ",".join(update.withdrawn).encode()]
        if update.round_number:
            parts[-1] += [ROUND, b"%d" % update.round_number]
        for part in parts[:-1]:
            part += [MORE_PARTS, TRUE]
        return b"".join(encode_message([UPDATE, *part]) for part in parts)

    def _parts(self, update: ProxyUpdate) -> Iterator[list[bytes]]:
        for table in update.tables:
            part = self._groups_field(table.groups)
            if table.replaces_table:
                part += [REPLACES_TABLE, TRUE]
            if table.lines:
                lines = ",".join(f"{backend}:{format_number(weight)}" for backend, weight in table.lines)
                part += [TABLE_LINES, lines.encode()]
            yield part
        for admission in update.admission:
            level = [ADMISSION_LEVEL, format_number(admission.level).encode()]
            yield [*self._groups_field(admission.groups), *level, RETRY_MODE, b"%d" % admission.retry_mode]

    def _groups_field(self, groups: tuple[int, ...]) -> list[bytes]:
        return [GROUPS, b"+".join(self.group_names[group] for group in groups)] if groups else []


def encode_rejection(reason: str) -> bytes:
    """The last message to a client that is rejected."""
    return encode_message([b"reject", b"why", reason.encode()])
