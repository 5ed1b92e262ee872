"""Finds the virtual host for a request, by the rules that nginx publishes for `server_name`."""

from __future__ import annotations

import re
from collections.abc import Iterable

from onyxhead.routing.model import VirtualHost


class VirtualHostTable:
    """Finds the virtual host for a host name.

    The first match counts, in this order: an exact name; the longest `*.x`; the longest `x.*`; a regular expression, in
    the order of the configuration; the default host. The default host is the first with `is_default`, or else the first
    of all."""

    def __init__(self, hosts: Iterable[VirtualHost]) -> None:
        self._by_name: dict[str, VirtualHost] = {}
        self._by_suffix: dict[str, VirtualHost] = {}
        self._by_prefix: dict[str, VirtualHost] = {}
        self._by_regex: list[tuple[re.Pattern[str], VirtualHost]] = []
        self._default: VirtualHost | None = None
        for host in hosts:
            if self._default is None or (host.is_default and not self._default.is_default):
                self._default = host
            for name in host.names:
                self._add(name, host)

    def _add(self, name: str, host: VirtualHost) -> None:
        if name.startswith("~"):
            self._by_regex.append((re.compile(name[1:], re.IGNORECASE), host))
            return
        name = name.lower()
        if name.startswith("."):
            self._by_name.setdefault(name[1:], host)
            self._by_suffix.setdefault(name, host)
        elif name.startswith("*."):
            self._by_suffix.setdefault(name[1:], host)
        elif name.endswith(".*"):
            self._by_prefix.setdefault(name[:-1], host)
        else:
            self._by_name.setdefault(name, host)

    def find(self, name: str) -> VirtualHost | None:
        """Return the virtual host for the value of a Host header; None only if there are no hosts.

        The port is ignored, and so is a dot at the end."""
        name = name.lower().rstrip(".")
        if not name.startswith("["):
            name = name.partition(":")[0]
        if name in self._by_name:
            return self._by_name[name]
        dots = [index for index, character in enumerate(name) if character == "."]
        for dot in dots:
            if (host := self._by_suffix.get(name[dot:])) is not None and dot:
                return host
        for dot in reversed(dots):
            if (host := self._by_prefix.get(name[: dot + 1])) is not None:
                return host
        return next((host for pattern, host in self._by_regex if pattern.search(name)), self._default)
