"""Applies changed key files: new connections use the new keys at once, and open streams are renewed one by one."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable

import structlog

from onyxhead.controller import log_events
from onyxhead.controller.proxy_streams import ProxyStreams
from onyxhead.keys.credentials import TlsCredentials, watch_key_files

log = structlog.get_logger()


async def rotate_keys(
    keys: TlsCredentials,
    interval_s: float,
    restart_listeners: Callable[[ssl.SSLContext], Awaitable[None]],
    streams: ProxyStreams,
) -> None:
    """Watch the key files and apply each change, until cancelled.

    `restart_listeners` makes all listeners use a TLS context for new connections.
    """
    async for _ in watch_key_files(keys, interval_s):
        await restart_listeners(keys.server_context)
        log.info(log_events.KEY_FILES_RELOADED, generation=keys.generation, streams=len(streams.by_proxy))
        await streams.renew_keys(keys.generation)
