"""Normalization of request paths, and the paths of requests that are forwarded to backends."""

from __future__ import annotations

import re

from onyxhead.routing.model import PREFIX_KINDS, Location, Target


def normalize_path(path: str) -> str:
    """Return the path that is matched against locations.

    The query and the fragment are removed, percent-encoding is decoded, and `.`, `..` and repeated slashes are
    resolved."""
    path = path.partition("?")[0].partition("#")[0]
    path = re.sub(r"%([0-9A-Fa-f]{2})", lambda match: chr(int(match[1], 16)), path)
    segments: list[str] = []
    for segment in path.split("/")[1:]:
        if segment == "..":
            if segments:
                segments.pop()
        elif segment not in (".", ""):
            segments.append(segment)
    trailing_slash = "/" if path.endswith(("/", "/.", "/..")) and segments else ""
    return "/" + "/".join(segments) + trailing_slash


def backend_path(location: Location, target: Target, path: str, normalized_path: str) -> str:
    """Return the path that is sent to the backend, with the query of the request.

    If the target has a path, it replaces the part of the request path that the location matched."""
    if target.path is None:
        return path
    matched_length = len(location.pattern) if location.kind in ("exact", *PREFIX_KINDS) else 0
    query = path.partition("?")[2]
    replaced_path = target.path + normalized_path[matched_length:] if matched_length else target.path
    return replaced_path + (f"?{query}" if query else "")
