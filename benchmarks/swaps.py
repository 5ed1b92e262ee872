"""Swaps a second of one agent against a bare write, flush and rename of the same bytes."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.figures import ratio
from onyxhead.agent.proxy_files import ProxyFiles
from onyxhead.agent.state_file import encode_state
from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.http.messages import JSON_MEDIA_TYPE, MERGE_PATCH_MEDIA_TYPE, STREAM_HEADER, Request, content_digest
from onyxhead.settings.model import AgentSettings, GroupRoute, LogSettings
from onyxhead.tables.view import View, canonical_json

ROUTES = (GroupRoute("read", "/r", 0.5, 1), GroupRoute("write", "/w", 1.0, 0))


def measure(args: list[str]) -> dict[str, Any]:
    rounds, backends = 5, int(args[0]) if args else 82
    with tempfile.TemporaryDirectory(dir=args[1] if len(args) > 1 else None) as name:
        folder = Path(name)
        settings = AgentSettings(
            "p",
            "z",
            ("127.0.0.1", 1),
            None,
            folder / "files",
            folder / "state",
            (),
            1.0,
            ROUTES,
            1.2,
            {},
            None,
            3.0,
            0.1,
            1 << 24,
            None,
            LogSettings("error", "json"),
        )
        files = ProxyFiles(settings)
        replica = TableReplica(View.EMPTY)
        replica.follow("s")
        leaves: dict[Any, Any] = {("bindings", route.group): "1.0" for route in ROUTES}
        for number in range(backends):
            leaves["tables", "1.0", "lines", f"b{number}"] = line(number, 1000)
        apply(files, replica, View.from_entries(leaves).to_document(), whole=True)
        ours, bare = [], []
        for turn in range(rounds):
            base = turn * 1000
            ours.append(rate(lambda n: step(files, replica, base + n, backends)))
            expected = [(files.state_path, encode_state(replica.view)), *files.render(replica.view)]
            changed = [
                (path, body) for path, body in expected if path.name in ("view.json", "eds.json", "upstreams.conf")
            ]
            bare.append(rate(lambda _: plain(changed)))
    made = ratio(ours, bare)
    return {"backends": backends, "swaps a second": round(max(ours)), "bare": round(max(bare)), "ours/bare": made}


def line(number: int, weight: int) -> dict[str, Any]:
    return {"address": f"127.0.0.1:{9000 + number}", "weight": weight, "zone": "z"}


def step(files: ProxyFiles, replica: TableReplica, number: int, backends: int) -> None:
    lines = {f"b{number % backends}": line(number % backends, 1 + number)}
    apply(files, replica, {"tables": {"1.0": {"lines": lines}}}, whole=False)


def apply(files: ProxyFiles, replica: TableReplica, document: Any, whole: bool) -> None:
    body = canonical_json(document)
    headers = {
        STREAM_HEADER: "s",
        "if-match": replica.view.etag,
        "content-digest": content_digest(body),
        "content-type": JSON_MEDIA_TYPE if whole else MERGE_PATCH_MEDIA_TYPE,
    }
    taken = replica.check_update(Request("PUT" if whole else "PATCH", "/v1/view", headers, body))
    assert isinstance(taken, AcceptedUpdate), taken
    files.install(taken.view)
    replica.commit(taken)


def plain(files: list[tuple[Path, bytes]]) -> None:
    for path, body in files:
        beside = path.with_name(".bare")
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        os.write(handle, body)
        os.fsync(handle)
        os.close(handle)
        os.rename(beside, path)
        folder = os.open(path.parent, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)


def rate(work: Any, seconds: float = 1.0) -> float:
    began, count = time.perf_counter(), 0
    while time.perf_counter() < began + seconds:
        work(count)
        count += 1
    return count / (time.perf_counter() - began)
