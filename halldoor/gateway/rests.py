"""Reads the back-offs that targets request in their answers by ``Retry-After``."""

from __future__ import annotations

import time

from halldoor.core.decoding import DecodingError
from halldoor.core.targets.rests import BACKOFF_MAX_S, BackoffTable, parse_backoff
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.targets.target import Target
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics

REJECTION_STATUSES = (429, 503)
"""Statuses with which a target may request a back-off."""
SERVER_ERROR = 500
"""Lowest status that counts as a failure of the target."""


class BackoffReader:
    """Reader of the back-offs that targets request in their answers.

    Parameters
    ----------
    backoffs : BackoffTable
        Table of current back-offs, to update.
    """

    def __init__(self, backoffs: BackoffTable, *, log: EventLog, metrics: GatewayMetrics) -> None:
        self._backoffs = backoffs
        self._log = log
        self._metrics = metrics

    def apply_statement(self, target: Target, statement: TargetStatement, now: float) -> None:
        """Start a back-off if the answer requests one; record a successful answer otherwise."""
        if statement.status not in REJECTION_STATUSES:
            if statement.status < SERVER_ERROR:
                self._backoffs.add_success(target.start, now)
            return
        if not statement.retry_after:
            return
        try:
            backoff_s = parse_backoff(statement.retry_after, time.time())
        except DecodingError as exc:
            self._report_bad_backoff(target, exc.message)
            return
        if backoff_s > BACKOFF_MAX_S:
            self._report_bad_backoff(
                target, f"{backoff_s:.0f} s of rest, {BACKOFF_MAX_S:.0f} at most"
            )
        if backoff_s > 0 and self._backoffs.add(target.start, backoff_s, now):
            self._log.event(
                "targets", "A target requested a rest.", target=target.name, rest_s=backoff_s
            )

    def _report_bad_backoff(self, target: Target, cause: str) -> None:
        """Log and count a requested back-off that is unreadable or too long."""
        self._metrics.add_bad_statement("retry_after")
        self._log.event("targets", "Bad statement.", target=target.name, cause=cause)
