"""Reports exceptions that must cost no more than the work in which they were raised."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from halldoor.gateway import clock
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics

REPORT_S = 1.0
"""Shortest time between two log lines about failures of the same name, in seconds."""
CAUSE_LIMIT = 300
"""Greatest length of a logged cause, in characters."""
PACKAGE = "halldoor"


class FailureReporter:
    """Logs and counts unexpected exceptions.

    All are counted in the metrics.  Lines about one name are logged at a bounded rate, each with
    the number of failures so far, so that they don't displace other lines.
    """

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._counts: dict[str, int] = {}
        self._reported_at: dict[str, float] = {}

    def report(self, name: str, text: str, exc: BaseException, **fields: Any) -> None:
        """Report an exception.

        Parameters
        ----------
        name : str
            Task or receiver that failed: a label of the metrics, so of a bounded number of values.
        text : str
            What happened, as a short sentence.
        """
        count = self._counts[name] = self._counts.get(name, 0) + 1
        self._metrics.add_task_failure(name)
        now = clock.read_seconds()
        if count > 1 and now - self._reported_at[name] < REPORT_S:
            return
        self._reported_at[name] = now
        self._log.event(
            "process",
            text,
            task=name,
            cause=describe_cause(exc),
            where=find_origin(exc),
            failures=count,
            **fields,
        )

    def call(self, name: str, receiver: Callable[..., object], *args: Any) -> None:
        """Call a receiver, and report its failure instead of raising it into the caller."""
        try:
            receiver(*args)
        except Exception as exc:
            self.report(name, "A receiver failed.", exc)

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an exception that no task or caller handles; a handler for the event loop."""
        exc = context.get("exception") or RuntimeError(context.get("message", ""))
        message = str(context.get("message", ""))[:CAUSE_LIMIT]
        self.report("callback", "An exception was not handled.", exc, message=message)


def describe_cause(exc: BaseException) -> str:
    """Return an exception's type and text, bounded in length; never raise."""
    try:
        return repr(exc)[:CAUSE_LIMIT]
    except Exception:
        return type(exc).__name__


def find_origin(exc: BaseException) -> str:
    """Return the innermost function of this package that raised an exception, and its line."""
    origin = ""
    trace = exc.__traceback__
    while trace is not None:
        module = str(trace.tb_frame.f_globals.get("__name__", ""))
        if not origin or module.startswith(PACKAGE):
            origin = f"{module}.{trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}"
        trace = trace.tb_next
    return origin
