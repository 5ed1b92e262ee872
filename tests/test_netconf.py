"""NETCONF: framing, XML, edits and datastores against plain models; whole sessions with a client not written here."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any

import asyncssh
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from ncclient import manager
from ncclient.operations import RPCError

from onyxhead.cli.main import main
from onyxhead.controller.configuration.access import Access
from onyxhead.controller.configuration.commit_plan import BackendFacts, CommitPlan, FleetFacts, plan_commit
from onyxhead.controller.configuration.datastores import Commit, Datastores
from onyxhead.controller.configuration.service import ConfigurationCallbacks, ConfigurationService
from onyxhead.controller.configuration.tree import Edit, RpcError, Tree, apply, changes, with_defaults
from onyxhead.controller.configuration.views import as_records, deployment, tree_of
from onyxhead.fronts.netconf import schema
from onyxhead.fronts.netconf.bounded_writer import BoundedWriter
from onyxhead.fronts.netconf.data_trees import read_edits
from onyxhead.fronts.netconf.errors import FramingError, MalformedXmlError
from onyxhead.fronts.netconf.framing import END_OF_MESSAGE, Framing
from onyxhead.fronts.netconf.session import NetconfSession
from onyxhead.fronts.netconf.session_context import SessionState, Subscription
from onyxhead.fronts.netconf.xml_elements import BASE_NAMESPACE, FLEET_NAMESPACE, NOTIFICATION_NAMESPACE, parse_message
from onyxhead.settings.load import read_settings
from onyxhead.settings.model import AccessRule, ControllerSettings, NetconfUser
from tests.test_controller_server import BACKENDS, CONTROLLER, Running, list_of, play, shown, until

GROUP = {"name": "read", "latency-budget": 5000, "expiry": 10_000, "repeats": "retriable"}
TREE: Tree = {"group": [GROUP], "channel": {"pace": "5000.0", "most-waiting": 2000}, "guards": {"drain-grace": 20_000}}


# Framing and XML


@given(
    st.lists(st.binary(min_size=1, max_size=60).filter(lambda b: END_OF_MESSAGE not in b), max_size=5),
    st.integers(1, 9),
)
def test_messages_come_back_whole_however_they_are_cut(messages: list[bytes], piece: int) -> None:
    for chunked in (False, True):
        sender, receiver = Framing(), Framing()
        sender.chunked = receiver.chunked = chunked
        data = b"".join(sender.encode(message) for message in messages)
        found: list[bytes] = []
        for place in range(0, len(data), piece):
            part = receiver.receive(data[place : place + piece])
            while part:
                found += part
                part = receiver.receive_buffered()
        assert found == [m for m in messages] or (not chunked and any(m.endswith(b"]") for m in messages))


@settings(max_examples=200)
@given(st.binary(max_size=300), st.booleans())
def test_no_bytes_do_worse_than_end_the_session(data: bytes, chunked: bool) -> None:
    session, sent, over = quiet_session()
    session.framing.chunked = chunked
    if chunked:
        session.context.state = SessionState.OPEN
    session.receive(data)
    assert over or not session.is_closed


@pytest.mark.parametrize(
    "data",
    [
        b"x",
        b"\n#0\nabc",
        b"\n#-1\n",
        b"\n#99999999999\n",
        b"\n#4294967295\n",
        b"\n##\n",
        b"\n#3\nabcX",
        b"\n#" + b"1" * 30,
    ],
)
def test_chunk_heads_that_lie_end_the_session(data: bytes) -> None:
    own = Framing()
    own.chunked = True
    with pytest.raises(FramingError):
        own.receive(data)


def test_the_old_mark_inside_a_chunk_is_only_data() -> None:
    own = Framing()
    own.chunked = True
    assert own.receive(own.encode(b"<a>]]>]]></a>")) == [b"<a>]]>]]></a>"]
    small = Framing(max_message_bytes=10)
    with pytest.raises(FramingError):
        small.receive(b"x" * 20)


@pytest.mark.parametrize(
    "message",
    [
        b"<a",
        b"",
        b"<a></b>",
        b'<!DOCTYPE a [<!ENTITY x "y">]><a>&x;</a>',
        b"<a>" * 80 + b"</a>" * 80,
        b'<!DOCTYPE a SYSTEM "file:///etc/hostname"><a/>',
        b"<a>&undefined;</a>",
        b"<a>" + b"<b/>" * 700_000 + b"</a>",
    ],
)
def test_xml_that_is_not_taken(message: bytes) -> None:
    with pytest.raises(MalformedXmlError):
        parse_message(message)


# Edits


def edit(text: str) -> Edit:
    config = parse_message(
        f'<config xmlns:nc="{BASE_NAMESPACE}"><fleet xmlns="{FLEET_NAMESPACE}">{text}</fleet></config>'.encode()
    )
    return read_edits(config, schema.config_schema())[0]


def after(text: str, default: str = "merge", tree: Tree = TREE) -> Tree:
    return apply(schema.config_schema(), tree, edit(text), default)


def backend(name: str, operation: str = "", more: str = "") -> str:
    told = f' nc:operation="{operation}"' if operation else ""
    return f"<backend{told}><id>{name}</id>{more}</backend>"


def test_the_five_operations() -> None:
    one = after(backend("b1", "", "<weight>2</weight>"))
    assert one["backend"] == [{"id": "b1", "weight": "2.0"}] and "backend" not in TREE
    merged = after(backend("b1", "", "<drained>true</drained>"), tree=one)
    assert merged["backend"] == [{"id": "b1", "weight": "2.0", "drained": True}]
    assert after(backend("b1", "replace", "<drained>true</drained>"), tree=one)["backend"] == [
        {"id": "b1", "drained": True}
    ]
    assert "backend" not in after(backend("b1", "delete"), tree=one) == TREE
    assert after(backend("b9", "remove"), tree=one) == one
    assert after("", "replace") == {}
    assert after(backend("b2"), "none", after(backend("b2"))) == after(backend("b2"))


@pytest.mark.parametrize(
    ("text", "default", "tag"),
    [
        (backend("b9", "delete"), "merge", "data-missing"),
        ("<group nc:operation='create'><name>read</name></group>", "merge", "data-exists"),
        ("<backend/>", "merge", "missing-element"),
        ("<odd/>", "merge", "unknown-element"),
        (backend("b9"), "none", "data-missing"),
        ("<channel><pace>fast</pace></channel>", "merge", "invalid-value"),
        ("<channel nc:operation='x'/>", "merge", "bad-attribute"),
        ("<channel><pace nc:operation='create'>1</pace></channel>", "merge", "data-exists"),
        ("<channel><most-waiting>5</most-waiting></channel>", "merge", "invalid-value"),
    ],
)
def test_edits_that_do_not_fit_are_told_by_the_tag_of_the_rfc(text: str, default: str, tag: str) -> None:
    with pytest.raises(RpcError) as caught:
        schema.validate_tree(after(text, default))
    assert caught.value.tag == tag


def test_defaults_are_shown_as_asked_and_state_can_not_be_edited() -> None:
    node = schema.config_schema()
    shown_all = with_defaults(node, TREE, "report-all")
    assert shown_all["guards"]["cold-time"] == 150_000 and shown_all["group"][0]["dedup-reach"] == "all"
    assert "drain-grace" not in with_defaults(node, TREE, "trim")["guards"]
    assert with_defaults(node, TREE, "explicit") == TREE


def test_changes_name_what_an_edit_does() -> None:
    two = after(backend("b1", "", "<weight>2</weight>") + "<channel><pace>7</pace></channel>")
    assert list(changes(TREE, two, "/fleet")) == [
        ("create", "/fleet/backend/id"),
        ("create", "/fleet/backend/weight"),
        ("update", "/fleet/channel/pace"),
    ]


# Datastores against a plain model


def stores() -> Datastores:
    return Datastores(schema.config_schema(), [Commit(1, TREE, "(settings)", "settings")], schema.validate_tree)


class Plain:
    """What the RFC says of locks, candidate and confirmed commits, as plainly as it can be said."""

    def __init__(self) -> None:
        self.running = self.candidate = 0
        self.lock: dict[str, int] = {}
        self.back: tuple[int, int, float, str] | None = None

    def may(self, who: int, *names: str) -> bool:
        return all(self.lock.get(name, who) == who for name in names)

    def do(self, what: str, who: int, value: int, now: float) -> bool:
        match what:
            case "edit" if self.may(who, "candidate"):
                self.candidate = value
                return True
            case "lock candidate" if "candidate" not in self.lock and self.candidate == self.running:
                self.lock["candidate"] = who
                return True
            case "lock running" if "running" not in self.lock and not self.back:
                self.lock["running"] = who
                return True
            case "unlock candidate" if self.lock.get("candidate") == who:
                del self.lock["candidate"]
                self.candidate = self.running
                return True
            case "discard" if self.may(who, "candidate"):
                self.candidate = self.running
                return True
            case "commit" | "confirmed" if self.may(who, "candidate", "running") and (
                not self.back or self.back[1] == who
            ):
                first = self.back[0] if self.back else self.running
                self.back = (first, who, now + 5, "") if what == "confirmed" else None
                self.running = self.candidate
                return True
            case "cancel" if self.back and self.back[1] == who:
                self.roll_back()
                return True
            case "end":
                if self.lock.get("candidate") == who:
                    self.candidate = self.running
                self.lock = {name: holder for name, holder in self.lock.items() if holder != who}
                if self.back and self.back[1] == who:
                    self.roll_back()
                return True
        return False

    def roll_back(self) -> None:
        assert self.back is not None
        self.running, self.back = self.back[0], None
        if "candidate" not in self.lock:
            self.candidate = self.running


WHAT = ("edit", "lock candidate", "lock running", "unlock candidate", "discard", "commit", "confirmed", "cancel", "end")


@pytest.mark.parametrize("seed", range(150))
def test_two_sessions_in_every_order_do_what_the_plain_model_says(seed: int) -> None:
    chance, own, plain, now = random.Random(seed), stores(), Plain(), 100.0
    for step in range(30):
        now += chance.choice((0.1, 0.1, 3.0))
        if (back := own.expired(now)) is not None:
            own.committed(0, back)
        if plain.back and now >= plain.back[2]:
            plain.roll_back()
        what, who, value = chance.choice(WHAT), chance.choice((1, 2)), step + 1
        try:
            run(own, what, who, value, now)
            did = True
        except RpcError:
            did = False
        assert did == plain.do(what, who, value, now), (seed, step, what, who)
        assert (weight(own.running), weight(own.candidate)) == (plain.running, plain.candidate), (seed, step, what)
        assert own.locks == plain.lock


def weight(tree: Tree) -> int:
    return int(float(tree.get("backend", [{"weight": "0"}])[0]["weight"]))


def run(own: Datastores, what: str, who: int, value: int, now: float) -> None:
    match what.split():
        case ["edit"]:
            text = backend("b1", "", f"<weight>{value}</weight>")
            own.put(who, "candidate", own.edited(who, "candidate", edit(text), "merge"))
        case ["lock", name]:
            own.lock(who, name)
        case ["unlock", name]:
            own.unlock(who, name)
        case ["discard"]:
            own.discard(who)
        case ["commit" | "confirmed"]:
            own.committed(who, own.commit(who, "u", now, what == "confirmed", 5))
        case ["cancel"]:
            own.committed(who, own.cancel(who, "u"))
        case ["end"]:
            if (back := own.close_session(who)) is not None:
                own.committed(0, back)


def test_a_persistent_commit_is_confirmed_by_whoever_knows_its_id() -> None:
    own = stores()
    run(own, "edit", 1, 3, 0)
    own.committed(1, own.commit(1, "u", 0.0, True, 60, persist="k"))
    assert own.close_session(1) is None and weight(own.running) == 3
    with pytest.raises(RpcError):
        own.commit(2, "u", 1.0, persist_id="other")
    own.committed(2, own.commit(2, "u", 1.0, persist_id="k"))
    assert own.expired(1000.0) is None and weight(own.running) == 3


# What a commit may break


def facts(count: int = 4, proxies: int = 10, **other: Any) -> FleetFacts:
    backends = tuple(BackendFacts(f"b{n}", "north", True, True) for n in range(count))
    return FleetFacts(backends, proxies, 0.0, 6.0)._replace(**other)


def drain(*names: str) -> Tree:
    return TREE | {"backend": [{"id": name, "drained": True} for name in names]}


@pytest.mark.parametrize(
    ("tree", "known", "words"),
    [
        (drain("b0", "b1", "b2", "b3"), facts(), "no warm backend (rule 1)"),
        (
            drain("b0"),
            facts(backends=(BackendFacts("b0", "n", True, True), BackendFacts("b1", "n", True, False))),
            "rule 1",
        ),
        (drain(*(f"b{n}" for n in range(30))), facts(40, 100), "at a time (rule 3)"),
        (TREE | {"channel": {"most-waiting": 50}}, facts(queued_lines=60.0), "rule 5"),
        (TREE | {"group": []}, facts(), "no traffic group"),
    ],
)
def test_an_edit_that_would_break_a_rule_by_itself_is_refused(tree: Tree, known: FleetFacts, words: str) -> None:
    with pytest.raises(RpcError, match=words.replace("(", r"\(").replace(")", r"\)")):
        plan_commit(TREE, tree, known)


def test_what_is_allowed_is_planned() -> None:
    plan = plan_commit(drain("b0"), drain("b1"), facts())
    assert (plan.drains, plan.restores, plan.rebuild) == (("b1",), ("b0",), False) and plan.seconds > 0
    assert plan_commit(TREE, TREE | {"guards": {"drain-grace": 9000}}, facts()).rebuild
    assert plan_commit(TREE, TREE, facts()) == CommitPlan((), (), (), False, 0.0)


def test_settings_and_trees_are_two_views_of_one_thing(tmp_path: Path) -> None:
    path = tmp_path / "c.rec"
    path.write_text(CONTROLLER + "backends: {b1: {weight: 2.5}, b2: {drained: true}}\n")
    first = read_settings(path)
    assert isinstance(first, ControllerSettings)
    tree = tree_of(first)
    schema.validate_tree(tree)
    assert deployment(tree, first) == first.deployment
    changed = after(backend("b3", "", "<weight>0.5</weight>") + "<channel><pace>777</pace></channel>", tree=tree)
    kept = "\n".join(line for line in CONTROLLER.splitlines() if not line.startswith(("groups", "channel")))
    path.write_text(kept + "\n" + as_records(changed, first.prefixes))
    second = read_settings(path)
    assert isinstance(second, ControllerSettings) and tree_of(second) == changed


# Access


def test_writes_are_denied_unless_a_rule_permits_and_the_first_rule_that_fits_decides() -> None:
    rules = (
        AccessRule("no pace", ("ops",), "/fleet/channel/pace", None, ("*",), False),
        AccessRule("ops", ("ops",), "/fleet", None, ("update", "create"), True),
        AccessRule("hidden", ("*",), "/fleet/guards", None, ("read",), False),
        AccessRule("kill", ("ops",), None, "kill-session", ("exec",), True),
    )
    own = Access({"o": NetconfUser((), ("ops",)), "v": NetconfUser((), ())}, rules)
    own.may_write("o", TREE, after(backend("b1")), "/fleet")
    for user, tree in (("v", after(backend("b1"))), ("o", after("<channel><pace>9</pace></channel>")), ("o", {})):
        with pytest.raises(RpcError, match="may not"):
            own.may_write(user, TREE, tree, "/fleet")
    own.may_run("o", "kill-session")
    own.may_run("v", "get")
    with pytest.raises(RpcError):
        own.may_run("v", "kill-session")
    assert not own.readable("v", "/fleet/guards/drain-grace") and own.readable("v", "/fleet/channel")


# Commits cut at every write


class Cut(BaseException):
    """Stands for a kill."""


@pytest.mark.parametrize("cut", range(4))
def test_a_commit_cut_at_any_step_is_whole_or_absent(cut: int) -> None:
    disk, acted, count = [Commit(1, TREE, "(settings)", "settings")], list[Tree](), [0]

    def step(work: Any) -> Any:
        def call(*args: Any) -> None:
            count[0] += 1
            if count[0] == 2 * cut + 1:
                raise Cut
            work(*args)
            if count[0] == 2 * cut:
                raise Cut

        return call

    callbacks = ConfigurationCallbacks(
        facts,
        step(disk.append),
        lambda _: None,
        step(lambda tree, _: acted.append(tree)),
        dict,
        time.time,
        lambda *_: None,
    )
    rule = AccessRule("all", ("*",), None, None, ("*",), True)
    service = ConfigurationService(
        Datastores(schema.config_schema(), list(disk), schema.validate_tree), Access({}, (rule,)), callbacks
    )
    service.edit("u", 1, "candidate", edit(backend("b1", "", "<drained>true</drained>")), "merge", "set")
    answered = False
    try:
        service.commit("u", 1)
        answered = True
    except Cut:
        pass
    again = Datastores(schema.config_schema(), disk, schema.validate_tree)
    assert again.running in (TREE, drain("b1")) and (again.running == drain("b1") or not answered)
    assert not acted or again.running == acted[-1]


def test_a_commit_not_confirmed_goes_back_also_when_the_controller_was_dead_at_its_time_out() -> None:
    own = stores()
    run(own, "edit", 1, 3, 0)
    commit = own.commit(1, "u", 100.0, True, 60, persist="k")
    own.committed(1, commit)
    again = Datastores(schema.config_schema(), [own.commits[1], commit], schema.validate_tree)
    assert weight(again.running) == 3 and again.expired(159.0) is None
    back = again.expired(161.0)
    assert back is not None and back.tree == TREE


# Sessions


def quiet_session() -> tuple[NetconfSession, list[bytes], list[bool]]:
    sent, over = list[bytes](), list[bool]()
    rule = AccessRule("all", ("*",), None, None, ("*",), True)
    callbacks = ConfigurationCallbacks(
        facts, lambda _: None, lambda _: None, lambda *_: None, lambda: {"epoch": 3}, time.time, lambda *_: None
    )
    service = ConfigurationService(stores(), Access({}, (rule,)), callbacks)
    return NetconfSession(service, "u", sent.append, lambda: over.append(True)), sent, over


def greeted() -> tuple[NetconfSession, list[bytes]]:
    session, sent, _ = quiet_session()
    hello = f'<hello xmlns="{BASE_NAMESPACE}"><capabilities><capability>urn:ietf:params:netconf:base:1.0</capability></capabilities></hello>'
    session.receive(hello.encode() + END_OF_MESSAGE)
    sent.clear()
    return session, sent


def rpc(session: NetconfSession, sent: list[bytes], body: str, head: str = 'message-id="1"') -> str:
    sent.clear()
    session.receive(f'<rpc xmlns="{BASE_NAMESPACE}" {head}>{body}</rpc>'.encode() + END_OF_MESSAGE)
    return b"".join(sent).decode()


@pytest.mark.parametrize(
    ("body", "tag"),
    [
        ("<get-config><source><odd/></source></get-config>", "invalid-value"),
        ("<get-config/>", "missing-element"),
        ("<what/>", "operation-not-supported"),
        ("<unlock><target><running/></target></unlock>", "operation-failed"),
        ("<kill-session><session-id>77</session-id></kill-session>", "invalid-value"),
        ("", "malformed-message"),
        ("<edit-config><target><running/></target><config/></edit-config>", "operation-not-supported"),
        ("<commit><persist-id>x</persist-id></commit>", "invalid-value"),
        ("<cancel-commit/>", "operation-failed"),
        ("<edit-config><target><candidate/></target></edit-config>", "missing-element"),
        ('<get><filter type="odd"/></get>', "bad-attribute"),
        ('<get><filter type="xpath" select="//["/></get>', "invalid-value"),
        (
            '<edit-config><target><candidate/></target><config><x xmlns="urn:x"/></config></edit-config>',
            "unknown-namespace",
        ),
    ],
)
def test_faults_are_answered_with_the_tags_of_the_rfc_and_the_session_goes_on(body: str, tag: str) -> None:
    session, sent = greeted()
    assert f"<error-tag>{tag}</error-tag>" in rpc(session, sent, body)
    assert "<ok/>" in rpc(session, sent, "<discard-changes/>")


def test_a_message_with_no_id_is_a_fault_and_attributes_come_back() -> None:
    session, sent = greeted()
    assert "missing-attribute" in rpc(session, sent, "<discard-changes/>", "")
    assert 'x="y"' in rpc(session, sent, "<discard-changes/>", 'message-id="7" x="y"')


def test_filters_select() -> None:
    session, sent = greeted()
    told = rpc(session, sent, f'<get><filter><fleet-state xmlns="{FLEET_NAMESPACE}"/></filter></get>')
    assert "<epoch>3</epoch>" in told and "latency-budget" not in told
    by_key = f'<fleet xmlns="{FLEET_NAMESPACE}"><group><name>%s</name></group></fleet>'
    ask = "<get-config><source><running/></source><filter>%s</filter></get-config>"
    assert "latency-budget" in rpc(session, sent, ask % (by_key % "read"))
    assert "latency-budget" not in rpc(session, sent, ask % (by_key % "other"))
    xpath = f'<get><filter xmlns:o="{FLEET_NAMESPACE}" type="xpath" select="//o:group/o:expiry"/></get>'
    told = rpc(session, sent, xpath)
    assert "<expiry>10000</expiry>" in told and "<name>read</name>" in told and "latency-budget" not in told


def test_notifications_come_live_and_from_before() -> None:
    session, sent = greeted()
    session.context.service.notify("orders-sent", {"turn": 1, "cause": ["x"]})
    start = "<startTime>2020-01-01T00:00:00Z</startTime>"
    told = rpc(session, sent, f'<create-subscription xmlns="{NOTIFICATION_NAMESPACE}">{start}</create-subscription>')
    assert told.index("<ok/>") < told.index("<turn>1</turn>") < told.index("replayComplete")
    sent.clear()
    session.context.service.notify("orders-sent", {"turn": 2, "cause": []})
    assert b"<turn>2</turn>" in sent[0]


def test_a_session_that_dies_holding_locks_in_the_middle_of_a_message_leaves_nothing() -> None:
    session, sent = greeted()
    rpc(session, sent, "<lock><target><candidate/></target></lock>")
    config = f'<config><fleet xmlns="{FLEET_NAMESPACE}">{backend("b1")}</fleet></config>'
    rpc(session, sent, f"<edit-config><target><candidate/></target>{config}</edit-config>")
    session.receive(b"<rpc><comm")
    session.on_transport_closed()
    own = session.context.service.datastores
    assert own.locks == {} and own.candidate == own.running == TREE


def test_two_hundred_idle_sessions_and_a_reader_that_takes_nothing_hold_nobody_up() -> None:
    session, sent = greeted()
    service, closed = session.context.service, list[bool]()
    idle = [NetconfSession(service, "u", lambda _: None, lambda: None) for _ in range(200)]

    class Stuck:
        def __init__(self) -> None:
            self.channel, self.size = self, 0

        def get_write_buffer_size(self) -> int:
            return self.size

        def write(self, data: bytes) -> None:
            self.size += len(data)

    stuck = Stuck()
    slow = NetconfSession(service, "u", BoundedWriter(stuck, lambda: closed.append(True)).write, lambda: None)  # type: ignore[arg-type]
    for each in (session, slow):
        each.context.state, each.context.subscription = SessionState.OPEN, Subscription()
        service.listeners[each.session_id] = each.on_notification
    sent.clear()
    for turn in range(60):
        service.notify("orders-sent", {"turn": turn, "cause": ["x" * 100_000]})
    assert closed and stuck.size < 5 * 1024 * 1024 and len(sent) == 60
    assert len({each.session_id for each in idle}) == 200 and "<ok/>" in rpc(session, sent, "<discard-changes/>")


# Whole: a client library, SSH, the controller, the push, the swapped file

RULES = """
netconf: {
    ssh: "127.0.0.1:0", host_key: "host"
    users: {op: {keys: ["%s"], groups: ["ops"]}, viewer: {keys: ["%s"]}}
    rules: [{name: "ops", groups: ["ops"], action: "permit"}]
}
"""


def drain_xml(name: str, value: str = "true") -> str:
    entry = f"<backend><id>{name}</id><drained>{value}</drained></backend>"
    return f'<config xmlns="{BASE_NAMESPACE}"><fleet xmlns="{FLEET_NAMESPACE}">{entry}</fleet></config>'


def test_a_drain_edited_over_netconf_reaches_the_proxys_file_and_an_unconfirmed_commit_goes_back(
    tmp_path: Path,
) -> None:
    key = asyncssh.generate_private_key("ssh-ed25519")
    for name in ("host", "user"):
        (asyncssh.generate_private_key("ecdsa-sha2-nistp256") if name == "host" else key).write_private_key(
            tmp_path / name
        )
    public = key.export_public_key("openssh").decode().strip()

    def connect(port: int, user: str = "op") -> Any:
        return manager.connect(
            host="127.0.0.1",
            port=port,
            username=user,
            key_filename=str(tmp_path / "user"),
            hostkey_verify=False,
            allow_agent=False,
            look_for_keys=False,
            timeout=10,
        )

    async def work(running: Running) -> None:
        running.more = RULES % (public, public)
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await running.agent("p1", port)
        await until(lambda: shown(tmp_path, "p1") == {9001, 9002, 9003})
        assert controller.netconf is not None
        await until(lambda: controller.netconf.ssh)
        ssh = controller.netconf.ssh.get_port()  # type: ignore[union-attr]
        m = await asyncio.to_thread(connect, ssh)
        assert "urn:ietf:params:netconf:base:1.1" in m.server_capabilities
        await asyncio.to_thread(m.edit_config, drain_xml("b2"), target="candidate")
        await asyncio.sleep(0.1)
        assert len(shown(tmp_path, "p1")) == 3
        await asyncio.to_thread(m.commit)
        await until(lambda: shown(tmp_path, "p1") == {9001, 9003}, 2.0)
        await asyncio.to_thread(m.edit_config, drain_xml("b3"), target="candidate")
        await asyncio.to_thread(m.commit, confirmed=True, timeout="1")
        await until(lambda: shown(tmp_path, "p1") == {9001}, 2.0)
        await until(lambda: shown(tmp_path, "p1") == {9001, 9003}, 6.0)
        await asyncio.to_thread(m.edit_config, drain_xml("b1"), target="candidate")
        await asyncio.to_thread(m.edit_config, drain_xml("b3"), target="candidate")
        with pytest.raises(RPCError, match="no warm backend"):
            await asyncio.to_thread(m.commit)
        await asyncio.to_thread(m.discard_changes)
        told = await asyncio.to_thread(m.get)
        assert "<withdrawn>true</withdrawn>" in told.xml
        written = await asyncio.to_thread(CliRunner().invoke, main, ["config", f"127.0.0.1:{port}"])
        assert written.exit_code == 0 and '"b2": {' in written.output and "drained" in written.output
        schema_text = await asyncio.to_thread(m.get_schema, "onyxhead-fleet")
        assert "module onyxhead-fleet" in schema_text.data
        await asyncio.to_thread(m.close_session)
        m = await asyncio.to_thread(connect, ssh, "viewer")
        with pytest.raises(RPCError) as caught:
            await asyncio.to_thread(m.edit_config, drain_xml("b1"), target="candidate")
        assert caught.value.tag == "access-denied"
        await asyncio.to_thread(m.close_session)
        controller.supervisor.stopping.set()
        await until(lambda: running.tasks[0].done())
        second = await running.controller()
        assert second.configuration is not None and second.configuration.datastores.running["backend"] == [
            {"id": "b2", "drained": True}
        ]
        audit = second.store._query("select user, what, result from audit order by number")
        assert ("op", "commit", "refused: group 'read' would have no warm backend (rule 1)") in audit

    play(tmp_path, work)


def test_a_commit_that_races_a_list_change_and_a_proxy_that_moves_ends_with_both(tmp_path: Path) -> None:
    async def work(running: Running) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        running.more = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        agent = await running.agent("p1", port)
        await until(lambda: len(shown(tmp_path, "p1")) == 3)
        service = controller.configuration
        assert service is not None
        service.access.rules = (AccessRule("all", ("*",), None, None, ("*",), True),)
        for turn in range(6):
            out = "true" if turn % 2 == 0 else "false"
            fourth = {"id": "b4", "address": "127.0.0.1:9004", "zone": "north", "state": "ready"}
            list_of(tmp_path, 2 + turn, [*BACKENDS, fourth] if turn % 3 else BACKENDS)
            agent.session.disconnected.set()
            text = backend("b2", "", f"<drained>{out}</drained>")
            service.datastores.put(1, "candidate", after(text, tree=service.datastores.running))
            await asyncio.sleep(0.02 * turn)
            service.commit("u", 1)
        await until(lambda: shown(tmp_path, "p1") == {9001, 9002, 9003, 9004}, 12.0)
        number = controller.core.proxy_number("p1")
        await until(lambda: controller.core.proxy_tables.views[number].etag == agent.replica.view.etag)

    play(tmp_path, work)


def test_a_change_of_guards_starts_the_module_anew_and_proxies_come_back_with_the_same_lines(tmp_path: Path) -> None:
    async def work(running: Running) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        running.more = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await running.agent("p1", port)
        await until(lambda: len(shown(tmp_path, "p1")) == 3)
        epoch, service = controller.core.epoch, controller.configuration
        assert service is not None
        service.datastores.put(
            1, "candidate", after("<guards><drain-grace>9000</drain-grace></guards>", tree=service.datastores.running)
        )
        service.access.rules = (AccessRule("all", ("*",), None, None, ("*",), True),)
        service.commit("u", 1)
        assert controller.core.epoch > epoch and controller.core.deployment.safety.drain_grace == 9000
        await until(lambda: controller.core.acknowledged)
        assert json.dumps(sorted(shown(tmp_path, "p1"))) == "[9001, 9002, 9003]"

    play(tmp_path, work)
