"""The slow-start budget of warming endpoints: controllers with spare capacity lend it to those that need more. No I/O.

Without sharing, each controller limits the load that its proxies put on a warming endpoint to its own capacity there:
the baseline rate of its proxies for each unit of weight. The sum of all capacities is what the endpoint can take. This
is safe but wasteful, because a controller with idle proxies leaves capacity unused that another could use in a burst.

A grant moves some capacity from one controller, the lender, to another, the borrower. A grant can't expire by time,
because clocks differ and updates are delayed. The lender can't revoke it either, because its message may be lost. A
grant ends for both when the shared endpoint list shows that the endpoint's incarnation has been up for its warm-up
time, has left, or was replaced by a restart. The following rules ensure that the sum of all capacities never grows,
even if reports are lost, delayed, duplicated or reordered:

- The lender subtracts the grant from its own capacity and stores it on disk before it reports it to anyone.
- The borrower uses a grant as soon as it first hears of it. Reports repeat a grant, and it is counted once.
- A lender that lost its disk doesn't know its grants, and the borrowers that could report them may be dead while their
  proxies still send requests. For endpoints that started before its process, such a lender uses only the part of its
  capacity that is never lent.
- Nothing is lent for endpoints older than the lender's process, because proxies that an earlier process served may
  still use its whole capacity.
- Without reports nothing is lent, and each controller keeps to its own capacity.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from onyxhead.time_units import TICKS_PER_SECOND

MAX_GRANTED_FRACTION = 0.5
"""The largest part of its capacity that a controller lends. The rest is never lent, whatever other members report."""
GRANTED_SPARE_FRACTION = 0.5
"""The part of its unused capacity that a controller lends. It keeps the rest, because its own requests can return
before a grant ends."""
MIN_GRANT_FRACTION = 0.05
"""The smallest grant, as a part of the lender's capacity; smaller ones would mainly lengthen the reports."""
MAX_GRANTS = 10_000
MAX_CLOCK_SKEW = 60 * TICKS_PER_SECOND
"""The largest assumed difference between the controller's clock and the clock that gives endpoints' start times."""
AMOUNT_DECIMALS = 6


class Incarnation(NamedTuple):
    """One run of a backend, identified by its start time; it is the same in every member's endpoint list."""

    backend: str
    started_at: int


class IncarnationLoad(NamedTuple):
    """The load that a controller may put on a warming endpoint, and the load that it would put there without a limit.

    `capacity` is its limit without sharing, as a part of its baseline rate, before slow start and health weights, which
    each controller applies by itself. `demand` is the load that its requests would cause if nothing limited them.
    """

    capacity: float
    demand: float


class BudgetGrant(NamedTuple):
    """Capacity that one controller lends another, identified by lender and number; numbers increase across restarts."""

    lender: str
    number: int
    borrower: str
    incarnation: Incarnation
    amount: float


class BudgetReport(NamedTuple):
    """A member's report on its budget: its shortfalls, and every known grant of which it is lender or borrower."""

    shortfalls: dict[Incarnation, float]
    grants: tuple[BudgetGrant, ...]


class SlowStartBudget:
    """One controller's share of the budget, with the grants that it made and received.

    `grants` are the stored grants of earlier processes, or None if none were stored, so that earlier grants may be
    lost. `persist` must have stored all grants when it returns; if it raises, nothing is lent. `started_at` is when
    this process started, by the clock that gives the start times of endpoints.
    """

    def __init__(
        self,
        own_name: str,
        started_at: int,
        grants: Iterable[BudgetGrant] | None,
        persist: Callable[[list[BudgetGrant]], None],
    ) -> None:
        self.own_name, self.started_at, self.persist = own_name, started_at, persist
        self.history_complete = grants is not None
        self.granted: dict[int, BudgetGrant] = {grant.number: grant for grant in grants or ()}
        self.received: dict[tuple[str, int], BudgetGrant] = {}
        self.loads: dict[Incarnation, IncarnationLoad] = {}
        self.shortfalls: dict[str, dict[Incarnation, float]] = {}
        self.last_number = max(self.granted, default=0)

    # Events

    def on_loads(self, loads: Mapping[Incarnation, IncarnationLoad]) -> None:
        """Set this controller's loads on the endpoints that are warming up, and end the grants for all others."""
        self.loads = dict(loads)
        ended = [number for number, grant in self.granted.items() if grant.incarnation not in loads]
        for number in ended:
            del self.granted[number]
        self.received = {key: grant for key, grant in self.received.items() if grant.incarnation in loads}

    def on_report(self, member: str, report: BudgetReport) -> None:
        """Process a member's report, which may be late or a duplicate."""
        self.shortfalls[member] = report.shortfalls
        for grant in report.grants:
            if grant.lender == self.own_name:
                self._on_own_grant(member, grant)
            elif grant.borrower == self.own_name and grant.lender == member and grant.incarnation in self.loads:
                self.received.setdefault((grant.lender, grant.number), grant)

    def _on_own_grant(self, member: str, grant: BudgetGrant) -> None:
        # The lender may not know its own grant, because its disk was lost or an earlier process made the grant. The
        # borrower that reports the grant uses it, so the grant still counts as lent.
        if grant.borrower == member and grant.incarnation in self.loads and grant.number not in self.granted:
            self.granted[grant.number] = grant
        self.last_number = max(self.last_number, grant.number)

    def on_member_left(self, member: str) -> None:
        """Forget the shortfalls of a member that left or died.

        Grants from and to it stay in force, because its proxies may still hold lines that use borrowed capacity.
        """
        self.shortfalls.pop(member, None)

    # Decisions

    def share(self, incarnation: Incarnation) -> float:
        """Return the part of its capacity that the controller may use at a warming endpoint.

        Grants from other controllers can raise it above 1.
        """
        load = self.loads.get(incarnation)
        may_have_granted = not self.history_complete and self._may_be_older(incarnation)
        if load is None or load.capacity <= 0:
            # The own capacity is not known yet. Whatever it is, at most MAX_GRANTED_FRACTION of it can have been lent.
            has_granted = any(grant.incarnation == incarnation for grant in self.granted.values())
            return 1.0 - MAX_GRANTED_FRACTION if has_granted or may_have_granted else 1.0
        own_share = max(0.0, 1.0 - self._granted_capacity(incarnation) / load.capacity)
        if may_have_granted:
            own_share = min(own_share, 1.0 - MAX_GRANTED_FRACTION)
        return own_share + self._received_capacity(incarnation) / load.capacity

    def grant(self) -> list[BudgetGrant]:
        """Make, store and return new grants of unused capacity to members with a shortfall.

        At each endpoint, the greatest shortfall is served first, so that the order is deterministic. Raise what
        `persist` raises, and then grant nothing.
        """
        new_grants: list[BudgetGrant] = []
        for incarnation, load in sorted(self.loads.items()):
            # Proxies that an earlier process of this controller served may still use its whole capacity.
            if not self._may_be_older(incarnation):
                self._grant_from(incarnation, load, new_grants)
        if new_grants:
            self.persist([*self.granted.values(), *new_grants])
            self.granted |= {grant.number: grant for grant in new_grants}
        return new_grants

    def _grant_from(self, incarnation: Incarnation, load: IncarnationLoad, new_grants: list[BudgetGrant]) -> None:
        spare = self._spare(incarnation, load)
        for shortfall, member in self._shortfalls_at(incarnation):
            amount = min(spare, shortfall)
            if amount < MIN_GRANT_FRACTION * load.capacity or len(self.granted) + len(new_grants) >= MAX_GRANTS:
                return
            spare -= amount
            self.last_number += 1
            amount = round(amount, AMOUNT_DECIMALS)
            new_grants.append(BudgetGrant(self.own_name, self.last_number, member, incarnation, amount))
            # The member reported its shortfall before it heard of this grant; it gets more only after a new report.
            remaining = {key: value for key, value in self.shortfalls[member].items() if key != incarnation}
            self.shortfalls[member] = remaining

    def _spare(self, incarnation: Incarnation, load: IncarnationLoad) -> float:
        grantable = MAX_GRANTED_FRACTION * load.capacity - self._granted_capacity(incarnation)
        unused = load.capacity * self.share(incarnation) - load.demand
        return min(grantable, GRANTED_SPARE_FRACTION * unused)

    def _shortfalls_at(self, incarnation: Incarnation) -> list[tuple[float, str]]:
        """Return the shortfalls at an endpoint with their members, the greatest first."""
        by_member = [(shortfalls.get(incarnation, 0.0), member) for member, shortfalls in self.shortfalls.items()]
        return sorted((item for item in by_member if item[0] > 0), key=lambda item: (-item[0], item[1]))

    def _may_be_older(self, incarnation: Incarnation) -> bool:
        return incarnation.started_at <= self.started_at + MAX_CLOCK_SKEW

    def _granted_capacity(self, incarnation: Incarnation) -> float:
        return sum(grant.amount for grant in self.granted.values() if grant.incarnation == incarnation)

    def _received_capacity(self, incarnation: Incarnation) -> float:
        return sum(grant.amount for grant in self.received.values() if grant.incarnation == incarnation)

    # Reports

    def report(self) -> BudgetReport:
        """Return the report for all other members."""
        shortfalls = {}
        for incarnation, load in self.loads.items():
            shortfall = load.demand - load.capacity * self.share(incarnation)
            if shortfall > MIN_GRANT_FRACTION * load.capacity:
                shortfalls[incarnation] = shortfall
        return BudgetReport(shortfalls, (*self.granted.values(), *self.received.values()))

    def status(self) -> dict[str, Any]:
        """Return the state of the budget for operators as JSON, by backend."""
        return {incarnation.backend: self._incarnation_status(incarnation) for incarnation in sorted(self.loads)}

    def _incarnation_status(self, incarnation: Incarnation) -> dict[str, Any]:
        granted = [grant for grant in self.granted.values() if grant.incarnation == incarnation]
        received = [grant for grant in self.received.values() if grant.incarnation == incarnation]
        return {
            "share": round(self.share(incarnation), 3),
            "lent": {grant.borrower: grant.amount for grant in granted},
            "borrowed": {grant.lender: grant.amount for grant in received},
        }
