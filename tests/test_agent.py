"""The agent: what it takes, swaps cut at every step, readers at every moment, and the files that proxies read."""

from __future__ import annotations

import errno
import json
import os
import threading
from pathlib import Path
from typing import Any

import pytest

from onyxhead.agent import counters
from onyxhead.agent.daemon import Tree
from onyxhead.agent.keeper import Keeper, Taken, Torn, read_state, state_of
from onyxhead.agent.swap import PASSING, NotSwapped, clear, swap
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


def orders() -> tuple[Keeper, list[Request]]:
    """A keeper that listens to stream "s", and two orders that build on each other."""
    own = TableState(("read", "write"), AdmissionMode.FRACTION, 6.0)
    own.addresses = {f"b{n}": EndpointAddress(f"127.0.0.1:{9000 + n}", "north") for n in range(4)}
    keeper = Keeper(View.from_entries({("standing", "b9"): line("b9")}))
    keeper.listen_to("s")
    own.join(1, keeper.view)
    whole = own.apply_decisions(1, [TableChange(0, (("b0", 1.0), ("b1", 1.0))), TableAssignment(1, 0, ())])
    change = own.apply_decisions(2, [Withdrawal("b1", True), TableChange(0, (("b2", 0.1),))])
    return keeper, [request_of(message, "s", 0) for message in (*whole, *change)]


def test_orders_that_build_on_each_other_are_taken_and_answered_with_the_new_tag() -> None:
    keeper, made = orders()
    for turn, request in enumerate(made, 1):
        taken = keeper.take(request)
        assert isinstance(taken, Taken) and taken.turn == turn
        assert keeper.applied(taken).headers["etag"] == taken.view.etag
    assert set(keeper.view.children("tables", "t0", "lines")) == {"b0", "b1", "b2"}


def changed(request: Request, **headers: str) -> Request:
    return request._replace(headers=request.headers | {k.replace("_", "-"): v for k, v in headers.items()})


@pytest.mark.parametrize(
    ("how", "status"),
    [
        (lambda r: changed(r, onyxhead_stream="older"), 409),
        (lambda r: changed(r, if_match='"0"'), 412),
        (lambda r: changed(r, if_match=""), 428),
        (lambda r: changed(r, content_type="text/plain"), 415),
        (lambda r: changed(r, content_digest="sha-512=:x:"), 400),
        (lambda r: r._replace(method="POST"), 405),
        (lambda r: r._replace(body=r.body[:-1]), 400),
        (lambda r: r._replace(body=b"\0" + r.body), 400),
    ],
)
def test_an_order_that_does_not_fit_is_refused_and_nothing_changes(how: Any, status: int) -> None:
    keeper, made = orders()
    before = keeper.view
    answer = keeper.take(how(made[0]))
    assert isinstance(answer, Response) and answer.status == status and keeper.view is before


def test_a_change_that_leads_elsewhere_than_it_says_is_refused() -> None:
    keeper, made = orders()
    answer = keeper.take(changed(made[0], onyxhead_result='"0"'))
    assert isinstance(answer, Response) and answer.status == 422
    assert isinstance(keeper.take(changed(made[0], onyxhead_result=made[0].headers["onyxhead-result"])), Taken)


def test_every_flipped_byte_of_an_order_is_refused() -> None:
    keeper, made = orders()
    taken = keeper.take(made[0])
    assert isinstance(taken, Taken)
    keeper.applied(taken)
    body = made[1].body
    for place in range(len(body)):
        torn = body[:place] + bytes([body[place] ^ 1]) + body[place + 1 :]
        assert isinstance(keeper.take(made[1]._replace(body=torn)), Response)


def test_the_same_order_twice_is_done_once() -> None:
    keeper, made = orders()
    taken = keeper.take(made[0])
    assert isinstance(taken, Taken)
    keeper.applied(taken)
    again = keeper.take(made[0])
    assert isinstance(again, Response) and again.status == 412 and again.headers["etag"] == keeper.view.etag


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"tag": "x", "view": {}}', b'{"view": {}}', b"[" * 100_000])
def test_a_state_that_is_not_whole_is_never_used(body: bytes) -> None:
    with pytest.raises(Torn):
        read_state(body)
    assert read_state(state_of(View.EMPTY, 7)) == (View.EMPTY, 7)


# Swaps


class Killed(BaseException):
    """Stands for a kill: nothing after it runs, not even what cleans up after errors."""


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


CALLS = ("open", "write", "fsync", "rename")


@pytest.mark.parametrize("cut", range(60))
def test_an_agent_killed_at_any_call_starts_again_on_a_whole_state(
    cut: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = (View.from_entries({("standing", name): line(name)}) for name in ("b1", "b2"))
    Tree(settings(tmp_path)).put(old)
    tree, count, lock = Tree(settings(tmp_path)), [0], threading.Lock()

    def cutting(name: str) -> Any:
        real = getattr(os, name)

        def call(*args: Any) -> Any:
            with lock:
                count[0] += 1
                if count[0] > cut:
                    raise Killed
            return real(*args)

        return call

    with monkeypatch.context() as patched:
        for name in CALLS:
            patched.setattr(os, name, cutting(name))
        finished = False
        try:
            tree.put(new)
            finished = True
        except Killed:
            pass
    shown = {path.name: path.read_bytes() for path in (tmp_path / "files").iterdir() if path.name[0] != "."}
    assert all(body in (dict(_named(tree, old))[name], dict(_named(tree, new))[name]) for name, body in shown.items())
    again = Tree(settings(tmp_path))
    loaded = again.load()
    assert loaded is not None
    held = loaded[0]
    assert held in (old, new) and (held == new or not finished)
    again.put(held)
    left = {path.name: path.read_bytes() for path in (tmp_path / "files").iterdir()}
    assert left == dict(_named(again, held)) and not list((tmp_path / "state").glob(f"{PASSING}*"))


def _named(tree: Tree, view: View) -> list[tuple[str, bytes]]:
    return [(path.name, body) for path, body in tree.files(view)]


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EROFS, errno.EDQUOT])
def test_with_a_full_or_read_only_disk_the_old_files_stand(
    fault: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    swap([(tmp_path / "a", b"old"), (tmp_path / "b", b"old")])

    def full(*_: object) -> int:
        raise OSError(fault, os.strerror(fault))

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(NotSwapped) as caught:
        swap([(tmp_path / "a", b"new"), (tmp_path / "b", b"new")])
    assert caught.value.errno == fault
    assert sorted(path.name for path in tmp_path.iterdir()) == ["a", "b"]
    assert {path.read_bytes() for path in tmp_path.iterdir()} == {b"old"}


def test_a_reader_at_any_moment_of_many_swaps_sees_no_mixture(tmp_path: Path) -> None:
    path, over, torn, seen = tmp_path / "f", threading.Event(), list[bytes](), set[bytes]()
    swap([(path, b"0" * 40_000)])

    def read() -> None:
        while not over.is_set():
            body = path.read_bytes()
            seen.add(body[:1])
            if len(body) != 40_000 or body.count(body[:1]) != 40_000:
                torn.append(body)

    readers = [threading.Thread(target=read) for _ in range(3)]
    for reader in readers:
        reader.start()
    for number in range(400):
        swap([(path, str(number % 10).encode() * 40_000)])
    over.set()
    for reader in readers:
        reader.join()
    assert not torn and len(seen) == 10


def test_a_writer_with_no_rename_would_be_caught(tmp_path: Path) -> None:
    path, over, torn = tmp_path / "f", threading.Event(), list[int]()
    path.write_bytes(b"0" * 400_000)

    def read() -> None:
        while not over.is_set():
            body = path.read_bytes()
            if len(body) != 400_000 or body.count(body[:1]) != 400_000:
                torn.append(len(body))

    reader = threading.Thread(target=read)
    reader.start()
    for number in range(4000):
        path.write_bytes(str(number % 10).encode() * 400_000)
        if torn:
            break
    over.set()
    reader.join()
    assert torn


def test_leftovers_of_a_killed_swap_are_cleared_and_nothing_else(tmp_path: Path) -> None:
    for name in (f"{PASSING}x", "x", "swap-y"):
        (tmp_path / name).write_text("")
    assert clear(tmp_path) == [f"{PASSING}x"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["swap-y", "x"]


# What proxies read


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


def test_endpoints_say_weights_withdrawals_and_levels() -> None:
    document = json.loads(envoy.endpoints(view(share=0.25), ROUTES))
    read, write = document["resources"]
    ends = [end for locality in read["endpoints"] for end in locality["lb_endpoints"]]
    assert {(e["load_balancing_weight"], e["health_status"]) for e in ends} == {
        (250_000, "HEALTHY"),
        (1_000_000, "DRAINING"),
    }
    assert read["policy"]["drop_overloads"][0]["drop_percentage"]["numerator"] == 750_000
    ports = [e["endpoint"]["address"]["socket_address"]["port_value"] for e in write["endpoints"][0]["lb_endpoints"]]
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
def test_routes_say_further_tries(tries: int, policy: Any) -> None:
    document = json.loads(envoy.route_table(view(tries=tries), ROUTES, 1.2))
    action = document["resources"][0]["virtual_hosts"][0]["routes"][0]["route"]
    told = action.get("retry_policy")
    assert action["cluster"] == "read"
    assert (told and (told["retry_on"], told["num_retries"], told.get("per_try_timeout"))) == policy


def test_a_rate_becomes_a_bucket_that_lets_that_many_in() -> None:
    for rate in (0.5, 3.0, 120.0):
        document = json.loads(envoy.route_table(view(rate=rate), ROUTES, 1.2))
        limit = document["resources"][0]["virtual_hosts"][0]["routes"][0]["typed_per_filter_config"]
        bucket = limit[envoy.RATE_LIMIT]["token_bucket"]
        assert bucket["tokens_per_fill"] / float(bucket["fill_interval"][:-1]) == pytest.approx(rate, rel=0.01)


def test_nginx_includes_say_the_same_and_name_what_they_can_not() -> None:
    text = nginx.upstreams(view(share=0.25), ROUTES).decode()
    assert "server 127.0.0.1:9001 weight=16384 max_fails=0;" in text
    assert "server 127.0.0.1:9002 weight=65535 max_fails=0 down;" in text
    assert "25.00% 1;" in text and "upstream write {" in text
    assert "nginx can't tell" in nginx.location(view(tries=1), ROUTES[0]).decode()
    assert "proxy_next_upstream_tries 3;" in nginx.location(view(tries=3), ROUTES[0]).decode()
    assert "down;" in nginx.upstreams(View.EMPTY, ROUTES).decode()


# Sums


def test_counts_become_sums_that_the_controller_reads() -> None:
    before = counters.flatten(stats(good=3, bad=1, ms=30.0, flows=5))
    after = counters.flatten(stats(good=8, bad=2, ms=80.0, flows=12))
    made = counters.report("p1", "x", 4, 1.0, counters.difference(before, after), {"127.0.0.1:9001": 0.5})
    read = parse_load_stats(json.loads(json.dumps(made)))
    assert read.backends == {"127.0.0.1:9001": BackendStatistics(6, 1, 500.0, 10_000, 0.5)}
    assert read.request_counts == {"read": (7, 10_000)}


def test_a_proxy_that_started_anew_is_counted_from_there() -> None:
    before = counters.flatten(stats(good=30, bad=1, ms=300.0, flows=50))
    after = counters.flatten(stats(good=4, bad=2, ms=40.0, flows=6))
    assert counters.difference(before, after) == {key: value for key, value in after.items() if value}


def stats(good: int, bad: int, ms: float, flows: int) -> dict[str, Any]:
    met = {"127.0.0.1:9001": {"good": good, "bad": bad, "ms": ms}}
    return {"groups": {"read": {"flows": flows, "dropped": 0, "backends": met}}}
