"""Request paths: their normal form, and the path under which a backend is asked."""

from __future__ import annotations

import re

from onyxhead.routing.model import PREFIX_KINDS, Location, Target


def normalize_path(path: str) -> str:
    """Return a request's path as locations see it.

    Without arguments and fragment, percent-decoded, with `.`, `..` and doubled slashes resolved."""
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
    """Return the path that the backend is asked for.

    If the target has a path of its own, it takes the place of what the location matched; arguments are kept."""
    if target.path is None:
        return path
    matched_length = len(location.pattern) if location.kind in ("exact", *PREFIX_KINDS) else 0
    arguments = path.partition("?")[2]
    replaced = target.path + normalized_path[matched_length:] if matched_length else target.path
    return replaced + (f"?{arguments}" if arguments else "")
