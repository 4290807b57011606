"""Tasks that must run as long as their process does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

from halldoor.gateway.eventlog import EventLog


class TaskSet:
    """Tasks of a process; if one fails the event loop stops, as the state may be inconsistent."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that runs until the process stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._handle_finished)
        self._tasks.append(task)
        return task

    def _handle_finished(self, task: asyncio.Task[None]) -> None:
        """Log a task that finished without being cancelled, and stop the event loop."""
        if task.cancelled():
            return
        self._log.event("process", "A task failed.", cause=repr(task.exception()))
        asyncio.get_running_loop().stop()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they finish."""
        for task in self._tasks:
            await stop_task(task)


async def stop_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it finishes."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
