"""The clock, log and counters that all parts of a node share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from onyxhead.clock import Clock
from onyxhead.node import counters
from onyxhead.node.json_log import JsonLog


@dataclass(slots=True)
class NodeContext:
    """The clock, log and counters of one node."""

    clock: Clock
    log: JsonLog
    counts: Counter[str] = field(default_factory=Counter)

    def internal_error(self, operation: str, error: str) -> None:
        """Count an error in the node's own code, and log each distinct error once.

        The node continues to run.
        """
        self.counts[counters.INTERNAL_ERRORS] += 1
        self.log.event_once("internal error", error, operation=operation)
