"""Serves the list of backends; a fault line {"list": document} replaces it, {"refuse": true} makes it fail."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path
from typing import Any

from onyxhead.http.messages import Request, Response
from onyxhead.http.server import Server
from onyxhead.standins.run import StandIn


class Main(StandIn):
    async def run(self) -> None:
        self.news = asyncio.Condition()
        self.faults["list"] = self.given["list"]
        await Server(self.answer).start("127.0.0.1", self.given["port"])
        await asyncio.Event().wait()

    def told(self, faults: dict[str, Any]) -> None:
        super().told(faults)
        if (path := self.given.get("file")) is not None and "list" in faults:
            beside = Path(path).with_suffix(".tmp")
            beside.write_text(json.dumps(faults["list"]))
            beside.rename(path)
        asyncio.get_running_loop().create_task(self._stir())

    async def _stir(self) -> None:
        async with self.news:
            self.news.notify_all()

    async def answer(self, request: Request, _writer: asyncio.StreamWriter) -> Response:
        if self.faults.get("refuse"):
            return Response(503)
        body, tag = self.shown()
        if request.headers.get("if-none-match") == tag:
            try:
                async with asyncio.timeout(2.0), self.news:
                    await self.news.wait_for(lambda: self.shown()[1] != tag)
            except TimeoutError:
                return Response(304, {"etag": tag})
            body, tag = self.shown()
        self.record("listed", to=request.headers.get("from", ""), list=json.loads(body))
        return Response(200, {"etag": tag}, body)

    def shown(self) -> tuple[bytes, str]:
        body = json.dumps(self.faults["list"]).encode()
        return body, f'"{hashlib.sha256(body).hexdigest()[:16]}"'
