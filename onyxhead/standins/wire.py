"""The network between controllers and agents: relays that record all they carry, and can cut, break and slow it."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import random
import re
from functools import partial
from typing import Any

from onyxhead.standins.run import StandIn


class Main(StandIn):
    async def run(self) -> None:
        self.open: dict[int, tuple[dict[str, Any], list[asyncio.StreamWriter]]] = {}
        self.count = 0
        for link in self.given["links"]:
            await asyncio.start_server(partial(self.carry, link), "127.0.0.1", link["port"])
        await asyncio.Event().wait()

    def told(self, faults: dict[str, Any]) -> None:
        super().told(faults)
        share = faults.get("break", 0.0)
        for link, writers in list(self.open.values()):
            if random.random() < share or ("cut" in faults and not self.cut(link) and link.pop("was cut", False)):
                for writer in writers:
                    writer.close()

    def cut(self, link: dict[str, Any]) -> bool:
        cut = {link["of"], link["to"]} & set(self.faults.get("down", ()))
        zones = {link["zone"], link["to zone"]}
        # Who pushes on a link is known from the first bytes on; until then nothing holds them back.
        return bool(cut) or (bool(link["of"]) and len(zones) > 1 and bool(zones & set(self.faults.get("cut", ()))))

    async def carry(self, given: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.count += 1
        number, there, link = self.count, None, dict(given)
        try:
            while self.cut(link):
                await asyncio.sleep(0.05)
            back, there = await asyncio.open_connection("127.0.0.1", link["target"])
            self.open[number] = (link, [writer, there])
            self.record("open", link=number, of=link["of"], to=link["to"])
            ways = (self.pump(number, link, reader, there, ">"), self.pump(number, link, back, writer, "<"))
            tasks = [asyncio.create_task(way) for way in ways]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        except OSError:
            pass
        finally:
            self.open.pop(number, None)
            self.record("closed", link=number)
            for each in (writer, there):
                if each is not None:
                    each.close()

    async def pump(
        self, number: int, link: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                if not link["of"] and (told := re.search(rb"onyxhead-stream: ([\w-]+)\.", chunk)):
                    link["of"] = told[1].decode()
                    link["zone"] = self.given["zones"][link["of"]]
                while self.cut(link):
                    link["was cut"] = True
                    await asyncio.sleep(0.02)
                if (pace := self.faults.get("bytes_per_s", 0)) > 0:
                    await asyncio.sleep(len(chunk) / pace)
                self.record("carried", link=number, way=way, data=base64.b64encode(chunk).decode())
                writer.write(chunk)
                await writer.drain()
