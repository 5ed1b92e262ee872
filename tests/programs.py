"""Runs the installed programs as processes, and talks to them as another program would.

Nothing of the code under test is imported here: the tests that use this module exchange data only through
settings files, sockets and the disk.
"""

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
PATIENCE = 10.0


def until(what: Callable[[], Any]) -> Any:
    """Call the function until it returns a true value, and return that; for conditions that no log or request shows."""
    end = time.monotonic() + PATIENCE
    while not (found := what()):
        assert time.monotonic() < end, "not in time"
        threading.Event().wait(0.01)
    return found


class Program:
    """A process whose log, one JSON object per line on standard error, shows when an event has happened."""

    def __init__(self, folder: Path, *words: str, **variables: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *words], cwd=folder, env=os.environ | variables, stderr=subprocess.PIPE, text=True
        )
        self.lines: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self.changed:
                self.lines.append(json.loads(line) if line.startswith("{") else {"event": line})
                self.changed.notify_all()
        with self.changed:
            self.lines.append({"event": "end of log"})
            self.changed.notify_all()

    def logged(self, event: str, **fields: object) -> dict[str, Any]:
        """Wait for the first log line of this event with these fields, and return it."""

        def found() -> dict[str, Any] | None:
            fitting = (each for each in self.lines if each["event"] == event)
            return next((each for each in fitting if fields.items() <= each.items()), None)

        with self.changed:
            self.changed.wait_for(lambda: found() or self.lines[-1:] == [{"event": "end of log"}], PATIENCE)
            line = found()
        assert line is not None, f"no {event!r} in {self.lines}"
        return line

    def repeated(self, event: str, times: int) -> None:
        """Wait until the log has at least `times` lines of this event."""
        with self.changed:
            found = self.changed.wait_for(lambda: [e["event"] for e in self.lines].count(event) >= times, PATIENCE)
        assert found, self.lines

    def end(self) -> int:
        """End the process by SIGTERM and return its exit code. If it does not end in time, kill it and raise."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(PATIENCE)
        finally:
            self.process.kill()
            self.reader.join(PATIENCE)


class Reply(NamedTuple):
    """An HTTP response. The names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class Line:
    """An HTTP connection for any number of requests."""

    def __init__(self, port: int) -> None:
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PATIENCE)

    def ask(self, method: str, target: str, body: object = None, **headers: str) -> Reply:
        """Send a request and return the response.

        A body of bytes is sent unchanged, any other value as JSON. Underscores in header names are sent as dashes.
        """
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, target, data, named)
        response = self.connection.getresponse()
        return Reply(response.status, {name.lower(): text for name, text in response.headers.items()}, response.read())


def ask(port: int, method: str, target: str, body: object = None, **headers: str) -> Reply:
    """Send one HTTP request on a new connection and return the response."""
    line = Line(port)
    try:
        return line.ask(method, target, body, **headers)
    finally:
        line.connection.close()


class Request(NamedTuple):
    """An HTTP request that a peer received, with header names as they were sent."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class Peer:
    """An HTTP server that records every request and responds with the status, headers and body that `reply` returns."""

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
                """Write no log."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                """Ignore errors, since a client may close its connection before the response."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True)
        self.thread.start()

    def asked(self, method: str, target: str, count: int = 1) -> Request:
        """Wait for `count` requests of this method whose targets begin with `target`, and return the last of these."""

        def found() -> list[Request]:
            return [each for each in self.requests if each.method == method and each.target.startswith(target)]

        with self.changed:
            assert self.changed.wait_for(lambda: len(found()) >= count, PATIENCE), (method, target, self.requests)
            return found()[count - 1]

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
