"""The certificate authority, TLS contexts that follow their key files, and key rotation with open streams."""

from __future__ import annotations

import asyncio
import datetime
import ssl
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from ncclient import manager

from onyxhead.cli.main import main
from onyxhead.http.client import Connection, fetch_once
from onyxhead.http.messages import Request
from onyxhead.keys.authority import CertificateAuthority
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials, peer_identity
from onyxhead.keys.errors import IssuanceError, KeyFileError
from onyxhead.settings.model import TlsSettings
from tests.test_controller_server import (
    AGENT,
    LoopbackRig,
    port_of,
    run_scenario,
    usable_ports,
    wait_until,
    write_endpoint_list,
)

NOW = datetime.datetime.now(datetime.UTC)


def files(folder: Path, name: str, revoked: bool = True) -> TlsSettings:
    crl = folder / "revoked.pem" if revoked else None
    return TlsSettings(folder / f"{name}.crt", folder / f"{name}.key", folder / "authorities.pem", crl, 0.05)


@pytest.fixture
def authority(tmp_path: Path) -> CertificateAuthority:
    created = CertificateAuthority(tmp_path / "keys")
    created.create("test")
    created.issue("c1", "controller", ("127.0.0.1",))
    created.issue("p1", "agent")
    return created


async def handshake(server: TlsCredentials, client: TlsCredentials) -> tuple[PeerIdentity | None, PeerIdentity | None]:
    """Return the client's identity as the server sees it, and the server's as the client sees it.

    Raises OSError if the handshake fails.
    """
    client_identities: list[PeerIdentity | None] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client_identities.append(peer_identity(writer.get_extra_info("peercert")))
        writer.write(b"x")
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=server.server_context)
    try:
        connection = await Connection.open(*listener.sockets[0].getsockname()[:2], client.client_context)
        # In TLS 1.3, the client learns only by reading that the server rejected its certificate.
        if await connection.reader.read(1) != b"x":
            raise OSError("rejected by the server")
        server_identity = peer_identity(connection.certificate)
        connection.close()
        return client_identities[0], server_identity
    finally:
        listener.close()


def test_both_sides_identify_the_peer_by_role_and_name(authority: CertificateAuthority) -> None:
    server, client = (TlsCredentials(files(authority.folder, name)) for name in ("c1", "p1"))
    assert asyncio.run(handshake(server, client)) == (PeerIdentity("agent", "p1"), PeerIdentity("controller", "c1"))


def test_revoked_expired_and_unknown_peers_are_rejected(authority: CertificateAuthority, tmp_path: Path) -> None:
    authority.issue("late", "agent", days=90)
    revoked = TlsCredentials(files(authority.folder, "late"))
    assert authority.revoke("late") == 1 and authority.revoke("late") == 0
    untrusted_authority = CertificateAuthority(tmp_path / "other")
    untrusted_authority.create("other")
    untrusted_authority.issue("p1", "agent")
    unknown = TlsCredentials(files(untrusted_authority.folder, "p1"))
    server = TlsCredentials(files(authority.folder, "c1"))
    for client in (revoked, unknown):
        with pytest.raises((OSError, ssl.SSLError)):
            asyncio.run(handshake(server, client))
    CertificateAuthority(authority.folder, NOW - datetime.timedelta(days=30)).issue("old", "agent", days=10)
    with pytest.raises(KeyFileError, match="expired"):
        TlsCredentials(files(authority.folder, "old"))


@pytest.mark.parametrize("defect", ["other key", "half a key", "no file", "stranger", "not a certificate"])
def test_unusable_key_files_are_rejected_and_the_old_ones_stay(
    defect: str, authority: CertificateAuthority, tmp_path: Path
) -> None:
    folder = authority.folder
    server, client = TlsCredentials(files(folder, "c1")), TlsCredentials(files(folder, "p1"))
    usable_files = {name: (folder / name).read_bytes() for name in ("c1.crt", "c1.key")}
    match defect:
        case "other key":
            (folder / "c1.key").write_bytes((folder / "p1.key").read_bytes())
        case "half a key":
            (folder / "c1.key").write_bytes(usable_files["c1.key"][:90])
        case "no file":
            (folder / "c1.crt").unlink()
        case "stranger":
            untrusted_authority = CertificateAuthority(tmp_path / "other")
            untrusted_authority.create("other")
            untrusted_authority.issue("c1", "controller")
            for name in usable_files:
                (folder / name).write_bytes((untrusted_authority.folder / name).read_bytes())
        case _:
            (folder / "c1.crt").write_bytes(b"x")
    with pytest.raises(KeyFileError):
        server.refresh()
    assert server.generation == 0 and not server.refresh()
    assert asyncio.run(handshake(server, client))[0] == PeerIdentity("agent", "p1")
    for name, body in usable_files.items():
        (folder / name).write_bytes(body)
    assert server.refresh() and server.generation == 1


def test_a_replaced_authority_stays_trusted_until_it_is_forgotten(authority: CertificateAuthority) -> None:
    folder = authority.folder
    server, client = TlsCredentials(files(folder, "c1")), TlsCredentials(files(folder, "p1"))
    authority.create("test")
    assert server.refresh() and client.refresh()
    authority.renew("c1")
    assert server.refresh()
    assert asyncio.run(handshake(server, client)) == (PeerIdentity("agent", "p1"), PeerIdentity("controller", "c1"))
    authority.renew("p1")
    assert client.refresh()
    authority.forget()
    assert server.refresh() and client.refresh()
    assert asyncio.run(handshake(server, client))[0] == PeerIdentity("agent", "p1")


def test_the_authority_rejects_invalid_requests(tmp_path: Path, authority: CertificateAuthority) -> None:
    for invalid_request in (
        lambda: authority.issue("a/b", "agent"),
        lambda: authority.issue("x", "king"),
        lambda: authority.renew("none"),
        lambda: authority.revoke("none"),
        lambda: CertificateAuthority(tmp_path / "nowhere").issue("x", "agent"),
    ):
        with pytest.raises(IssuanceError):
            invalid_request()
    assert (authority.folder / "c1.key").stat().st_mode & 0o077 == 0


def test_keys_are_managed_on_the_command_line(tmp_path: Path) -> None:
    def run(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["keys", arguments[0], str(tmp_path / "k"), *arguments[1:]])
        return result.exit_code, result.output

    assert run("issue", "x", "--role", "agent")[0] == 1
    assert run("init")[0] == 0 and run("issue", "x", "--role", "agent")[0] == 0
    assert run("renew", "x")[0] == 0 and run("revoke", "x") == (0, "x: 2 revoked\n")
    assert '"revoked": true' in run("show", "--json")[1]


# A controller and its agents


TLS = 'tls: {certificate: "keys/%s.crt", key: "keys/%s.key", authorities: "keys/authorities.pem", revoked: "keys/revoked.pem", every: 50ms}\n'


def test_key_rotation_loses_no_update_and_revoked_agents_are_rejected(
    tmp_path: Path, authority: CertificateAuthority
) -> None:
    async def work(running: LoopbackRig) -> None:
        running.extra_settings = TLS % ("c1", "c1")
        authority.issue("p2", "agent")
        controller = await running.controller()
        import tests.test_controller_server as sockets

        for name in ("p1", "p2"):
            sockets.AGENT = AGENT + (TLS % (name, name)).replace("%", "%%")
            await running.agent(name, port_of(controller))
        sockets.AGENT = AGENT
        await wait_until(lambda: all(len(usable_ports(tmp_path, name)) == 3 for name in ("p1", "p2")))
        old_streams = {stream.token for stream in controller.streams.by_proxy.values()}
        for name in ("c1", "p1", "p2"):
            authority.renew(name)
        backends = [{"id": f"b{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "north"} for n in (1, 2)]
        write_endpoint_list(tmp_path, 2, backends)
        await wait_until(lambda: all(usable_ports(tmp_path, name) == {9001, 9002} for name in ("p1", "p2")))
        assert controller.keys is not None
        await wait_until(
            lambda: not old_streams & {stream.token for stream in controller.streams.by_proxy.values()}
            and len(controller.streams.by_proxy) == 2
        )
        assert controller.core.counts["faults"] == 0
        authority.revoke("p2")
        await wait_until(lambda: len(controller.streams.by_proxy) == 1, 10.0)
        await asyncio.sleep(0.5)
        assert {proxy.name for proxy in controller.core.joined.values()} == {"p1"}
        assert usable_ports(tmp_path, "p2") == {9001, 9002}

    run_scenario(tmp_path, work)


def test_key_rotation_while_many_proxies_join_loses_no_proxy(tmp_path: Path, authority: CertificateAuthority) -> None:
    async def work(running: LoopbackRig) -> None:
        running.extra_settings = TLS % ("c1", "c1")
        controller = await running.controller()
        import tests.test_controller_server as sockets

        names = [f"s{n}" for n in range(8)]
        for name in names:
            authority.issue(name, "agent")
            sockets.AGENT = AGENT + (TLS % (name, name)).replace("%", "%%")
            await running.agent(name, port_of(controller))
            authority.renew("c1")
        sockets.AGENT = AGENT
        await wait_until(lambda: all(len(usable_ports(tmp_path, name)) == 3 for name in names), 15.0)
        write_endpoint_list(tmp_path, 2, [{"id": "b1", "address": "127.0.0.1:9001", "zone": "north"}])
        await wait_until(lambda: all(usable_ports(tmp_path, name) == {9001} for name in names), 15.0)
        assert controller.core.counts["faults"] == 0

    run_scenario(tmp_path, work)


def test_a_certificate_authorizes_its_own_name_only_and_plain_connections_are_rejected(
    tmp_path: Path, authority: CertificateAuthority
) -> None:
    async def work(running: LoopbackRig) -> None:
        running.extra_settings = TLS % ("c1", "c1")
        controller = await running.controller()
        agent_tls = TlsCredentials(files(authority.folder, "p1")).client_context
        address = ("127.0.0.1", port_of(controller))
        assert (await fetch_once(address, Request("PUT", "/v1/proxies/p2", {}, b"{}"), 2.0, agent_tls)).status == 403
        assert (await fetch_once(address, Request("PUT", "/v1/proxies/p1", {}, b"{}"), 2.0, agent_tls)).status == 400
        assert (await fetch_once(address, Request("GET", "/v1/state"), 2.0, agent_tls)).status == 200
        with pytest.raises(Exception):  # noqa: B017  # the kind depends on how far the handshake gets
            await fetch_once(address, Request("GET", "/v1/state"), 2.0)
        import tests.test_controller_server as sockets

        sockets.AGENT = AGENT + (TLS % ("p1", "p1")).replace("%", "%%")
        agent = await running.agent("p1", port_of(controller))
        sockets.AGENT = AGENT
        await wait_until(lambda: agent.replica.stream)
        probe = Request("HEAD", "/v1/view", {"onyxhead-stream": agent.replica.stream, "onyxhead-token": "1"})
        assert (await fetch_once(agent.session.listen_address, probe, 2.0, agent_tls)).status == 403

    run_scenario(tmp_path, work)


def test_netconf_over_tls_identifies_the_user_by_certificate(tmp_path: Path, authority: CertificateAuthority) -> None:
    authority.issue("olga", "operator")
    folder = authority.folder
    rule = 'rules: [{name: "all", groups: ["ops"], action: "permit"}]'

    def connect(port: int, name: str) -> Any:
        return manager.connect_tls(
            host="127.0.0.1",
            port=port,
            keyfile=str(folder / f"{name}.key"),
            certfile=str(folder / f"{name}.crt"),
            ca_certs=str(folder / "authorities.pem"),
            server_hostname="c1",
            timeout=5,
            protocol=ssl.PROTOCOL_TLS_CLIENT,
        )

    async def work(running: LoopbackRig) -> None:
        users = '{olga: {groups: ["ops"]}}'
        running.extra_settings = TLS % ("c1", "c1") + f'netconf: {{tls: "127.0.0.1:0", users: {users}, {rule}}}\n'
        controller = await running.controller()
        await wait_until(lambda: controller.netconf and controller.netconf.tls)
        port = controller.netconf.tls.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        session_before = await asyncio.to_thread(connect, port, "olga")
        reply = await asyncio.to_thread(session_before.get_config, "running")
        assert "drain-grace" in reply.xml
        authority.renew("c1")
        await wait_until(lambda: controller.keys and controller.keys.generation == 1)
        assert "drain-grace" in (await asyncio.to_thread(session_before.get_config, "running")).xml
        session_after = await asyncio.to_thread(connect, port, "olga")
        for session in (session_before, session_after):
            await asyncio.to_thread(session.close_session)
        with pytest.raises(Exception):  # noqa: B017  # ncclient's error for a closed session
            await asyncio.to_thread(connect, port, "p1")

    run_scenario(tmp_path, work)
