"""NETCONF: framing, XML, sessions, and the whole way from a client library (ncclient) to a proxy's file."""

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
    st.lists(st.binary(min_size=1, max_size=60).filter(lambda b: END_OF_MESSAGE not in b), max_size=5),
    st.integers(1, 9),
)
def test_messages_are_decoded_however_the_bytes_are_split(messages: list[bytes], piece_length: int) -> None:
    for chunked in (False, True):
        sender, receiver = Framing(), Framing()
        sender.chunked = receiver.chunked = chunked
        data = b"".join(sender.encode(message) for message in messages)
        found: list[bytes] = []
        for place in range(0, len(data), piece_length):
            part = receiver.receive(data[place : place + piece_length])
            while part:
                found += part
                part = receiver.receive_buffered()
        assert found == [m for m in messages] or (not chunked and any(m.endswith(b"]") for m in messages))


@settings(max_examples=200)
@given(st.binary(max_size=300), st.booleans())
def test_random_bytes_at_most_end_the_session(data: bytes, chunked: bool) -> None:
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
def test_errors_are_replied_with_the_tag_of_the_rfc_and_the_session_goes_on(body: str, tag: str) -> None:
    session, sent = open_session()
    assert f"<error-tag>{tag}</error-tag>" in send_rpc(session, sent, body)
    assert "<ok/>" in send_rpc(session, sent, "<discard-changes/>")


def test_a_message_id_is_required_and_attributes_are_returned() -> None:
    session, sent = open_session()
    assert "missing-attribute" in send_rpc(session, sent, "<discard-changes/>", "")
    assert 'x="y"' in send_rpc(session, sent, "<discard-changes/>", 'message-id="7" x="y"')


def test_subtree_and_xpath_filters() -> None:
    session, sent = open_session()
    reply = send_rpc(session, sent, f'<get><filter><fleet-state xmlns="{FLEET_NAMESPACE}"/></filter></get>')
    assert "<epoch>3</epoch>" in reply and "latency-budget" not in reply
    by_key = f'<fleet xmlns="{FLEET_NAMESPACE}"><group><name>%s</name></group></fleet>'
    request = "<get-config><source><running/></source><filter>%s</filter></get-config>"
    assert "latency-budget" in send_rpc(session, sent, request % (by_key % "read"))
    assert "latency-budget" not in send_rpc(session, sent, request % (by_key % "other"))
    xpath = f'<get><filter xmlns:o="{FLEET_NAMESPACE}" type="xpath" select="//o:group/o:expiry"/></get>'
    reply = send_rpc(session, sent, xpath)
    assert "<expiry>10000</expiry>" in reply and "<name>read</name>" in reply and "latency-budget" not in reply


def test_notifications_are_replayed_and_then_sent_as_they_happen() -> None:
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


def test_a_session_that_ends_within_a_message_releases_its_locks_and_candidate() -> None:
    session, sent = open_session()
    send_rpc(session, sent, "<lock><target><candidate/></target></lock>")
    config = f'<config><fleet xmlns="{FLEET_NAMESPACE}">{backend_xml("b1")}</fleet></config>'
    send_rpc(session, sent, f"<edit-config><target><candidate/></target>{config}</edit-config>")
    session.receive(b"<rpc><comm")
    session.on_transport_closed()
    datastores = session.context.service.datastores
    assert datastores.locks == {} and datastores.candidate == datastores.running == TREE


def test_idle_sessions_and_a_client_that_reads_nothing_do_not_delay_others() -> None:
    session, sent = open_session()
    service, closed = session.context.service, list[bool]()
    idle = [NetconfSession(service, "u", lambda _: None, lambda: None) for _ in range(200)]

    class StalledWriter:
        """Buffers everything, as for a client that reads nothing."""

        def __init__(self) -> None:
            self.channel, self.size = self, 0

        def get_write_buffer_size(self) -> int:
            return self.size

        def write(self, data: bytes) -> None:
            self.size += len(data)

    stalled = StalledWriter()
    slow = NetconfSession(service, "u", BoundedWriter(stalled, lambda: closed.append(True)).write, lambda: None)  # type: ignore[arg-type]
    for each in (session, slow):
        each.context.state, each.context.subscription = SessionState.OPEN, Subscription()
        service.listeners[each.session_id] = each.on_notification
    sent.clear()
    for turn in range(60):
        service.notify("orders-sent", {"turn": turn, "cause": ["x" * 100_000]})
    assert closed and stalled.size < 5 * 1024 * 1024 and len(sent) == 60
    assert len({each.session_id for each in idle}) == 200 and "<ok/>" in send_rpc(session, sent, "<discard-changes/>")


# End to end: a client library, SSH, the controller, the agent's stream, the proxy's file

NETCONF_SETTINGS = """
netconf: {
    ssh: "127.0.0.1:0", host_key: "host"
    users: {op: {keys: ["%s"], groups: ["ops"]}, viewer: {keys: ["%s"]}}
    rules: [{name: "ops", groups: ["ops"], action: "permit"}]
}
"""


def drain_xml(name: str, value: str = "true") -> str:
    entry = f"<backend><id>{name}</id><drained>{value}</drained></backend>"
    return f'<config xmlns="{BASE_NAMESPACE}"><fleet xmlns="{FLEET_NAMESPACE}">{entry}</fleet></config>'


def test_a_drain_over_netconf_reaches_the_proxys_file_and_an_unconfirmed_commit_is_rolled_back(
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

    async def work(running: LoopbackRig) -> None:
        running.extra_settings = NETCONF_SETTINGS % (public, public)
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await running.agent("p1", port)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003})
        assert controller.netconf is not None
        await wait_until(lambda: controller.netconf.ssh)
        ssh = controller.netconf.ssh.get_port()  # type: ignore[union-attr]
        client = await asyncio.to_thread(connect, ssh)
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
        client = await asyncio.to_thread(connect, ssh, "viewer")
        with pytest.raises(RPCError) as caught:
            await asyncio.to_thread(client.edit_config, drain_xml("b1"), target="candidate")
        assert caught.value.tag == "access-denied"
        await asyncio.to_thread(client.close_session)
        controller.supervisor.stopping.set()
        await wait_until(lambda: running.tasks[0].done())
        second = await running.controller()
        assert second.configuration is not None and second.configuration.datastores.running["backend"] == [
            {"id": "b2", "drained": True}
        ]
        audit = second.store._query("select user, what, result from audit order by number")
        assert ("op", "commit", "refused: group 'read' would have no warm backend (rule 1)") in audit

    run_scenario(tmp_path, work)


def test_commits_amid_list_changes_and_reconnecting_proxies_converge(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        running.extra_settings = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        agent = await running.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        service = controller.configuration
        assert service is not None
        service.access.rules = (PERMIT_ALL,)
        for turn in range(6):
            drained = "true" if turn % 2 == 0 else "false"
            fourth = {"id": "b4", "address": "127.0.0.1:9004", "zone": "north", "state": "ready"}
            write_endpoint_list(tmp_path, 2 + turn, [*BACKENDS, fourth] if turn % 3 else BACKENDS)
            agent.session.disconnected.set()
            text = backend_xml("b2", "", f"<drained>{drained}</drained>")
            service.datastores.put(1, "candidate", edited_tree(text, tree=service.datastores.running))
            await asyncio.sleep(0.02 * turn)
            service.commit("u", 1)
        await wait_until(lambda: usable_ports(tmp_path, "p1") == {9001, 9002, 9003, 9004}, 12.0)
        number = controller.core.proxy_number("p1")
        await wait_until(lambda: controller.core.proxy_tables.views[number].etag == agent.replica.view.etag)

    run_scenario(tmp_path, work)


def test_a_change_of_safety_limits_restarts_the_policy_and_proxies_get_the_same_lines(tmp_path: Path) -> None:
    async def work(running: LoopbackRig) -> None:
        (tmp_path / "host").write_bytes(asyncssh.generate_private_key("ecdsa-sha2-nistp256").export_private_key())
        running.extra_settings = 'netconf: {ssh: "127.0.0.1:0", host_key: "host", users: {}}\n'
        controller = await running.controller()
        port = int(controller.http_server.listener.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await running.agent("p1", port)
        await wait_until(lambda: len(usable_ports(tmp_path, "p1")) == 3)
        epoch, service = controller.core.epoch, controller.configuration
        assert service is not None
        service.datastores.put(
            1,
            "candidate",
            edited_tree("<guards><drain-grace>9000</drain-grace></guards>", tree=service.datastores.running),
        )
        service.access.rules = (PERMIT_ALL,)
        service.commit("u", 1)
        assert controller.core.epoch > epoch and controller.core.deployment.safety.drain_grace == 9000
        await wait_until(lambda: controller.core.acknowledged)
        assert json.dumps(sorted(usable_ports(tmp_path, "p1"))) == "[9001, 9002, 9003]"

    run_scenario(tmp_path, work)
