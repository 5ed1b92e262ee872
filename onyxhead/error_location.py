"""Describes an unexpected exception on one line, for a log line or a reply."""

from __future__ import annotations

import traceback


def describe_error(error: Exception) -> str:
    """Return an exception's type, message, function and line number, on one line."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return " ".join(f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})".split())
