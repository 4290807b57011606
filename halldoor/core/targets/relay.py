"""Which entries read the store for the others, and the changes that they pass on.

In a large fleet a watch of the store by every entry costs calls that grow with entries times
changes.  A few readers per region watch; the others follow one of them.  Who reads follows from
the registered entries alone, so that nothing has to be agreed: entries that differ about it for a
moment read the store themselves.
"""

from __future__ import annotations

import math
import sys
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Generic, NamedTuple, TypeVar

from halldoor.core.placement import rank
from halldoor.core.targets.catalog import MemberRecord

T = TypeVar("T")

BATCHES_KEPT = 64
"""Batches of changes that a reader keeps for its followers: over 20 s at two a second."""


class RelaySettings(NamedTuple):
    """When and how changes are passed on between entries.

    Attributes
    ----------
    fleet_limit : int
        Up to so many entries each reads the store itself: every fleet unless it is set, since a
        day of 74 entries with readers broke a bound on configuration (docs/design/relay.md).
    followers_per_reader : int
        Entries for each reader; a poll costs the reader about 1 ms of processor time.
    readers_at_least : int
        Readers of a region, so that one may die.
    poll_s : float
        Longest wait of one poll, in seconds.
    age_limit_s : float
        Time since the reader heard from the store beyond which a follower reads the store
        itself, in seconds: a renewal in each `renewal_s`, and a slow answer.  Together with the
        pause between two watches (`batch_s`) it must stay below the shortest time in which a
        change has to be in force.
    renewal_s : float
        Period of a reader's renewals, which show that it still reaches the store, in seconds.
    direct_s : float
        Time for which a follower that lost its reader reads the store itself, in seconds.
    """

    fleet_limit: int = sys.maxsize
    followers_per_reader: int = 16
    readers_at_least: int = 2
    poll_s: float = 0.5
    age_limit_s: float = 0.9
    renewal_s: float = 0.5
    direct_s: float = 5.0


def choose_readers(
    members: Iterable[MemberRecord], region: str, settings: RelaySettings
) -> list[MemberRecord]:
    """Choose the entries of a region that read the store, alike on every entry.

    Returns
    -------
    list of MemberRecord
        The first by rendezvous hash; empty where no entry of the region is known.
    """
    known = {m.name: m for m in members if m.region == region and m.relay is not None}
    count = max(settings.readers_at_least, math.ceil(len(known) / settings.followers_per_reader))
    return [known[name] for name in rank(region, known)[:count]]


def choose_reader(
    own_name: str, region: str, members: Sequence[MemberRecord], settings: RelaySettings
) -> MemberRecord | None:
    """Choose the reader that an entry follows; None where it reads the store itself."""
    if len(members) <= settings.fleet_limit:
        return None
    readers = {reader.name: reader for reader in choose_readers(members, region, settings)}
    if not readers or own_name in readers:
        return None
    # Each follower by its own order, so that readers have about as many.
    return readers[rank(own_name, readers)[0]]


class Batch(NamedTuple, Generic[T]):
    """Changes that one watch brought.

    Attributes
    ----------
    after, revision : int
        The batch holds all changes after the first revision up to the second.
    is_return : bool
        The store had been away before.
    """

    after: int
    revision: int
    items: Sequence[T]
    is_return: bool


class ChangeHistory(Generic[T]):
    """The last changes that a reader saw."""

    def __init__(self) -> None:
        self._batches: deque[Batch[T]] = deque(maxlen=BATCHES_KEPT)

    def has_news(self, after: int) -> bool:
        """Tell whether a follower at a revision need not wait for an answer."""
        return not self._batches or self._batches[-1].revision > after

    def add(self, batch: Batch[T]) -> None:
        """Add a batch; one that does not follow the last begins a new history."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
        if batch.items or not self._batches:
            self._batches.append(batch)
        else:
            last = self._batches.pop()
            self._batches.append(last._replace(revision=batch.revision))

    def collect(self, after: int) -> Batch[T] | None:
        """Collect all changes after a revision; None where some of them are not known here.

        A follower may be ahead of its reader: then there is nothing new for it.  Changes up to
        its revision may come again where it lies within a batch: applied in order they lead to
        the same state.
        """
        if not self._batches or after < self._batches[0].after:
            return None
        wanted = [batch for batch in self._batches if batch.revision > after]
        return Batch(
            after=after,
            revision=max(after, self._batches[-1].revision),
            items=[item for batch in wanted for item in batch.items],
            is_return=any(batch.is_return for batch in wanted),
        )
