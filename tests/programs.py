"""Runs onyxhead's programs as processes and talks to them over their interfaces only.

This module imports none of the code under test, so its users depend only on settings files, network traffic and
stored files.
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
TIMEOUT_S = 10.0


def wait_until(condition: Callable[[], Any]) -> Any:
    """Poll a condition until its value is true, and return the value; for states that no log line or recorded request shows."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (value := condition()):
        assert time.monotonic() < deadline, f"the condition was still {value!r} after {TIMEOUT_S} s"
        threading.Event().wait(0.01)
    return value


class Program:
    """A running program. A thread collects its log, one JSON object per line on standard error."""

    def __init__(self, folder: Path, *arguments: str, **environment: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *arguments], cwd=folder, env=os.environ | environment, stderr=subprocess.PIPE, text=True
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
        """Wait for a log line of this event with these fields, and return the first one."""

        def first_match() -> dict[str, Any] | None:
            of_event = (line for line in self.log_lines if line["event"] == event)
            return next((line for line in of_event if fields.items() <= line.items()), None)

        with self.changed:
            self.changed.wait_for(lambda: first_match() or self.log_lines[-1:] == [{"event": "end of log"}], TIMEOUT_S)
            match = first_match()
        assert match is not None, f"no {event!r} with {fields} in {self.log_lines}"
        return match

    def wait_for_log_count(self, event: str, count: int) -> None:
        """Wait until the log has at least that many lines of this event."""
        with self.changed:
            in_time = self.changed.wait_for(
                lambda: [line["event"] for line in self.log_lines].count(event) >= count, TIMEOUT_S
            )
        assert in_time, self.log_lines

    def stop(self) -> int:
        """Send SIGTERM to the process unless it has ended; return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(TIMEOUT_S)
        finally:
            self.process.kill()
            self.reader.join(TIMEOUT_S)


class Reply(NamedTuple):
    """An HTTP response, with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class HttpConnection:
    """An HTTP connection that stays open for several requests."""

    def __init__(self, port: int) -> None:
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)

    def fetch(self, method: str, target: str, body: object = None, **headers: str) -> Reply:
        """Send a request and return its response.

        A body of bytes is sent unchanged, any other value as JSON. Underscores in header names stand for dashes.
        """
        payload = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        sent_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, target, payload, sent_headers)
        response = self.connection.getresponse()
        return Reply(response.status, {name.lower(): text for name, text in response.headers.items()}, response.read())


def fetch(port: int, method: str, target: str, body: object = None, **headers: str) -> Reply:
    """Send one HTTP request on a new connection and return its response."""
    connection = HttpConnection(port)
    try:
        return connection.fetch(method, target, body, **headers)
    finally:
        connection.connection.close()


class Request(NamedTuple):
    """An HTTP request that a server received, with header names as they were sent."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class RecordingServer:
    """An HTTP server that records all requests. `reply` returns the status, headers and body of each response."""

    def __init__(self, reply: Callable[[Request], tuple[int, dict[str, str], bytes]]) -> None:
        self.requests: list[Request] = []
        self.changed = threading.Condition()
        recorder = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("content-length", 0)))
                request = Request(self.command, self.path, dict(self.headers.items()), body)
                with recorder.changed:
                    recorder.requests.append(request)
                    recorder.changed.notify_all()
                status, headers, response_body = reply(request)
                self.send_response(status)
                for name, value in {**headers, "content-length": str(len(response_body))}.items():
                    self.send_header(name, value)
                self.end_headers()
                if self.command != "HEAD":
                    self.wfile.write(response_body)

            do_GET = do_HEAD = do_POST = do_PUT = do_PATCH = answer  # noqa: N815  the names that http.server calls

            def log_message(self, *_: object) -> None:
                """Suppress the access log."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                """Ignore errors of connections that clients closed before the response."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True)
        self.thread.start()

    def wait_for_request(self, method: str, target: str, count: int = 1) -> Request:
        """Wait for `count` requests of the method whose targets start with `target`, and return the last of them."""

        def matches() -> list[Request]:
            return [
                request for request in self.requests if request.method == method and request.target.startswith(target)
            ]

        with self.changed:
            assert self.changed.wait_for(lambda: len(matches()) >= count, TIMEOUT_S), (method, target, self.requests)
            return matches()[count - 1]

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
