"""Shares of this entry in what all entries together may send to a target.

A target's rate is bounded while it is cold, and while it names a limit; it gets nothing in a rest
that it asked this entry for.  What an entry may send
follows from the entries that share the rate and an order of them that is alike on all, without
messages.
"""

from __future__ import annotations

from collections.abc import Mapping

from halldoor.core.placement import rank
from halldoor.core.targets.budget import RateShare
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.limits import LimitTable
from halldoor.core.targets.rests import RestTable
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.targets.target import Target

COLD_WINDOW_S = 1.1
"""Window of a cold target's rate, in seconds; a little over the one second that is judged, since
requests that were sent apart may arrive closer together."""
LIMIT_WINDOW_S = 2.0
"""Window of a named limit, in seconds: more entries have a share than requests a second, and the
target gets no more than twice its limit at once."""


class EntryRanks:
    """This entry's place in each target's order of entries; alike on every entry.

    Parameters
    ----------
    catalog : Catalog
        Who else is there.
    own_name : str
        Name of this entry.
    """

    def __init__(self, catalog: Catalog, own_name: str) -> None:
        self._catalog = catalog
        self._own_name = own_name
        self._ranks: dict[str, int] = {}
        self._version = -1

    def get_rank(self, target: str) -> int:
        """Return this entry's place in a target's order, from 0."""
        if self._catalog.sharers.version != self._version:
            self._version = self._catalog.sharers.version
            self._ranks.clear()
        if target not in self._ranks:
            self._ranks[target] = self._find_rank(target)
        return self._ranks[target]

    def _find_rank(self, target: str) -> int:
        """Compute this entry's place in a target's order."""
        names = {*self._catalog.sharers.list_names(), self._own_name}
        return rank(target, names).index(self._own_name)


class TargetRates:
    """This entry's share of the requests that a target may get.

    Parameters
    ----------
    catalog, ranks, limits, rests
        The targets with their services' rates, this entry's places, the limits that targets name,
        and the rests that they ask for.
    in_flight : mapping of str to int
        Requests of this entry by target.
    """

    def __init__(
        self,
        catalog: Catalog,
        ranks: EntryRanks,
        limits: LimitTable,
        rests: RestTable,
        in_flight: Mapping[str, int],
    ) -> None:
        self._catalog = catalog
        self._ranks = ranks
        self._limits = limits
        self._rests = rests
        self._in_flight = in_flight
        self._cold = RateShare(window_s=COLD_WINDOW_S)
        self._limited = RateShare(window_s=LIMIT_WINDOW_S)

    def begin(self, now: float) -> None:
        """Begin to send: what this entry sent in a life before is not known."""
        self._cold = RateShare(window_s=COLD_WINDOW_S, began_at=now)
        self._limited = RateShare(window_s=LIMIT_WINDOW_S, began_at=now)

    def find_reason_against(self, target: Target, now: float, settings: ChoiceSettings) -> str:
        """Return why this entry may not send to a target now; empty where it may."""
        if self._rests and not self._may_send_after_rest(target, now):
            return "rest"
        if target.is_cold(now) and not self._has_cold_room(target, now, settings):
            return "cold"
        if self._limits.names_limit(target.name) and not self._has_limit_room(target, now):
            return "limit"
        return ""

    def take(self, target: Target, now: float, settings: ChoiceSettings) -> bool:
        """Take one request from this entry's shares; False where one of them is used up."""
        if self.find_reason_against(target, now, settings):
            return False
        if self._rests:
            self._rests.note_sent(target.start, now)
        # Counted while it is warm too: it may have turned cold before this entry learns of it.
        self._cold.add(target.name, now)
        if self._limits.get_limit(target.name, now) is not None:
            self._take_limited(target, now)
        return True

    def find_wait(self, target: Target, now: float) -> float:
        """Return when a limited target has room for a request from here; 0 where not known."""
        return self._limited.find_wait(target.name, now)

    def _may_send_after_rest(self, target: Target, now: float) -> bool:
        """Whether no rest of a target forbids a request from here."""
        in_flight = self._in_flight.get(target.name, 0)
        return self._rests.may_send(target.start, now, in_flight=in_flight)

    def _has_cold_room(self, target: Target, now: float, settings: ChoiceSettings) -> bool:
        """Whether a cold target has room for a request from here."""
        routing = self._catalog.routing
        service = routing.services.get(target.record.service) if routing is not None else None
        if service is None:
            return False
        allowed = service.cold_rate_per_s * settings.cold_excess + settings.cold_slack
        limit_per_s = allowed * settings.cold_margin
        return limit_per_s > 0 and self._has_room(self._cold, target, now, max(1, int(limit_per_s)))

    def _has_limit_room(self, target: Target, now: float) -> bool:
        """Whether a target that names a limit has room for a request from here."""
        limit_per_s = self._limits.get_limit(target.name, now)
        if limit_per_s is None or self._limits.may_probe(target.name, now):
            return True
        return self._has_room(self._limited, target, now, int(limit_per_s * LIMIT_WINDOW_S))

    def _has_room(self, share: RateShare, target: Target, now: float, limit: int) -> bool:
        """Whether this entry's share has room for one more."""
        entries = self._catalog.count_sharers(now)
        place = self._ranks.get_rank(target.name)
        return share.has_room(target.name, now, limit=limit, entries=entries, rank=place)

    def _take_limited(self, target: Target, now: float) -> None:
        """Count a request to a target that names a limit."""
        self._limited.add(target.name, now)
        if self._limits.may_probe(target.name, now):
            entries = self._catalog.count_sharers(now)
            self._limits.note_probe(target.name, now, entries=entries)

    def forget(self, target: str) -> None:
        """Drop what was counted of a target that is gone."""
        self._cold.forget(target)
        self._limited.forget(target)
