"""Imports nginx's `proxy_pass` directive as the target of a location."""

from __future__ import annotations

import re

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.routing.model import REGEX_KINDS, LocationKind, Pool, Server, Target

PORTS_BY_SCHEME = {"http": 80, "https": 443}
TLS_NOT_SET_UP = "TLS to the backend has to be configured in the proxy"
IMPLIED_POOL = "the address becomes a pool of its own"


def import_proxy_pass(directive: Directive, kind: LocationKind, context: ImportContext) -> Target | None:
    """Return the target of a `proxy_pass` in a location of this kind, or None if it cannot be carried over."""
    try:
        scheme, name, path = _parse_url(directive.arguments[0], kind)
    except DirectiveError as error:
        context.report.add_not_carried(directive, str(error))
        return None
    if "$" in name:
        context.report.add_changed(
            directive,
            "nginx would send only this path; here the unmatched rest of the request path follows it"
            if path is not None
            else "",
        )
        return Target("", name.strip("${}"), path, scheme)
    difference = TLS_NOT_SET_UP if scheme == "https" else ""
    if name not in context.pools and name not in context.upstream_names:
        address = name if ":" in name else f"{name}:{PORTS_BY_SCHEME[scheme]}"
        context.implied_pools[name] = Pool(name, (Server(address),))
        difference = difference or IMPLIED_POOL
    context.report.add_changed(directive, difference)
    return Target(name, "", path, scheme)


def _parse_url(url: str, kind: LocationKind) -> tuple[str, str, str | None]:
    """Return the scheme, the upstream or address, and the path of a URL.

    Raise DirectiveError if the URL cannot be carried over."""
    match = re.fullmatch(r"(https?)://([^/]+)(/.*)?", url)
    if match is None:
        raise DirectiveError("the URL does not begin with http:// or https://, or is a variable as a whole")
    scheme, name, path = match.groups()
    if path is not None and kind in REGEX_KINDS:
        raise DirectiveError("a path is not allowed in a location with a regular expression; nginx rejects it too")
    if path is not None and "$" in path:
        raise DirectiveError("variables in the path are not supported")
    if "$" in name and not re.fullmatch(r"\$\{?\w+\}?", name):
        raise DirectiveError("a host that is composed of variables and text is not supported")
    return scheme, name, path
