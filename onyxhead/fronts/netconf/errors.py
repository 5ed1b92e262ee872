"""Errors in received messages; the session turns them into an `rpc-error` or ends."""

from __future__ import annotations


class NetconfError(Exception):
    """Base class of the errors raised while messages are received."""


class FramingError(NetconfError):
    """The peer violated the framing or a size limit, so the session must end (RFC 6242, section 4.2)."""


class MalformedXmlError(NetconfError):
    """A message is not well-formed XML, has a document type declaration or entities, or exceeds a limit."""
