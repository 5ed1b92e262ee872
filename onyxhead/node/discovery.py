"""Follows service discovery: the whole list once, then a watch that is renewed as soon as it is answered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.node.endpoint_list import EndpointUpdate, InvalidEndpointListError, SettingsIndex, parse_endpoint_list

ENDPOINTS_PATH = "/v1/servers"
WATCH_WAIT_MS = 4000
"""How long a watch may wait. Shorter finds a dead connection sooner; each answer costs one request."""
RESPONSE_MARGIN_S = 1.0
"""Past the wait in which an answer must come, and for a connection or a plain answer at all."""
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 1.5
BACKOFF_JITTER = (0.5, 1.0)
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_CALLS = 3
"""Calls open at a time, at addresses left and new; descriptors are few."""
OK = 200


class DiscoveryWatch:
    """`on_update` gets every list that says something new, `on_failure` each error; `move` follows another address.

    Only `stop` ends an open call: discovery counts what an answer holds as delivered once it is written, so one that is
    half read is read to its end, also after a move. Calls at an address that was left are not renewed once the new one
    answers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        index: SettingsIndex,
        on_update: Callable[[EndpointUpdate], None],
        on_failure: Callable[[str], None],
        seed: int,
    ) -> None:
        self.address, self.index, self.on_update, self.on_failure = address, index, on_update, on_failure
        self.uniform = random.Random(seed).uniform
        self.revision: int | None = None  # of the last update that was taken in
        self.answered = False  # at the current address, since the move there
        self.current: asyncio.Task[None] | None = None
        self.tasks: dict[asyncio.Task[None], None] = {}  # by age; all but the current one end by themselves

    def start(self) -> None:
        """Begins to follow the current address."""
        self.current = asyncio.get_running_loop().create_task(self._run(self.address))
        self.tasks[self.current] = None
        self.current.add_done_callback(self._on_task_done)
        for task in list(self.tasks)[:-MAX_CALLS]:
            task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Follows another address from now on, for what is newer than the known revision."""
        self.address, self.answered = address, False
        self.start()

    async def stop(self) -> None:
        """Ends all calls."""
        tasks, self.current = list(self.tasks), None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        del self.tasks[task]
        if task is self.current and not task.cancelled():
            # Nobody else would notice: lists would stop for good. The restart is set first, as reporting may fail too.
            asyncio.get_running_loop().call_later(MAX_BACKOFF_S, self._restart, task)
            self.on_failure(f"the watch ended: {task.exception()!r}")

    def _restart(self, task: asyncio.Task[None]) -> None:
        if self.current is task:
            self.start()

    def _is_current(self) -> bool:
        return asyncio.current_task() is self.current

    def _is_superseded(self) -> bool:
        """Whether the new address answers, so that this call at the old one need not be renewed."""
        return not self._is_current() and self.answered

    async def _run(self, address: tuple[str, int]) -> None:
        backoff = INITIAL_BACKOFF_S
        while True:
            try:
                await self._follow(address)
            except TimeoutError:
                self.on_failure("no answer in time")
            except (OSError, HttpError) as error:
                self.on_failure(str(error))
            except Exception as error:
                # What was missed can't be told from such an answer, or was not taken in for an error of ours: the
                # whole list is asked for.
                self.revision = None
                self.on_failure(str(error) if isinstance(error, InvalidEndpointListError) else repr(error))
            else:
                backoff = INITIAL_BACKOFF_S
            if not self._is_current():
                return
            await asyncio.sleep(self.uniform(*BACKOFF_JITTER) * backoff)
            backoff = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff)

    async def _follow(self, address: tuple[str, int]) -> None:
        """Asks on one connection until it fails or is no longer needed."""
        async with asyncio.timeout(RESPONSE_MARGIN_S):
            connection = await Connection.open(*address)
        async with connection:
            while connection.reusable and not self._is_superseded():
                known_revision = self.revision
                update = self._read_response(await _request_list(connection, known_revision), known_revision)
                self.answered |= self._is_current()
                self._take_in(update, known_revision)

    def _read_response(self, response: Response, known_revision: int | None) -> EndpointUpdate:
        if response.status != OK:
            raise HttpError(f"discovery answers {response.status}")
        update = parse_endpoint_list(response.body, self.index)
        if known_revision is not None and update.revision < known_revision:
            raise InvalidEndpointListError(f"revision {update.revision} after {known_revision}")
        if known_revision is None and not update.is_snapshot:
            raise InvalidEndpointListError("changes where the whole list was asked for")
        return update

    def _take_in(self, update: EndpointUpdate, known_revision: int | None) -> None:
        if self.revision is not None and self.revision != known_revision and update.revision <= self.revision:
            return  # another call has delivered as much meanwhile
        if update.is_snapshot or update.endpoints:
            self.on_update(update)
        self.revision = update.revision


async def _request_list(connection: Connection, known_revision: int | None) -> Response:
    """The whole list, or a watch for what is newer than a known revision."""
    target, wait_s = ENDPOINTS_PATH, 0.0
    if known_revision is not None:
        target, wait_s = f"{ENDPOINTS_PATH}?index={known_revision}&wait={WATCH_WAIT_MS}", WATCH_WAIT_MS / 1000
    async with asyncio.timeout(RESPONSE_MARGIN_S + wait_s):
        return await connection.fetch(Request("GET", target), MAX_LIST_BYTES)
