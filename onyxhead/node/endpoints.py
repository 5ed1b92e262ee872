"""The endpoints of a node, first from the list cached in its configuration, then from service discovery."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhead.error_location import describe_error
from onyxhead.node import counters
from onyxhead.node.context import NodeContext
from onyxhead.node.discovery import DiscoveryWatch
from onyxhead.node.endpoint_list import (
    EndpointUpdate,
    InvalidEndpointListError,
    SettingsIndex,
    read_endpoint_list,
)
from onyxhead.node.policy_host import StreamPolicyHost
from onyxhead.policy.inputs import WatchEvent


class BackendIdentity(NamedTuple):
    """The address and start time of a backend, which distinguish it from a later backend with the same name."""

    address: tuple[str, int] | None
    started_at: int


class EndpointSubscription:
    """Passes endpoint lists to the policy and keeps the addresses of the backends.

    With `report_failures` the policy is informed of failed calls to discovery, so that it may subscribe again.
    """

    def __init__(
        self,
        host: StreamPolicyHost,
        context: NodeContext,
        index: SettingsIndex,
        discovery: tuple[str, int],
        seed: int,
        report_failures: bool,
        schedule_round: Callable[[], None],
    ) -> None:
        self.host, self.context, self.index = host, context, index
        self.report_failures, self.schedule_round = report_failures, schedule_round
        self.watch = DiscoveryWatch(discovery, index, self.on_update, self.on_failure, seed)
        self.subscribed = False
        self.addresses: dict[str, tuple[str, int]] = {}

    def load_cached(self, document: object) -> None:
        """Load the endpoint list from the configuration; log if there is none or it is invalid."""
        if document is None:
            self.context.log.event("no cached endpoint list")
            return
        try:
            update = read_endpoint_list(document, self.index)
        except InvalidEndpointListError as error:
            self.context.log.event("cached endpoint list rejected", error=str(error))
            return
        self.addresses = update.addresses
        self.host.on_endpoint_update(self.context.clock.now(), WatchEvent.CACHED, update.endpoints)
        self.context.log.event("cached endpoint list loaded", endpoints=len(update.endpoints), revision=update.revision)

    def subscribe(self) -> None:
        """Start to follow service discovery, unless that has been done."""
        if not self.subscribed:
            self.subscribed = True
            self.watch.start()

    def move(self, discovery: tuple[str, int]) -> None:
        """Follow service discovery at another address, if the node is subscribed."""
        if self.subscribed:
            self.watch.move(discovery)

    def identity(self, backend: str) -> BackendIdentity:
        """Return the identity of the backend that has this name now."""
        endpoint = self.host.state.endpoints.listed.get(backend)
        return BackendIdentity(self.addresses.get(backend), endpoint.started_at if endpoint else 0)

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply an update from service discovery."""
        self._update_addresses(update)
        event = WatchEvent.SNAPSHOT if update.is_snapshot else WatchEvent.DELTA
        try:
            self.host.on_endpoint_update(self.context.clock.now(), event, update.endpoints)
        except Exception as error:
            self.context.internal_error("endpoint list", describe_error(error))
        self.context.counts[counters.ENDPOINT_UPDATES] += 1
        self.context.log.event(
            "endpoint list updated",
            revision=update.revision,
            snapshot=update.is_snapshot,
            endpoints=len(update.endpoints),
        )
        self.schedule_round()

    def _update_addresses(self, update: EndpointUpdate) -> None:
        if update.is_snapshot:
            self.addresses = dict(update.addresses)
            return
        self.addresses |= update.addresses
        for endpoint in update.endpoints:
            if not endpoint.ready and not endpoint.draining:
                self.addresses.pop(endpoint.backend, None)

    def on_failure(self, error: str) -> None:
        """Handle a failed call to service discovery; the last endpoint list stays in use."""
        self.context.counts[counters.DISCOVERY_FAILURES] += 1
        self.context.log.event_once("discovery failed", error)
        if self.report_failures:
            self.host.on_discovery_failure(self.context.clock.now())
            self.schedule_round()
