"""Decisions as plain values, for the log and the stored journal of decision rounds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal

WEIGHT_DIGITS, LEVEL_DIGITS = 6, 4


def journal_entries(decisions: Iterable[Decision]) -> list[list[Any]]:
    """The decisions that concern proxies; the others are left out."""
    entries = [_entry(decision) for decision in decisions]
    return [entry for entry in entries if entry]


def _entry(decision: Decision) -> list[Any] | None:
    match decision:
        case Withdrawal(backend, withdrawn):
            return ["withdraw" if withdrawn else "readmit", backend]
        case TableChange(table, lines):
            return ["lines", table, {backend: round(weight, WEIGHT_DIGITS) for backend, weight in lines}]
        case AdmissionLevel(table, groups, level, retry_mode):
            return ["level", table, list(groups), round(level, LEVEL_DIGITS), retry_mode]
        case TableAssignment(proxy, table, groups):
            return ["assign", proxy, table, list(groups)]
    return None
