"""The agent: checks of updates, interrupted file replacements, concurrent readers, proxy files and load reports."""

from __future__ import annotations

import errno
import json
import os
import threading
from pathlib import Path
from typing import Any

import pytest

from onyxhead.agent import proxy_counters
from onyxhead.agent.errors import CorruptStateError
from onyxhead.agent.proxy_files import ProxyFiles
from onyxhead.agent.state_file import decode_state, encode_state
from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.atomic_files import TEMPORARY_PREFIX, SwapError, remove_temporary_files, replace_files
from onyxhead.controller.load_stats import parse_load_stats
from onyxhead.controller.request_statistics import BackendStatistics
from onyxhead.fronts.files import envoy, nginx
from onyxhead.http.messages import Request, Response
from onyxhead.policy.decisions import TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import AdmissionMode
from onyxhead.settings.model import AgentSettings, GroupRoute, LogSettings
from onyxhead.tables.addresses import EndpointAddress
from onyxhead.tables.table_state import TableState
from onyxhead.tables.view import View
from tests.controller_rig import line, request_of

ROUTES = (GroupRoute("read", "/r", 0.5, 1), GroupRoute("write", "/w", 1.0, 0))


def replica_and_updates() -> tuple[TableReplica, list[Request]]:
    """Return a replica that follows stream "s", and consecutive updates: a full one, then a change."""
    tables = TableState(("read", "write"), AdmissionMode.FRACTION, 6.0)
    tables.addresses = {f"b{n}": EndpointAddress(f"127.0.0.1:{9000 + n}", "north") for n in range(4)}
    replica = TableReplica(View.from_entries({("standing", "b9"): line("b9")}))
    replica.follow("s")
    tables.join(1, replica.view)
    full_updates = tables.apply_decisions(1, [TableChange(0, (("b0", 1.0), ("b1", 1.0))), TableAssignment(1, 0, ())])
    changes = tables.apply_decisions(2, [Withdrawal("b1", True), TableChange(0, (("b2", 0.1),))])
    return replica, [request_of(message, "s", 0) for message in (*full_updates, *changes)]


def test_consecutive_updates_are_accepted_and_acknowledged_with_the_new_tag() -> None:
    replica, requests = replica_and_updates()
    for round_number, request in enumerate(requests, 1):
        update = replica.check_update(request)
        assert isinstance(update, AcceptedUpdate) and update.round_number == round_number
        assert replica.commit(update).headers["etag"] == update.view.etag
    assert set(replica.view.children("tables", "t0", "lines")) == {"b0", "b1", "b2"}


def with_headers(request: Request, **headers: str) -> Request:
    return request._replace(
        headers=request.headers | {name.replace("_", "-"): value for name, value in headers.items()}
    )


@pytest.mark.parametrize(
    ("alter", "status"),
    [
        (lambda request: with_headers(request, onyxhead_stream="older"), 409),
        (lambda request: with_headers(request, if_match='"0"'), 412),
        (lambda request: with_headers(request, if_match=""), 428),
        (lambda request: with_headers(request, content_type="text/plain"), 415),
        (lambda request: with_headers(request, content_digest="sha-512=:x:"), 400),
        (lambda request: request._replace(method="POST"), 405),
        (lambda request: request._replace(body=request.body[:-1]), 400),
        (lambda request: request._replace(body=b"\0" + request.body), 400),
    ],
)
def test_an_unsuitable_update_is_rejected_and_changes_nothing(alter: Any, status: int) -> None:
    replica, requests = replica_and_updates()
    before = replica.view
    response = replica.check_update(alter(requests[0]))
    assert isinstance(response, Response) and response.status == status and replica.view is before


def test_an_update_with_another_result_than_announced_is_rejected() -> None:
    replica, requests = replica_and_updates()
    response = replica.check_update(with_headers(requests[0], onyxhead_result='"0"'))
    assert isinstance(response, Response) and response.status == 422
    assert isinstance(
        replica.check_update(with_headers(requests[0], onyxhead_result=requests[0].headers["onyxhead-result"])),
        AcceptedUpdate,
    )


def test_every_flipped_byte_of_an_update_is_rejected() -> None:
    replica, requests = replica_and_updates()
    update = replica.check_update(requests[0])
    assert isinstance(update, AcceptedUpdate)
    replica.commit(update)
    body = requests[1].body
    for position in range(len(body)):
        corrupt = body[:position] + bytes([body[position] ^ 1]) + body[position + 1 :]
        assert isinstance(replica.check_update(requests[1]._replace(body=corrupt)), Response)


def test_a_repeated_update_is_applied_once() -> None:
    replica, requests = replica_and_updates()
    update = replica.check_update(requests[0])
    assert isinstance(update, AcceptedUpdate)
    replica.commit(update)
    response = replica.check_update(requests[0])
    assert isinstance(response, Response) and response.status == 412 and response.headers["etag"] == replica.view.etag


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"tag": "x", "view": {}}', b'{"view": {}}', b"[" * 100_000])
def test_an_incomplete_state_file_is_never_used(body: bytes) -> None:
    with pytest.raises(CorruptStateError):
        decode_state(body)
    assert decode_state(encode_state(View.EMPTY, 7)) == (View.EMPTY, 7)


# Replacement of files


class Killed(BaseException):
    """Simulates SIGKILL: no `except Exception` or `except OSError` catches it, so no clean-up after errors runs."""


def settings(folder: Path) -> AgentSettings:
    return AgentSettings(
        "p1",
        "north",
        ("127.0.0.1", 1),
        None,
        folder / "files",
        folder / "state",
        (("127.0.0.1", 2),),
        1.0,
        ROUTES,
        1.2,
        {},
        None,
        3.0,
        0.1,
        1 << 20,
        None,
        LogSettings("info", "json"),
    )


SYSTEM_CALLS = ("open", "write", "fsync", "rename")


@pytest.mark.parametrize("calls_before_kill", range(60))
def test_an_agent_killed_at_any_system_call_restarts_from_a_consistent_state(
    calls_before_kill: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = (View.from_entries({("standing", name): line(name)}) for name in ("b1", "b2"))
    ProxyFiles(settings(tmp_path)).install(old)
    files, call_count, lock = ProxyFiles(settings(tmp_path)), [0], threading.Lock()

    def killed_after_limit(name: str) -> Any:
        real = getattr(os, name)

        def call(*args: Any) -> Any:
            with lock:
                call_count[0] += 1
                if call_count[0] > calls_before_kill:
                    raise Killed
            return real(*args)

        return call

    with monkeypatch.context() as patched:
        for name in SYSTEM_CALLS:
            patched.setattr(os, name, killed_after_limit(name))
        finished = False
        try:
            files.install(new)
            finished = True
        except Killed:
            pass
    visible = {path.name: path.read_bytes() for path in (tmp_path / "files").iterdir() if path.name[0] != "."}
    assert all(
        body in (dict(_bodies_by_name(files, old))[name], dict(_bodies_by_name(files, new))[name])
        for name, body in visible.items()
    )
    restarted = ProxyFiles(settings(tmp_path))
    state = restarted.load_state()
    assert state is not None
    stored_view = state[0]
    assert stored_view in (old, new) and (stored_view == new or not finished)
    restarted.install(stored_view)
    restored = {path.name: path.read_bytes() for path in (tmp_path / "files").iterdir()}
    assert restored == dict(_bodies_by_name(restarted, stored_view)) and not list(
        (tmp_path / "state").glob(f"{TEMPORARY_PREFIX}*")
    )


def _bodies_by_name(files: ProxyFiles, view: View) -> list[tuple[str, bytes]]:
    return [(path.name, body) for path, body in files.render(view)]


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EROFS, errno.EDQUOT])
def test_a_full_or_read_only_disk_leaves_the_old_files_unchanged(
    fault: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    replace_files([(tmp_path / "a", b"old"), (tmp_path / "b", b"old")])

    def failing_write(*_: object) -> int:
        raise OSError(fault, os.strerror(fault))

    monkeypatch.setattr(os, "write", failing_write)
    with pytest.raises(SwapError) as caught:
        replace_files([(tmp_path / "a", b"new"), (tmp_path / "b", b"new")])
    assert caught.value.errno == fault
    assert sorted(path.name for path in tmp_path.iterdir()) == ["a", "b"]
    assert {path.read_bytes() for path in tmp_path.iterdir()} == {b"old"}


def test_a_concurrent_reader_never_sees_a_partial_file(tmp_path: Path) -> None:
    path, finished, partial_bodies, first_bytes = tmp_path / "f", threading.Event(), list[bytes](), set[bytes]()
    replace_files([(path, b"0" * 40_000)])

    def read() -> None:
        while not finished.is_set():
            body = path.read_bytes()
            first_bytes.add(body[:1])
            if len(body) != 40_000 or body.count(body[:1]) != 40_000:
                partial_bodies.append(body)

    readers = [threading.Thread(target=read) for _ in range(3)]
    for reader in readers:
        reader.start()
    for number in range(400):
        replace_files([(path, str(number % 10).encode() * 40_000)])
    finished.set()
    for reader in readers:
        reader.join()
    assert not partial_bodies and len(first_bytes) == 10


def test_a_writer_without_rename_would_be_detected(tmp_path: Path) -> None:
    # Checks the method of the test above: a concurrent reader sees partial files if the writer uses no rename.
    path, finished, partial_lengths = tmp_path / "f", threading.Event(), list[int]()
    path.write_bytes(b"0" * 400_000)

    def read() -> None:
        while not finished.is_set():
            body = path.read_bytes()
            if len(body) != 400_000 or body.count(body[:1]) != 400_000:
                partial_lengths.append(len(body))

    reader = threading.Thread(target=read)
    reader.start()
    for number in range(4000):
        path.write_bytes(str(number % 10).encode() * 400_000)
        if partial_lengths:
            break
    finished.set()
    reader.join()
    assert partial_lengths


def test_only_temporary_files_of_an_interrupted_replacement_are_removed(tmp_path: Path) -> None:
    for name in (f"{TEMPORARY_PREFIX}x", "x", "swap-y"):
        (tmp_path / name).write_text("")
    assert remove_temporary_files(tmp_path) == [f"{TEMPORARY_PREFIX}x"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["swap-y", "x"]


# The proxy's files


def view(share: float = 1.0, tries: int = 1, rate: float | None = None) -> View:
    level = {"rate": rate, "tries": tries} if rate is not None else {"share": share, "tries": tries}
    return View.from_entries(
        {
            ("bindings", "read"): "1.0",
            ("tables", "1.0", "lines", "b1"): line("b1", 250_000),
            ("tables", "1.0", "lines", "b2"): line("b2"),
            ("tables", "1.0", "levels", "read"): level,
            ("withdrawn", "b2"): True,
            ("standing", "b3"): line("b3"),
        }
    )


def test_envoy_endpoints_carry_weights_withdrawals_and_admission_levels() -> None:
    document = json.loads(envoy.endpoint_assignments(view(share=0.25), ROUTES))
    read, write = document["resources"]
    endpoints = [endpoint for locality in read["endpoints"] for endpoint in locality["lb_endpoints"]]
    assert {(endpoint["load_balancing_weight"], endpoint["health_status"]) for endpoint in endpoints} == {
        (250_000, "HEALTHY"),
        (1_000_000, "DRAINING"),
    }
    assert read["policy"]["drop_overloads"][0]["drop_percentage"]["numerator"] == 750_000
    ports = [
        endpoint["endpoint"]["address"]["socket_address"]["port_value"]
        for endpoint in write["endpoints"][0]["lb_endpoints"]
    ]
    assert ports == [9003] and "policy" not in write
    assert document["version_info"] in view(share=0.25).etag


@pytest.mark.parametrize(
    ("tries", "policy"),
    [
        (0, None),
        (1, ("connect-failure,refused-stream", 1, None)),
        (2, ("5xx,reset,connect-failure,refused-stream", 1, "0.6000s")),
        (3, ("5xx,reset,connect-failure,refused-stream", 2, "0.6000s")),
    ],
)
def test_envoy_routes_carry_the_retry_policy(tries: int, policy: Any) -> None:
    document = json.loads(envoy.route_configuration(view(tries=tries), ROUTES, 1.2))
    action = document["resources"][0]["virtual_hosts"][0]["routes"][0]["route"]
    retry_policy = action.get("retry_policy")
    assert action["cluster"] == "read"
    assert (
        retry_policy and (retry_policy["retry_on"], retry_policy["num_retries"], retry_policy.get("per_try_timeout"))
    ) == policy


def test_a_rate_limit_becomes_a_token_bucket_with_the_same_rate() -> None:
    for rate in (0.5, 3.0, 120.0):
        document = json.loads(envoy.route_configuration(view(rate=rate), ROUTES, 1.2))
        filter_config = document["resources"][0]["virtual_hosts"][0]["routes"][0]["typed_per_filter_config"]
        bucket = filter_config[envoy.RATE_LIMIT_FILTER]["token_bucket"]
        assert bucket["tokens_per_fill"] / float(bucket["fill_interval"][:-1]) == pytest.approx(rate, rel=0.01)


def test_nginx_files_carry_the_same_and_comment_on_what_nginx_can_not_express() -> None:
    text = nginx.upstream_blocks(view(share=0.25), ROUTES).decode()
    assert "server 127.0.0.1:9001 weight=16384 max_fails=0;" in text
    assert "server 127.0.0.1:9002 weight=65535 max_fails=0 down;" in text
    assert "25.00% 1;" in text and "upstream write {" in text
    assert "nginx can't tell" in nginx.location_directives(view(tries=1), ROUTES[0]).decode()
    assert "proxy_next_upstream_tries 3;" in nginx.location_directives(view(tries=3), ROUTES[0]).decode()
    assert "down;" in nginx.upstream_blocks(View.EMPTY, ROUTES).decode()


# Load reports


def test_counters_become_a_load_report_that_the_controller_reads() -> None:
    before = proxy_counters.parse_counters(stats(good=3, bad=1, ms=30.0, flows=5))
    after = proxy_counters.parse_counters(stats(good=8, bad=2, ms=80.0, flows=12))
    report = proxy_counters.load_report(
        proxy_counters.ReportPeriod("p1", "x", 4, 1.0),
        proxy_counters.counter_increments(before, after),
        {"127.0.0.1:9001": 0.5},
    )
    load_stats = parse_load_stats(json.loads(json.dumps(report)))
    assert load_stats.backends == {"127.0.0.1:9001": BackendStatistics(6, 1, 500.0, 10_000, 0.5)}
    assert load_stats.request_counts == {"read": (7, 10_000)}


def test_counters_of_a_restarted_proxy_count_from_its_restart() -> None:
    before = proxy_counters.parse_counters(stats(good=30, bad=1, ms=300.0, flows=50))
    after = proxy_counters.parse_counters(stats(good=4, bad=2, ms=40.0, flows=6))
    assert proxy_counters.counter_increments(before, after) == {key: value for key, value in after.items() if value}


def stats(good: int, bad: int, ms: float, flows: int) -> dict[str, Any]:
    backends = {"127.0.0.1:9001": {"good": good, "bad": bad, "ms": ms}}
    return {"groups": {"read": {"flows": flows, "dropped": 0, "backends": backends}}}
