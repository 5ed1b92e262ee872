"""The state of a controller core as plain JSON values, for `/v1/state` and the operators' tools."""

from __future__ import annotations

from typing import Any

from onyxhead.controller.core import ControllerCore
from onyxhead.controller.proxies import NEVER_ACKNOWLEDGED
from onyxhead.time_units import TICKS_PER_SECOND


def controller_status(core: ControllerCore, now: int) -> dict[str, Any]:
    """Return the state of the core under the field names of `/v1/state`."""
    queue, versions = core.delivery_queue, core.versions
    return {
        "epoch": core.epoch,
        "now": now,
        "channel": {
            "waiting": round(queue.queued_lines, 1),
            "most": queue.limits.max_queued_lines,
            "peak": round(queue.peak_queued_lines, 1),
        },
        "version": versions.history.latest.number,
        "trial": versions.canary.version if versions.canary is not None else None,
        "held": versions.pin.version.number if versions.pin is not None else None,
        "counts": dict(sorted(core.counts.items()))
        | {"tries at unknown": core.statistics_feed.pending.unknown_attempts},
        "proxies": _proxies(core, now),
        "backends": _backends(core),
    }


def _proxies(core: ControllerCore, now: int) -> dict[str, Any]:
    proxies = {}
    for number, proxy in sorted(core.joined.items()):
        acknowledged = core.acknowledged.get(number, NEVER_ACKNOWLEDGED)
        proxies[proxy.name] = {
            "zone": core.zones[proxy.zone],
            "joined_for_s": round((now - proxy.joined_at) / TICKS_PER_SECOND, 1),
            "bound": bool(core.proxy_tables.tables_of(number)),
            "turn": acknowledged.round_number,
            "tag": acknowledged.etag,
        }
    return proxies


def _backends(core: ControllerCore) -> dict[str, Any]:
    tables = core.proxy_tables
    backends = {}
    for name, address in sorted(tables.addresses.items()):
        endpoint = core.endpoints.get(name)
        backends[name] = {
            "address": address.address,
            "zone": address.zone,
            "ready": endpoint is not None and endpoint.ready,
            "draining": endpoint is not None and endpoint.draining,
            "withdrawn": name in tables.withdrawn,
            "lines": {str(table): lines[name] for table, lines in tables.tables.items() if name in lines},
        }
    return backends
