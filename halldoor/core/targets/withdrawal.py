"""Targets that the store withdrew, as entries notify each other of them.

Load pattern: a release in a fleet whose entries learn of each change by ways of different length.
The entry that learns first notifies the others, so that the slowest way delays nobody else.

A notice says nothing that the store does not: it holds until the own view of the store has reached
the revision that the notice is of, and decides by itself from then on.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from halldoor.core.targets.changes import MemberRecord, TargetStart

HOLD_S = 30.0
"""Time for which a notice holds where the own view never reaches its revision, in seconds."""
WITHDRAWN_MOST = 16
"""Targets in one notice, so that it fits a datagram."""
ERA_LENGTH = 64
"""Longest name of a copy of the store in a notice, in characters."""
HOLDS_MOST = 2000
"""Notices that are held, those of targets that are not known among them; beyond that, no further
ones of these are kept."""
NEAR_PEERS = 4
"""Entries of the own region that a notice is sent to at a time."""
FAR_PEERS = 2
"""Entries of any region that a notice is sent to at a time."""


class StoreView(NamedTuple):
    """How far an entry has followed the store.

    Attributes
    ----------
    era : str
        Which copy of the store the revision is of.
    revision : int
        Every change up to it was applied.
    """

    era: str
    revision: int

    def has_reached(self, other: StoreView) -> bool:
        """Check whether this view includes all that another one does."""
        return self.era == other.era and self.revision >= other.revision

    def is_behind(self, other: StoreView) -> bool:
        """Check whether another view of the same copy includes later changes."""
        return self.era == other.era and self.revision < other.revision

    def is_outdated_by(self, other: StoreView) -> bool:
        """Check whether another view is of a later copy of the store."""
        if not (self.era.isdecimal() and other.era.isdecimal()):
            return False
        return int(self.era) < int(other.era)


class StoreNotice(NamedTuple):
    """Changes of the store that an entry applied.

    Attributes
    ----------
    view : StoreView
        How far the sender has followed the store.
    age_s : float
        Time since an entry first applied the changes, in seconds.
    withdrawn : sequence of TargetStart
        Targets that drain, or whose record was removed.
    """

    view: StoreView
    age_s: float
    withdrawn: Sequence[TargetStart]

    @property
    def is_valid(self) -> bool:
        """Whether an entry may send it."""
        is_dated = math.isfinite(self.age_s) and 0 <= self.age_s < HOLD_S
        is_sized = len(self.view.era) <= ERA_LENGTH and len(self.withdrawn) <= WITHDRAWN_MOST
        return is_dated and is_sized and self.view.revision >= 0


class _Hold(NamedTuple):
    """How long a notice holds.

    Attributes
    ----------
    until : float
        When it no longer does, in seconds of the steady clock.
    """

    view: StoreView
    until: float


class WithdrawalTable:
    """Targets that are withdrawn by the word of other entries alone."""

    def __init__(self) -> None:
        self._holds: dict[TargetStart, _Hold] = {}

    def __len__(self) -> int:
        """Return how many notices hold."""
        return len(self._holds)

    def add(self, start: TargetStart, view: StoreView, *, until: float) -> None:
        """Add a target; the newest view counts."""
        known = self._holds.get(start)
        if known is None or not known.view.has_reached(view):
            self._holds[start] = _Hold(view, until)

    def has(self, start: TargetStart) -> bool:
        """Check whether a notice of this start of a target holds."""
        return start in self._holds

    def release(self, own: StoreView, now: float) -> list[TargetStart]:
        """Drop the targets of which the own view knows as much, and return them."""
        released = [
            start
            for start, hold in self._holds.items()
            if hold.until <= now or own.has_reached(hold.view) or hold.view.is_outdated_by(own)
        ]
        for start in released:
            del self._holds[start]
        return released


def choose_peers(
    members: Iterable[MemberRecord], own: MemberRecord, random: Random
) -> list[MemberRecord]:
    """Choose the entries that a notice is sent to, anew each time.

    Where each entry passes on what is news to it, all are reached with high probability, whoever
    of them is away.  Most are near, since traffic between regions is dear.
    """
    others = [m for m in members if m.relay is not None and m.name != own.name]
    if len(others) <= NEAR_PEERS + FAR_PEERS:
        return others
    near = [m for m in others if m.region == own.region]
    chosen = random.sample(near, min(NEAR_PEERS, len(near)))
    rest = [m for m in others if m not in chosen]
    return chosen + random.sample(rest, min(FAR_PEERS, len(rest)))
