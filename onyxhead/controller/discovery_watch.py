"""Follows discovery: passes each new endpoint list, with operators' overrides applied, to the core and stores it."""

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
    """Reads endpoint lists from discovery, checks them and reports the changes to the core.

    `endpoint_list` is the last accepted list, without overrides; `received_at` is the wall-clock time when it was
    received, 0.0 if there is none.
    """

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
        """Return the version of the list in use, or None before the first one."""
        return self.follower.last.version if self.follower.last is not None else None

    def restore(self, document: bytes, received_at: float) -> EndpointUpdate:
        """Start from a stored list and pass it to the core. Raise InvalidEndpointListError."""
        self.endpoint_list = parse_endpoint_list(document)
        update = self.follower.restore(self._apply_overlay(self.endpoint_list))
        self.host.core.on_endpoint_update(self.host.now(), update)
        self.received_at = received_at
        return update

    def restart(self) -> None:
        """Pass the last accepted list to a new core."""
        self.follower = self._new_follower()
        if self.endpoint_list is not None:
            now = self.host.now()
            self.host.core.on_endpoint_update(now, self.follower.restore(self._apply_overlay(self.endpoint_list)))

    def refresh(self) -> None:
        """Apply the last accepted list again after the configuration or the overrides have changed."""
        if self.endpoint_list is None:
            return
        if (update := self.follower.update(self._apply_overlay(self.endpoint_list))) is not None:
            self._apply(update)

    async def run(self) -> None:
        """Follow discovery until cancelled."""
        last_error, on_demand = "", self.settings.deployment.subscription_required
        if on_demand:
            await self.subscribed.wait()
        async for document_or_error in self._documents():
            try:
                if isinstance(document_or_error, DiscoveryUnavailableError):
                    raise document_or_error
                endpoint_list = parse_endpoint_list(document_or_error)
                update = self.follower.update(self._apply_overlay(endpoint_list))
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

    def _documents(self) -> AsyncIterator[bytes | DiscoveryUnavailableError]:
        source = self.settings.discovery
        if source.file is not None:
            return discovery.watch_file(source.file, source.interval)
        assert source.server is not None
        return discovery.poll_server(source.server, source.interval, self.settings.name)

    async def _resubscribe(self) -> None:
        """Report the failed subscription to the core and wait until the policy wants to subscribe again."""
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

    def _apply_overlay(self, endpoint_list: EndpointList) -> EndpointList:
        return self.overlay.apply(endpoint_list, self.follower.last, self.host.core.endpoints)
