"""Messages that a node sends to proxies: typed updates, their channel cost in lines, and their encoding."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from onyxhead.fronts.streams.resp import encode_message
from onyxhead.settings.instance import format_number

MAX_PARTS = 64
"""The highest number of messages that one update may be split into."""

# Message kinds, field names and field values of the stream protocol.
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
    """The admission level and the retry mode of some traffic groups at a proxy. An empty `groups` means all groups."""

    groups: tuple[int, ...]
    level: float
    retry_mode: int


class TableUpdate(NamedTuple):
    """Lines of the table that some traffic groups use, as pairs of backend and weight.

    An empty `groups` means all groups. With `replaces_table` the lines are the whole table; otherwise they are the
    changed lines, and a weight of 0 removes a line.
    """

    groups: tuple[int, ...]
    replaces_table: bool
    lines: tuple[tuple[str, float], ...]


class ProxyUpdate(NamedTuple):
    """Everything that one decision round sends to one proxy.

    A `round_number` of 0 means that no acknowledgement is requested.
    """

    withdrawn: tuple[str, ...]
    restored: tuple[str, ...]
    tables: tuple[TableUpdate, ...]
    admission: tuple[AdmissionUpdate, ...]
    round_number: int

    @property
    def line_count(self) -> int:
        """The channel cost of this update in lines, without the fixed overhead of a message."""
        table_lines = sum(len(table.lines) + table.replaces_table for table in self.tables)
        withdrawals = len(self.withdrawn) + len(self.restored)
        return withdrawals + table_lines + len(self.admission) + (self.round_number > 0)


class UpdateEncoder:
    """Encodes updates as bytes; `groups` holds the name of each traffic group at the index of its number."""

    def __init__(self, groups: tuple[str, ...]) -> None:
        self.group_names = [name.encode() for name in groups]

    def encode(self, update: ProxyUpdate) -> bytes:
        """Return the bytes of one update: a message for each table and each admission level, at least one.

        Raise ValueError if these are more than MAX_PARTS messages.
        """
        parts = list(self._encode_parts(update)) or [[]]
        if len(parts) > MAX_PARTS:
            raise ValueError(f"an update of {len(parts)} parts, allowed are {MAX_PARTS}")
        # Withdrawals come first, so a proxy stops using a withdrawn backend before it reads the rest of the update.
        if update.restored:
            parts[0][:0] = [RESTORED, ",".join(update.restored).encode()]
        if update.withdrawn:
            parts[0][:0] = [WITHDRAWN, ",".join(update.withdrawn).encode()]
        if update.round_number:
            parts[-1] += [ROUND, b"%d" % update.round_number]
        for part in parts[:-1]:
            part += [MORE_PARTS, TRUE]
        return b"".join(encode_message([UPDATE, *part]) for part in parts)

    def _encode_parts(self, update: ProxyUpdate) -> Iterator[list[bytes]]:
        """Yield the fields of each table update, then of each admission update."""
        for table in update.tables:
            part = self._groups_field(table.groups)
            if table.replaces_table:
                part += [REPLACES_TABLE, TRUE]
            if table.lines:
                lines = ",".join(f"{backend}:{format_number(weight)}" for backend, weight in table.lines)
                part += [TABLE_LINES, lines.encode()]
            yield part
        for admission in update.admission:
            level_field = [ADMISSION_LEVEL, format_number(admission.level).encode()]
            yield [*self._groups_field(admission.groups), *level_field, RETRY_MODE, b"%d" % admission.retry_mode]

    def _groups_field(self, groups: tuple[int, ...]) -> list[bytes]:
        return [GROUPS, b"+".join(self.group_names[group] for group in groups)] if groups else []


def encode_rejection(reason: str) -> bytes:
    """Return the message that tells a client why it is rejected; no message follows it on the connection."""
    return encode_message([b"reject", b"why", reason.encode()])
