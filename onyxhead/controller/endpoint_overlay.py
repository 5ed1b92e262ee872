"""What the configuration and the operators say of backends, laid over discovery's endpoint list. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from onyxhead.controller.configuration.tree import Tree
from onyxhead.controller.configuration.views import with_configured_backends
from onyxhead.controller.endpoint_list import DRAINING, EndpointList
from onyxhead.operate.overrides import BackendOverrides, keeps_out
from onyxhead.policy.inputs import Endpoint


class EndpointOverlay:
    """`tree` is the configuration in effect, `overrides` are the drains and cordons by command."""

    def __init__(self, tree: Tree, overrides: BackendOverrides) -> None:
        self.tree, self.overrides = tree, overrides

    def apply(
        self, endpoint_list: EndpointList, last: EndpointList | None, endpoints: Mapping[str, Endpoint]
    ) -> EndpointList:
        """The list to follow. `last` is the one followed now and `endpoints` are what the policy knows of it: a cordon
        does not drain a backend that serves."""
        configured = with_configured_backends(endpoint_list, self.tree)
        in_use = last.entries if last is not None else ()
        serving = {e.id: e.started for e in in_use if e.id in endpoints and endpoints[e.id].ready}
        entries = tuple(
            entry._replace(state=DRAINING) if keeps_out(self.overrides, entry.id, entry.started, serving) else entry
            for entry in configured.entries
        )
        return configured._replace(entries=entries)
