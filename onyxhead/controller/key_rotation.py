"""Follows the key files: new handshakes use new keys at once, open streams are renewed one by one."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.proxy_streams import ProxyStreams
from onyxhead.keys.rotate import Keys

log = structlog.get_logger()


async def rotate_keys(
    keys: Keys,
    interval_s: float,
    restart_listeners: Callable[[ssl.SSLContext], Awaitable[None]],
    streams: ProxyStreams,
) -> None:
    """Check the key files for ever. `restart_listeners` makes all listeners use a context for new connections."""
    while True:
        await asyncio.sleep(interval_s)
        error = keys.refresh()
        if error is None:
            continue
        if error:
            log.error(log_events.KEY_RELOAD_REJECTED, error=error)
            continue
        await restart_listeners(keys.server)
        log.info(log_events.KEYS_RELOADED, generation=keys.generation, streams=len(streams.by_proxy))
        await streams.renew_keys(keys.generation)
