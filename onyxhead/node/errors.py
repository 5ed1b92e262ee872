"""The base class of the node's exceptions."""

from __future__ import annotations


class NodeError(Exception):
    """Input such as a file or a response is unusable; the message names the input and the cause."""
