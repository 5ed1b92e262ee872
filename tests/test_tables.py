"""Views, their digests and changes; the books and what messages cost."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxhead.policy.decisions import TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.tables.orders import Books, Message, Place, fold
from onyxhead.tables.view import Malformed, View, nested, read_patch
from tests.fleetrig import line

NAMES = st.sampled_from([f"b{n}" for n in range(6)])
PATHS = st.one_of(
    st.tuples(st.just("withdrawn"), NAMES),
    st.tuples(st.just("standing"), NAMES),
    st.tuples(st.just("tables"), st.sampled_from(["1.0", "1.1"]), st.just("lines"), NAMES),
)
CHANGES = st.dictionaries(PATHS, st.one_of(st.none(), st.integers(1, 9)), max_size=8)


def leaves(changes: dict[tuple[str, ...], int | None]) -> dict[tuple[str, ...], Any]:
    return {p: None if v is None else True if p[0] == "withdrawn" else line(p[-1], v) for p, v in changes.items()}


@given(st.lists(CHANGES, max_size=6))
def test_a_view_made_by_changes_is_the_view_made_at_once(steps: list[dict[tuple[str, ...], int | None]]) -> None:
    view, plain = View.EMPTY, dict[tuple[str, ...], Any]()
    for step in map(leaves, steps):
        view = view.apply(read_patch(json.loads(json.dumps(nested(step)))))
        plain = {p: v for p, v in (plain | step).items() if v is not None}
    assert view == View.of(plain) and view.tag == View.of(plain).tag
    assert View.read(json.loads(json.dumps(view.document()))).tag == view.tag


@given(CHANGES, CHANGES)
def test_changes_between_two_views_lead_from_one_to_the_other(one: Any, two: Any) -> None:
    before, after = View.EMPTY.apply(leaves(one)), View.EMPTY.apply(leaves(two))
    assert before.apply(before.changes_to(after)).tag == after.tag
    assert (before.tag == after.tag) == (before == after)


def test_weights_that_differ_by_one_part_have_other_tags() -> None:
    one = View.of({("standing", "b1"): line("b1", 1_000_000)})
    assert one.tag != one.set(("standing", "b1"), line("b1", 1_000_001)).tag


@pytest.mark.parametrize(
    "document",
    [
        [],
        {"lines": {}},
        {"withdrawn": {"b1": 1}},
        {"tables": {"1": {"rows": {}}}},
        {"bindings": {"g": ""}},
        {"standing": {"b1": {"address": "127.0.0.1:80", "weight": 0, "zone": "a"}}},
        {"standing": {"b1": {"address": "a b:80", "weight": 1, "zone": "a"}}},
        {"standing": {"b1": {"address": "127.0.0.1:80", "weight": 1.5, "zone": "a"}}},
        {"tables": {"1": {"levels": {"g": {"share": 1.2, "tries": 0}}}}},
        {"tables": {"1": {"levels": {"g": {"share": 1, "tries": 4}}}}},
        {"tables": {"1": {"lines": True}}},
    ],
)
def test_what_is_no_view_is_refused_whole(document: Any) -> None:
    with pytest.raises(Malformed):
        View.read(document)


def books() -> Books:
    made = Books(("read", "write"), AdmissionMode.FRACTION, 6.0)
    made.places = {f"b{n}": Place(f"127.0.0.1:{9000 + n}", "north") for n in range(5)}
    return made


def test_an_assignment_sends_the_whole_table_once_and_counts_its_lines() -> None:
    own = books()
    own.messages(0, [TableChange(0, (("b0", 1.0), ("b1", 0.5)))])
    own.join(7, View.of({("standing", "b4"): line("b4")}))
    (message,) = own.messages(1, [Withdrawal("b1", True), TableAssignment(7, 0, ())])
    assert message.whole and message.lines == 6 + 1 + (1 + 2 + 1) + 1
    assert message.result.kind("tables", "t0", "lines")["b1"]["weight"] == 500_000
    assert message.result.kind("withdrawn") == {"b1": True} and not message.result.kind("standing")


def test_a_change_goes_to_users_of_its_table_only_and_a_withdrawal_to_all() -> None:
    own = books()
    own.messages(0, [TableChange(0, (("b0", 1.0), ("b1", 1.0)))])
    own.join(1, View.EMPTY)
    own.join(2, View.of({("standing", "b0"): line("b0")}))
    own.messages(1, [TableAssignment(1, 0, ())])
    assert [m.proxy for m in own.messages(2, [TableChange(0, (("b2", 0.1),))])] == [1]
    shut = own.messages(3, [Withdrawal("b0", True)])
    assert [m.proxy for m in shut] == [1, 2] and all(m.urgent and not m.whole for m in shut)
    assert shut[1].document() == {"withdrawn": {"b0": True}}
    assert own.views[2] == View.of({("standing", "b0"): line("b0"), ("withdrawn", "b0"): True})


@given(st.lists(st.tuples(st.booleans(), CHANGES), min_size=1, max_size=6))
def test_a_folded_run_of_changes_leads_where_the_run_leads(steps: Any) -> None:
    base = view = View.EMPTY.apply(leaves({("standing", "b1"): 3}))
    run = []
    for turn, (whole, step) in enumerate(steps):
        before, changes = view, leaves(step)
        view = View.of({p: v for p, v in changes.items() if v is not None}) if whole else view.apply(changes)
        run.append(Message(1, turn, whole, before.tag, view, changes, 9.0, False))
    one = fold(run)
    assert one.base == base.tag and one.result is view and one.turn == len(steps) - 1
    document = json.loads(json.dumps(one.document()))
    assert (View.read(document) if one.whole else base.apply(read_patch(document))).tag == view.tag


def test_a_small_weight_never_becomes_no_line_and_zero_takes_it_away() -> None:
    own = books()
    own.join(1, View.EMPTY)
    own.messages(1, [TableChange(0, (("b0", 1e-9),)), TableAssignment(1, 0, ())])
    assert own.views[1].kind("tables", "t0", "lines")["b0"]["weight"] == 1
    own.messages(2, [TableChange(0, (("b0", 0.0),))])
    assert not own.views[1].kind("tables", "t0", "lines")
