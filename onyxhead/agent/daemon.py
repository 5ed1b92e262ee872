"""The running agent: a server that takes its controller's pushes, and a dial loop that keeps it joined to one."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import random
import secrets
import signal
import time
from pathlib import Path
from typing import Any

import structlog

from onyxhead.agent import counters
from onyxhead.agent.keeper import Keeper, Taken, Torn, read_state, state_of
from onyxhead.agent.swap import NotSwapped, clear, swap
from onyxhead.fleet.controller_selector import ControllerSelector
from onyxhead.fronts.files import envoy, nginx
from onyxhead.fronts.files.push import VIEW
from onyxhead.http.client import Connection, fetch_once
from onyxhead.http.messages import STREAM_HEADER, HttpError, Request, Response, json_response, problem_response
from onyxhead.http.server import Server
from onyxhead.keys.credentials import TlsCredentials, peer_identity, watch_key_files
from onyxhead.settings.model import Address, AgentSettings
from onyxhead.tables.view import View

JOIN_TIMEOUT = 2.0
STATS_TIMEOUT = 1.0
UNSENT = 3
"""Reports kept for a controller that does not take them now; older ones would tell of another load."""

log = structlog.get_logger()


class SentOn(Exception):
    """The controller that was asked, `name`, knows a better one, `to`."""

    def __init__(self, name: str, to: str) -> None:
        super().__init__(f"{name} sends on to {to}")
        self.name, self.to = name, to


class Tree:
    """The proxy's files and the agent's state on disk."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.state = settings.state_directory / "view.json"
        self.shown: dict[Path, bytes] = {}
        for folder in (settings.state_directory, settings.output_directory):
            folder.mkdir(parents=True, exist_ok=True)
            if left := clear(folder):
                log.info("cleared what a killed swap left", files=left)

    def load(self) -> tuple[View, int] | None:
        """The last whole view and token; None where there is none that can be used."""
        try:
            return read_state(self.state.read_bytes())
        except FileNotFoundError:
            return None
        except Torn as error:
            log.error("the state can't be used", file=self.state.name, why=str(error))
            return None

    def files(self, view: View) -> list[tuple[Path, bytes]]:
        """What the proxy reads, made from a view."""
        own = self.settings
        made = {
            "eds.json": envoy.endpoints(view, own.routes),
            "rds.json": envoy.route_table(view, own.routes, own.attempt_timeout_factor),
            "upstreams.conf": nginx.upstreams(view, own.routes),
        }
        made |= {f"location-{route.group}.conf": nginx.location(view, route) for route in own.routes}
        return [(own.output_directory / name, body) for name, body in made.items()]

    def keep(self, view: View, token: int) -> None:
        """Puts the state alone on disk. Raises OSError."""
        swap([(self.state, state_of(view, token))])

    def put(self, view: View, token: int = 0) -> None:
        """Swaps the state and all files that differ. Raises NotSwapped, OSError."""
        files = [(path, body) for path, body in self.files(view) if _content(self.shown.get(path)) != _content(body)]
        swap([(self.state, state_of(view, token)), *files])
        self.shown.update(files)


def _content(body: bytes | None) -> bytes | None:
    """A file without the view's tag: one that says the same under another tag need not be swapped."""
    if body is None:
        return None
    if body.startswith(b"{"):
        return body[body.index(b'"type_url"') :]
    return body.partition(b"\n")[2] if body.startswith(b"# view") else body


class Daemon:
    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.tree = Tree(settings)
        self.keys = TlsCredentials(settings.tls) if settings.tls is not None else None
        standing = View.from_entries({("standing", name): line for name, line in settings.static_endpoints.items()})
        held = self.tree.load()
        self.keeper = Keeper(standing, 0) if held is None else Keeper(*held)
        self.boot = secrets.token_hex(6)
        self.chance = random.Random(self.boot)
        self.server = Server(self.answer, settings.max_body, on_close=self._closed)
        self.turn, self.joining = asyncio.Lock(), asyncio.Lock()
        self.lost = asyncio.Event()
        self.over = asyncio.Event()
        self.heard = 0.0
        self.writer: asyncio.StreamWriter | None = None
        self.controller: Address | None = None
        self.report_every = 1.0
        self.swaps = 0

    async def run(self) -> None:
        """Serves until told to end. Raises OSError if the address or the folders can't be had."""
        # A crash may have come between the state and the files; they are made again from the state.
        await asyncio.to_thread(self.tree.put, self.keeper.view, self.keeper.fence.current)
        host, port = await self.server.start(*self.settings.listen, self.keys.server_context if self.keys else None)
        self.push = self.settings.advertise or (host, port)
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.over.set)
        log.info("serving", name=self.settings.name, host=host, port=port, tag=self.keeper.view.etag)
        tasks = [asyncio.create_task(self._stay_joined()), asyncio.create_task(self._ended())]
        if self.settings.stats is not None:
            tasks.append(asyncio.create_task(self._report(self.settings.stats)))
        if self.keys is not None and self.settings.tls is not None:
            tasks.append(asyncio.create_task(self._rotate(self.keys, (host, port), self.settings.tls.interval)))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.server.close()
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    log.error("a task failed", error=repr(result), exc_info=result)
            log.info("ended", name=self.settings.name)

    async def _rotate(self, keys: TlsCredentials, address: Address, every: float) -> None:
        """New handshakes take new keys; the stream that is open goes on until its controller ends it."""
        async for _ in watch_key_files(keys, every):
            await self.server.start(*address, keys.server_context)
            log.info("key files reloaded", generation=keys.generation)

    async def _ended(self) -> None:
        await self.over.wait()

    # Orders

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        if self.keys is not None:
            peer = peer_identity(writer.get_extra_info("peercert"))
            # Only a controller may order; who else holds a certificate of the fleet may look.
            if peer is None or (STREAM_HEADER in request.headers and peer.role != "controller"):
                return problem_response(403, "this certificate may not ask that")
        if STREAM_HEADER in request.headers and request.headers[STREAM_HEADER] != self.keeper.stream:
            async with self.joining:
                pass
        match request.method, request.target:
            case (("HEAD" | "GET"), "/v1/view"):
                if STREAM_HEADER in request.headers:
                    if not self._own(request, writer):
                        return problem_response(409, "another stream is listened to")
                    if (refused := self.keeper.fenced(request)) is not None:
                        return refused
                    return self.keeper.shown()
                return json_response(200, self.keeper.view.to_document(), etag=self.keeper.view.etag)
            case (("PUT" | "PATCH"), target) if target == VIEW:
                self._own(request, writer)
                # One order at a time: the base of the next is what this one leaves.
                async with self.turn:
                    return await self._apply(request)
            case "GET", "/v1/health":
                return json_response(200, {"name": self.settings.name, "joined": not self.lost.is_set()})
            case "GET", "/v1/state":
                return json_response(200, self.state())
        return problem_response(404, "nothing here")

    def _own(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get(STREAM_HEADER) != self.keeper.stream or not self.keeper.stream:
            return False
        self.heard, self.writer = time.monotonic(), writer
        return True

    async def _apply(self, request: Request) -> Response:
        taken = self.keeper.take(request)
        if not isinstance(taken, Taken):
            log.warning("order refused", status=taken.status, method=request.method)
            return taken
        try:
            await asyncio.to_thread(self.tree.put, taken.view, self.keeper.fence.current)
        except OSError as error:
            log.error("not swapped", why=str(error))
            full = error.errno in (errno.ENOSPC, errno.EDQUOT)
            if not isinstance(error, NotSwapped):
                # The state may be ahead of the files now; what the proxy reads is no longer known for sure.
                self.tree.shown.clear()
            return problem_response(507 if full else 500, f"not swapped: {error}")
        self.swaps += 1
        response = self.keeper.applied(taken)
        log.info("applied", turn=taken.turn, tag=taken.view.etag, method=request.method)
        self._reload()
        return response

    def _reload(self) -> None:
        if (reload := self.settings.reload) is None:
            return
        try:
            os.kill(int(reload.pid_file.read_text()), getattr(signal, f"SIG{reload.signal}"))
        except (OSError, ValueError) as error:
            log.warning("the proxy was not told", why=str(error))

    def state(self) -> dict[str, Any]:
        age = round(time.monotonic() - self.heard, 3) if self.heard else None
        return {
            "name": self.settings.name,
            "controller": "{}:{}".format(*self.controller) if self.controller else None,
            "heard_s_ago": age,
            "turn": self.keeper.turn,
            "tag": self.keeper.view.etag,
            "swaps": self.swaps,
            "files": self._files_tag(),
            "lines": {
                route.group: len(envoy.lines_of(self.keeper.view, route.group)) for route in self.settings.routes
            },
            "withdrawn": sorted(self.keeper.view.children("withdrawn")),
        }

    def _files_tag(self) -> str | None:
        """The tag of the view that the swapped files were made of, by the files themselves; None if there are none."""
        try:
            return f'"{json.loads((self.settings.output_directory / "eds.json").read_bytes())["version_info"]}"'
        except (OSError, ValueError, KeyError, TypeError):
            return None

    # Being joined

    def _closed(self, writer: asyncio.StreamWriter) -> None:
        if writer is self.writer:
            self.lost.set()

    async def _stay_joined(self) -> None:
        dialer = ControllerSelector(len(self.settings.controllers))
        while True:
            dial = dialer.next_attempt()
            await asyncio.sleep(dial.backoff_factor * self.settings.reconnect_delay * self.chance.uniform(0.5, 1.5))
            address = self.settings.controllers[dial.position]
            try:
                # What a stream brings waits until it is known which one holds: it may be quicker than the disk.
                async with self.joining:
                    told = await self._join(address, dial.insist)
            except SentOn as better:
                dialer.on_redirected(better.name, better.to)
            except Exception as error:  # whatever a controller answers, the agent goes on and asks the next
                log.info("not joined", controller=address, why=str(error) or type(error).__name__)
                dialer.on_failed()
            else:
                dialer.on_accepted(told)
                self.controller = address
                log.info("joined", controller=told, token=self.keeper.fence.current)
                await self._until_lost()
                log.info("stream lost", controller=told)
                self.controller = None
                dialer.on_disconnected()
                await asyncio.sleep(self.settings.reconnect_delay * self.chance.uniform(0.2, 1.0))

    async def _join(self, address: Address, insist: bool) -> str:
        """The name of the controller that took it. Raises SentOn, StaleTokenError, OSError and what else may fail."""
        view = self.keeper.view
        body = {
            "zone": self.settings.zone,
            "usual": self.settings.baseline_rate,
            "standing": not any(path[0] == "bindings" for path in view.entries),
            "held": view.to_document(),
            "push": "{}:{}".format(*self.push),
            "token": self.keeper.fence.current,
            "insist": insist,
            "silence": self.settings.silence_timeout,
        }
        request = json_response(200, body)
        target = f"/v1/proxies/{self.settings.name}"
        # What an older stream still brings is refused from here on, so that nothing changes what was just told.
        self.keeper.listen_to("")
        async with self.turn:
            pass
        if view is not self.keeper.view:
            raise OSError("an order came in the meantime")
        response = await self._ask(address, Request("PUT", target, request.headers, request.body), JOIN_TIMEOUT)
        if response.status == 307:
            raise SentOn(str(response.json()["controller"]), str(response.json()["better"]))
        if response.status != 200:
            wait = response.headers.get("retry-after", "")
            raise OSError(f"{response.status}{f', again in {wait} s' if wait else ''}")
        told = response.json()
        stream, self.report_every = str(told["stream"]), float(told["report_every"])
        # On disk before it counts: an older controller must be refused also after a restart.
        self.keeper.fence.advance(told["token"])
        await asyncio.to_thread(self.tree.keep, view, told["token"])
        self.lost.clear()
        self.heard, self.writer = time.monotonic(), None
        self.keeper.listen_to(stream)
        return str(told["controller"])

    async def _until_lost(self) -> None:
        """Until the stream's connection ends, or nothing has come on it for too long."""
        while not self.lost.is_set():
            left = self.heard + self.settings.silence_timeout - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.lost.wait()
        self.lost.set()
        if self.writer is not None:
            self.writer.close()

    async def _ask(self, address: Address, request: Request, seconds: float) -> Response:
        """Asks a controller, and nobody who only holds its address. Raises Fault, OSError, TimeoutError."""
        async with asyncio.timeout(seconds):
            async with await Connection.open(*address, self.keys.client_context if self.keys else None) as connection:
                peer = peer_identity(connection.certificate)
                if self.keys is not None and (peer is None or peer.role != "controller"):
                    raise OSError(f"no controller's certificate, but one of {peer}")
                return await connection.fetch(request)

    # Sums

    async def _report(self, stats: Address) -> None:
        before: counters.Counts = {}
        since, number = time.monotonic(), 0
        unsent: list[Any] = []
        while True:
            await asyncio.sleep(self.report_every)
            try:
                response = await fetch_once(stats, Request("GET", "/stats"), STATS_TIMEOUT)
                document = response.json()
                after = counters.flatten(document)
                loads = {str(address): float(busy) for address, busy in document.get("loads", {}).items()}
            except (OSError, HttpError, TimeoutError, ValueError, TypeError, KeyError, AttributeError) as error:
                log.debug("no sums", why=str(error))
                continue
            now = time.monotonic()
            number += 1
            counted = counters.difference(before, after)
            unsent.append(counters.report(self.settings.name, self.boot, number, now - since, counted, loads))
            before, since, unsent = after, now, unsent[-UNSENT:]
            target = f"/v1/proxies/{self.settings.name}/sums"
            while unsent and self.controller is not None:
                body = json_response(200, unsent[0])
                try:
                    report = Request("POST", target, body.headers, body.body)
                    await self._ask(self.controller, report, STATS_TIMEOUT)
                except (OSError, HttpError, TimeoutError):
                    break
                unsent.pop(0)
