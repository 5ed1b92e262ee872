"""nginx's `proxy_pass` as the target of a location."""

from __future__ import annotations

import re

from onyxhead.fronts.nginx.directives import Directive
from onyxhead.fronts.nginx.errors import DirectiveError
from onyxhead.fronts.nginx.import_context import ImportContext
from onyxhead.routing.model import REGEX_KINDS, LocationKind, Pool, Server, Target

PORTS_BY_SCHEME = {"http": 80, "https": 443}
TLS_NOT_SET_UP = "TLS to the backend is the proxy's to set up"
IMPLIED_POOL = "an address, made a pool of its own"


def import_proxy_pass(directive: Directive, kind: LocationKind, context: ImportContext) -> Target | None:
    """Return the target of a `proxy_pass` in a location of this kind; None if it can't be carried over."""
    try:
        scheme, name, path = _parse_url(directive.arguments[0], kind)
    except DirectiveError as error:
        context.report.not_carried(directive, str(error))
        return None
    if "$" in name:
        context.report.changed(directive, "with a variable the path is sent as it stands" if path is not None else "")
        return Target("", name.strip("${}"), path, scheme)
    difference = TLS_NOT_SET_UP if scheme == "https" else ""
    if name not in context.pools and name not in context.upstream_names:
        address = name if ":" in name else f"{name}:{PORTS_BY_SCHEME[scheme]}"
        context.implied_pools[name] = Pool(name, (Server(address),))
        difference = difference or IMPLIED_POOL
    context.report.changed(directive, difference)
    return Target(name, "", path, scheme)


def _parse_url(url: str, kind: LocationKind) -> tuple[str, str, str | None]:
    """Return scheme, upstream or address, and path. Raises DirectiveError for what can't be carried over."""
    match = re.fullmatch(r"(https?)://([^/]+)(/.*)?", url)
    if match is None:
        raise DirectiveError("neither http nor https, or the whole address is a variable")
    scheme, name, path = match.groups()
    if path is not None and kind in REGEX_KINDS:
        raise DirectiveError("a path after an expression replaces nothing; nginx refuses it too")
    if path is not None and "$" in path:
        raise DirectiveError("variables in the path")
    if "$" in name and not re.fullmatch(r"\$\{?\w+\}?", name):
        raise DirectiveError("a name put together from variables")
    return scheme, name, path
