"""The configuration service: edits, datastores against a reference model, commit plans, access, interrupted commits."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import pytest

from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import BackendFacts, CommitPlan, FleetFacts, plan_commit
from onyxhead.controller.configuration.datastores import Commit, Datastores
from onyxhead.controller.configuration.service import ConfigurationCallbacks, ConfigurationService
from onyxhead.controller.configuration.tree import RpcError, Tree, tree_changes, with_defaults
from onyxhead.controller.configuration.views import deployment_from_tree, settings_text, settings_tree
from onyxhead.fronts.netconf import schema
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import AccessRule, ControllerSettings, NetconfUser
from tests.configuration_samples import (
    PERMIT_ALL,
    TREE,
    backend_xml,
    drained_tree,
    edited_tree,
    fleet_facts,
    new_datastores,
    parse_edit,
)
from tests.test_controller_server import CONTROLLER

# Edits


def test_edit_operations_of_the_rfc() -> None:
    weighted = edited_tree(backend_xml("b1", "", "<weight>2</weight>"))
    assert weighted["backend"] == [{"id": "b1", "weight": "2.0"}] and "backend" not in TREE
    merged = edited_tree(backend_xml("b1", "", "<drained>true</drained>"), tree=weighted)
    assert merged["backend"] == [{"id": "b1", "weight": "2.0", "drained": True}]
    assert edited_tree(backend_xml("b1", "replace", "<drained>true</drained>"), tree=weighted)["backend"] == [
        {"id": "b1", "drained": True}
    ]
    assert "backend" not in edited_tree(backend_xml("b1", "delete"), tree=weighted) == TREE
    assert edited_tree(backend_xml("b9", "remove"), tree=weighted) == weighted
    assert edited_tree("", "replace") == {}
    assert edited_tree(backend_xml("b2"), "none", edited_tree(backend_xml("b2"))) == edited_tree(backend_xml("b2"))


@pytest.mark.parametrize(
    ("text", "default", "tag"),
    [
        (backend_xml("b9", "delete"), "merge", "data-missing"),
        ("<group nc:operation='create'><name>read</name></group>", "merge", "data-exists"),
        ("<backend/>", "merge", "missing-element"),
        ("<odd/>", "merge", "unknown-element"),
        (backend_xml("b9"), "none", "data-missing"),
        ("<channel><pace>fast</pace></channel>", "merge", "invalid-value"),
        ("<channel nc:operation='x'/>", "merge", "bad-attribute"),
        ("<channel><pace nc:operation='create'>1</pace></channel>", "merge", "data-exists"),
        ("<channel><most-waiting>5</most-waiting></channel>", "merge", "invalid-value"),
    ],
)
def test_invalid_edits_are_rejected_with_the_error_tag_of_the_rfc(text: str, default: str, tag: str) -> None:
    with pytest.raises(RpcError) as caught:
        schema.validate_tree(edited_tree(text, default))
    assert caught.value.tag == tag


def test_with_defaults_modes() -> None:
    node = schema.config_schema()
    shown_all = with_defaults(node, TREE, "report-all")
    assert shown_all["guards"]["cold-time"] == 150_000 and shown_all["group"][0]["dedup-reach"] == "all"
    assert "drain-grace" not in with_defaults(node, TREE, "trim")["guards"]
    assert with_defaults(node, TREE, "explicit") == TREE


def test_changes_lists_created_and_updated_nodes() -> None:
    changed = edited_tree(backend_xml("b1", "", "<weight>2</weight>") + "<channel><pace>7</pace></channel>")
    assert list(tree_changes(TREE, changed, "/fleet")) == [
        ("create", "/fleet/backend/id"),
        ("create", "/fleet/backend/weight"),
        ("update", "/fleet/channel/pace"),
    ]


# Datastores against a reference model


class ReferenceModel:
    """A minimal model of locks, the candidate and confirmed commits (RFC 6241).

    Numbers take the place of trees. `pending` describes an unconfirmed commit: the state to roll back to, the session
    and the deadline.
    """

    def __init__(self) -> None:
        self.running = self.candidate = 0
        self.locks: dict[str, int] = {}
        self.pending: tuple[int, int, float] | None = None

    def may_change(self, session: int, *names: str) -> bool:
        return all(self.locks.get(name, session) == session for name in names)

    def apply(self, operation: str, session: int, value: int, now: float) -> bool:
        match operation:
            case "edit" if self.may_change(session, "candidate"):
                self.candidate = value
                return True
            case "lock candidate" if "candidate" not in self.locks and self.candidate == self.running:
                self.locks["candidate"] = session
                return True
            case "lock running" if "running" not in self.locks and not self.pending:
                self.locks["running"] = session
                return True
            case "unlock candidate" if self.locks.get("candidate") == session:
                del self.locks["candidate"]
                self.candidate = self.running
                return True
            case "discard" if self.may_change(session, "candidate"):
                self.candidate = self.running
                return True
            case "commit" | "confirmed" if self.may_change(session, "candidate", "running") and (
                not self.pending or self.pending[1] == session
            ):
                rollback_to = self.pending[0] if self.pending else self.running
                self.pending = (rollback_to, session, now + 5) if operation == "confirmed" else None
                self.running = self.candidate
                return True
            case "cancel" if self.pending and self.pending[1] == session:
                self.roll_back()
                return True
            case "end":
                if self.locks.get("candidate") == session:
                    self.candidate = self.running
                self.locks = {name: holder for name, holder in self.locks.items() if holder != session}
                if self.pending and self.pending[1] == session:
                    self.roll_back()
                return True
        return False

    def roll_back(self) -> None:
        assert self.pending is not None
        self.running, self.pending = self.pending[0], None
        if "candidate" not in self.locks:
            self.candidate = self.running


OPERATIONS = (
    "edit",
    "lock candidate",
    "lock running",
    "unlock candidate",
    "discard",
    "commit",
    "confirmed",
    "cancel",
    "end",
)


@pytest.mark.parametrize("seed", range(150))
def test_two_sessions_in_random_order_agree_with_the_reference_model(seed: int) -> None:
    random_source, datastores, model, now = random.Random(seed), new_datastores(), ReferenceModel(), 100.0
    for step in range(30):
        now += random_source.choice((0.1, 0.1, 3.0))
        if (rollback := datastores.expire_commit(now)) is not None:
            datastores.on_commit_stored(0, rollback)
        if model.pending and now >= model.pending[2]:
            model.roll_back()
        operation, session, value = random_source.choice(OPERATIONS), random_source.choice((1, 2)), step + 1
        try:
            run_operation(datastores, operation, session, value, now)
            succeeded = True
        except RpcError:
            succeeded = False
        assert succeeded == model.apply(operation, session, value, now), (seed, step, operation, session)
        assert (weight_of(datastores.running), weight_of(datastores.candidate)) == (model.running, model.candidate), (
            seed,
            step,
            operation,
        )
        assert datastores.locks == model.locks


def weight_of(tree: Tree) -> int:
    return int(float(tree.get("backend", [{"weight": "0"}])[0]["weight"]))


def run_operation(datastores: Datastores, operation: str, session: int, value: int, now: float) -> None:
    match operation.split():
        case ["edit"]:
            text = backend_xml("b1", "", f"<weight>{value}</weight>")
            datastores.put(
                session, "candidate", datastores.preview_edit(session, "candidate", parse_edit(text), "merge")
            )
        case ["lock", name]:
            datastores.lock(session, name)
        case ["unlock", name]:
            datastores.unlock(session, name)
        case ["discard"]:
            datastores.discard(session)
        case ["commit" | "confirmed"]:
            datastores.on_commit_stored(
                session, datastores.prepare_commit(session, "u", now, operation == "confirmed", 5)
            )
        case ["cancel"]:
            datastores.on_commit_stored(session, datastores.prepare_cancel(session, "u"))
        case ["end"]:
            if (rollback := datastores.close_session(session)) is not None:
                datastores.on_commit_stored(0, rollback)


def test_a_persistent_commit_can_be_confirmed_by_any_session_that_knows_its_id() -> None:
    datastores = new_datastores()
    run_operation(datastores, "edit", 1, 3, 0)
    datastores.on_commit_stored(1, datastores.prepare_commit(1, "u", 0.0, True, 60, persist="k"))
    assert datastores.close_session(1) is None and weight_of(datastores.running) == 3
    with pytest.raises(RpcError):
        datastores.prepare_commit(2, "u", 1.0, persist_id="other")
    datastores.on_commit_stored(2, datastores.prepare_commit(2, "u", 1.0, persist_id="k"))
    assert datastores.expire_commit(1000.0) is None and weight_of(datastores.running) == 3


# Planning of commits


@pytest.mark.parametrize(
    ("tree", "facts", "error_text"),
    [
        (drained_tree("b0", "b1", "b2", "b3"), fleet_facts(), "no warm backend (rule 1)"),
        (
            drained_tree("b0"),
            fleet_facts(backends=(BackendFacts("b0", "n", True, True), BackendFacts("b1", "n", True, False))),
            "rule 1",
        ),
        (drained_tree(*(f"b{n}" for n in range(30))), fleet_facts(40, 100), "at a time (rule 3)"),
        (TREE | {"channel": {"most-waiting": 50}}, fleet_facts(queued_lines=60.0), "rule 5"),
        (TREE | {"group": []}, fleet_facts(), "no traffic group"),
    ],
)
def test_a_commit_that_would_break_a_safety_rule_is_rejected(tree: Tree, facts: FleetFacts, error_text: str) -> None:
    with pytest.raises(RpcError, match=error_text.replace("(", r"\(").replace(")", r"\)")):
        plan_commit(TREE, tree, facts)


def test_a_plan_lists_drains_and_restores_and_whether_the_policy_restarts() -> None:
    plan = plan_commit(drained_tree("b0"), drained_tree("b1"), fleet_facts())
    assert (plan.drains, plan.restores, plan.restarts_policy) == (("b1",), ("b0",), False) and plan.channel_time_s > 0
    assert plan_commit(TREE, TREE | {"guards": {"drain-grace": 9000}}, fleet_facts()).restarts_policy
    assert plan_commit(TREE, TREE, fleet_facts()) == CommitPlan((), (), (), False, 0.0)


def test_settings_and_trees_convert_into_each_other(tmp_path: Path) -> None:
    path = tmp_path / "c.rec"
    path.write_text(CONTROLLER + "backends: {b1: {weight: 2.5}, b2: {drained: true}}\n")
    original = read_settings(path)
    assert isinstance(original, ControllerSettings)
    tree = settings_tree(original)
    schema.validate_tree(tree)
    assert deployment_from_tree(tree, original) == original.deployment
    changed = edited_tree(
        backend_xml("b3", "", "<weight>0.5</weight>") + "<channel><pace>777</pace></channel>", tree=tree
    )
    other_settings = "\n".join(line for line in CONTROLLER.splitlines() if not line.startswith(("groups", "channel")))
    path.write_text(other_settings + "\n" + settings_text(changed, original.prefixes))
    reread = read_settings(path)
    assert isinstance(reread, ControllerSettings) and settings_tree(reread) == changed


# Access


def test_writes_need_a_rule_that_permits_and_the_first_matching_rule_decides() -> None:
    rules = (
        AccessRule("no pace", ("ops",), "/fleet/channel/pace", None, ("*",), False),
        AccessRule("ops", ("ops",), "/fleet", None, ("update", "create"), True),
        AccessRule("hidden", ("*",), "/fleet/guards", None, ("read",), False),
        AccessRule("kill", ("ops",), None, "kill-session", ("exec",), True),
    )
    access = Access({"o": NetconfUser((), ("ops",)), "v": NetconfUser((), ())}, rules)
    access.authorize_write("o", TREE, edited_tree(backend_xml("b1")), "/fleet")
    for user, tree in (
        ("v", edited_tree(backend_xml("b1"))),
        ("o", edited_tree("<channel><pace>9</pace></channel>")),
        ("o", {}),
    ):
        with pytest.raises(RpcError, match="may not"):
            access.authorize_write(user, TREE, tree, "/fleet")
    access.authorize_operation("o", "kill-session")
    access.authorize_operation("v", "get")
    with pytest.raises(RpcError):
        access.authorize_operation("v", "kill-session")
    assert not access.may_read("v", "/fleet/guards/drain-grace") and access.may_read("v", "/fleet/channel")


# Commits interrupted at every step


class KillError(BaseException):
    """Simulates a kill of the process."""


@pytest.mark.parametrize("interrupted_at", range(4))
def test_a_commit_interrupted_at_any_step_is_stored_as_a_whole_or_not_at_all(interrupted_at: int) -> None:
    disk, applied, calls = [Commit(1, TREE, "(settings)", "settings")], list[Tree](), [0]

    def interruptible(callback: Any) -> Any:
        def call(*args: Any) -> None:
            calls[0] += 1
            if calls[0] == 2 * interrupted_at + 1:
                raise KillError
            callback(*args)
            if calls[0] == 2 * interrupted_at:
                raise KillError

        return call

    callbacks = ConfigurationCallbacks(
        fleet_facts,
        interruptible(disk.append),
        lambda _: None,
        interruptible(lambda tree, _: applied.append(tree)),
        dict,
        time.time,
        lambda *_: None,
    )
    service = ConfigurationService(
        Datastores(schema.config_schema(), list(disk), schema.validate_tree), Access({}, (PERMIT_ALL,)), callbacks
    )
    service.edit("u", 1, "candidate", parse_edit(backend_xml("b1", "", "<drained>true</drained>")), "merge", "set")
    replied = False
    try:
        service.commit("u", 1)
        replied = True
    except KillError:
        pass
    restarted = Datastores(schema.config_schema(), disk, schema.validate_tree)
    assert restarted.running in (TREE, drained_tree("b1")) and (restarted.running == drained_tree("b1") or not replied)
    assert not applied or restarted.running == applied[-1]


def test_an_unconfirmed_commit_is_rolled_back_also_if_the_controller_was_down_at_its_timeout() -> None:
    datastores = new_datastores()
    run_operation(datastores, "edit", 1, 3, 0)
    commit = datastores.prepare_commit(1, "u", 100.0, True, 60, persist="k")
    datastores.on_commit_stored(1, commit)
    restarted = Datastores(schema.config_schema(), [datastores.commits[1], commit], schema.validate_tree)
    assert weight_of(restarted.running) == 3 and restarted.expire_commit(159.0) is None
    rollback = restarted.expire_commit(161.0)
    assert rollback is not None and rollback.tree == TREE
