"""The base of the node's exceptions."""

from __future__ import annotations


class NodeError(Exception):
    """Something from outside can't be used by the node; the text says what and why."""
