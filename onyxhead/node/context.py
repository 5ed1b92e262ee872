"""What every part of a node shares: its clock, its log and its counters."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from onyxhead.clock import Clock
from onyxhead.node import counters
from onyxhead.node.json_log import JsonLog


@dataclass(slots=True)
class NodeContext:
    """One for each node."""

    clock: Clock
    log: JsonLog
    counts: Counter[str] = field(default_factory=Counter)

    def internal_error(self, operation: str, error: str) -> None:
        """Counts an error of the node itself and logs it once; it ends nothing else."""
        self.counts[counters.INTERNAL_ERRORS] += 1
        self.log.event_once("internal error", error, operation=operation)
