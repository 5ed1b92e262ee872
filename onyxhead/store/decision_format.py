"""Encoding of decisions in stored records of decision rounds, in the log and in answers of `/v1/orders`.

A decision is a list that begins with its kind, followed by:

    withdraw, readmit: backend
    lines:             table, {backend: weight}
    level:             table, groups, level, retry mode
    assign:            proxy, table, groups
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal

WEIGHT_DECIMALS = 6
LEVEL_DECIMALS = 4


class DecisionKind(StrEnum):
    """The kind of an encoded decision, which is the first element of its list."""

    WITHDRAW = "withdraw"
    READMIT = "readmit"
    LINES = "lines"
    LEVEL = "level"
    ASSIGN = "assign"


def encode_decisions(decisions: Iterable[Decision]) -> list[list[Any]]:
    """Return the decisions that concern proxies as JSON values; other decisions are left out."""
    encoded = (_encode(decision) for decision in decisions)
    return [values for values in encoded if values is not None]


def _encode(decision: Decision) -> list[Any] | None:
    match decision:
        case Withdrawal(backend, withdrawn):
            kind = DecisionKind.WITHDRAW if withdrawn else DecisionKind.READMIT
            return [kind.value, backend]
        case TableChange(table, lines):
            weights = {backend: round(weight, WEIGHT_DECIMALS) for backend, weight in lines}
            return [DecisionKind.LINES.value, table, weights]
        case AdmissionLevel(table, groups, level, retry_mode):
            return [DecisionKind.LEVEL.value, table, list(groups), round(level, LEVEL_DECIMALS), retry_mode]
        case TableAssignment(proxy, table, groups):
            return [DecisionKind.ASSIGN.value, proxy, table, list(groups)]
    return None
