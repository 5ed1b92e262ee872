"""The routing tables that proxies share; traffic groups that may use the same backends have a common table."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment, TrafficGroup
from onyxhead.policy.proxies import Proxy


@dataclass(slots=True, eq=False)
class Table:
    """A table for one subset of proxies; without subsetting, there is a single subset."""

    number: int
    #: The zones of backends that the table accepts, None for all.
    zones: frozenset[int] | None
    #: The zone of proxies that use the table, None for all.
    home_zone: int | None
    #: The traffic groups that use the table.
    groups: list[int]
    subset: int = 0
    #: The number of subsets into which its base table is split.
    subset_count: int = 1
    #: The admission level last sent, by group.
    admission_levels: dict[int, float] = field(default_factory=dict)
    #: The largest capacity weight of its backends; line weights use capacity weights relative to it.
    max_capacity_weight: float = 1.0
    #: The requests a second that the accepted backends can serve in time.
    capacity: float = 0.0

    def allows_zone(self, zone: int) -> bool:
        """Return whether the table's groups may use backends of this zone, regardless of the subset."""
        return self.zones is None or zone in self.zones

    def accepts(self, backend: Backend) -> bool:
        """Return whether the table may have a line for this backend."""
        return self.subset == backend.subset % self.subset_count and (self.zones is None or backend.zone in self.zones)

    def serves(self, proxy: Proxy) -> bool:
        """Return whether this proxy should use the table."""
        return self.subset == proxy.subset % self.subset_count and self.home_zone in (None, proxy.zone)

    def users(self, proxies: Iterable[Proxy]) -> list[Proxy]:
        """Return the proxies that have been assigned the table and should still use it."""
        return [proxy for proxy in proxies if proxy.has_tables and self.number in proxy.assigned_tables]


def create_base_tables(deployment: Deployment) -> list[Table]:
    """Return the tables of a deployment without subsetting."""
    tables: dict[tuple[frozenset[int] | None, int | None], Table] = {}
    for index, group in enumerate(deployment.groups):
        home_zones = range(deployment.zone_count) if group.home_zone_only else (None,)
        for home_zone in home_zones:
            zones = _backend_zones(group, home_zone)
            table = tables.setdefault((zones, home_zone), Table(len(tables), zones, home_zone, []))
            table.groups.append(index)
    return list(tables.values())


def _backend_zones(group: TrafficGroup, home_zone: int | None) -> frozenset[int] | None:
    if home_zone is None:
        return group.allowed_zones
    home = frozenset((home_zone,))
    return home & (group.allowed_zones or home)
