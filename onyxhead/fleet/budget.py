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

MOST_LENT = 0.5
"""Of its part, what a controller lends at most; the rest is its own whatever anyone says."""
SPARE_LENT = 0.5
"""Of what it leaves unused now: flows come back faster than loans."""
WORTH_A_LOAN = 0.05
"""Of a part; smaller loans only make news longer."""
MOST_LOANS = 10_000
CLOCKS = 60 * 10_000
"""So far apart, in tenths of a millisecond, may be the clock that starts are told by and the controller's own."""


class Life(NamedTuple):
    """One start of a backend, the same in every member's list."""

    backend: str
    started: int


class Strain(NamedTuple):
    """What a controller has for a cold backend and what it would bring. `part` is its lone bound in usual flows (warmth
    and trust apart, since both sides apply their own), `asked` what its flows would take if nothing held them."""

    part: float
    asked: float


class Loan(NamedTuple):
    """`number` counts up over the lender's lives, so that a loan is known by (lender, number)."""

    lender: str
    number: int
    borrower: str
    life: Life
    amount: float

    def plain(self) -> list[Any]:
        return [self.lender, self.number, self.borrower, self.life.backend, self.life.started, self.amount]


class Odd(ValueError):
    """News that can't be taken; the text says why."""


class Told(NamedTuple):
    """What a member says of its budget: what it lacks, by backend's life, and every loan it knows of as a party."""

    lacks: dict[Life, float]
    loans: tuple[Loan, ...]

    def plain(self) -> dict[str, Any]:
        return {
            "lacks": [[life.backend, life.started, round(lack, 6)] for life, lack in sorted(self.lacks.items())],
            "loans": [loan.plain() for loan in self.loans],
        }


def read(plain: Any) -> Told:  # noqa: ANN401
    """A member's word. Raises Odd."""
    try:
        lacks = {Life(str(name), _whole(at)): _amount(lack) for name, at, lack in plain["lacks"]}
        loans = tuple(
            Loan(str(lender), _whole(number), str(borrower), Life(str(name), _whole(at)), _amount(amount))
            for lender, number, borrower, name, at, amount in plain["loans"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise Odd(f"no word of a budget: {error}") from None
    if len(lacks) > MOST_LOANS or len(loans) > MOST_LOANS:
        raise Odd("too much said of a budget")
    return Told(lacks, loans)


def _whole(value: object) -> int:
    if type(value) is not int or not 0 <= value < 2**62:
        raise Odd(f"{value!r} is no number of a loan or a start")
    return value


def _amount(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < 1e9:
        raise Odd(f"{value!r} is no amount")
    return float(value)


class Budget:
    """One controller's books of loans. `kept` are the loans of earlier lives as `plain` wrote them, None if the disk
    knows of no earlier life; `keep` puts them on disk before it returns, or raises, and then nothing was lent.
    `began` is this life's start, by the clock that backends' starts are told by."""

    def __init__(
        self, own: str, began: int, kept: list[list[Any]] | None, keep: Callable[[list[list[Any]]], None]
    ) -> None:
        self.own, self.began, self.keep = own, began, keep
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[tuple[str, int], Loan] = {}
        self.strains: dict[Life, Strain] = {}
        self.lacks: dict[str, dict[Life, float]] = {}
        self.sure = kept is not None
        if kept:
            for loan in read({"lacks": [], "loans": kept}).loans:
                self.lent[loan.number] = loan
        self.number = max(self.lent, default=0)

    # What is heard

    def strained(self, strains: Mapping[Life, Strain]) -> None:
        """All backends that are cold now, with this controller's own figures. Loans on others are over."""
        self.strains = dict(strains)
        over = [number for number, loan in self.lent.items() if loan.life not in strains]
        for number in over:
            del self.lent[number]
        self.borrowed = {key: loan for key, loan in self.borrowed.items() if loan.life in strains}

    def told(self, member: str, word: Told) -> None:
        """A member's word, as often and as late as it comes."""
        self.lacks[member] = word.lacks
        for loan in word.loans:
            if loan.lender == self.own:
                # Lost with a disk, or lent by a life before: whoever uses it says so, and it stays lent.
                if loan.borrower == member and loan.life in self.strains and loan.number not in self.lent:
                    self.lent[loan.number] = loan
                self.number = max(self.number, loan.number)
            elif loan.borrower == self.own and loan.lender == member and loan.life in self.strains:
                self.borrowed.setdefault((loan.lender, loan.number), loan)

    def gone(self, member: str) -> None:
        """A member left or died. What it lent stays borrowed and what it borrowed stays lent: its proxies may still
        hold lines that use it."""
        self.lacks.pop(member, None)

    def _older(self, life: Life) -> bool:
        return life.started <= self.began + CLOCKS

    # What is decided

    def share(self, life: Life) -> float:
        """Of this controller's own part for a cold backend, how much it may use now; over 1 where it borrowed."""
        strain = self.strains.get(life)
        if strain is None or strain.part <= 0:
            # Nothing is known of its own flows yet; of whatever its part will be, at most so much can be lent.
            lent = any(loan.life == life for loan in self.lent.values())
            return 1.0 - MOST_LENT if lent or (not self.sure and self._older(life)) else 1.0
        away = sum(loan.amount for loan in self.lent.values() if loan.life == life)
        more = sum(loan.amount for loan in self.borrowed.values() if loan.life == life)
        kept = max(0.0, 1.0 - away / strain.part)
        if not self.sure and self._older(life):
            kept = min(kept, 1.0 - MOST_LENT)
        return kept + more / strain.part

    def lend(self) -> list[Loan]:
        """Loans to those that lack, out of what is left unused; on disk before they are returned. In a fixed order, the
        one who lacks most first."""
        made: list[Loan] = []
        for life, strain in sorted(self.strains.items()):
            # Proxies of this controller's life before may still use all of its part.
            if self._older(life):
                continue
            away = sum(loan.amount for loan in self.lent.values() if loan.life == life)
            spare = min(
                MOST_LENT * strain.part - away,
                SPARE_LENT * (strain.part * self.share(life) - strain.asked),
            )
            wanting = [(lack, name) for name, lacks in self.lacks.items() if (lack := lacks.get(life, 0.0)) > 0]
            for lack, name in sorted(wanting, key=lambda each: (-each[0], each[1])):
                amount = min(spare, lack)
                if amount < WORTH_A_LOAN * strain.part or len(self.lent) + len(made) >= MOST_LOANS:
                    break
                spare -= amount
                self.number += 1
                made.append(Loan(self.own, self.number, name, life, round(amount, 6)))
                # It said what it lacked before it heard of this; it must say so again to get more.
                self.lacks[name] = {each: left for each, left in self.lacks[name].items() if each != life}
        if made:
            self.keep([loan.plain() for loan in (*self.lent.values(), *made)])
            self.lent |= {loan.number: loan for loan in made}
        return made

    def word(self) -> Told:
        """What to tell all others."""
        lacks = {}
        for life, strain in self.strains.items():
            lack = strain.asked - strain.part * self.share(life)
            if lack > WORTH_A_LOAN * strain.part:
                lacks[life] = lack
        return Told(lacks, (*self.lent.values(), *self.borrowed.values()))

    def state(self) -> dict[str, Any]:
        """For operators, by backend."""
        found: dict[str, Any] = {}
        for life in sorted(self.strains):
            lent = {loan.borrower: loan.amount for loan in self.lent.values() if loan.life == life}
            borrowed = {loan.lender: loan.amount for loan in self.borrowed.values() if loan.life == life}
            found[life.backend] = {"share": round(self.share(life), 3), "lent": lent, "borrowed": borrowed}
        return found
