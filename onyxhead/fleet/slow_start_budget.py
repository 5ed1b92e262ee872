"""The slow-start budget of warming endpoints, shared by number: who uses less lends to who needs more. No I/O.

Alone, each controller bounds what its own proxies bring to a warming endpoint by its own capacity there: the baseline
rate of its proxies for each unit of weight. All capacities together are what the endpoint bears, so lone controllers
are safe and wasteful: one whose proxies are idle leaves capacity that another, in a burst, could use.

A grant moves some capacity from one controller, the lender, to another, the borrower. It can't be ended by time, since
clocks run apart and updates take theirs, nor by the lender, whose message may be lost. It ends for both by what both
see in the same endpoint list: the incarnation has been up for its warm-up time, or has left, or has started anew. So
the sum of all capacities never grows, whatever is lost, delayed, doubled or reordered:

- The lender takes the grant off its own capacity, and has it on disk, before it tells anyone.
- The borrower uses a grant from the moment it first hears of it. It hears of one grant many times and counts it once.
- A lender that lost its disk can't know what it lent, and borrowers that could tell may be dead, with their proxies
  still at work. For endpoints that started before it did, it keeps to the part that no one can have borrowed from it.
- Nothing is lent for endpoints older than the lender's process: proxies that an earlier one served may still use all of
  its capacity.
- With no reports nothing is lent, and each keeps to its lone bound.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from onyxhead.time_units import TICKS_PER_SECOND

MAX_GRANTED_FRACTION = 0.5
"""Of its capacity, what a controller lends at most; the rest is its own whatever anyone says."""
GRANTED_SPARE_FRACTION = 0.5
"""Of what it leaves unused now, what a controller lends: requests come back faster than grants."""
MIN_GRANT_FRACTION = 0.05
"""Of a capacity; smaller grants only make reports longer."""
MAX_GRANTS = 10_000
MAX_CLOCK_SKEW = 60 * TICKS_PER_SECOND
"""How far the clock that dates endpoints' starts may be from the controller's own."""
AMOUNT_DECIMALS = 6


class Incarnation(NamedTuple):
    """One start of a backend, the same in every member's endpoint list."""

    backend: str
    started_at: int


class IncarnationLoad(NamedTuple):
    """What a controller may bring to a warming endpoint, and what it would bring.

    `capacity` is its lone bound, as a part of its baseline rate, before slow start and health weights, which each
    controller applies by itself. `demand` is what its requests would take if nothing held them.
    """

    capacity: float
    demand: float


class BudgetGrant(NamedTuple):
    """Capacity that one controller lends another; known by lender and number, which counts up over restarts."""

    lender: str
    number: int
    borrower: str
    incarnation: Incarnation
    amount: float


class BudgetReport(NamedTuple):
    """What a member tells of its budget: its shortfalls, and every grant that it knows of as a party."""

    shortfalls: dict[Incarnation, float]
    grants: tuple[BudgetGrant, ...]


class SlowStartBudget:
    """One controller's account of grants.

    `grants` are those of earlier processes, None if the disk knows of no earlier process. `persist` puts all grants on
    disk before it returns, or raises, and then nothing was lent. `started_at` is the start of this process, by the
    clock that dates endpoints' starts.
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
        """All endpoints that are warming up now, with this controller's own loads; grants on others are over."""
        self.loads = dict(loads)
        over = [number for number, grant in self.granted.items() if grant.incarnation not in loads]
        for number in over:
            del self.granted[number]
        self.received = {key: grant for key, grant in self.received.items() if grant.incarnation in loads}

    def on_report(self, member: str, report: BudgetReport) -> None:
        """A member's report, as often and as late as it comes."""
        self.shortfalls[member] = report.shortfalls
        for grant in report.grants:
            if grant.lender == self.own_name:
                self._on_own_grant(member, grant)
            elif grant.borrower == self.own_name and grant.lender == member and grant.incarnation in self.loads:
                self.received.setdefault((grant.lender, grant.number), grant)

    def _on_own_grant(self, member: str, grant: BudgetGrant) -> None:
        # Lost with a disk, or lent by an earlier process: whoever uses it says so, and it stays lent.
        if grant.borrower == member and grant.incarnation in self.loads and grant.number not in self.granted:
            self.granted[grant.number] = grant
        self.last_number = max(self.last_number, grant.number)

    def on_member_left(self, member: str) -> None:
        """A member left or died.

        What it lent stays borrowed and what it borrowed stays lent: its proxies may still hold lines that use it.
        """
        self.shortfalls.pop(member, None)

    # Decisions

    def share(self, incarnation: Incarnation) -> float:
        """How much of its own capacity this controller may use at a warming endpoint; over 1 where it borrowed."""
        load = self.loads.get(incarnation)
        may_have_lent = not self.history_complete and self._may_be_older(incarnation)
        if load is None or load.capacity <= 0:
            # Nothing is known of its own load yet; of whatever its capacity will be, at most so much can be lent.
            lent = any(grant.incarnation == incarnation for grant in self.granted.values())
            return 1.0 - MAX_GRANTED_FRACTION if lent or may_have_lent else 1.0
        own_share = max(0.0, 1.0 - self._lent(incarnation) / load.capacity)
        if may_have_lent:
            own_share = min(own_share, 1.0 - MAX_GRANTED_FRACTION)
        return own_share + self._borrowed(incarnation) / load.capacity

    def grant(self) -> list[BudgetGrant]:
        """New grants to members with a shortfall, out of what is left unused; on disk before they are returned.

        The order is fixed, the greatest shortfall at an endpoint first. Raises what `persist` does.
        """
        made: list[BudgetGrant] = []
        for incarnation, load in sorted(self.loads.items()):
            # Proxies that an earlier process of this controller served may still use all of its capacity.
            if not self._may_be_older(incarnation):
                self._grant_from(incarnation, load, made)
        if made:
            self.persist([*self.granted.values(), *made])
            self.granted |= {grant.number: grant for grant in made}
        return made

    def _grant_from(self, incarnation: Incarnation, load: IncarnationLoad, made: list[BudgetGrant]) -> None:
        spare = self._spare(incarnation, load)
        for shortfall, member in self._shortfalls_at(incarnation):
            amount = min(spare, shortfall)
            if amount < MIN_GRANT_FRACTION * load.capacity or len(self.granted) + len(made) >= MAX_GRANTS:
                return
            spare -= amount
            self.last_number += 1
            amount = round(amount, AMOUNT_DECIMALS)
            made.append(BudgetGrant(self.own_name, self.last_number, member, incarnation, amount))
            # It reported its shortfall before it heard of this grant; it must report again to get more.
            remaining = {key: value for key, value in self.shortfalls[member].items() if key != incarnation}
            self.shortfalls[member] = remaining

    def _spare(self, incarnation: Incarnation, load: IncarnationLoad) -> float:
        lendable = MAX_GRANTED_FRACTION * load.capacity - self._lent(incarnation)
        unused = load.capacity * self.share(incarnation) - load.demand
        return min(lendable, GRANTED_SPARE_FRACTION * unused)

    def _shortfalls_at(self, incarnation: Incarnation) -> list[tuple[float, str]]:
        """Shortfalls with the members that have them, the greatest first."""
        found = [(each.get(incarnation, 0.0), member) for member, each in self.shortfalls.items()]
        return sorted((each for each in found if each[0] > 0), key=lambda each: (-each[0], each[1]))

    def _may_be_older(self, incarnation: Incarnation) -> bool:
        return incarnation.started_at <= self.started_at + MAX_CLOCK_SKEW

    def _lent(self, incarnation: Incarnation) -> float:
        return sum(grant.amount for grant in self.granted.values() if grant.incarnation == incarnation)

    def _borrowed(self, incarnation: Incarnation) -> float:
        return sum(grant.amount for grant in self.received.values() if grant.incarnation == incarnation)

    # Reports

    def report(self) -> BudgetReport:
        """What to tell all other members."""
        shortfalls = {}
        for incarnation, load in self.loads.items():
            shortfall = load.demand - load.capacity * self.share(incarnation)
            if shortfall > MIN_GRANT_FRACTION * load.capacity:
                shortfalls[incarnation] = shortfall
        return BudgetReport(shortfalls, (*self.granted.values(), *self.received.values()))

    def status(self) -> dict[str, Any]:
        """The budget for operators, as JSON by backend."""
        return {incarnation.backend: self._incarnation_status(incarnation) for incarnation in sorted(self.loads)}

    def _incarnation_status(self, incarnation: Incarnation) -> dict[str, Any]:
        granted = [grant for grant in self.granted.values() if grant.incarnation == incarnation]
        received = [grant for grant in self.received.values() if grant.incarnation == incarnation]
        return {
            "share": round(self.share(incarnation), 3),
            "lent": {grant.borrower: grant.amount for grant in granted},
            "borrowed": {grant.lender: grant.amount for grant in received},
        }
