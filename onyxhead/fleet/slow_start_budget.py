"""Rule 4's budget for cold backends, shared by number: who uses less lends to who needs more. No I/O.

Alone, each controller bounds what its own proxies bring to a cold backend by its own part: the usual flows of its
proxies for each unit of weight. All parts together are what the backend bears, so lone controllers are safe and
wasteful: one whose proxies are idle leaves a part that another, in a burst, could use.

A loan moves some of a part from one controller to another. It can't be ended by time, since clocks run apart and orders
take theirs, nor by the lender, whose word may be lost. It ends for both by what both see in the same list: the backend
has been up for its cold time, or has left, or has started anew. So the sum of all parts never grows, whatever is lost,
delayed, doubled or reordered:

- The lender takes the loan off its own part, and has it on disk, before it tells anyone.
- The borrower uses a loan from the moment it first hears of it. It hears of one loan many times and counts it once.
- A lender that lost its disk can't know what it lent, and borrowers that could tell may be dead, with their proxies
  still at work. For backends that started before it did, it keeps to the part that no one can have borrowed from it.
- Nothing is lent for backends older than the lender's life: proxies of its life before may still use all of its part.
- With no news nothing is lent, and each keeps to its lone bound.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

MAX_GRANTED_FRACTION = 0.5
"""Of its part, what a controller lends at most; the rest is its own whatever anyone says."""
GRANTED_SPARE_FRACTION = 0.5
"""Of what it leaves unused now: flows come back faster than loans."""
MIN_GRANT_FRACTION = 0.05
"""Of a part; smaller loans only make news longer."""
MAX_GRANTS = 10_000
MAX_CLOCK_SKEW = 60 * 10_000
"""So far apart, in tenths of a millisecond, may be the clock that starts are told by and the controller's own."""


class Incarnation(NamedTuple):
    """One start of a backend, the same in every member's list."""

    backend: str
    started_at: int


class IncarnationLoad(NamedTuple):
    """What a controller has for a cold backend and what it would bring. `part` is its lone bound in usual flows (warmth
    and trust apart, since both sides apply their own), `asked` what its flows would take if nothing held them."""

    capacity: float
    demand: float


class BudgetGrant(NamedTuple):
    """`number` counts up over the lender's lives, so that a loan is known by (lender, number)."""

    lender: str
    number: int
    borrower: str
    incarnation: Incarnation
    amount: float

    def plain(self) -> list[Any]:
        return [
            self.lender,
            self.number,
            self.borrower,
            self.incarnation.backend,
            self.incarnation.started_at,
            self.amount,
        ]


class MalformedReportError(ValueError):
    """News that can't be taken; the text says why."""


class BudgetReport(NamedTuple):
    """What a member says of its budget: what it lacks, by backend's life, and every loan it knows of as a party."""

    shortfalls: dict[Incarnation, float]
    grants: tuple[BudgetGrant, ...]

    def plain(self) -> dict[str, Any]:
        return {
            "lacks": [
                [life.backend, life.started_at, round(lack, 6)] for life, lack in sorted(self.shortfalls.items())
            ],
            "loans": [loan.plain() for loan in self.grants],
        }


def parse_report(plain: Any) -> BudgetReport:  # noqa: ANN401
    """A member's word. Raises MalformedReportError."""
    try:
        lacks = {Incarnation(str(name), _whole(at)): _amount(lack) for name, at, lack in plain["lacks"]}
        loans = tuple(
            BudgetGrant(str(lender), _whole(number), str(borrower), Incarnation(str(name), _whole(at)), _amount(amount))
            for lender, number, borrower, name, at, amount in plain["loans"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedReportError(f"no word of a budget: {error}") from None
    if len(lacks) > MAX_GRANTS or len(loans) > MAX_GRANTS:
        raise MalformedReportError("too much said of a budget")
    return BudgetReport(lacks, loans)


def _whole(value: object) -> int:
    if type(value) is not int or not 0 <= value < 2**62:
        raise MalformedReportError(f"{value!r} is no number of a loan or a start")
    return value


def _amount(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e9:
        raise MalformedReportError(f"{value!r} is no amount")
    return float(value)


class SlowStartBudget:
    """One controller's books of loans. `kept` are the loans of earlier lives as `plain` wrote them, None if the disk
    knows of no earlier life; `keep` puts them on disk before it returns, or raises, and then nothing was lent.
    `began` is this life's start, by the clock that backends' starts are told by."""

    def __init__(
        self, own: str, began: int, kept: list[list[Any]] | None, keep: Callable[[list[list[Any]]], None]
    ) -> None:
        self.own_name, self.started_at, self.persist = own, began, keep
        self.granted: dict[int, BudgetGrant] = {}
        self.received: dict[tuple[str, int], BudgetGrant] = {}
        self.loads: dict[Incarnation, IncarnationLoad] = {}
        self.shortfalls: dict[str, dict[Incarnation, float]] = {}
        self.history_complete = kept is not None
        if kept:
            for loan in parse_report({"lacks": [], "loans": kept}).grants:
                self.granted[loan.number] = loan
        self.last_number = max(self.granted, default=0)

    # What is heard

    def on_loads(self, strains: Mapping[Incarnation, IncarnationLoad]) -> None:
        """All backends that are cold now, with this controller's own figures. Loans on others are over."""
        self.loads = dict(strains)
        over = [number for number, loan in self.granted.items() if loan.incarnation not in strains]
        for number in over:
            del self.granted[number]
        self.received = {key: loan for key, loan in self.received.items() if loan.incarnation in strains}

    def on_report(self, member: str, word: BudgetReport) -> None:
        """A member's word, as often and as late as it comes."""
        self.shortfalls[member] = word.shortfalls
        for loan in word.grants:
            if loan.lender == self.own_name:
                # Lost with a disk, or lent by a life before: whoever uses it says so, and it stays lent.
                if loan.borrower == member and loan.incarnation in self.loads and loan.number not in self.granted:
                    self.granted[loan.number] = loan
                self.last_number = max(self.last_number, loan.number)
            elif loan.borrower == self.own_name and loan.lender == member and loan.incarnation in self.loads:
                self.received.setdefault((loan.lender, loan.number), loan)

    def on_member_left(self, member: str) -> None:
        """A member left or died. What it lent stays borrowed and what it borrowed stays lent: its proxies may still
        hold lines that use it."""
        self.shortfalls.pop(member, None)

    def _older(self, life: Incarnation) -> bool:
        return life.started_at <= self.started_at + MAX_CLOCK_SKEW

    # What is decided

    def share(self, life: Incarnation) -> float:
        """Of this controller's own part for a cold backend, how much it may use now; over 1 where it borrowed."""
        strain = self.loads.get(life)
        if strain is None or strain.capacity <= 0:
            # Nothing is known of its own flows yet; of whatever its part will be, at most so much can be lent.
            lent = any(loan.incarnation == life for loan in self.granted.values())
            return 1.0 - MAX_GRANTED_FRACTION if lent or (not self.history_complete and self._older(life)) else 1.0
        away = sum(loan.amount for loan in self.granted.values() if loan.incarnation == life)
        more = sum(loan.amount for loan in self.received.values() if loan.incarnation == life)
        kept = max(0.0, 1.0 - away / strain.capacity)
        if not self.history_complete and self._older(life):
            kept = min(kept, 1.0 - MAX_GRANTED_FRACTION)
        return kept + more / strain.capacity

    def grant(self) -> list[BudgetGrant]:
        """Loans to those that lack, out of what is left unused; on disk before they are returned. In a fixed order, the
        one who lacks most first."""
        made: list[BudgetGrant] = []
        for life, strain in sorted(self.loads.items()):
            # Proxies of this controller's life before may still use all of its part.
            if self._older(life):
                continue
            away = sum(loan.amount for loan in self.granted.values() if loan.incarnation == life)
            spare = min(
                MAX_GRANTED_FRACTION * strain.capacity - away,
                GRANTED_SPARE_FRACTION * (strain.capacity * self.share(life) - strain.demand),
            )
            wanting = [(lack, name) for name, lacks in self.shortfalls.items() if (lack := lacks.get(life, 0.0)) > 0]
            for lack, name in sorted(wanting, key=lambda each: (-each[0], each[1])):
                amount = min(spare, lack)
                if amount < MIN_GRANT_FRACTION * strain.capacity or len(self.granted) + len(made) >= MAX_GRANTS:
                    break
                spare -= amount
                self.last_number += 1
                made.append(BudgetGrant(self.own_name, self.last_number, name, life, round(amount, 6)))
                # It said what it lacked before it heard of this; it must say so again to get more.
                self.shortfalls[name] = {each: left for each, left in self.shortfalls[name].items() if each != life}
        if made:
            self.persist([loan.plain() for loan in (*self.granted.values(), *made)])
            self.granted |= {loan.number: loan for loan in made}
        return made

    def report(self) -> BudgetReport:
        """What to tell all others."""
        lacks = {}
        for life, strain in self.loads.items():
            lack = strain.demand - strain.capacity * self.share(life)
            if lack > MIN_GRANT_FRACTION * strain.capacity:
                lacks[life] = lack
        return BudgetReport(lacks, (*self.granted.values(), *self.received.values()))

    def status(self) -> dict[str, Any]:
        """For operators, by backend."""
        found: dict[str, Any] = {}
        for life in sorted(self.loads):
            lent = {loan.borrower: loan.amount for loan in self.granted.values() if loan.incarnation == life}
            borrowed = {loan.lender: loan.amount for loan in self.received.values() if loan.incarnation == life}
            found[life.backend] = {"share": round(self.share(life), 3), "lent": lent, "borrowed": borrowed}
        return found
