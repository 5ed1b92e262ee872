"""Views with their digests and changes; the table state with its updates and their cost."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxhead.policy.decisions import TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.errors import MalformedViewError
from onyxhead.tables.table_state import TableState
from onyxhead.tables.updates import ProxyUpdate, coalesce
from onyxhead.tables.view import View
from onyxhead.tables.view_format import merge_patch, parse_merge_patch
from tests.controller_rig import line

NAMES = st.sampled_from([f"b{n}" for n in range(6)])
PATHS = st.one_of(
    st.tuples(st.just("withdrawn"), NAMES),
    st.tuples(st.just("standing"), NAMES),
    st.tuples(st.just("tables"), st.sampled_from(["1.0", "1.1"]), st.just("lines"), NAMES),
)
CHANGES = st.dictionaries(PATHS, st.one_of(st.none(), st.integers(1, 9)), max_size=8)


def entries(changes: dict[tuple[str, ...], int | None]) -> dict[tuple[str, ...], Any]:
    """Return changes of a view in which each integer is replaced by a valid value for its path."""
    return {
        path: None if weight is None else True if path[0] == "withdrawn" else line(path[-1], weight)
        for path, weight in changes.items()
    }


@given(st.lists(CHANGES, max_size=6))
def test_a_view_built_by_changes_equals_the_view_built_at_once(steps: list[dict[tuple[str, ...], int | None]]) -> None:
    view, expected = View.EMPTY, dict[tuple[str, ...], Any]()
    for step in map(entries, steps):
        view = view.apply(parse_merge_patch(json.loads(json.dumps(merge_patch(step)))))
        expected = {path: value for path, value in (expected | step).items() if value is not None}
    assert view == View.from_entries(expected) and view.etag == View.from_entries(expected).etag
    assert View.from_document(json.loads(json.dumps(view.to_document()))).etag == view.etag


@given(CHANGES, CHANGES)
def test_changes_between_two_views_turn_one_into_the_other(first: Any, second: Any) -> None:
    before, after = View.EMPTY.apply(entries(first)), View.EMPTY.apply(entries(second))
    assert before.apply(before.changes_to(after)).etag == after.etag
    assert (before.etag == after.etag) == (before == after)


def test_weights_that_differ_by_a_millionth_have_different_etags() -> None:
    first = View.from_entries({("standing", "b1"): line("b1", 1_000_000)})
    assert first.etag != first.with_entry(("standing", "b1"), line("b1", 1_000_001)).etag


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
def test_malformed_views_are_rejected(document: Any) -> None:
    with pytest.raises(MalformedViewError):
        View.from_document(document)


def table_state() -> TableState:
    state = TableState(("read", "write"), AdmissionMode.FRACTION, 6.0)
    state.addresses = {f"b{n}": EndpointAddress(f"127.0.0.1:{9000 + n}", "north") for n in range(5)}
    return state


def test_an_assignment_sends_the_full_table_once_and_counts_its_lines() -> None:
    state = table_state()
    state.apply_decisions(0, [TableChange(0, (("b0", 1.0), ("b1", 0.5)))])
    state.join(7, View.from_entries({("standing", "b4"): line("b4")}))
    (update,) = state.apply_decisions(1, [Withdrawal("b1", True), TableAssignment(7, 0, ())])
    assert update.full and update.line_cost == 6 + 1 + (1 + 2 + 1) + 1
    assert update.result.children("tables", "t0", "lines")["b1"]["weight"] == 500_000
    assert update.result.children("withdrawn") == {"b1": True} and not update.result.children("standing")


def test_a_change_is_sent_to_proxies_of_its_table_only_and_a_withdrawal_to_all() -> None:
    state = table_state()
    state.apply_decisions(0, [TableChange(0, (("b0", 1.0), ("b1", 1.0)))])
    state.join(1, View.EMPTY)
    state.join(2, View.from_entries({("standing", "b0"): line("b0")}))
    state.apply_decisions(1, [TableAssignment(1, 0, ())])
    assert [update.proxy for update in state.apply_decisions(2, [TableChange(0, (("b2", 0.1),))])] == [1]
    updates = state.apply_decisions(3, [Withdrawal("b0", True)])
    assert [update.proxy for update in updates] == [1, 2]
    assert all(update.urgent and not update.full for update in updates)
    assert updates[1].to_document() == {"withdrawn": {"b0": True}}
    assert state.views[2] == View.from_entries({("standing", "b0"): line("b0"), ("withdrawn", "b0"): True})


@given(st.lists(st.tuples(st.booleans(), CHANGES), min_size=1, max_size=6))
def test_a_coalesced_update_gives_the_same_view_as_its_updates_in_turn(steps: Any) -> None:
    base = view = View.EMPTY.apply(entries({("standing", "b1"): 3}))
    updates = []
    for round_number, (full, step) in enumerate(steps):
        before, changes = view, entries(step)
        entries_set = {path: value for path, value in changes.items() if value is not None}
        view = View.from_entries(entries_set) if full else view.apply(changes)
        updates.append(ProxyUpdate(1, round_number, full, before.etag, view, changes, 9.0, False))
    update = coalesce(updates)
    assert update.base_etag == base.etag and update.result is view and update.round_number == len(steps) - 1
    document = json.loads(json.dumps(update.to_document()))
    assert (View.from_document(document) if update.full else base.apply(parse_merge_patch(document))).etag == view.etag


def test_a_small_weight_keeps_its_line_and_zero_removes_it() -> None:
    state = table_state()
    state.join(1, View.EMPTY)
    state.apply_decisions(1, [TableChange(0, (("b0", 1e-9),)), TableAssignment(1, 0, ())])
    assert state.views[1].children("tables", "t0", "lines")["b0"]["weight"] == 1
    state.apply_decisions(2, [TableChange(0, (("b0", 0.0),))])
    assert not state.views[1].children("tables", "t0", "lines")
