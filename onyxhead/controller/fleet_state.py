"""One controller's part in its fleet: the members, who serves which proxy, and the shared slow-start budget."""

from __future__ import annotations

import secrets
import time
from random import Random
from typing import Any

from onyxhead.controller.core_host import CoreHost
from onyxhead.fleet.assignment import Member
from onyxhead.fleet.membership import Membership
from onyxhead.fleet.ownership import OwnershipCoordinator
from onyxhead.fleet.slow_start_budget import SlowStartBudget
from onyxhead.fleet.wire_format import decode_grants, encode_grants
from onyxhead.settings.model import FleetMember, FleetSettings
from onyxhead.store.store import Store
from onyxhead.store.value_names import BUDGET_GRANTS, FLEET_MEMBERS
from onyxhead.tables.addresses import parse_address

MAX_LINES_PER_SECOND = 1e9
BOOT_SUFFIX_BYTES = 3


class FleetState:
    """Starts with the members of the settings, under those that were changed by command and stored."""

    def __init__(self, name: str, settings: FleetSettings, host: CoreHost, store: Store) -> None:
        self.settings, self.host, self.store = settings, host, store
        now = host.now()
        members = {each: Member(each, own.zone, own.lines_per_second) for each, own in settings.members.items()}
        self.coordinator = OwnershipCoordinator(_membership(name, settings, now), members, now, settings.settle_time)
        # A disk that knows of an earlier incarnation would know its grants; an empty one proves nothing.
        grants = store.get(BUDGET_GRANTS) or ([] if host.core.epoch > 1 else None)
        self.budget = SlowStartBudget(
            name,
            now,
            decode_grants(grants) if grants is not None else None,
            lambda made: store.put(BUDGET_GRANTS, encode_grants(made)),
        )
        for member, given in self._stored_members().items():
            self._set_member(member, given)

    def own_proxies(self) -> dict[str, str]:
        """The zones of the proxies that have joined here, by name."""
        core = self.host.core
        return {proxy.name: core.zones[proxy.zone] for proxy in core.joined.values()}

    def better_owner(self, proxy: str, zone: str) -> str | None:
        """The controller that should serve a proxy in place of this one."""
        return self.coordinator.better_owner(proxy, zone, self.own_proxies(), self.host.now())

    def change_member(self, name: str, given: dict[str, Any] | None) -> None:
        """Add, change or (with None) remove a member, across restarts.

        Raises ValueError, KeyError, TypeError for one that is malformed, and what storing it raises.
        """
        self._set_member(name, given)
        self.store.put(FLEET_MEMBERS, self._stored_members() | {name: given})

    def status(self) -> dict[str, Any]:
        """The fleet as this controller sees it."""
        return self.coordinator.state(self.host.now()) | {"budget": self.budget.status()}

    def _stored_members(self) -> dict[str, dict[str, Any] | None]:
        return self.store.get(FLEET_MEMBERS) or {}

    def _set_member(self, name: str, given: dict[str, Any] | None) -> None:
        coordinator, members = self.coordinator, self.settings.members
        if given is None:
            members.pop(name, None)
            coordinator.members.pop(name, None)
            coordinator.peer_reports.pop(name, None)
            coordinator.membership.remove(name)
            return
        member = FleetMember(parse_address(given["address"]), str(given["zone"]), float(given["pace"]))
        if not name or not 0 < member.lines_per_second < MAX_LINES_PER_SECOND:
            raise ValueError("name or pace out of range")
        members[name] = member
        coordinator.members[name] = Member(name, member.zone, member.lines_per_second)
        coordinator.membership.add(name, self.host.now())


def _membership(name: str, settings: FleetSettings, now: int) -> Membership:
    # A later start must win over an earlier one of the same name, also on an empty or a restored disk.
    boot = f"{int(time.time() * 1000):015d}.{secrets.token_hex(BOOT_SUFFIX_BYTES)}"
    return Membership(
        name,
        boot,
        tuple(settings.members),
        Random(boot),
        now,
        settings.probe_period,
        settings.probe_timeout,
        settings.suspicion_timeout,
    )
