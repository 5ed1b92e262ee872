"""The state of the fleet at one controller: its members, the owners of the proxies, the shared slow-start budget."""

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
    """The fleet's members, ownership and slow-start budget.

    Stored members, which were changed by command, override those of the settings.
    """

    def __init__(self, name: str, settings: FleetSettings, host: CoreHost, store: Store) -> None:
        self.settings, self.host, self.store = settings, host, store
        now = host.now()
        members = {
            member: Member(member, member_settings.zone, member_settings.lines_per_second)
            for member, member_settings in settings.members.items()
        }
        self.coordinator = OwnershipCoordinator(_membership(name, settings, now), members, now, settings.settle_time)
        # If an earlier incarnation used this disk and no grants are stored, none were made. On an empty disk, grants of
        # an earlier incarnation may have been lost, so they are unknown.
        grants = store.get(BUDGET_GRANTS) or ([] if host.core.epoch > 1 else None)
        self.budget = SlowStartBudget(
            name,
            now,
            decode_grants(grants) if grants is not None else None,
            lambda new_grants: store.put(BUDGET_GRANTS, encode_grants(new_grants)),
        )
        for member, document in self._stored_members().items():
            self._set_member(member, document)

    def own_proxies(self) -> dict[str, str]:
        """Return the zones of the proxies that have joined this controller, by proxy name."""
        core = self.host.core
        return {proxy.name: core.zones[proxy.zone] for proxy in core.joined.values()}

    def better_owner(self, proxy: str, zone: str) -> str | None:
        """Return the controller that should serve a proxy in place of this one, None if there is none."""
        return self.coordinator.better_owner(proxy, zone, self.own_proxies(), self.host.now())

    def change_member(self, name: str, document: dict[str, Any] | None) -> None:
        """Add or change a member, or remove it if `document` is None. The change is stored for later restarts.

        Raise ValueError, KeyError or TypeError for a malformed member, StoreUnavailableError if it can't be stored.
        """
        self._set_member(name, document)
        self.store.put(FLEET_MEMBERS, self._stored_members() | {name: document})

    def status(self) -> dict[str, Any]:
        """Return the state of the fleet as this controller knows it."""
        return self.coordinator.state(self.host.now()) | {"budget": self.budget.status()}

    def _stored_members(self) -> dict[str, dict[str, Any] | None]:
        return self.store.get(FLEET_MEMBERS) or {}

    def _set_member(self, name: str, document: dict[str, Any] | None) -> None:
        coordinator, members = self.coordinator, self.settings.members
        if document is None:
            members.pop(name, None)
            coordinator.members.pop(name, None)
            coordinator.peer_reports.pop(name, None)
            coordinator.membership.remove(name)
            return
        member = FleetMember(parse_address(document["address"]), str(document["zone"]), float(document["pace"]))
        if not name or not 0 < member.lines_per_second < MAX_LINES_PER_SECOND:
            raise ValueError("name or pace out of range")
        members[name] = member
        coordinator.members[name] = Member(name, member.zone, member.lines_per_second)
        coordinator.membership.add(name, self.host.now())


def _membership(name: str, settings: FleetSettings, now: int) -> Membership:
    # The boot id of a later start must compare greater than that of an earlier one with the same name, even if the disk
    # was emptied or restored. It therefore starts with the time and not with a stored counter.
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
