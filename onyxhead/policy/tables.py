"""The routing tables that proxies share: one for all traffic groups that may use the same backends."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from onyxhead.policy.endpoints import Backend
from onyxhead.policy.inputs import Deployment, TrafficGroup
from onyxhead.policy.proxies import Proxy


@dataclass(slots=True, eq=False)
class Table:
    """One table; with subsetting, the part of its base table that one subset holds."""

    number: int
    #: The zones of the backends that it may hold, None for all.
    zones: frozenset[int] | None
    #: The zone of the proxies that it is for, None for all.
    home_zone: int | None
    #: The traffic groups that use it.
    groups: list[int]
    subset: int = 0
    #: The number of subsets that its base table is split into.
    subset_count: int = 1
    #: The admission level last sent, by group.
    admission_levels: dict[int, float] = field(default_factory=dict)
    #: The largest capacity weight of its backends, against which the others are measured.
    max_capacity_weight: float = 1.0
    #: The requests a second that its backends can serve in time.
    capacity: float = 0.0

    def allows_zone(self, zone: int) -> bool:
        """Whether backends of a zone may serve its groups, whatever their subset."""
        return self.zones is None or zone in self.zones

    def accepts(self, backend: Backend) -> bool:
        """Whether it may hold a line of this backend."""
        return self.subset == backend.subset % self.subset_count and (self.zones is None or backend.zone in self.zones)

    def serves(self, proxy: Proxy) -> bool:
        """Whether it is for this proxy."""
        return self.subset == proxy.subset % self.subset_count and self.home_zone in (None, proxy.zone)

    def users(self, proxies: Iterable[Proxy]) -> list[Proxy]:
        """The proxies that it is for and that have been given their tables."""
        return [proxy for proxy in proxies if proxy.bound and self.serves(proxy)]


def lay_out_tables(deployment: Deployment) -> list[Table]:
    """The tables of a deployment before subsetting."""
    tables: dict[tuple[frozenset[int] | None, int | None], Table] = {}
    for place, group in enumerate(deployment.groups):
        homes = range(deployment.zone_count) if group.home_zone_only else (None,)
        for home in homes:
            zones = _backend_zones(group, home)
            table = tables.setdefault((zones, home), Table(len(tables), zones, home, []))
            table.groups.append(place)
    return list(tables.values())


def _backend_zones(group: TrafficGroup, home_zone: int | None) -> frozenset[int] | None:
    if home_zone is None:
        return group.allowed_zones
    home = frozenset((home_zone,))
    return home & (group.allowed_zones or home)
