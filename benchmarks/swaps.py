"""Updates per second that one agent can apply and write to its files.

The baseline is a bare write, fsync and rename of the same files. Optional arguments: the number of backends, and the
parent folder for the files.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from benchmarks.figures import Figures, ratio
from onyxhead.agent.proxy_files import ENVOY_ENDPOINTS, NGINX_UPSTREAMS, ProxyFiles
from onyxhead.agent.state_file import STATE_FILE_NAME, encode_state
from onyxhead.agent.table_replica import AcceptedUpdate, TableReplica
from onyxhead.http.messages import JSON_MEDIA_TYPE, MERGE_PATCH_MEDIA_TYPE, STREAM_HEADER, Request, content_digest
from onyxhead.settings.model import AgentSettings, GroupRoute, LogSettings
from onyxhead.tables.view import View, canonical_json
from onyxhead.tables.view_format import Document, ViewValue
from onyxhead.tables.view_format import Path as EntryPath

REPETITIONS, DEFAULT_BACKENDS = 5, 82
MEASURING_S = 1.0
STREAM = "s"
TABLE = "1.0"
ROUTES = (GroupRoute("read", "/r", 0.5, 1), GroupRoute("write", "/w", 1.0, 0))
CHANGED_FILES = (STATE_FILE_NAME, ENVOY_ENDPOINTS, NGINX_UPSTREAMS)
"""The names of the files whose contents depend on a backend's weight."""


class MeasuredAgent:
    """The table replica and the proxy files of an agent, without its sockets."""

    def __init__(self, folder: Path, backends: int) -> None:
        self.backends = backends
        self.files = ProxyFiles(_agent_settings(folder))
        self.replica = TableReplica(View.EMPTY)
        self.replica.follow(STREAM)
        entries: dict[EntryPath, ViewValue] = {("bindings", route.group): TABLE for route in ROUTES}
        for number in range(backends):
            entries["tables", TABLE, "lines", f"b{number}"] = table_line(number, 1000)
        self._apply("PUT", JSON_MEDIA_TYPE, View.from_entries(entries).to_document())

    def change_weight(self, number: int) -> None:
        """Change the weight of one backend by a merge patch like those that a controller sends."""
        backend = number % self.backends
        lines = {f"b{backend}": table_line(backend, 1 + number)}
        self._apply("PATCH", MERGE_PATCH_MEDIA_TYPE, {"tables": {TABLE: {"lines": lines}}})

    def _apply(self, method: str, media_type: str, document: Document) -> None:
        body = canonical_json(document)
        headers = {
            STREAM_HEADER: STREAM,
            "if-match": self.replica.view.etag,
            "content-digest": content_digest(body),
            "content-type": media_type,
        }
        update = self.replica.check_update(Request(method, "/v1/view", headers, body))
        assert isinstance(update, AcceptedUpdate), update
        self.files.install(update.view)
        self.replica.commit(update)

    def changed_files(self) -> list[tuple[Path, bytes]]:
        """Return the paths and current contents of `CHANGED_FILES`."""
        view = self.replica.view
        files = [(self.files.state_path, encode_state(view)), *self.files.render(view)]
        return [(path, body) for path, body in files if path.name in CHANGED_FILES]


def _agent_settings(folder: Path) -> AgentSettings:
    return AgentSettings(
        name="p",
        zone="z",
        listen=("127.0.0.1", 1),
        advertise=None,
        output_directory=folder / "files",
        state_directory=folder / "state",
        controllers=(),
        baseline_rate=1.0,
        routes=ROUTES,
        attempt_timeout_factor=1.2,
        static_endpoints={},
        stats=None,
        silence_timeout=3.0,
        reconnect_delay=0.1,
        max_body=1 << 24,
        reload=None,
        log=LogSettings("error", "json"),
    )


def table_line(number: int, weight: int) -> dict[str, ViewValue]:
    """Return the line of a backend in a table, in the format of views."""
    return {"address": f"127.0.0.1:{9000 + number}", "weight": weight, "zone": "z"}


def _change_weight(agent: MeasuredAgent, first_number: int, number: int) -> None:
    agent.change_weight(first_number + number)


def _write_files(files: list[tuple[Path, bytes]], _number: int) -> None:
    """Replace files one by one by a write, fsync and rename, and fsync the folder after each."""
    for path, body in files:
        temporary = path.with_name(".bare")
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        os.write(file, body)
        os.fsync(file)
        os.close(file)
        os.rename(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)


def calls_per_second(call: Callable[[int], None]) -> float:
    """Return how many calls per second a function completes; its argument is the number of the call, from 0."""
    started_at, count = time.perf_counter(), 0
    while time.perf_counter() < started_at + MEASURING_S:
        call(count)
        count += 1
    return count / (time.perf_counter() - started_at)


def measure(arguments: list[str]) -> Figures:
    """Measure the agent and the bare writes alternately."""
    backends = int(arguments[0]) if arguments else DEFAULT_BACKENDS
    with tempfile.TemporaryDirectory(dir=arguments[1] if len(arguments) > 1 else None) as name:
        agent = MeasuredAgent(Path(name), backends)
        swap_rates, bare_rates = [], []
        for repetition in range(REPETITIONS):
            swap_rates.append(calls_per_second(partial(_change_weight, agent, repetition * 1000)))
            bare_rates.append(calls_per_second(partial(_write_files, agent.changed_files())))
    return {
        "backends": backends,
        "updates per second": round(max(swap_rates)),
        "bare writes per second": round(max(bare_rates)),
        "updates/bare writes": ratio(swap_rates, bare_rates),
    }
