"""Errors of the NETCONF interface below the level of `rpc-error`."""

from __future__ import annotations


class NetconfError(Exception):
    """Base class of all errors of this package."""


class FramingError(NetconfError):
    """The peer broke the framing or exceeded a limit; the session can only end (RFC 6242, section 4.2)."""


class MalformedXmlError(NetconfError):
    """A message is not well-formed XML, or uses what is not accepted here."""
