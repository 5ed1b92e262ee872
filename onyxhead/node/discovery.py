"""Follows service discovery: requests the whole endpoint list once, then long-polls for changes to it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request, Response
from onyxhead.node.endpoint_list import EndpointUpdate, InvalidEndpointListError, SettingsIndex, parse_endpoint_list

ENDPOINTS_PATH = "/v1/servers"
WATCH_WAIT_MS = 4000
"""The time for which discovery may hold a watch request open without a change.

A shorter wait detects a dead connection sooner, but costs more requests.
"""
RESPONSE_MARGIN_S = 1.0
"""Timeout for connecting and for a request without a wait; the timeout of a watch request is longer by its wait."""
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 1.5
BACKOFF_JITTER = (0.5, 1.0)
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_CALLS = 3
"""Limit of concurrent calls to the current and earlier addresses, so that they fit into the reserved descriptors."""
OK = 200


class DiscoveryWatch:
    """Follows the endpoint list at one address of service discovery at a time.

    `on_update` receives each snapshot and each change, `on_failure` the text of each error. `move` switches to another
    address.

    A move doesn't cancel the call that is open at the previous address. Discovery regards the changes in a response as
    delivered once it has written them, so a partly received response has to be read to its end. The call at the
    previous address isn't repeated once the new address has answered. Only `stop`, or more than `MAX_CALLS` concurrent
    calls, cancels a call.
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
        self.revision: int | None = None  # of the last update that was delivered
        self.current_address_answered = False  # since the last move
        self.current: asyncio.Task[None] | None = None
        self.tasks: dict[asyncio.Task[None], None] = {}  # the oldest first; all but the current one end by themselves

    def start(self) -> None:
        """Start to follow the current address."""
        self.current = asyncio.get_running_loop().create_task(self._run(self.address))
        self.tasks[self.current] = None
        self.current.add_done_callback(self._on_task_done)
        for task in list(self.tasks)[:-MAX_CALLS]:
            task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Follow discovery at another address from now on, starting after the last delivered revision."""
        self.address, self.current_address_answered = address, False
        self.start()

    async def stop(self) -> None:
        """Cancel all calls."""
        tasks, self.current = list(self.tasks), None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        del self.tasks[task]
        if task is self.current and not task.cancelled():
            # Without a restart, no update would ever arrive again. The restart is scheduled before the failure is
            # reported, because `on_failure` may raise.
            asyncio.get_running_loop().call_later(MAX_BACKOFF_S, self._restart, task)
            self.on_failure(f"the watch ended: {task.exception()!r}")

    def _restart(self, task: asyncio.Task[None]) -> None:
        if self.current is task:
            self.start()

    def _is_current(self) -> bool:
        return asyncio.current_task() is self.current

    def _is_superseded(self) -> bool:
        """Return whether this call is to a previous address while the current address has answered."""
        return not self._is_current() and self.current_address_answered

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
                # Either the response was invalid or the update could not be applied because of an internal error. Which
                # changes are missing is unknown, so the next request is for the whole list.
                self.revision = None
                self.on_failure(str(error) if isinstance(error, InvalidEndpointListError) else repr(error))
            else:
                backoff = INITIAL_BACKOFF_S
            if not self._is_current():
                return
            await asyncio.sleep(self.uniform(*BACKOFF_JITTER) * backoff)
            backoff = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff)

    async def _follow(self, address: tuple[str, int]) -> None:
        """Send requests on one connection until it can't be reused or the call is superseded."""
        async with asyncio.timeout(RESPONSE_MARGIN_S):
            connection = await Connection.open(*address)
        async with connection:
            while connection.reusable and not self._is_superseded():
                known_revision = self.revision
                update = self._read_response(await _request_list(connection, known_revision), known_revision)
                self.current_address_answered |= self._is_current()
                self._deliver(update, known_revision)

    def _read_response(self, response: Response, known_revision: int | None) -> EndpointUpdate:
        if response.status != OK:
            raise HttpError(f"discovery responded with status {response.status}")
        update = parse_endpoint_list(response.body, self.index)
        if known_revision is not None and update.revision < known_revision:
            raise InvalidEndpointListError(f"revision {update.revision} is older than {known_revision}")
        if known_revision is None and not update.is_snapshot:
            raise InvalidEndpointListError("incomplete list in response to a request for the whole list")
        return update

    def _deliver(self, update: EndpointUpdate, known_revision: int | None) -> None:
        if self.revision is not None and self.revision != known_revision and update.revision <= self.revision:
            return  # a concurrent call has already delivered this revision or a newer one
        if update.is_snapshot or update.endpoints:
            self.on_update(update)
        self.revision = update.revision


async def _request_list(connection: Connection, known_revision: int | None) -> Response:
    """Request the whole list, or the changes after the known revision if there is one."""
    target, wait_s = ENDPOINTS_PATH, 0.0
    if known_revision is not None:
        target, wait_s = f"{ENDPOINTS_PATH}?index={known_revision}&wait={WATCH_WAIT_MS}", WATCH_WAIT_MS / 1000
    async with asyncio.timeout(RESPONSE_MARGIN_S + wait_s):
        return await connection.fetch(Request("GET", target), MAX_LIST_BYTES)
