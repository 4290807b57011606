"""Shares of this entry in what all entries together may send to a target."""

from __future__ import annotations

from typing import TypedDict

from halldoor.core.placement import rank
from halldoor.core.targets.budget import ColdShare
from halldoor.core.targets.catalog import Catalog, Target


class ColdBound(TypedDict):
    """What bounds an entry's share of a cold target's rate; see `ColdShare.has_room`."""

    limit_per_s: float
    entries: int
    rank: int


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


class ColdRate:
    """This entry's share of the requests that a cold target may get.

    Parameters
    ----------
    catalog, ranks
        The targets, the services' rates and this entry's places.
    """

    def __init__(self, catalog: Catalog, ranks: EntryRanks) -> None:
        self._catalog = catalog
        self._ranks = ranks
        self._share = ColdShare()

    def has_room(self, target: Target, now: float, limit_per_s: float) -> bool:
        """Tell whether this entry may send to a cold target now."""
        return limit_per_s > 0 and self._share.has_room(
            target.name, now, **self._find_bound(target, now, limit_per_s)
        )

    def take(self, target: Target, now: float, limit_per_s: float) -> bool:
        """Take one request of a cold target's rate; other targets have no such bound."""
        if not target.is_cold(now):
            return True
        return limit_per_s > 0 and self._share.take(
            target.name, now, **self._find_bound(target, now, limit_per_s)
        )

    def _find_bound(self, target: Target, now: float, limit_per_s: float) -> ColdBound:
        """Give what bounds this entry's share."""
        return {
            "limit_per_s": limit_per_s,
            "entries": self._catalog.count_sharers(now),
            "rank": self._ranks.get_rank(target.name),
        }

    def forget(self, target: str) -> None:
        """Drop what was counted of a target that is gone."""
        self._share.forget(target)
