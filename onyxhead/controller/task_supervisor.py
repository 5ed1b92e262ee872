"""Runs the tasks of a process, and ends the process if an essential task fails."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from onyxhead.controller import log_events

log = structlog.get_logger()


class TaskSupervisor:
    """Starts tasks and handles their failures. `stopping` is set when the process has to end."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = asyncio.Event()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start an essential task, whose failure ends the process."""
        task = self._create(coroutine)
        task.add_done_callback(self._on_done)
        return task

    def start_background(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task whose failure is only logged."""
        task = self._create(coroutine)
        task.add_done_callback(self._on_background_done)
        return task

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait until they have ended."""
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
            # A task that fails, such as a decision round, may leave the state in memory inconsistent. The process
            # therefore ends, and the next incarnation starts from the state on disk.
            log.error(log_events.TASK_FAILED, error=repr(error), exc_info=error)
            self.stopping.set()

    def _on_background_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error(log_events.BACKGROUND_TASK_FAILED, error=repr(error), exc_info=error)
