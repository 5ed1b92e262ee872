"""Errors in received messages; the session turns them into an `rpc-error` or ends."""

from __future__ import annotations


class NetconfError(Exception):
    """Base class of errors in the framing or the XML of received messages."""


class FramingError(NetconfError):
    """The peer violated the framing or a size limit, so the session must end (RFC 6242, section 4.2)."""


class MalformedXmlError(NetconfError):
    """A message is not well-formed XML, has a document type declaration or entities, or exceeds a limit."""
