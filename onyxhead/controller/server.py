"""The running controller: sockets, clock and disk round a `ControllerCore`, which makes every step.

One task drives the steps, one serves the controller's own interface, one follows discovery, one for each joined
proxy carries its messages. None of them decides anything."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import signal
import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, unquote

import structlog

from onyxhead.controller import discovery, endpoint_list
from onyxhead.controller.clock import Clock
from onyxhead.controller.configuration import commit_plan
from onyxhead.controller.configuration.commit_plan import FleetFacts
from onyxhead.controller.configuration.tree import Tree
from onyxhead.controller.configuration.views import as_records, deployment, overlaid, tree_of
from onyxhead.controller.controller_status import controller_status
from onyxhead.controller.core import ControllerCore
from onyxhead.controller.effects import Effects
from onyxhead.controller.errors import DiscoveryUnavailableError, InvalidEndpointListError, InvalidStatisticsError
from onyxhead.controller.fleet_transport import FleetTransport
from onyxhead.controller.health_check import check_health
from onyxhead.controller.load_report_ingest import LoadReportIngest
from onyxhead.controller.load_stats import parse_load_stats
from onyxhead.controller.proxies import NEVER_ACKNOWLEDGED, JoinRequest
from onyxhead.controller.version_requests import CHANGING_VERBS, handle_version_request
from onyxhead.fleet.errors import StaleTokenError
from onyxhead.fleet.fencing import next_token
from onyxhead.fronts.files.push import Encoder, Refused, Stream
from onyxhead.http.messages import Request, Response, json_response, problem_response
from onyxhead.http.server import Server
from onyxhead.keys.credentials import PeerIdentity, TlsCredentials, peer_identity, watch_key_files
from onyxhead.operate.commands import Backend, Command, CommandError, select_backends
from onyxhead.operate.overrides import BackendOverrides, keeps_out
from onyxhead.policy.decisions import AdmissionLevel, Decision, TableAssignment, TableChange, Withdrawal
from onyxhead.policy.inputs import Deployment
from onyxhead.series.time_series_store import TimeSeriesStore, UnknownSeriesError
from onyxhead.settings.model import ControllerSettings
from onyxhead.store.errors import StoreUnavailableError
from onyxhead.store.store import Store
from onyxhead.store.value_names import OPERATOR_STATE, TABLE_LABELS
from onyxhead.tables.addresses import parse_address
from onyxhead.tables.errors import MalformedViewError, UnknownVersionError
from onyxhead.tables.errors import RollbackRejectedError as Impossible
from onyxhead.tables.history import History
from onyxhead.tables.updates import ProxyUpdate, coalesce
from onyxhead.tables.view import View

SHORTEST_STEP = 0.004
"""Seconds between two steps, so that what comes in together is decided together."""
BEAT = 1.0
TICK = 0.25
NUMBER_OF_ORDERS = 100
TENTHS = 10_000

if TYPE_CHECKING:
    from onyxhead.controller.configuration.service import ConfigurationService
    from onyxhead.fronts.netconf.server import Front

log = structlog.get_logger()


class ProxyStream(NamedTuple):
    """One proxy's stream: the task that carries it, and what it is to carry."""

    token: str
    task: asyncio.Task[None]
    messages: asyncio.Queue[tuple[ProxyUpdate, int]]
    generation: int = 0


class ControllerServer:
    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.clock = Clock(time.time, time.monotonic)
        self.store = Store(settings.state_directory)
        known = self.store.recovered
        self.keys = TlsCredentials(settings.tls) if settings.tls is not None else None
        self.endpoint_list: endpoint_list.EndpointList | None = None
        self.tree: Tree = {}
        self.configuration: ConfigurationService | None = None
        self.netconf: Front | None = None
        start = settings.deployment
        if settings.netconf is not None:
            # Read only where it is served: its libraries take longer to load than all the rest.
            from onyxhead.controller.configuration_service import open_desk

            self.configuration = open_desk(self)
            self.tree = self.configuration.datastores.running
            start = deployment(self.tree, settings)
        self.operator_orders = BackendOverrides(self.store.get(OPERATOR_STATE))
        history = History()
        history.restore(self.store.load_versions())
        history.labels = {k: v for k, v in (self.store.get(TABLE_LABELS) or {}).items() if v in history.versions}
        self.core = self._house(start, known.epoch, known.proxy_numbers, history)
        self.follower = endpoint_list.EndpointListFollower(settings.zones, self.clock.from_wall_time, self.clock.now)
        self.encoder = Encoder()
        self.streams: dict[int, ProxyStream] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.wake = asyncio.Event()
        self.stopping = asyncio.Event()
        self.http_server = Server(self.handle_request)
        self.subscribed = asyncio.Event()
        self.health_check_slots = asyncio.Semaphore(settings.health_checks.max_concurrent)
        self.list_received_at = 0.0
        self.fleet = FleetTransport(self, settings.fleet) if settings.fleet is not None else None
        self.load_reports = LoadReportIngest(self, settings.load_reports) if settings.load_reports is not None else None
        self._restore_endpoints()

    def _house(self, start: Deployment, epoch: int, numbers: dict[str, int], history: History) -> ControllerCore:
        settings, names = self.settings, tuple(group.name for group in start.groups)
        seed = settings.seed + epoch
        now = self.clock.now()
        timeout = settings.acknowledgement_timeout
        return ControllerCore(start, names, settings.zones, seed, epoch, timeout, now, numbers, history)

    # Starting and ending

    def _restore_endpoints(self) -> None:
        known, now = self.store.recovered, self.clock.now()
        for note in self.store.warnings:
            log.warning("store", note=note)
        if known.endpoint_list is None:
            log.info("starting with no list", epoch=known.epoch)
            return
        age = time.time() - known.list_received_at
        if not 0 <= age <= self.settings.endpoint_list_max_age:
            # A wall set back makes an old list look fresh or from the future; neither can be trusted.
            max_age = self.settings.endpoint_list_max_age
            log.warning("the remembered list is not used", age_s=round(age), good_for_s=max_age)
            return
        try:
            self.endpoint_list = endpoint_list.parse_endpoint_list(known.endpoint_list)
            news = self.follower.restore(self._as_ordered(self.endpoint_list))
        except InvalidEndpointListError as error:
            log.warning("the remembered list is not used", why=str(error))
            return
        self.core.on_endpoint_update(now, news)
        self.list_received_at = known.list_received_at
        grace = self.settings.deployment.safety.drain_grace / TENTHS
        recent = [b for b, at in known.withdrawn_at.items() if time.time() - at < max(60.0, 10 * grace)]
        self.core.restore_withdrawals(now, sorted(recent))
        log.info(
            "remembered",
            epoch=known.epoch,
            backends=len(news.endpoints),
            list_age_s=round(age, 1),
            gone=len(recent),
        )

    async def run(self) -> None:
        """Serves until told to end. Raises OSError if the address can't be had."""
        tls = self.keys.server_context if self.keys is not None else None
        host, port = await self.http_server.start(*self.settings.listen, tls)
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        log.info("serving", name=self.settings.name, host=host, port=port, epoch=self.core.epoch)
        if self.configuration is not None and self.settings.netconf is not None:
            from onyxhead.fronts.netconf.server import Front

            self.netconf = Front(self.settings.netconf, self.configuration)
            await self.netconf.start(tls)
            self.start(self._expire_commits(self.configuration))
        if self.keys is not None and self.settings.tls is not None:
            self.start(self._rotate_keys(self.keys, (host, port), self.settings.tls.interval))
        if self.fleet is not None:
            self.start(self.fleet.run())
        if self.load_reports is not None:
            self.start(self.load_reports.run())
        self.start(self._heartbeat())
        self.start(self._watch_discovery())
        self.start(self._run_rounds())
        try:
            await self.stopping.wait()
        finally:
            self.http_server.close()
            if self.netconf is not None:
                self.netconf.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.store.close()
            log.info("ended", name=self.settings.name)

    def start(self, work: Any, vital: bool = True) -> asyncio.Task[None]:  # noqa: ANN401
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done if vital else self._done_aside)
        return task

    def _done_aside(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a task aside failed", error=repr(error), exc_info=error)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            # A step that fails leaves the books in doubt; the next life starts from what is on disk.
            log.error("a task failed", error=repr(error), exc_info=error)
            self.stopping.set()

    # The steps

    async def _run_rounds(self) -> None:
        while True:
            self.wake.clear()
            now = self.clock.now()
            self._apply_effects(now, self.core.decide(now))
            await asyncio.sleep(SHORTEST_STEP)
            wait = (self.core.next_decision_at() - self.clock.now()) / TENTHS
            if wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.wake.wait()

    def _apply_effects(self, now: int, work: Effects) -> None:
        for sent in work.deliveries:
            if (line := self.streams.get(sent.proxy)) is not None:
                line.messages.put_nowait((sent.message, sent.queued_at))
        for step in work.rounds:
            told = [_told(decision) for decision in step.decisions]
            told = [each for each in told if each]
            log.info("orders", turn=step.round_number, causes=step.causes, orders=told)
            self.store.append_decisions(self.core.epoch, step.round_number, step.causes, told)
            if self.configuration is not None:
                self.configuration.notify("orders-sent", {"turn": step.round_number, "cause": step.causes})
            for decision in step.decisions:
                if isinstance(decision, Withdrawal):
                    self.store.save_withdrawal(decision.backend, decision.withdrawn)
        self._save_versions()
        for cut in work.disconnects:
            log.warning("stream given up", proxy=cut.name, why=cut.reason)
            if (line := self.streams.pop(cut.proxy, None)) is not None:
                line.task.cancel()
        if work.subscribe:
            self.subscribed.set()
        for backend, address in work.health_checks:
            self.start(self._check_health(backend, address), vital=False)
        for remark in work.log_messages:
            log.info("remark", text=remark)

    def _save_versions(self) -> None:
        for record in self.core.versions.drain_new_versions():
            self.store.append_version(record)

    async def _check_health(self, backend: str, address: str) -> None:
        async with self.health_check_slots:
            sight, load = await check_health(
                address, self.settings.health_checks.path, self.settings.health_checks.timeout
            )
        self.core.on_health_check(self.clock.now(), backend, sight, load)
        self.wake.set()

    # Discovery

    async def _watch_discovery(self) -> None:
        given = self.settings.discovery
        heard: AsyncIterator[bytes | DiscoveryUnavailableError]
        if given.file is not None:
            heard = discovery.watch_file(given.file, given.interval)
        else:
            assert given.server is not None
            heard = discovery.ask_server(given.server, given.interval, self.settings.name)
        last, asked = "", self.settings.deployment.subscription_required
        if asked:
            await self.subscribed.wait()
        async for body in heard:
            try:
                if isinstance(body, DiscoveryUnavailableError):
                    raise body
                read = endpoint_list.parse_endpoint_list(body)
                news = self.follower.update(self._as_ordered(read))
            except (DiscoveryUnavailableError, InvalidEndpointListError) as error:
                if last != str(error):
                    last = str(error)
                    log.warning("the list is not followed", why=last)
                if asked and isinstance(error, DiscoveryUnavailableError):
                    # The module asks again when it thinks best; until then discovery is left alone.
                    self.subscribed.clear()
                    self.core.on_subscription_rejected(self.clock.now())
                    self.wake.set()
                    await self.subscribed.wait()
                continue
            last, self.list_received_at, self.endpoint_list = "", time.time(), read
            if news is not None:
                self._listed(news)
                self.store.save_endpoint_list(read.version, read.encode())

    def _listed(self, news: endpoint_list.EndpointUpdate) -> None:
        for note in news.warnings:
            log.warning("list", note=note)
        self.core.on_endpoint_update(self.clock.now(), news)
        log.info("list", kind=news.event.value, entries=len(news.endpoints))
        self.wake.set()

    def list_again(self) -> None:
        """The last list, under what operators say now."""
        if (
            self.endpoint_list is not None
            and (news := self.follower.update(self._as_ordered(self.endpoint_list))) is not None
        ):
            self._listed(news)

    def _as_ordered(self, read: endpoint_list.EndpointList) -> endpoint_list.EndpointList:
        """A list under what the configuration and operators say of its backends."""
        said = overlaid(read, self.tree)
        listed, places = self.core.endpoints, self.follower.last.entries if self.follower.last else ()
        serving = {e.id: e.started for e in places if e.id in listed and listed[e.id].ready}
        entries = tuple(
            each._replace(state="draining") if keeps_out(self.operator_orders, each.id, each.started, serving) else each
            for each in said.entries
        )
        return said._replace(entries=entries)

    def facts(self) -> FleetFacts:
        """What is known now of the fleet, as discovery lists it: operators' own drains are the caller's to count."""
        now, cold = self.clock.now(), self.core.deployment.safety.warmup_time
        backends = tuple(
            commit_plan.BackendFacts(
                entry.id,
                entry.zone,
                entry.state == "ready",
                not entry.started or now - self.clock.from_wall_time(entry.started) >= cold,
            )
            for entry in (self.endpoint_list.entries if self.endpoint_list else ())
        )
        channel = self.core.delivery_queue
        return FleetFacts(backends, len(self.core.joined), channel.queued_lines, channel.limits.message_overhead)

    def _operate(self, request: Request) -> Response:
        try:
            command = Command.parse(request.json())
        except ValueError as error:
            return problem_response(400, str(error))
        if self.endpoint_list is None:
            return problem_response(503, "no list has been heard yet")
        trial = self.operator_orders.copy()
        backends = [Backend(each.id, each.zone, each.kind) for each in self.endpoint_list.entries]
        try:
            told = trial.execute(command, self.tree or tree_of(self.settings), backends, self.facts())
            if not command.dry_run and not told.get("again"):
                # On disk before it acts and before it is answered: the next life then knows the command, or never will.
                self.store.put(OPERATOR_STATE, trial.to_record())
        except CommandError as error:
            return problem_response(409, str(error))
        except StoreUnavailableError as error:
            return problem_response(503, f"not written: {error}")
        if not command.dry_run and not told.get("again"):
            self.operator_orders = trial
            said = {name: told[name] for name in ("asked", "status", "why")}
            log.info("operator", id=command.command_id, by=command.operator, **said)
            action = f"{command.verb} {' '.join(command.selectors)}"
            self.store.append_audit_entry(command.operator, 0, action, told["status"])
            self.list_again()
        return json_response(200, told)

    def progress(self, names: list[str]) -> dict[str, Any]:
        """How far drains have come: which of the backends proxies may still use, as far as their answers prove."""
        house = self.core
        behind = sorted(
            known.name
            for number, known in house.joined.items()
            if (view := house.proxy_tables.views.get(number)) is not None
            and house.acknowledged.get(number, NEVER_ACKNOWLEDGED).etag != view.etag
        )
        backends = {}
        for name in select_backends(names, [Backend(b, p.zone, "") for b, p in house.proxy_tables.addresses.items()]):
            entry = house.endpoints.get(name)
            out = name in house.proxy_tables.withdrawn or not any(
                name in lines for lines in house.proxy_tables.tables.values()
            )
            backends[name] = {"ready": bool(entry and entry.ready), "out": out}
        return {"backends": backends, "behind": behind}

    def rebuild(self, start: Deployment) -> None:
        """A new start of the module under other settings. Proxies keep their tables and join again, as after a crash:
        their full tables are then paced like any others."""
        epoch = self.store.begin_epoch()
        for line in self.streams.values():
            line.task.cancel()
        self.streams.clear()
        withdrawn = list(self.core.proxy_tables.withdrawn)
        self._save_versions()
        self.core = self._house(start, epoch, self.core.numbers, self.core.versions.history)
        self.follower = endpoint_list.EndpointListFollower(
            self.settings.zones, self.clock.from_wall_time, self.clock.now
        )
        if self.endpoint_list is not None:
            self.core.on_endpoint_update(self.clock.now(), self.follower.restore(self._as_ordered(self.endpoint_list)))
        self.core.restore_withdrawals(self.clock.now(), withdrawn)
        log.info("rebuilt", epoch=epoch)
        self.wake.set()

    async def _heartbeat(self) -> None:
        while True:
            self.store.record_heartbeat(self.core.epoch)
            await asyncio.sleep(BEAT)

    async def _expire_commits(self, desk: ConfigurationService) -> None:
        while True:
            desk.expire_commit()
            await asyncio.sleep(TICK)

    async def _rotate_keys(self, keys: TlsCredentials, address: tuple[str, int], every: float) -> None:
        """Follows the key files. New handshakes take the new keys at once; streams opened under older ones are ended
        one by one, each when the channel has carried what the last one's join cost."""
        async for _ in watch_key_files(keys, every):
            await self.http_server.start(*address, keys.server_context)
            if self.netconf is not None:
                await self.netconf.renew(keys.server_context)
            log.info("key files reloaded", generation=keys.generation, streams=len(self.streams))
            for number, line in list(self.streams.items()):
                if self.streams.get(number) is line and line.generation < keys.generation:
                    line.task.cancel()
                    self._on_stream_closed(number, line.token, "its keys were replaced")
                    await asyncio.sleep(self.join_time())
                    while self.core.delivery_queue.queued_lines > self.core.delivery_queue.limits.max_queued_lines / 4:
                        await asyncio.sleep(0.01)

    def end_stream(self, proxy: str, why: str) -> None:
        """Ends one proxy's stream; it keeps its tables and joins again, here or elsewhere."""
        number = self.core.numbers.get(proxy, -1)
        if (line := self.streams.get(number)) is not None:
            line.task.cancel()
            self._on_stream_closed(number, line.token, why)

    def join_time(self) -> float:
        """Seconds that the channel takes for one proxy's full tables."""
        limits, tables = self.core.delivery_queue.limits, self.core.proxy_tables.tables.values()
        return (limits.message_overhead + 2 + sum(len(lines) + 1 for lines in tables)) / limits.lines_per_second

    # Proxies

    async def _proxy(self, who: JoinRequest, address: tuple[str, int], token: str, fence: int, beat: float) -> None:
        """One stream from its opening to its end."""
        patience = self.settings.acknowledgement_timeout / TENTHS
        stream = Stream(address, token, self.encoder, patience, fence)
        me = asyncio.current_task()
        assert me is not None
        number = -1
        try:
            generation = self.keys.generation if self.keys is not None else 0
            tag = await stream.open(self.keys.client_context if self.keys is not None else None)
            if self.keys is not None and stream.peer != PeerIdentity("agent", who.name):
                raise Refused(f"its certificate is of {stream.peer}")
            if tag != who.view.etag:
                raise Refused("it holds another view than it said")
            if (old := self.streams.get(self.core.proxy_number(who.name))) is not None and old.token != token:
                old.task.cancel()
            number = self.core.on_proxy_joined(self.clock.now(), who)
            orders: asyncio.Queue[tuple[ProxyUpdate, int]] = asyncio.Queue()
            self.streams[number] = ProxyStream(token, me, orders, generation)
            self.store.save_proxy(who.name, number, who.zone, tag, 0)
            log.info("joined", proxy=who.name, number=number, zone=who.zone, standing=who.has_standing_table)
            self.wake.set()
            while True:
                await self._deliver_next(stream, number, orders, beat)
        except OSError as error:
            self._on_stream_closed(number, token, str(error) or type(error).__name__)
        except Refused as error:
            log.warning("refused by its agent", proxy=who.name, why=str(error))
            if number >= 0 and self._owns(number, token):
                self.core.on_stream_fault(self.clock.now(), number, str(error))
                self.streams.pop(number, None)
            else:
                self.core.join_backoff.on_stream_fault(self.clock.now(), who.name)
            self.wake.set()
        except Exception as error:
            # Whatever one agent manages to do must end its own stream, and nobody else's.
            log.error("a stream failed", proxy=who.name, error=repr(error), exc_info=error)
            self.core.join_backoff.on_stream_fault(self.clock.now(), who.name)
            self._on_stream_closed(number, token, repr(error))
        finally:
            stream.close()

    async def _deliver_next(
        self, stream: Stream, number: int, orders: asyncio.Queue[tuple[ProxyUpdate, int]], beat: float
    ) -> None:
        try:
            async with asyncio.timeout(beat):
                message, ordered = await orders.get()
        except TimeoutError:
            held = stream.held
            if await stream.look() != held:
                raise Refused("its view has changed by itself") from None
            return
        run, ordered_last = [message], ordered
        while not orders.empty():
            more, ordered_last = orders.get_nowait()
            run.append(more)
        message = coalesce(run)
        # A process that stood still past its lease may have lost the proxy; it looks before it acts.
        if (
            self.clock.now() - ordered > self.settings.acknowledgement_timeout
            and await stream.look() != message.base_etag
        ):
            raise Refused("its view has changed by itself")
        await stream.send(message, ordered_last)
        for _ in run:
            self.core.delivery_queue.on_written(number)
        tag = await stream.answer()
        now = self.clock.now()
        self.core.on_acknowledgement(now, number, message, tag, ordered)
        known = self.core.joined.get(number)
        if message.full and known is not None:
            self.store.save_proxy(known.name, number, self.settings.zones[known.zone], tag, message.round_number)
        self.wake.set()

    def _owns(self, number: int, token: str) -> bool:
        line = self.streams.get(number)
        return line is not None and line.token == token

    def _on_stream_closed(self, number: int, token: str, why: str) -> None:
        if number >= 0 and self._owns(number, token):
            self.streams.pop(number, None)
            self.core.on_proxy_left(self.clock.now(), number, why)
            log.info("left", number=number, why=why)
            self.wake.set()

    # The controller's own interface

    async def handle_request(self, request: Request, writer: asyncio.StreamWriter) -> Response:
        parts = request.target.split("?")[0].strip("/").split("/")
        if self.keys is not None and not may_ask(request, parts, peer_identity(writer.get_extra_info("peercert"))):
            return problem_response(403, "this certificate may not ask that")
        match request.method, parts:
            case "GET", ["v1", "health"]:
                return json_response(200, {"name": self.settings.name, "epoch": self.core.epoch})
            case "GET", ["v1", "state"]:
                return json_response(200, self.state())
            case "GET", ["v1", "config"]:
                tree = self.tree or tree_of(self.settings)
                return json_response(200, {"records": as_records(tree, self.settings.prefixes)})
            case "GET", ["v1", "orders"]:
                records = await asyncio.to_thread(self.store.recent_decisions, NUMBER_OF_ORDERS)
                return json_response(200, [record.to_json() for record in records])
            case "POST", ["v1", "operate"]:
                return self._operate(request)
            case "GET", ["v1", "operate", *names]:
                return json_response(200, self.progress([unquote(name) for name in names] or ["*"]))
            case ("POST", ["v1", "load", sender]) if self.load_reports is not None:
                return self.load_reports.accept(sender, request.body)
            case ("GET", ["v1", "load", "busy"]) if self.load_reports is not None:
                return json_response(200, self.load_reports.utilization())
            case ("GET", ["v1", "load"]) if self.load_reports is not None:
                return json_response(200, self.load_reports.state())
            case (
                "GET",
                ["v1", "series", *name],
            ) if self.load_reports is not None and self.load_reports.series is not None:
                return await self._course(self.load_reports.series, unquote("/".join(name)), request.target)
            case (("GET" | "POST"), ["v1", "tables", what]):
                return self._tables(what, request)
            case ("POST", ["v1", "fleet"]) if self.fleet is not None:
                return self.fleet.handle_packet(request)
            case ("GET", ["v1", "fleet"]) if self.fleet is not None:
                return self.fleet.command("status", {})
            case (
                "POST",
                ["v1", "fleet", ("handover" | "move" | "who" | "members") as what],
            ) if self.fleet is not None:
                return self._command(self.fleet, what, request)
            case "PUT", ["v1", "proxies", name]:
                return self._join(name, request)
            case "POST", ["v1", "proxies", name, "sums"]:
                return self._sums(name, request)
        return problem_response(404, "nothing here")

    async def _course(self, courses: TimeSeriesStore, name: str, target: str) -> Response:
        if not name:
            return json_response(200, await asyncio.to_thread(courses.names))
        asked = parse_qs(target.partition("?")[2])
        try:
            until = float(asked.get("until", [str(time.time())])[0])
            since = float(asked.get("since", [str(until - 3600)])[0])
            samples = await asyncio.to_thread(courses.read, name, since, until)
            return json_response(200, samples.to_json())
        except UnknownSeriesError as error:
            return problem_response(404, str(error.args[0]))
        except ValueError as error:
            return problem_response(400, str(error))

    def state(self) -> dict[str, Any]:
        kept = {"failing": self.store.write_error, "dropped": self.store.dropped_writes}
        age = round(time.time() - self.list_received_at, 1) if self.list_received_at else None
        version = self.follower.last.version if self.follower.last else None
        own = {"name": self.settings.name, "list": {"version": version, "age_s": age}, "store": kept}
        orders = {"drained": sorted(self.operator_orders.drained), "cordoned": sorted(self.operator_orders.cordoned)}
        return own | {"operators": orders} | controller_status(self.core, self.clock.now())

    def _join(self, name: str, request: Request) -> Response:
        try:
            given = request.json()
            who = JoinRequest(
                name, given["zone"], float(given["usual"]), bool(given["standing"]), View.from_document(given["held"])
            )
            address, held = parse_address(given["push"]), given.get("token", 0)
            # The agent gives a stream up after this long with nothing heard; three beats fit into it.
            beat = max(0.05, min(BEAT, float(given.get("silence", 3 * BEAT)) / 3))
        except (ValueError, KeyError, TypeError, MalformedViewError) as error:
            return problem_response(400, f"not a join: {error}")
        if who.zone not in self.settings.zones:
            return problem_response(422, f"zone {who.zone!r} is not served here")
        if not 0 <= who.baseline_rate < 1e9 or type(held) is not int or held < 0:
            return problem_response(422, "usual flows or token out of range")
        if self.fleet is not None and not given.get("insist"):
            better = self.fleet.better_owner(name, who.zone)
            if better is not None:
                return json_response(307, {"controller": self.settings.name, "better": better})
        if (wait := self.core.join_backoff.remaining(self.clock.now(), name)) > 0:
            return Response(503, {"retry-after": str(-(-wait // TENTHS))}, b"")
        try:
            self.core.proxy_number(name)
            fence = next_token(held)
        except (OverflowError, StaleTokenError) as error:
            return problem_response(507, str(error))
        token = f"{self.settings.name}.{secrets.token_hex(8)}"
        self.start(self._proxy(who, address, token, fence, beat), vital=False)
        every = self.settings.deployment.report_interval / TENTHS
        told = {"stream": token, "token": fence, "controller": self.settings.name, "report_every": every}
        return json_response(200, told)

    def _tables(self, what: str, request: Request) -> Response:
        now = self.clock.now()
        try:
            given = request.json() if request.body else {}
            if not isinstance(given, dict):
                raise ValueError("not an object")
            if what in CHANGING_VERBS:
                if request.method != "POST":
                    return problem_response(405, f"{what} is asked for by POST")
                log.info("tables", asked=what, **{name: given.get(name) for name in ("version", "label", "seconds")})
                self.wake.set()
            return json_response(200, handle_version_request(self.core.versions, now, what, given, self._keep_label))
        except UnknownVersionError as error:
            return problem_response(404, str(error.args[0]))
        except Impossible as error:
            return problem_response(409, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(400, f"not understood: {error}")

    def _keep_label(self, labels: dict[str, int]) -> None:
        self.store.put(TABLE_LABELS, labels)

    def _command(self, alliance: FleetTransport, what: str, request: Request) -> Response:
        try:
            given = request.json()
            return alliance.command(what, given if isinstance(given, dict) else {})
        except ValueError as error:
            return problem_response(400, str(error))

    def _sums(self, name: str, request: Request) -> Response:
        try:
            given = request.json()
            boot, number = given["node"]["metadata"]["boot"], given["node"]["metadata"]["number"]
            if type(boot) is not str or type(number) is not int:
                raise InvalidStatisticsError("boot or number is missing")
            report = parse_load_stats(given)
        except (ValueError, KeyError, TypeError) as error:
            return problem_response(400, f"not a report: {error}")
        fresh = self.core.on_request_statistics(self.clock.now(), name, boot, number, report)
        return json_response(200, {"taken": fresh})


def may_ask(request: Request, parts: list[str], peer: PeerIdentity | None) -> bool:
    """An agent speaks for itself only; operators and controllers may look."""
    if parts[:2] in (["v1", "load"], ["v1", "proxies"]) and request.method != "GET":
        return peer == PeerIdentity("agent", parts[2] if len(parts) > 2 else "")
    return peer is not None and (request.method == "GET" or peer.role in ("operator", "controller"))


def _told(decision: Decision) -> list[Any] | None:
    """A decision for logs and the journal; what only concerns the host is left out."""
    match decision:
        case Withdrawal(backend, shut):
            return ["withdraw" if shut else "readmit", backend]
        case TableChange(table, lines):
            return ["lines", table, {backend: round(weight, 6) for backend, weight in lines}]
        case AdmissionLevel(table, groups, level, tries):
            return ["level", table, list(groups), round(level, 4), tries]
        case TableAssignment(proxy, table, groups):
            return ["assign", proxy, table, list(groups)]
    return None
