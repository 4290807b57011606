"""Notices between entries that the store withdrew a target: its record drains or was removed.

Load pattern: a release in a fleet whose entries get each change after different delays.  The entry
that gets it first notifies the others, so that a slow watch delays no entry.

A notice adds nothing to what the store contains: it is in force until this entry's own view of the
store has reached the notice's revision.  From then on the own view decides alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from halldoor.core.bounds import Revision, SignedSeconds
from halldoor.core.targets.changes import MemberRecord, TargetStart
from halldoor.core.targets.era import parse_era

WITHDRAWAL_NOTICE_S = 30.0
"""Time after which a notice expires if the own view never reaches its revision, in seconds."""
WITHDRAWN_MAX = 16
"""Most targets in one notice, so that it fits a datagram."""
ERA_LENGTH_MAX = 64
"""Longest name of an era, which is a copy of the store, in a notice, in characters."""
NOTICES_MAX = 2000
"""Number of stored notices from which notices of unknown targets are dropped."""
NEAR_PEERS = 4
"""Entries of the own region that a notice is sent to at a time."""
FAR_PEERS = 2
"""Entries of any region that a notice is sent to at a time."""


class StoreView(NamedTuple):
    """The state of the store that an entry has applied.

    Attributes
    ----------
    era : str
        Name of the copy of the store that the revision belongs to.
    revision : int
        Revision up to which every change was applied.
    """

    era: str
    revision: Revision

    def has_reached(self, other: StoreView) -> bool:
        """Check whether this view includes every change that another one includes."""
        return self.era == other.era and self.revision >= other.revision

    def is_behind(self, other: StoreView) -> bool:
        """Check whether another view of the same copy includes later changes."""
        return self.era == other.era and self.revision < other.revision

    def is_outdated_by(self, other: StoreView) -> bool:
        """Check whether another view is of a later copy of the store."""
        own, others = parse_era(self.era), parse_era(other.era)
        return own is not None and others is not None and own < others


class StoreNotice(NamedTuple):
    """Withdrawals that an entry read in the store, as it sends them to other entries.

    Attributes
    ----------
    view : StoreView
        State of the store that the sender has applied.
    age_s : float
        Time since the first entry applied the withdrawals, in seconds.
    withdrawn : sequence of TargetStart
        Targets that drain, or whose record was removed.
    """

    view: StoreView
    age_s: SignedSeconds
    withdrawn: Sequence[TargetStart]

    @property
    def is_valid(self) -> bool:
        """Whether age, sizes and revision are in their ranges."""
        is_dated = math.isfinite(self.age_s) and 0 <= self.age_s < WITHDRAWAL_NOTICE_S
        is_sized = len(self.view.era) <= ERA_LENGTH_MAX and len(self.withdrawn) <= WITHDRAWN_MAX
        return is_dated and is_sized and self.view.revision >= 0


class _HeldNotice(NamedTuple):
    """The store view of a notice, and its expiry.

    Attributes
    ----------
    until : float
        Time at which the notice expires, in seconds of the steady clock.
    """

    view: StoreView
    until: float


class WithdrawalTable:
    """Targets that are withdrawn only by notices of other entries."""

    def __init__(self) -> None:
        self._notices: dict[TargetStart, _HeldNotice] = {}

    def __len__(self) -> int:
        """Return the number of notices in force."""
        return len(self._notices)

    def add(self, start: TargetStart, view: StoreView, *, until: float) -> None:
        """Add a notice of a target's start, unless one of the same or a later view is known."""
        known = self._notices.get(start)
        if known is None or not known.view.has_reached(view):
            self._notices[start] = _HeldNotice(view, until)

    def has(self, start: TargetStart) -> bool:
        """Check whether a notice of a target's start is in force."""
        return start in self._notices

    def release(self, own: StoreView, now: float) -> list[TargetStart]:
        """Drop and return the targets whose notices expired or were reached by the own view."""
        released = [
            start
            for start, hold in self._notices.items()
            if hold.until <= now or own.has_reached(hold.view) or hold.view.is_outdated_by(own)
        ]
        for start in released:
            del self._notices[start]
        return released


def choose_peers(
    members: Iterable[MemberRecord], own: MemberRecord, random: Random
) -> list[MemberRecord]:
    """Choose random entries to send a notice to.

    Each entry forwards notices that are new to it, so that all entries are reached with high
    probability, even if some are unavailable.  Most of the chosen are in the own region, since
    traffic between regions is expensive.
    """
    others = [m for m in members if m.relay is not None and m.name != own.name]
    if len(others) <= NEAR_PEERS + FAR_PEERS:
        return others
    near = [m for m in others if m.region == own.region]
    chosen = random.sample(near, min(NEAR_PEERS, len(near)))
    remaining = [m for m in others if m not in chosen]
    return chosen + random.sample(remaining, min(FAR_PEERS, len(remaining)))
