"""Waits at a planned stop until requests are answered and callers have their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set

from halldoor.gateway.caller import CallerConnection
from halldoor.gateway.delivery import sum_undelivered
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.failures import FailureReporter

IDLE_S = 0.3
"""Time without requests or connections after which a stopping process exits, in seconds."""
CHECK_S = 0.02
"""Period of checking whether a stopping process has finished, in seconds."""
REPORT_S = 0.3
"""Time before the end of the grace time at which unfinished requests are logged, in seconds."""


async def wait_until_finished(
    callers: Set[CallerConnection],
    *,
    deadline: float,
    count_running: Callable[[], int],
    count_undelivered: Callable[[], int],
    log: EventLog,
    reporter: FailureReporter,
) -> None:
    """Close idle connections, and wait until nothing was in progress for `IDLE_S`.

    Parameters
    ----------
    callers : set of CallerConnection
        Open connections of callers.
    deadline : float
        End of the grace time, on the loop's clock, at which the wait ends in any case.
    count_running : callable
        Returns the number of requests in progress.
    count_undelivered : callable
        Returns the number of bytes of answers at other ports that have not arrived yet.
    reporter : FailureReporter
        Reports connections that fail to close; the others are waited for.
    """
    loop = asyncio.get_running_loop()
    idle_since = loop.time()
    is_reported = False
    while (now := loop.time()) < deadline:
        for caller in list(callers):
            reporter.call("stop", caller.close_if_idle)
        if count_running() or callers or count_undelivered():
            idle_since = now
        elif now - idle_since >= IDLE_S:
            return
        if not is_reported and deadline - now < REPORT_S:
            is_reported = True
            log.event(
                "process",
                "The grace time ends.",
                running=count_running(),
                callers=len(callers),
                undelivered_bytes=sum_undelivered(callers),
            )
        await asyncio.sleep(min(CHECK_S, deadline - now))
