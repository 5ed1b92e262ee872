"""Follows discovery: the whole list once, then a watch that is renewed as soon as it is answered."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from onyxhead.http.client import Connection
from onyxhead.http.messages import Fault, Request
from onyxhead.node.listing import Listing, Names, Unlisted, parse

LIST = "/v1/servers"
WAIT_MS = 4000
"""How long a watch may wait. Shorter finds a dead connection sooner; each answer costs one request."""
SLACK = 1.0
"""Seconds past the wait in which an answer must come, and for a connection or a plain answer at all."""
PAUSE = 0.25
PAUSE_MOST = 1.0
MOST_LIST = 4 * 1024 * 1024


class Watch:
    """`heard` gets every list that says something new; `failed` each fault. `move` follows another address at once."""

    def __init__(
        self,
        address: tuple[str, int],
        names: Names,
        heard: Callable[[Listing], None],
        failed: Callable[[str], None],
        seed: int,
    ) -> None:
        self.address, self.names, self.heard, self.failed = address, names, heard, failed
        self.vary = random.Random(seed).uniform
        self.revision: int | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: tuple[str, int]) -> None:
        """Asks there from now on, for what is newer than what is known; the open call is given up."""
        if self.task is not None:
            self.task.cancel()
        self.address = address
        self.start()

    async def _run(self) -> None:
        pause = PAUSE
        while True:
            try:
                await self._follow()
            except TimeoutError:
                self.failed("no answer in time")
            except (OSError, Fault, Unlisted) as error:
                self.failed(str(error))
                if isinstance(error, Unlisted):
                    # What was missed can't be told from such an answer; the whole list tells.
                    self.revision = None
            else:
                pause = PAUSE
            await asyncio.sleep(self.vary(0.5, 1.0) * pause)
            pause = min(PAUSE_MOST, 1.5 * pause)

    async def _follow(self) -> None:
        """One connection, until it fails."""
        async with asyncio.timeout(SLACK):
            connection = await Connection.open(*self.address)
        async with connection:
            while connection.usable:
                asked = self.revision
                wait = 0.0 if asked is None else WAIT_MS / 1000
                target = LIST if asked is None else f"{LIST}?index={asked}&wait={WAIT_MS}"
                async with asyncio.timeout(SLACK + wait):
                    response = await connection.ask(Request("GET", target), MOST_LIST)
                if response.status != 200:
                    raise Fault(f"discovery answers {response.status}")
                listing = parse(response.body, self.names)
                if asked is not None and listing.revision < asked:
                    raise Unlisted(f"revision {listing.revision} after {asked}")
                if asked is None and not listing.whole:
                    raise Unlisted("changes where the whole list was asked for")
                self.revision = listing.revision
                if listing.whole or listing.entries:
                    self.heard(listing)

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
