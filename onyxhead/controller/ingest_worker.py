"""A process of its own that takes load reports and hands sums to the controller: one core each, nothing shared.

Several listen on one address, so that the kernel deals connections out. None judges anything: a receiver adds up what
it decoded, by backend and life, and sums add up the same in any order. What a backend's load means is thought in one
place."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import struct
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from onyxhead.controller.clock import Clock
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.http.server import Server
from onyxhead.intake.load_sums import LoadSums
from onyxhead.intake.report_decoder import ReportDecoder
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials, peer_identity
from onyxhead.keys.errors import KeyFileError
from onyxhead.settings.model import TlsSettings

HEAD = struct.Struct(">I")
MOST_BODY = 256 * 1024
BITE = 0.1
"""Of a second's budget, what one bite takes at most."""


class WorkerFrame(msgspec.Struct, array_like=True):
    """`counts` since the last one."""

    counts: dict[str, int]
    sums: list[LoadSums]


ENCODE, DECODE = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(WorkerFrame)


class IngestWorker:
    """The decoding path, in whatever process: requests in, sums out at each beat."""

    def __init__(self, seed: int, budget: int, keys: TlsCredentials | None, clock: Clock) -> None:
        self.decoder, self.budget, self.keys, self.clock = ReportDecoder(seed), budget, keys, clock
        self.credit, self.at = 0.0, clock.now()

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        parts = request.target.strip("/").split("/")
        if request.method != "POST" or parts[:2] != ["v1", "load"] or len(parts) != 3:
            return problem_response(404, "nothing here")
        if self.keys is not None:
            peer = peer_identity(writer.get_extra_info("peercert"))
            if peer != PeerIdentity("agent", parts[2]):
                return problem_response(403, "this certificate may not report that")
        return self.accept(parts[2], request.body)

    def accept(self, sender: str, body: bytes) -> Response:
        if len(body) > MOST_BODY:
            return problem_response(413, f"a body of over {MOST_BODY} bytes")
        if not self.decoder.offer(sender, body, self.clock.now()):
            return problem_response(503, "too many senders")
        return json_response(202, {})

    def decode_slice(self) -> WorkerFrame:
        now = self.clock.now()
        # In bytes a second; a bite taken too large is paid back before the next one.
        self.credit = min(BITE * self.budget, self.credit + self.budget * (now - self.at) / 10_000)
        self.at = now
        sums = self.decoder.decode(now, round(self.credit)) if self.credit > 0 else []
        self.credit -= self.decoder.bytes_decoded if self.credit > 0 else 0
        counts, self.decoder.counts = dict(self.decoder.counts), type(self.decoder.counts)()
        return WorkerFrame(counts, sums)


async def serve(given: dict[str, Any]) -> None:
    files = given.get("tls")
    keys = None
    if files:
        certificate, key, authorities, revoked = (Path(each) if each else None for each in files)
        assert certificate and key and authorities
        keys = TlsCredentials(TlsSettings(certificate, key, authorities, revoked, 1.0))
    taking = IngestWorker(given["seed"], given["budget"], keys, Clock(time.time, time.monotonic))
    server = Server(taking.handle_request, MOST_BODY)
    host, port = given["listen"]
    await server.start(host, port, keys.server_context if keys else None)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, os.fdopen(1, "wb", 0))
    writer = asyncio.StreamWriter(transport, protocol, None, loop)
    # The controller's end of standard input is held for as long as it lives; its end is the end of this process.
    over = asyncio.create_task(reader.read())
    looked = 0
    while not over.done():
        await asyncio.sleep(given["every"])
        body = ENCODE.encode(taking.decode_slice())
        writer.write(HEAD.pack(len(body)) + body)
        await writer.drain()
        looked += 1
        if keys is not None and looked % 50 == 0:
            # Changed files that can't be used are logged by the controller, which follows the same ones.
            with contextlib.suppress(KeyFileError):
                if keys.refresh():
                    await server.start(host, port, keys.server_context)


def main() -> int:
    try:
        asyncio.run(serve(json.loads(sys.argv[1])))
    except (OSError, KeyFileError) as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
