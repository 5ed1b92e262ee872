"""Runs the installed programs as processes, and talks to them as another program would.

Nothing of the code under test is imported here: the tests that use this module see settings files, bytes and disk."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NamedTuple

COMMAND = ("-m", "onyxhead.cli.main")
NODE = ("-m", "onyxhead.node")
ADAPTER = ("-m", "onyxhead.wirehost")
TIMEOUT_S = 10.0


def wait_until(what: Callable[[], Any]) -> Any:
    """The first true value, asked for again and again: for what no log line and no request tells."""
    end = time.monotonic() + TIMEOUT_S
    while not (found := what()):
        assert time.monotonic() < end, "not in time"
        threading.Event().wait(0.01)
    return found


class Program:
    """One process. Its log (one JSON object a line on standard error) tells when something has happened."""

    def __init__(self, folder: Path, *words: str, **variables: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *words], cwd=folder, env=os.environ | variables, stderr=subprocess.PIPE, text=True
        )
        self.log_lines: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self.changed:
                self.log_lines.append(json.loads(line) if line.startswith("{") else {"event": line})
                self.changed.notify_all()
        with self.changed:
            self.log_lines.append({"event": "end of log"})
            self.changed.notify_all()

    def wait_for_log(self, event: str, **fields: object) -> dict[str, Any]:
        """The first log line of this event with these fields, as soon as there is one."""

        def found() -> dict[str, Any] | None:
            fitting = (each for each in self.log_lines if each["event"] == event)
            return next((each for each in fitting if fields.items() <= each.items()), None)

        with self.changed:
            self.changed.wait_for(lambda: found() or self.log_lines[-1:] == [{"event": "end of log"}], TIMEOUT_S)
            line = found()
        assert line is not None, f"no {event!r} in {self.log_lines}"
        return line

    def wait_for_log_count(self, event: str, times: int) -> None:
        """Returns once the log has so many lines of this event."""
        with self.changed:
            found = self.changed.wait_for(lambda: [e["event"] for e in self.log_lines].count(event) >= times, TIMEOUT_S)
        assert found, self.log_lines

    def stop(self) -> int:
        """Asks the process to end; its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(TIMEOUT_S)
        finally:
            self.process.kill()
            self.reader.join(TIMEOUT_S)


class Reply(NamedTuple):
    """Header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class HttpConnection:
    """One HTTP connection, for as many requests as wanted."""

    def __init__(self, port: int) -> None:
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)

    def fetch(self, method: str, target: str, body: object = None, **headers: str) -> Reply:
        """Bytes are sent as they are, other values as JSON; header names take underscores for dashes."""
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, target, data, named)
        response = self.connection.getresponse()
        return Reply(response.status, {name.lower(): text for name, text in response.headers.items()}, response.read())


def fetch(port: int, method: str, target: str, body: object = None, **headers: str) -> Reply:
    """One HTTP request on a connection of its own."""
    line = HttpConnection(port)
    try:
        return line.fetch(method, target, body, **headers)
    finally:
        line.connection.close()


class Request(NamedTuple):
    """What a peer was asked; header names as they were sent."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class RecordingServer:
    """An HTTP server that keeps every request and answers by `reply`, which returns status, headers and body."""

    def __init__(self, reply: Callable[[Request], tuple[int, dict[str, str], bytes]]) -> None:
        self.requests: list[Request] = []
        self.changed = threading.Condition()
        peer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("content-length", 0)))
                request = Request(self.command, self.path, dict(self.headers.items()), body)
                with peer.changed:
                    peer.requests.append(request)
                    peer.changed.notify_all()
                status, headers, out = reply(request)
                self.send_response(status)
                for name, value in {**headers, "content-length": str(len(out))}.items():
                    self.send_header(name, value)
                self.end_headers()
                if self.command != "HEAD":
                    self.wfile.write(out)

            do_GET = do_HEAD = do_POST = do_PUT = do_PATCH = answer  # noqa: N815  the names that http.server calls

            def log_message(self, *_: object) -> None:
                """Nothing is written."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                """A client that has gone meanwhile wants no answer."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True)
        self.thread.start()

    def wait_for_request(self, method: str, target: str, count: int = 1) -> Request:
        """The request of this method whose target begins so, as soon as that many have come."""

        def found() -> list[Request]:
            return [each for each in self.requests if each.method == method and each.target.startswith(target)]

        with self.changed:
            assert self.changed.wait_for(lambda: len(found()) >= count, TIMEOUT_S), (method, target, self.requests)
            return found()[count - 1]

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
