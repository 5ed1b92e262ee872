"""Decodes load reports, either in the controller or in worker processes that send sums of them to the controller.

All worker processes listen on one address, so that the kernel distributes the connections among them. A worker makes no
estimates: it only sums up the reports of each backend and incarnation, and sums can be merged in any order.
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
"""The header of each frame: the length of its body in bytes."""
MAX_BODY_BYTES = 256 * 1024
MAX_SLICE_S = 0.1
"""A slice may use at most the budget that accumulates in this time."""
KEY_CHECK_FRAMES = 50
"""Number of frames between two checks of the key files."""
AGENT_ROLE = "agent"


class WorkerFrame(msgspec.Struct, array_like=True):
    """The sums of the reports decoded since the last frame, and the counters since then by name."""

    counts: dict[str, int]
    sums: list[LoadSums]


FRAME_ENCODER, FRAME_DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(WorkerFrame)


class IngestWorker:
    """Receives reports and decodes them in slices. `budget` is the number of bytes that may be decoded per second."""

    def __init__(self, seed: int, budget: int, keys: TlsCredentials | None, clock: Clock) -> None:
        self.decoder, self.budget, self.keys, self.clock = ReportDecoder(seed), budget, keys, clock
        self.credit = 0.0
        self.credited_at = clock.now()

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        """Return the response to a request that delivers load reports."""
        path = request.target.strip("/").split("/")
        if request.method != "POST" or path[:2] != ["v1", "load"] or len(path) != 3:
            return problem_response(HTTPStatus.NOT_FOUND, "nothing here")
        sender = path[2]
        if self.keys is not None and peer_identity(writer.get_extra_info("peercert")) != PeerIdentity(
            AGENT_ROLE, sender
        ):
            return problem_response(
                HTTPStatus.FORBIDDEN, "the client certificate does not permit reports from this sender"
            )
        return self.accept(sender, request.body)

    def accept(self, sender: str, body: bytes) -> Response:
        """Queue a body of reports for decoding, and return the response to its sender."""
        if len(body) > MAX_BODY_BYTES:
            return problem_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body exceeds {MAX_BODY_BYTES} bytes")
        if not self.decoder.offer(sender, body, self.clock.now()):
            return problem_response(HTTPStatus.SERVICE_UNAVAILABLE, "too many senders of load reports")
        return json_response(HTTPStatus.ACCEPTED, {})

    def decode_slice(self) -> WorkerFrame:
        """Decode as many queued reports as the budget allows now, and return them as one frame."""
        now = self.clock.now()
        # A slice may use more than the credit and leave it negative. Nothing is decoded until it is positive again.
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
    """Run a worker process until its standard input ends.

    Raise OSError if the address can't be listened on, KeyFileError if the key files can't be used.
    """
    keys = _load_keys(settings.get("tls"))
    worker = IngestWorker(settings["seed"], settings["budget"], keys, Clock(time.time, time.monotonic))
    server = Server(worker.handle_request, MAX_BODY_BYTES)
    host, port = settings["listen"]
    await server.start(host, port, keys.server_context if keys else None)
    reader, writer = await _standard_streams()
    # The controller keeps this process's standard input open while it runs. Its end therefore ends this process too.
    controller_ended = asyncio.create_task(reader.read())
    frames = 0
    while not controller_ended.done():
        await asyncio.sleep(settings["every"])
        body = FRAME_ENCODER.encode(worker.decode_slice())
        writer.write(FRAME_LENGTH.pack(len(body)) + body)
        await writer.drain()
        frames += 1
        if keys is not None and frames % KEY_CHECK_FRAMES == 0:
            # The controller checks the same files and logs those that can't be used.
            with contextlib.suppress(KeyFileError):
                if keys.refresh():
                    await server.start(host, port, keys.server_context)


def _load_keys(files: list[str | None] | None) -> TlsCredentials | None:
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
    """Run a worker process with the settings in its first argument. Return the exit code."""
    try:
        asyncio.run(serve(json.loads(sys.argv[1])))
    except (OSError, KeyFileError) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
