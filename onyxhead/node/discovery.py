"""Follows discovery: the whole list once, then a watch that is renewed as soon as it is answered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from onyxhead.http.client import Connection
from onyxhead.http.messages import HttpError, Request
from onyxhead.node.listing import InvalidListing, Listing, Names, parse

LIST = "/v1/servers"
WAIT_MS = 4000
"""How long a watch may wait. Shorter finds a dead connection sooner; each answer costs one request."""
SLACK = 1.0
"""Seconds past the wait in which an answer must come, and for a connection or a plain answer at all."""
PAUSE = 0.25
PAUSE_MOST = 1.0
MOST_LIST = 4 * 1024 * 1024
MOST_CALLS = 3
"""Calls open at a time, at addresses left and new; descriptors are few."""


class Watch:
    """`on_update` gets every list that says something new, `on_failure` each fault. `move` follows another address.

    Only `stop` ends an open call: what an answer holds counts as told once it is written, so one that is half read is
    read to its end, also after a move. Calls at an address that was left are not renewed once the new one answers."""

    def __init__(
        self,
        address: tuple[str, int],
        names: Names,
        on_update: Callable[[Listing], None],
        on_failure: Callable[[str], None],
        seed: int,
    ) -> None:
        self.address, self.names, self.on_update, self.on_failure = address, names, on_update, on_failure
        self.vary = random.Random(seed).uniform
        self.revision: int | None = None
        self.answered = False  # at the current address, since the move there
        self.current: asyncio.Task[None] | None = None
        self.tasks: dict[asyncio.Task[None], None] = {}  # by age; all but the current one end by themselves

    def start(self) -> None:
        self.current = asyncio.get_running_loop().create_task(self._run(self.address))
        self.tasks[self.current] = None
        self.current.add_done_callback(self._over)
        for task in list(self.tasks)[:-MOST_CALLS]:
            task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Asks there from now on, for what is newer than what is known."""
        self.address, self.answered = address, False
        self.start()

    def _over(self, task: asyncio.Task[None]) -> None:
        del self.tasks[task]
        if task is self.current and not task.cancelled():
            # Nobody else would notice: lists would stop for good. First the new start, as telling may fail as well.
            asyncio.get_running_loop().call_later(PAUSE_MOST, self._start_again, task)
            self.on_failure(f"the watch ended: {task.exception()!r}")

    def _start_again(self, task: asyncio.Task[None]) -> None:
        if self.current is task:
            self.start()

    def _left(self) -> bool:
        """Whether another call has taken over from the one that asks."""
        return asyncio.current_task() is not self.current and self.answered

    async def _run(self, address: tuple[str, int]) -> None:
        pause = PAUSE
        while True:
            try:
                await self._follow(address)
            except TimeoutError:
                self.on_failure("no answer in time")
            except (OSError, HttpError) as error:
                self.on_failure(str(error))
            except Exception as error:
                # What was missed can't be told from such an answer, or is not booked for a fault of ours; the whole
                # list tells.
                self.revision = None
                self.on_failure(str(error) if isinstance(error, InvalidListing) else repr(error))
            else:
                pause = PAUSE
            if asyncio.current_task() is not self.current:
                return
            await asyncio.sleep(self.vary(0.5, 1.0) * pause)
            pause = min(PAUSE_MOST, 1.5 * pause)

    async def _follow(self, address: tuple[str, int]) -> None:
        """One connection, until it fails or is no longer needed."""
        async with asyncio.timeout(SLACK):
            connection = await Connection.open(*address)
        async with connection:
            while connection.reusable and not self._left():
                asked = self.revision
                wait = 0.0 if asked is None else WAIT_MS / 1000
                target = LIST if asked is None else f"{LIST}?index={asked}&wait={WAIT_MS}"
                async with asyncio.timeout(SLACK + wait):
                    response = await connection.fetch(Request("GET", target), MOST_LIST)
                if response.status != 200:
                    raise HttpError(f"discovery answers {response.status}")
                listing = parse(response.body, self.names)
                if asked is not None and listing.revision < asked:
                    raise InvalidListing(f"revision {listing.revision} after {asked}")
                if asked is None and not listing.whole:
                    raise InvalidListing("changes where the whole list was asked for")
                self.answered |= asyncio.current_task() is self.current
                if self.revision not in (None, asked) and listing.revision <= self.revision:
                    continue  # another call has told as much meanwhile
                if listing.whole or listing.entries:
                    self.on_update(listing)
                self.revision = listing.revision

    async def stop(self) -> None:
        tasks, self.current = list(self.tasks), None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
