"""Runs the tasks of a process and ends the process if one fails that it can't do without."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from onyxhead.controller import log_events

log = structlog.get_logger()


class TaskSupervisor:
    """`stopping` is set when the process is to end."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = asyncio.Event()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task whose failure ends the process."""
        task = self._create(coroutine)
        task.add_done_callback(self._on_done)
        return task

    def start_background(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task whose failure is only logged."""
        task = self._create(coroutine)
        task.add_done_callback(self._on_background_done)
        return task

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _create(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            # A round that failed leaves the state in doubt; the next incarnation starts from what is on disk.
            log.error(log_events.TASK_FAILED, error=repr(error), exc_info=error)
            self.stopping.set()

    def _on_background_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error(log_events.BACKGROUND_TASK_FAILED, error=repr(error), exc_info=error)
