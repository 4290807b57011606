"""Retry decisions: the request's own conditions and this entry's share of the retry budget."""

from __future__ import annotations

import math

from halldoor.core.retry import RetryFacts, RetryObstacle, find_retry_obstacle
from halldoor.core.targets.budget import RetrySettings, RetryShare
from halldoor.core.targets.catalog import Catalog
from halldoor.gateway.attempt import RequestState
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.feedback import GATEWAY_TIMEOUT
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import SERVER_ERROR, WholeAnswer

MAX_CONNECT_FAILURES_S = 0.8
"""Total time of failed connection attempts after which a request is refused, in seconds.

Crashed targets refuse within a millisecond, and the next one may run; if three connections hang,
the network to the others is mostly broken too, and the caller needs time to try another entry.
"""
MAX_CONNECT_FAILURES = 16
"""Failed connections after which a request is refused, so that its log line stays bounded."""
LOG_INTERVAL_S = 1.0
"""Least time between two log lines about a used-up budget of a service, in seconds."""


class RetryGate:
    """Gate that allows another attempt or names the obstacle.

    Parameters
    ----------
    catalog : Catalog
        Provides the number of entries that share the budget.
    settings : RetrySettings
        Retry budget of all entries together.
    """

    def __init__(
        self,
        catalog: Catalog,
        settings: RetrySettings,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._began_at = 0.0
        self._shares: dict[str, RetryShare] = {}
        self._logged_at: dict[str, float] = {}

    def start(self, now: float) -> None:
        """Record the start of this process, from which retries are saved up."""
        self._began_at = now

    def apply_settings(self, settings: RetrySettings) -> None:
        """Apply changed budget settings and keep the counts."""
        self._settings = settings
        for share in self._shares.values():
            share.ratio, share.slack = settings.ratio, settings.slack

    @property
    def settings(self) -> RetrySettings:
        """Retry budget of all entries together."""
        return self._settings

    def is_new(self, now: float) -> bool:
        """Check whether this process started within the last window."""
        return now - self._began_at < self._settings.window_s

    def add_request(self, service: str, now: float) -> None:
        """Count a caller's request; the retry budget is a fraction of this count."""
        self._get_share(service).add_request(now)

    def cancel_request(self, service: str) -> None:
        """Uncount a request that another entry counts."""
        self._get_share(service).cancel_request()

    def find_obstacle(
        self, state: RequestState, now: float, *, can_resend: bool, expires_at: float
    ) -> RetryObstacle | None:
        """Return what forbids another attempt; if nothing does, charge the budget, return None.

        Parameters
        ----------
        can_resend : bool
            Whether the whole body is still buffered.
        expires_at : float
            Deadline for the answer, on the loop's clock.
        """
        obstacle = find_retry_obstacle(
            RetryFacts(
                is_repeatable=state.route.kind.is_repeatable,
                may_have_run=state.may_have_run,
                can_resend=can_resend,
                attempts=state.sent_count,
                attempt_limit=state.route.max_attempts,
                left_s=expires_at - now,
            )
        )
        if obstacle is not None:
            return obstacle
        if _has_failed_to_connect_enough(state):
            return RetryObstacle.NO_ATTEMPT_LEFT
        # An attempt that reached no target causes no load, so its retry is free.
        if not state.attempts[-1].result.was_sent:
            return None
        is_reserved = self._reserve(state.service, now, outcome="retry")
        return None if is_reserved else RetryObstacle.BUDGET

    def reserve_hedge(self, state: RequestState, now: float) -> bool:
        """Charge the budget for a second attempt beside the first; False if it is used up."""
        return self._reserve(state.service, now, outcome="hedge")

    def _reserve(self, service: str, now: float, *, outcome: str) -> bool:
        """Charge the budget for one attempt and count the outcome; False if it is used up."""
        entries = self._catalog.count_sharers(now)
        share = self._get_share(service)
        is_reserved = share.reserve_retry(now, entries=entries)
        self._metrics.add_retry(service, outcome if is_reserved else "refused")
        if not is_reserved and now - self._logged_at.get(service, -math.inf) >= LOG_INTERVAL_S:
            self._logged_at[service] = now
            self._log.event(
                "retries",
                "Budget used up.",
                service=service,
                entries=entries,
                **share.describe(now),
            )
        return is_reserved

    def _get_share(self, service: str) -> RetryShare:
        """Return this entry's share of a service's retry budget, creating it if needed."""
        share = self._shares.get(service)
        if share is None:
            share = RetryShare(**self._settings._asdict(), began_at=self._began_at)
            self._shares[service] = share
        return share


def _has_failed_to_connect_enough(state: RequestState) -> bool:
    """Check whether failed connections reached their limit in number or in total time."""
    unreached = [attempt for attempt in state.attempts if not attempt.result.was_sent]
    wasted_s = sum(attempt.took_ms for attempt in unreached) / 1000
    return wasted_s >= MAX_CONNECT_FAILURES_S or len(unreached) >= MAX_CONNECT_FAILURES


def is_worth_retry(state: RequestState, outcome: WholeAnswer) -> bool:
    """Check whether another target may succeed after this target's error answer."""
    return (
        state.route.kind.is_repeatable
        and outcome.answer.status >= SERVER_ERROR
        and outcome.answer.status != GATEWAY_TIMEOUT
    )
