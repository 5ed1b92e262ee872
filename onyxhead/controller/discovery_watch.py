"""Follows discovery: each new endpoint list goes to the core, under what operators say, and to the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import structlog

from onyxhead.controller import discovery, log_events
from onyxhead.controller.core_host import CoreHost
from onyxhead.controller.endpoint_list import EndpointList, EndpointListFollower, EndpointUpdate, parse_endpoint_list
from onyxhead.controller.endpoint_overlay import EndpointOverlay
from onyxhead.controller.errors import DiscoveryUnavailableError, InvalidEndpointListError
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.store import Store

log = structlog.get_logger()


class DiscoveryWatch:
    """`endpoint_list` is the last good list as discovery gave it, `received_at` its wall time, 0.0 for never."""

    def __init__(self, settings: ControllerSettings, host: CoreHost, store: Store, overlay: EndpointOverlay) -> None:
        self.settings, self.host, self.store, self.overlay = settings, host, store, overlay
        self.subscribed = asyncio.Event()
        """Set while the policy wants to follow discovery."""
        self.follower = self._new_follower()
        self.endpoint_list: EndpointList | None = None
        self.received_at = 0.0

    def _new_follower(self) -> EndpointListFollower:
        return EndpointListFollower(self.settings.zones, self.host.clock.from_wall_time, self.host.now)

    @property
    def version(self) -> int | None:
        """The version of the list that is followed."""
        return self.follower.last.version if self.follower.last is not None else None

    def restore(self, body: bytes, received_at: float) -> EndpointUpdate:
        """Start from a stored list. Raises InvalidEndpointListError."""
        self.endpoint_list = parse_endpoint_list(body)
        update = self.follower.restore(self._overlaid(self.endpoint_list))
        self.host.core.on_endpoint_update(self.host.now(), update)
        self.received_at = received_at
        return update

    def restart(self) -> None:
        """Give the last list to a new core."""
        self.follower = self._new_follower()
        if self.endpoint_list is not None:
            now = self.host.now()
            self.host.core.on_endpoint_update(now, self.follower.restore(self._overlaid(self.endpoint_list)))

    def refresh(self) -> None:
        """Apply the last list again, under what operators say now."""
        if self.endpoint_list is None:
            return
        if (update := self.follower.update(self._overlaid(self.endpoint_list))) is not None:
            self._apply(update)

    async def run(self) -> None:
        """Follow discovery for ever."""
        last_error, on_demand = "", self.settings.deployment.subscription_required
        if on_demand:
            await self.subscribed.wait()
        async for body in self._bodies():
            try:
                if isinstance(body, DiscoveryUnavailableError):
                    raise body
                endpoint_list = parse_endpoint_list(body)
                update = self.follower.update(self._overlaid(endpoint_list))
            except (DiscoveryUnavailableError, InvalidEndpointListError) as error:
                if last_error != str(error):
                    last_error = str(error)
                    log.warning(log_events.ENDPOINT_LIST_REJECTED, error=last_error)
                if on_demand and isinstance(error, DiscoveryUnavailableError):
                    await self._resubscribe()
                continue
            last_error, self.received_at, self.endpoint_list = "", time.time(), endpoint_list
            if update is not None:
                self._apply(update)
                self.store.save_endpoint_list(endpoint_list.version, endpoint_list.encode())

    def _bodies(self) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
        source = self.settings.discovery
        if source.file is not None:
            return discovery.watch_file(source.file, source.interval)
        assert source.server is not None
        return discovery.poll_server(source.server, source.interval, self.settings.name)

    async def _resubscribe(self) -> None:
        """Leave discovery alone until the policy asks for it again."""
        self.subscribed.clear()
        self.host.core.on_subscription_rejected(self.host.now())
        self.host.wake()
        await self.subscribed.wait()

    def _apply(self, update: EndpointUpdate) -> None:
        for warning in update.warnings:
            log.warning(log_events.ENDPOINT_LIST_WARNING, warning=warning)
        self.host.core.on_endpoint_update(self.host.now(), update)
        log.info(log_events.ENDPOINT_LIST_UPDATED, watch_event=update.event.value, endpoints=len(update.endpoints))
        self.host.wake()

    def _overlaid(self, endpoint_list: EndpointList) -> EndpointList:
        return self.overlay.apply(endpoint_list, self.follower.last, self.host.core.endpoints)
