"""Applies the configuration and the operators' drains and cordons to the endpoint list of discovery. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from onyxhead.controller.configuration.tree import Tree
from onyxhead.controller.configuration.views import with_configured_backends
from onyxhead.controller.endpoint_list import DRAINING, EndpointList
from onyxhead.operate.overrides import BackendOverrides, keeps_out
from onyxhead.policy.inputs import Endpoint


class EndpointOverlay:
    """Holds the configuration in effect (`tree`) and the operators' drains and cordons (`overrides`)."""

    def __init__(self, tree: Tree, overrides: BackendOverrides) -> None:
        self.tree, self.overrides = tree, overrides

    def apply(
        self, endpoint_list: EndpointList, last: EndpointList | None, endpoints: Mapping[str, Endpoint]
    ) -> EndpointList:
        """Return discovery's list with the configuration and the overrides applied.

        `last` is the previous result, and `endpoints` are the policy's endpoints for it. They tell which backends serve
        now, since a cordon does not drain these.
        """
        configured = with_configured_backends(endpoint_list, self.tree)
        in_use = last.entries if last is not None else ()
        serving = {e.id: e.started for e in in_use if e.id in endpoints and endpoints[e.id].ready}
        entries = tuple(
            entry._replace(state=DRAINING) if keeps_out(self.overrides, entry.id, entry.started, serving) else entry
            for entry in configured.entries
        )
        return configured._replace(entries=entries)
