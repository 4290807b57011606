"""Supervision of the tasks that must run as long as their process does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.failures import FailureReporter, describe_cause
from halldoor.gateway.metrics import GatewayMetrics

RESTART_S = 0.05
"""Pause before a task that failed for the first time is restarted, in seconds; each further
failure doubles it."""
RESTART_LIMIT_S = 2.0
"""Longest pause before a restart, in seconds: less than the lifetime of an entry's lease."""
STABLE_S = 10.0
"""Time that a task has to run until its next failure counts as the first, in seconds."""
GIVE_UP_S = 15.0
"""Duration of consecutive failures after which a task may be given up, in seconds."""


class TaskEndedError(Exception):
    """A task that must run as long as its process returned."""


class Part(NamedTuple):
    """A part of a process that runs as a task.

    Attributes
    ----------
    name : str
        Name in the log and the metrics.
    run : callable
        Returns the coroutine of the task, which runs until cancelled; called for each start.
    reset : callable, optional
        Called before each restart: drops state that the failure may have left inconsistent.
    is_hopeless : callable, optional
        Called after `GIVE_UP_S` of consecutive failures; returns whether the process must be
        replaced.  By default the task is restarted as long as the process runs.
    limit_s : float
        Longest pause before a restart, in seconds.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, None]]
    reset: Callable[[], None] | None = None
    is_hopeless: Callable[[], bool] | None = None
    limit_s: float = RESTART_LIMIT_S


class TaskSet:
    """Tasks of a process, which are restarted when they fail.

    Attributes
    ----------
    on_hopeless : callable, optional
        Called when the failures of a task can't be repaired by restarting it.
    hopeless : str
        Name of the first task that was given up; empty if there is none.
    """

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._reporter = FailureReporter(log, metrics)
        self._tasks: list[asyncio.Task[None]] = []
        self.on_hopeless: Callable[[], object] | None = None
        self.hopeless = ""

    def start(self, part: Part) -> asyncio.Task[None]:
        """Start a part, which runs until the process stops."""
        task = asyncio.get_running_loop().create_task(self._supervise(part), name=part.name)
        self._tasks.append(task)
        return task

    async def _supervise(self, part: Part) -> None:
        """Run a part until cancelled; restart it with backoff whenever it ends."""
        loop = asyncio.get_running_loop()
        failures, first_at = 0, 0.0
        while True:
            began_at = loop.time()
            exc = await _run_once(part)
            now = loop.time()
            if not failures or now - began_at >= STABLE_S:
                failures, first_at = 0, now
            pause_s = min(part.limit_s, RESTART_S * 2.0 ** min(failures, 10))
            failures += 1
            self._reporter.report(
                part.name, "A task failed.", exc, restart_in_s=pause_s, consecutive=failures
            )
            if now - first_at >= GIVE_UP_S and not self.hopeless:
                self._check_hope(part, exc, now - first_at)
            await asyncio.sleep(pause_s)
            self._reset(part)

    def _check_hope(self, part: Part, exc: BaseException, failing_s: float) -> None:
        """Request the end of the process if restarts can't repair a part."""
        if part.is_hopeless is None or not part.is_hopeless():
            return
        self.hopeless = part.name
        self._log.event(
            "process",
            "A task can't be repaired; stops.",
            task=part.name,
            cause=describe_cause(exc),
            failing_s=round(failing_s, 1),
        )
        if self.on_hopeless is not None:
            self.on_hopeless()

    def _reset(self, part: Part) -> None:
        """Drop the state of a part before it is restarted."""
        if part.reset is None:
            return
        try:
            part.reset()
        except Exception as exc:
            self._reporter.report(part.name, "A task's state could not be reset.", exc)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they finish."""
        for task in self._tasks:
            await stop_task(task)


async def _run_once(part: Part) -> BaseException:
    """Run a part until it fails; return the failure.

    Raises
    ------
    asyncio.CancelledError
        If the supervising task was cancelled, whatever the part made of it.
    """
    failure: BaseException
    try:
        await part.run()
        failure = TaskEndedError("It returned.")
    except (Exception, asyncio.CancelledError) as exc:
        failure = exc
    if is_cancelling():
        raise asyncio.CancelledError from failure
    return failure


def is_cancelling() -> bool:
    """Check whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def stop_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it finishes; a failure of it is ignored."""
    task.cancel()
    with contextlib.suppress(Exception, asyncio.CancelledError):
        await task
