"""A view as nginx includes: upstream blocks for the http context, and one file a group for its locations.

What nginx can't say is left out with a comment, never approximated in silence: it has no way to try again only where
the first try surely never ran, so such a level turns further tries off."""

from __future__ import annotations

import re
from collections.abc import Sequence

from onyxhead.fronts.files.envoy import level_of, lines_of
from onyxhead.settings.model import GroupRoute
from onyxhead.tables.view import View

MOST_WEIGHT = 65_535
NOWHERE = "127.0.0.1:9"


def upstreams(view: View, routes: Sequence[GroupRoute]) -> bytes:
    """Blocks for the http context: an upstream for each group, and what its level needs there."""
    out = [f"# view {view.etag}"]
    for route in routes:
        name, lines = upstream_name(route.group), lines_of(view, route.group)
        most = max((line["weight"] for line in lines.values()), default=1)
        out += ["", f"upstream {name} {{", f"    zone {name} 256k;"]
        for backend, line in sorted(lines.items()):
            # nginx adds weights up in whole numbers at each pick; large ones would only cost it time.
            weight = max(1, round(line["weight"] * MOST_WEIGHT / most)) if most > MOST_WEIGHT else line["weight"]
            shut = " down" if ("withdrawn", backend) in view.entries else ""
            out.append(f"    server {line['address']} weight={weight} max_fails=0{shut};  # {backend}")
        if not lines:
            out.append(f"    server {NOWHERE} down;  # no line: nginx takes no empty upstream")
        out.append("}")
        level = level_of(view, route.group)
        if level is not None and level.get("share", 1) < 1:
            out += [
                f'split_clients "$request_id" ${name}_admitted {{',
                f"    {level['share'] * 100:.2f}% 1;",
                "    * 0;",
                "}",
            ]
        if level is not None and "rate" in level:
            out.append(f"limit_req_zone $server_name zone={name}_rate:64k rate={_rate(level['rate'])};")
    return "\n".join([*out, ""]).encode()


def location(view: View, route: GroupRoute) -> bytes:
    """What belongs inside the locations of one group, besides their own proxy_pass."""
    name, level = upstream_name(route.group), level_of(view, route.group)
    out = [f"# for locations of {name}"]
    if level is not None and level.get("share", 1) < 1:
        out.append(f'if (${name}_admitted = "0") {{ return 503; }}')
    if level is not None and "rate" in level:
        out += [f"limit_req zone={name}_rate nodelay;", "limit_req_status 503;"]
    tries = route.retry_mode if level is None else level["tries"]
    if tries > 1:
        out += [
            "proxy_next_upstream error timeout http_502 http_503 http_504;",
            f"proxy_next_upstream_tries {tries};",
        ]
    else:
        if tries == 1:
            out.append("# a further try only where the first surely never ran: nginx can't tell, so there is none")
        out.append("proxy_next_upstream off;")
    return "\n".join([*out, ""]).encode()


def upstream_name(group: str) -> str:
    return re.sub(r"[^A-Za-z0-9_]", "_", group)


def _rate(rate: float) -> str:
    return f"{max(1, round(rate))}r/s" if rate >= 1 else f"{max(1, round(rate * 60))}r/m"
