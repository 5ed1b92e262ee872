"""A short description of an unexpected exception, for a log line or a reply."""

from __future__ import annotations

import traceback


def describe_error(error: Exception) -> str:
    """An exception and where it was raised, on one line."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return " ".join(f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})".split())
