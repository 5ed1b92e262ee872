"""Decodes load reports, in the controller or in a process of its own that sends the sums to it.

Several worker processes listen on one address, so that the kernel distributes the connections. None judges anything:
each adds up what it has decoded by backend and incarnation, and sums add up the same in any order.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import struct
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec

from onyxhead.clock import Clock
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.http.server import Server
from onyxhead.intake.load_sums import LoadSums
from onyxhead.intake.report_decoder import ReportDecoder
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials, peer_identity
from onyxhead.keys.errors import KeyFileError
from onyxhead.settings.model import TlsSettings
from onyxhead.time_units import TICKS_PER_SECOND

FRAME_LENGTH = struct.Struct(">I")
"""Before each frame, its length in bytes."""
MAX_BODY_BYTES = 256 * 1024
MAX_SLICE_S = 0.1
"""A slice decodes at most what the budget allows in this time."""
KEY_CHECK_FRAMES = 50
"""The key files are checked once every so many frames."""
AGENT_ROLE = "agent"


class WorkerFrame(msgspec.Struct, array_like=True):
    """What was decoded since the last frame, and counters since then by name."""

    counts: dict[str, int]
    sums: list[LoadSums]


FRAME_ENCODER, FRAME_DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(WorkerFrame)


class IngestWorker:
    """Takes reports in and decodes them slice by slice. `budget` in bytes a second."""

    def __init__(self, seed: int, budget: int, keys: TlsCredentials | None, clock: Clock) -> None:
        self.decoder, self.budget, self.keys, self.clock = ReportDecoder(seed), budget, keys, clock
        self.credit = 0.0
        self.credited_at = clock.now()

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """The response to a request that brings reports."""
        path = request.target.strip("/").split("/")
        if request.method != "POST" or path[:2] != ["v1", "load"] or len(path) != 3:
            return problem_response(HTTPStatus.NOT_FOUND, "nothing here")
        sender = path[2]
        if self.keys is not None and peer_identity(writer.get_extra_info("peercert")) != PeerIdentity(
            AGENT_ROLE, sender
        ):
            return problem_response(HTTPStatus.FORBIDDEN, "this certificate may not report that")
        return self.accept(sender, request.body)

    def accept(self, sender: str, body: bytes) -> Response:
        """Queue a body of reports for decoding."""
        if len(body) > MAX_BODY_BYTES:
            return problem_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of over {MAX_BODY_BYTES} bytes")
        if not self.decoder.offer(sender, body, self.clock.now()):
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, "too many senders")
        return json_response(HTTPStatus.ACCEPTED, {})

    def decode_slice(self) -> WorkerFrame:
        """Decode as much as the budget allows now."""
        now = self.clock.now()
        # A slice that decoded too much is paid back before the next one.
        earned = self.budget * (now - self.credited_at) / TICKS_PER_SECOND
        self.credit = min(MAX_SLICE_S * self.budget, self.credit + earned)
        self.credited_at = now
        sums: list[LoadSums] = []
        if self.credit > 0:
            sums = self.decoder.decode(now, round(self.credit))
            self.credit -= self.decoder.bytes_decoded
        counts, self.decoder.counts = dict(self.decoder.counts), type(self.decoder.counts)()
        return WorkerFrame(counts, sums)


async def serve(settings: dict[str, Any]) -> None:
    """Run a worker process until its standard input ends. Raises OSError, KeyFileError."""
    keys = _keys(settings.get("tls"))
    worker = IngestWorker(settings["seed"], settings["budget"], keys, Clock(time.time, time.monotonic))
    server = Server(worker.handle_request, MAX_BODY_BYTES)
    host, port = settings["listen"]
    await server.start(host, port, keys.server_context if keys else None)
    reader, writer = await _standard_streams()
    # The controller holds its end of standard input for as long as it lives; this process ends with it.
    controller_ended = asyncio.create_task(reader.read())
    frames = 0
    while not controller_ended.done():
        await asyncio.sleep(settings["every"])
        body = FRAME_ENCODER.encode(worker.decode_slice())
        writer.write(FRAME_LENGTH.pack(len(body)) + body)
        await writer.drain()
        frames += 1
        if keys is not None and frames % KEY_CHECK_FRAMES == 0:
            # Files that can't be used are logged by the controller, which follows the same ones.
            with contextlib.suppress(KeyFileError):
                if keys.refresh():
                    await server.start(host, port, keys.server_context)


def _keys(files: list[str | None] | None) -> TlsCredentials | None:
    if not files:
        return None
    certificate, key, authorities, revoked = (Path(file) if file else None for file in files)
    assert certificate and key and authorities
    return TlsCredentials(TlsSettings(certificate, key, authorities, revoked, 1.0))


async def _standard_streams() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    stdout = os.fdopen(1, "wb", 0)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, stdout)
    return reader, asyncio.StreamWriter(transport, protocol, None, loop)


def main() -> int:
    """Run a worker process with the settings of the command line. Returns its exit code."""
    try:
        asyncio.run(serve(json.loads(sys.argv[1])))
    except (OSError, KeyFileError) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
