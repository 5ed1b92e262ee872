"""Tests of NETCONF: framing, XML, sessions, and end-to-end runs from a client (ncclient) to a proxy's file."""

from __future__ import annotations

import asyncio
import json
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
from onyxhead.controller.configuration.service import ConfigurationCallbacks, ConfigurationService
from onyxhead.fronts.netconf.bounded_writer import BoundedWriter
from onyxhead.fronts.netconf.errors import FramingError, MalformedXmlError
from onyxhead.fronts.netconf.framing import END_OF_MESSAGE, Framing
from onyxhead.fronts.netconf.session import NetconfSession
from onyxhead.fronts.netconf.session_context import SessionState, Subscription
from onyxhead.fronts.netconf.xml_elements import BASE_NAMESPACE, FLEET_NAMESPACE, NOTIFICATION_NAMESPACE, parse_message
from tests.configuration_samples import PERMIT_ALL, TREE, backend_xml, edited_tree, fleet_facts, new_datastores
from tests.test_controller_server import (
    BACKENDS,
    LoopbackRig,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)

# Framing and XML


@given(
    st.lists(st.binary(min_size=1, max_size=60).filter(lambda message: END_OF_MESSAGE not in message), max_size=5),
    st.integers(1, 9),
)
def test_messages_are_decoded_for_any_split_of_the_bytes(messages: list[bytes], piece_length: int) -> None:
    for chunked in (False, True):
        sender, receiver = Framing(), Framing()
        sender.chunked = receiver.chunked = chunked
        data = b"".join(sender.encode(message) for message in messages)
        decoded: list[bytes] = []
        for start in range(0, len(data), piece_length):
            complete = receiver.receive(data[start : start + piece_length])
            while complete:
                decoded += complete
                complete = receiver.receive_buffered()
        assert decoded == [message for message in messages] or (
            not chunked and any(message.endswith(b"]") for message in messages)
        )


@settings(max_examples=200)
@given(st.binary(max_size=300), st.booleans())
def test_random_bytes_never_raise_and_can_only_end_the_session(data: bytes, chunked: bool) -> None:
    session, _, closed = new_session()
    session.framing.chunked = chunked
    if chunked:
        session.context.state = SessionState.OPEN
    session.receive(data)
    assert closed or not session.is_closed


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
def test_invalid_chunk_headers_are_rejected(data: bytes) -> None:
    framing = Framing()
    framing.chunked = True
    with pytest.raises(FramingError):
        framing.receive(data)


def test_the_delimiter_of_netconf_1_0_is_data_inside_a_chunk() -> None:
    framing = Framing()
    framing.chunked = True
    assert framing.receive(framing.encode(b"<a>]]>]]></a>")) == [b"<a>]]>]]></a>"]
    limited = Framing(max_message_bytes=10)
    with pytest.raises(FramingError):
        limited.receive(b"x" * 20)


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
def test_malformed_or_unsafe_xml_is_rejected(message: bytes) -> None:
    with pytest.raises(MalformedXmlError):
        parse_message(message)


# Sessions


def new_session() -> tuple[NetconfSession, list[bytes], list[bool]]:
    sent, closed = list[bytes](), list[bool]()
    callbacks = ConfigurationCallbacks(
        fleet_facts, lambda _: None, lambda _: None, lambda *_: None, lambda: {"epoch": 3}, time.time, lambda *_: None
    )
    service = ConfigurationService(new_datastores(), Access({}, (PERMIT_ALL,)), callbacks)
    return NetconfSession(service, "u", sent.append, lambda: closed.append(True)), sent, closed


def open_session() -> tuple[NetconfSession, list[bytes]]:
    session, sent, _ = new_session()
    hello = f'<hello xmlns="{BASE_NAMESPACE}"><capabilities><capability>urn:ietf:params:netconf:base:1.0</capability></capabilities></hello>'
    session.receive(hello.encode() + END_OF_MESSAGE)
    sent.clear()
    return session, sent


def send_rpc(session: NetconfSession, sent: list[bytes], body: str, attributes: str = 'message-id="1"') -> str:
    sent.clear()
    session.receive(f'<rpc xmlns="{BASE_NAMESPACE}" {attributes}>{body}</rpc>'.encode() + END_OF_MESSAGE)
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
def test_an_error_reply_has_the_error_tag_of_the_rfc_and_the_session_continues(body: str, tag: str) -> None:
    session, sent = open_session()
    assert f"<error-tag>{tag}</error-tag>" in send_rpc(session, sent, body)
    assert "<ok/>" in send_rpc(session, sent, "<discard-changes/>")


def test_an_rpc_needs_a_message_id_and_its_attributes_are_copied_to_the_reply() -> None:
    session, sent = open_session()
    assert "missing-attribute" in send_rpc(session, sent, "<discard-changes/>", "")
    assert 'x="y"' in send_rpc(session, sent, "<discard-changes/>", 'message-id="7" x="y"')


def test_subtree_and_xpath_filters_select_parts_of_the_data() -> None:
    session, sent = open_session()
    reply = send_rpc(session, sent, f'<get><filter><fleet-state xmlns="{FLEET_NAMESPACE}"/></filter></get>')
    assert "<epoch>3</epoch>" in reply and "latency-budget" not in reply
    group_subtree = f'<fleet xmlns="{FLEET_NAMESPACE}"><group><name>%s</name></group></fleet>'
    request = "<get-config><source><running/></source><filter>%s</filter></get-config>"
    assert "latency-budget" in send_rpc(session, sent, request % (group_subtree % "read"))
    assert "latency-budget" not in send_rpc(session, sent, request % (group_subtree % "other"))
    xpath_request = f'<get><filter xmlns:o="{FLEET_NAMESPACE}" type="xpath" select="//o:group/o:expiry"/></get>'
    reply = send_rpc(session, sent, xpath_request)
    assert "<expiry>10000</expiry>" in reply and "<name>read</name>" in reply and "latency-budget" not in reply


def test_a_subscription_replays_old_notifications_and_then_sends_new_ones() -> None:
    session, sent = open_session()
    session.context.service.notify("orders-sent", {"turn": 1, "cause": ["x"]})
    start = "<startTime>2020-01-01T00:00:00Z</startTime>"
    reply = send_rpc(
        session, sent, f'<create-subscription xmlns="{NOTIFICATION_NAMESPACE}">{start}</create-subscription>'
    )
    assert reply.index("<ok/>") < reply.index("<turn>1</turn>") < reply.index("replayComplete")
    sent.clear()
    session.context.service.notify("orders-sent", {"turn": 2, "cause": []})
    assert b"<turn>2</turn>" in sent[0]


def test_a_session_that_ends_amid_a_message_releases_its_locks_and_resets_the_candidate() -> None:
    session, sent = open_session()
    send_rpc(session, sent, "<lock><target><candidate/></target></lock>")
    config = f'<config><fleet xmlns="{FLEET_NAMESPACE}">{backend_xml("b1")}</fleet></config>'
    send_rpc(session, sent, f"<edit-config><target><candidate/></target>{config}</edit-config>")
    session.receive(b"<rpc><comm")
    session.on_transport_closed()
    datastores = session.context.service.datastores
    assert datastores.locks == {} and datastores.candidate == datastores.running == TREE


def test_idle_sessions_and_a_client_that_reads_nothing_do_not_delay_other_sessions() -> None:
    session, sent = open_session()
    service, closed = session.context.service, list[bool]()
    idle = [NetconfSession(service, "u", lambda _: None, lambda: None) for _ in range(200)]

    class StalledWriter:
        """A channel whose buffer only grows, because the client reads nothing."""

        def __init__(self) -> None:
            self.channel, self.buffered_bytes = self, 0

        def get_write_buffer_size(self) -> int:
            return self.buffered_bytes

        def write(self, data: bytes) -> None:
            self.buffered_bytes += len(data)

    stalled = StalledWriter()
    slow = NetconfSession(service, "u", BoundedWriter(stalled, lambda: closed.append(True)).write, lambda: None)  # type: ignore[arg-type]
    for subscriber in (session, slow):
        subscriber.context.state, subscriber.context.subscription = SessionState.OPEN, Subscription()
        service.listeners[subscriber.session_id] = subscriber.on_notification
    sent.clear()
    for round_number in range(60):
        service.notify("orders-sent", {"turn": round_number, "cause": ["x" * 100_000]})
    assert closed and stalled.buffered_bytes < 5 * 1024 * 1024 and len(sent) == 60
    assert len({item.session_id for item in idle}) == 200 and "<ok/>" in send_rpc(session, sent, "<discard-changes/>")


# End to end: client library, SSH, controller, agent, proxy file

NETCONF_SETTINGS = """
netconf: {
    ssh: "127.0.0.1:0", host_key: "host"
    users: {op: {keys: ["%s"], groups: ["ops"]}, viewer: {keys: ["%s"]}}
    rules: [{name: "ops", groups: ["ops"], action: "permit"}]
}
"""


def drain_xml(backend_id: str, drained: str = "true") -> str:
    backend = f"<backend><id>{backend_id}</id><drained>{drained}</drained></backend>"
    return f'<config xmlns="{BASE_NAMESPACE}"><fleet xmlns="{FLEET_NAMESPACE}">{backend}</fleet></config>'


def test_a_committed_drain_reaches_the_proxy_file_and_an_unconfirmed_commit_is_rolled_back(
    tmp_path: Path,
) -> None:
    user_key = asyncssh.generate_private_key("ssh-ed25519")
    for name in ("host", "user"):
        (asyncssh.generate_private_key("ecdsa-sha2-nistp256") if name == "host" else user_key).write_private_key(
            tmp_path / name
        )
    public_key = user_key.export_public_key("openssh").decode().strip()

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

    async def scenario(rig: LoopbackRig) -> None:
        rig.extra_settings = NETCONF_SETTINGS % (public_key, public_key)
        controller = await rig.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await rig.agent("p1", port)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003})
        assert controller.netconf is not None
        await wait_until(lambda: controller.netconf.ssh)
        ssh_port = controller.netconf.ssh.get_port()  # type: ignore[union-attr]
        client = await asyncio.to_thread(connect, ssh_port)
        assert "urn:ietf:params:netconf:base:1.1" in client.server_capabilities
        await asyncio.to_thread(client.edit_config, drain_xml("b2"), target="candidate")
        await asyncio.sleep(0.1)
        assert len(usable_ports(tmp_path, "p1")) == 3
        await asyncio.to_thread(client.commit)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9003}, 2.0)
        await asyncio.to_thread(client.edit_config, drain_xml("b3"), target="candidate")
        await asyncio.to_thread(client.commit, confirmed=True, timeout="1")
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001}, 2.0)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9003}, 6.0)
        await asyncio.to_thread(client.edit_config, drain_xml("b1"), target="candidate")
        await asyncio.to_thread(client.edit_config, drain_xml("b3"), target="candidate")
        with pytest.raises(RPCError, match="no warm backend"):
            await asyncio.to_thread(client.commit)
        await asyncio.to_thread(client.discard_changes)
        reply = await asyncio.to_thread(client.get)
        assert "<withdrawn>true</withdrawn>" in reply.xml
        config_output = await asyncio.to_thread(CliRunner().invoke, main, ["config", f"127.0.0.1:{port}"])
        assert config_output.exit_code == 0 and '"b2": {' in config_output.output and "drained" in config_output.output
        schema_text = await asyncio.to_thread(client.get_schema, "onyxhead-fleet")
        assert "module onyxhead-fleet" in schema_text.data
        await asyncio.to_thread(client.close_session)
        client = await asyncio.to_thread(connect, ssh_port, "viewer")
        with pytest.raises(RPCError) as rejection:
            await asyncio.to_thread(client.edit_config, drain_xml("b1"), target="candidate")
        assert rejection.value.tag == "access-denied"
        await asyncio.to_thread(client.close_session)
        controller.supervisor.stopping.set()
        await wait_until(lambda: rig.tasks[0].done())
        restarted = await rig.controller()
        assert restarted.configuration is not None and restarted.configuration.datastores.running["backend"] == [
            {"id": "b2", "drained": True}
        ]
        audit_entries = restarted.store._query("select user, what, result from audit order by number")
        assert ("op", "commit", "refused: group 'read' would have no warm backend (rule 1)") in audit_entries

    run_scenario(tmp_path, scenario)


def test_proxies_converge_after_commits_amid_endpoint_list_changes_and_reconnects(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        rig.extra_settings = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await rig.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        agent = await rig.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        service = controller.configuration
        assert service is not None
        service.access.rules = (PERMIT_ALL,)
        for step in range(6):
            drained = "true" if step % 2 == 0 else "false"
            fourth_backend = {"id": "b4", "address": "127.0.0.1:9004", "zone": "north", "state": "ready"}
            write_endpoint_list(tmp_path, 2 + step, [*BACKENDS, fourth_backend] if step % 3 else BACKENDS)
            agent.session.disconnected.set()
            drain_edit = backend_xml("b2", "", f"<drained>{drained}</drained>")
            service.datastores.put(1, "candidate", edited_tree(drain_edit, tree=service.datastores.running))
            await asyncio.sleep(0.02 * step)
            service.commit("u", 1)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003, 9004}, 12.0)
        proxy_number = controller.core.proxy_number("p1")
        await wait_until(lambda: controller.core.proxy_tables.views[proxy_number].etag == agent.replica.view.etag)

    run_scenario(tmp_path, scenario)


def test_changed_safety_limits_restart_the_policy_and_proxies_keep_the_same_lines(tmp_path: Path) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        rig.extra_settings = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await rig.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await rig.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        previous_epoch, service = controller.core.epoch, controller.configuration
        assert service is not None
        service.datastores.put(
            1,
            "candidate",
            edited_tree("<guards><drain-grace>9000</drain-grace></guards>", tree=service.datastores.running),
        )
        service.access.rules = (PERMIT_ALL,)
        service.commit("u", 1)
        assert controller.core.epoch > previous_epoch and controller.core.deployment.safety.drain_grace == 9000
        await wait_until(lambda: controller.core.acknowledged)
        assert json.dumps(sorted(usable_ports(tmp_path, "p1"))) == "[9001, 9002, 9003]"

    run_scenario(tmp_path, scenario)
