"""Whether a request is tried at another target: its own facts, and this entry's budget."""

from __future__ import annotations

from halldoor.core.retry import RetryFacts, RetryObstacle, find_obstacle
from halldoor.core.targets.budget import RetrySettings, RetryShare
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.attempt import RequestState

UNREACHED_MOST_S = 0.8
"""Time that connecting in vain may take before a request is refused, in seconds.

Targets that are gone refuse within a millisecond, and the next one may run; where three connections
hang, the way to the others is mostly broken too, and the caller needs time for another entry.
"""
UNREACHED_LIMIT = 16
"""Targets that may refuse a connection before a request is refused: its log line is bounded."""


class RetryGate:
    """Allows another attempt, or says what forbids it.

    Parameters
    ----------
    catalog : Catalog
        How many entries share the budget.
    settings : RetrySettings
        The budget of all entries together.
    """

    def __init__(self, catalog: Catalog, settings: RetrySettings) -> None:
        self._catalog = catalog
        self._settings = settings
        self._shares: dict[str, RetryShare] = {}

    def use(self, settings: RetrySettings) -> None:
        """Use another budget from now on; what was counted stays counted."""
        self._settings = settings
        for share in self._shares.values():
            share.ratio, share.slack = settings.ratio, settings.slack

    def add_request(self, service: str, now: float) -> None:
        """Count a caller's request, of which the budget is a share."""
        self._find_share(service).add_request(now)

    def find_obstacle(
        self, state: RequestState, now: float, *, can_resend: bool, expires_at: float
    ) -> RetryObstacle | None:
        """Find what forbids to try another target; where nothing does, take from the budget.

        Parameters
        ----------
        can_resend : bool
            The whole of the body is still here.
        expires_at : float
            When the time for an answer ends.
        """
        obstacle = find_obstacle(
            RetryFacts(
                is_repeatable=state.route.kind is RequestKind.REPEATABLE,
                may_have_run=state.may_have_run,
                can_resend=can_resend,
                attempts=state.sent_count,
                attempt_limit=state.route.max_attempts,
                left_s=expires_at - now,
            )
        )
        if obstacle is not None:
            return obstacle
        if _has_tried_enough(state):
            return RetryObstacle.NO_ATTEMPT_LEFT
        # An attempt that reached no target costs no target anything.
        if not state.attempts[-1].result.was_sent:
            return None
        entries = self._catalog.count_sharers(now)
        if self._find_share(state.service).take_retry(now, entries=entries):
            return None
        return RetryObstacle.BUDGET

    def _find_share(self, service: str) -> RetryShare:
        """Return this entry's share of a service's budget."""
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RetryShare(**self._settings._asdict())
        return share


def _has_tried_enough(state: RequestState) -> bool:
    """Check whether too many targets, or too slow ones, could not be reached."""
    unreached = [attempt for attempt in state.attempts if not attempt.result.was_sent]
    wasted_s = sum(attempt.took_ms for attempt in unreached) / 1000
    return wasted_s >= UNREACHED_MOST_S or len(unreached) >= UNREACHED_LIMIT
