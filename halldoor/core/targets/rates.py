"""This entry's share of the requests that all entries together may send to a target.

A target's rate is bounded while it is cold and while it states a limit, and it gets nothing during
a back-off that it requested from this entry.  Each entry computes its share from the entries that
share the rate and from their order, which is the same on all of them, so no messages are needed.
"""

from __future__ import annotations

from collections.abc import Mapping

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.limits import LimitTable
from halldoor.core.targets.rests import BackoffTable
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.targets.target import Target

COLD_WINDOW_S = 1.1
"""Window of a cold target's rate, in seconds.  It is a little longer than the second for which the
rate is defined, since requests may arrive closer together than they were sent."""
LIMIT_WINDOW_S = 2.0
"""Window of a stated limit, in seconds.  In two seconds twice as many entries get a share, and the
target gets at most twice its limit at once."""


class EntryRanks:
    """This entry's rank in each target's order of entries, which is the same on every entry.

    Parameters
    ----------
    catalog : Catalog
        The entries that share the rates.
    own_name : str
        Name of this entry.
    """

    def __init__(self, catalog: Catalog, own_name: str) -> None:
        self._catalog = catalog
        self._own_name = own_name
        self._ranks: dict[str, int] = {}
        self._version = -1

    def get_rank(self, target: str) -> int:
        """Return this entry's rank in a target's order of entries, from 0."""
        if self._catalog.sharers.version != self._version:
            self._version = self._catalog.sharers.version
            self._ranks.clear()
        if target not in self._ranks:
            self._ranks[target] = self._find_rank(target)
        return self._ranks[target]

    def _find_rank(self, target: str) -> int:
        """Compute this entry's rank in a target's order of entries."""
        names = {*self._catalog.sharers.list_names(), self._own_name}
        return rank(target, names).index(self._own_name)


class TargetRates:
    """Decides whether this entry may send a target a request, and counts those that it sends.

    Parameters
    ----------
    catalog : Catalog
        The targets, and the rates of their services.
    ranks : EntryRanks
        Rank of this entry for each target.
    limits : LimitTable
        Limits that targets state.
    backoffs : BackoffTable
        Back-offs that targets request.
    in_flight : mapping of str to int
        Requests of this entry in flight, by target.
    """

    def __init__(
        self,
        catalog: Catalog,
        ranks: EntryRanks,
        limits: LimitTable,
        backoffs: BackoffTable,
        in_flight: Mapping[str, int],
    ) -> None:
        self._catalog = catalog
        self._ranks = ranks
        self._limits = limits
        self._backoffs = backoffs
        self._in_flight = in_flight
        self._cold_share = RateShare(window_s=COLD_WINDOW_S)
        self._limit_share = RateShare(window_s=LIMIT_WINDOW_S)

    def start(self, now: float) -> None:
        """Start counting at this entry's start.

        Nothing is sent to bounded targets in the first window, since this entry doesn't know what
        it sent before a restart.
        """
        self._cold_share = RateShare(window_s=COLD_WINDOW_S, began_at=now)
        self._limit_share = RateShare(window_s=LIMIT_WINDOW_S, began_at=now)

    def find_refusal_reason(self, target: Target, now: float, settings: ChoiceSettings) -> str:
        """Return why this entry may not send to a target now; empty if it may."""
        if self._backoffs and not self._can_send_after_backoff(target, now):
            return "rest"
        if target.is_cold(now) and not self._has_cold_capacity(target, now, settings):
            return "cold"
        if self._limits.has_limit(target.name) and not self._has_limit_capacity(target, now):
            return "limit"
        return ""

    def reserve_request(self, target: Target, now: float, settings: ChoiceSettings) -> bool:
        """Count a request to a target against this entry's shares; False if one is used up."""
        if self.find_refusal_reason(target, now, settings):
            return False
        if self._backoffs:
            self._backoffs.record_sent(target.start, now)
        # Counted for warm targets too: one may turn cold before this entry is notified of it.
        self._cold_share.add(target.name, now)
        if self._limits.get_limit(target.name, now) is not None:
            self._count_limited(target, now)
        return True

    def find_wait(self, target: Target, now: float) -> float:
        """Return the time until a limited target may get a request, in seconds; 0 if unknown."""
        return self._limit_share.find_wait(target.name, now)

    def _can_send_after_backoff(self, target: Target, now: float) -> bool:
        """Check whether no back-off of a target forbids a request from this entry."""
        in_flight = self._in_flight.get(target.name, 0)
        return self._backoffs.can_send(target.start, now, in_flight=in_flight)

    def _has_cold_capacity(self, target: Target, now: float, settings: ChoiceSettings) -> bool:
        """Check whether this entry's share of a cold target's rate allows another request."""
        routing = self._catalog.routing
        service = routing.services.get(target.record.service) if routing is not None else None
        if service is None:
            return False
        allowed = service.cold_rate_per_s * settings.cold_excess + settings.cold_slack
        limit_per_s = allowed * settings.cold_margin
        return limit_per_s > 0 and self._has_capacity(
            self._cold_share, target, now, max(1, int(limit_per_s))
        )

    def _has_limit_capacity(self, target: Target, now: float) -> bool:
        """Check whether this entry's share of a target's stated limit allows another request."""
        limit_per_s = self._limits.get_limit(target.name, now)
        if limit_per_s is None or self._limits.can_probe(target.name, now):
            return True
        return self._has_capacity(self._limit_share, target, now, int(limit_per_s * LIMIT_WINDOW_S))

    def _has_capacity(self, share: RateShare, target: Target, now: float, limit: int) -> bool:
        """Check whether this entry's share of a rate allows another request."""
        entries = self._catalog.count_sharers(now)
        place = self._ranks.get_rank(target.name)
        return share.has_capacity(target.name, now, limit=limit, entries=entries, rank=place)

    def _count_limited(self, target: Target, now: float) -> None:
        """Count a request to a target that states a limit."""
        self._limit_share.add(target.name, now)
        if self._limits.can_probe(target.name, now):
            entries = self._catalog.count_sharers(now)
            self._limits.record_probe(target.name, now, entries=entries)

    def forget(self, target: str) -> None:
        """Drop the counts of a target that was removed."""
        self._cold_share.forget(target)
        self._limit_share.forget(target)
