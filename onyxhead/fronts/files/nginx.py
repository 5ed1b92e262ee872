"""Formats a table view as files for nginx to include: upstream blocks, and one file of location directives a group.

What nginx can't express is left out, with a comment in the file. nginx can't restrict retries to attempts that were
certainly not executed, so the retry mode that asks for this turns retries off.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from onyxhead.fronts.files.envoy import admission_level, admitted_share, group_endpoints
from onyxhead.settings.model import GroupRoute
from onyxhead.tables.view import View
from onyxhead.tables.view_format import ADDRESS, RATE, TRIES, WEIGHT, withdrawal_path

MAX_WEIGHT = 65_535
UNUSED_ADDRESS = "127.0.0.1:9"
"""Placeholder server, marked as down, for an upstream without endpoints: nginx rejects an empty upstream."""


def upstream_blocks(view: View, routes: Sequence[GroupRoute]) -> bytes:
    """Return the file for the http context: upstreams, and the definitions that admission levels need."""
    lines = [f"# view {view.etag}"]
    for route in routes:
        lines += ["", *_upstream(view, route.group), *_admission_definitions(view, route.group)]
    return "\n".join([*lines, ""]).encode()


def _upstream(view: View, group: str) -> list[str]:
    name, endpoints = upstream_name(group), group_endpoints(view, group)
    max_weight = max((endpoint[WEIGHT] for endpoint in endpoints.values()), default=1)
    lines = [f"upstream {name} {{", f"    zone {name} 256k;"]
    for backend, endpoint in sorted(endpoints.items()):
        weight = endpoint[WEIGHT]
        if max_weight > MAX_WEIGHT:
            # nginx adds up the integer weights at each pick; larger ones would cost time and bring no benefit.
            weight = max(1, round(weight * MAX_WEIGHT / max_weight))
        down = " down" if withdrawal_path(backend) in view.entries else ""
        lines.append(f"    server {endpoint[ADDRESS]} weight={weight} max_fails=0{down};  # {backend}")
    if not endpoints:
        lines.append(f"    server {UNUSED_ADDRESS} down;  # no line: nginx takes no empty upstream")
    return [*lines, "}"]


def _admission_definitions(view: View, group: str) -> list[str]:
    name, level = upstream_name(group), admission_level(view, group)
    lines: list[str] = []
    if (share := admitted_share(level)) is not None:
        lines += [f'split_clients "$request_id" ${name}_admitted {{', f"    {share * 100:.2f}% 1;", "    * 0;", "}"]
    if level is not None and RATE in level:
        rate = _rate(level[RATE])
        lines.append(f"limit_req_zone $server_name zone={name}_rate:64k rate={rate};")
    return lines


def location_directives(view: View, route: GroupRoute) -> bytes:
    """Return the directives that each location of a group includes in addition to its proxy_pass."""
    name, level = upstream_name(route.group), admission_level(view, route.group)
    lines = [f"# for locations of {name}"]
    if admitted_share(level) is not None:
        lines.append(f'if (${name}_admitted = "0") {{ return 503; }}')
    if level is not None and RATE in level:
        lines += [f"limit_req zone={name}_rate nodelay;", "limit_req_status 503;"]
    lines += _retry_directives(route.retry_mode if level is None else level[TRIES])
    return "\n".join([*lines, ""]).encode()


def _retry_directives(retry_mode: int) -> list[str]:
    if retry_mode == 0:
        return ["proxy_next_upstream off;"]
    if retry_mode == 1:
        return [
            "# a further try only where the first surely never ran: nginx can't tell, so there is none",
            "proxy_next_upstream off;",
        ]
    return [
        "proxy_next_upstream error timeout http_502 http_503 http_504;",
        f"proxy_next_upstream_tries {retry_mode};",
    ]


def upstream_name(group: str) -> str:
    """Return the upstream name of a traffic group, with underscores for characters other than letters and digits."""
    return re.sub(r"[^A-Za-z0-9_]", "_", group)


def _rate(rate: float) -> str:
    return f"{max(1, round(rate))}r/s" if rate >= 1 else f"{max(1, round(rate * 60))}r/m"
