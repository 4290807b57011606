"""Choice of the entry that a request is forwarded to by one that reaches no target."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from halldoor.core.targets.changes import MemberRecord

BACKOFF_S = 0.5
"""First pause after an entry refused a request or couldn't be reached, in seconds.  It doubles with
each further refusal, up to `BACKOFF_LIMIT_S`."""
BACKOFF_LIMIT_S = 4.0
"""Longest such pause, in seconds: an entry that returns must be used again soon."""
HALL_REFUSALS = 2
"""Entries of a hall that are paused from which the hall is taken last: a hall that is cut off as a
whole would refuse each request several times before another hall is asked."""
ROW_REFUSALS = 12
"""Refusals in a row from which one request in a pause is offered: two in each of six halls.  If the
entries of all halls refuse, the targets themselves are probably down."""


class ForwardingSettings(NamedTuple):
    """Settings for requests that entries without targets forward to others.

    Attributes
    ----------
    forwards : bool
        Whether an entry that reaches no target forwards its requests.
    leaves_lookups : bool
        Whether such an entry is not ready and leaves out itself in look-ups.
    max_running : int
        Largest number of others' requests in progress at one entry, so that its own callers are
        served first.
    """

    forwards: bool = True
    leaves_lookups: bool = False
    max_running: int = 128


class _Refusals(NamedTuple):
    """Consecutive refusals by an entry, and the end of the pause after them."""

    times: int
    until: float


class PeerTable:
    """The entries that may take requests, and pauses of those that refused.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    """

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._refusals: dict[str, _Refusals] = {}
        self._refused_in_row = 0
        self._offered_at = -math.inf

    def choose(
        self,
        members: Iterable[MemberRecord],
        now: float,
        *,
        homes: Collection[str],
        tried: Collection[str],
        source: random.Random,
    ) -> MemberRecord | None:
        """Choose an entry: of the own hall, else of the own region, else of another.

        Parameters
        ----------
        homes : collection of str
            Regions in which the request may be handled; any if empty.
        tried : collection of str
            Entries that this request was already forwarded to.
        source : random.Random
            Chooses among equal ones.

        Returns
        -------
        MemberRecord or None
            None if there is no other entry that is not paused.
        """
        own = self._own
        is_refused = self._refused_in_row >= ROW_REFUSALS
        if is_refused and now < self._offered_at + BACKOFF_S:
            return None
        usable: list[tuple[int, MemberRecord]] = []
        paused: Counter[str] = Counter()
        for member in members:
            is_home = not homes or member.region in homes
            if member.name == own.name or member.relay is None or not is_home:
                continue
            if self._is_paused(member.name, now):
                paused[member.hall] += 1
            elif member.name not in tried:
                usable.append((self._find_distance(member), member))
        if not usable:
            return None
        self._offered_at = now
        ranked = [(paused[m.hall] >= HALL_REFUSALS, distance, m) for distance, m in usable]
        first = min(rank[:2] for rank in ranked)
        return source.choice([m for *rank, m in ranked if tuple(rank) == first])

    def _find_distance(self, member: MemberRecord) -> int:
        """Return 0 for an entry of the own hall, 1 for one of the own region, else 2."""
        if member.hall == self._own.hall:
            return 0
        return 1 if member.region == self._own.region else 2

    def _is_paused(self, name: str, now: float) -> bool:
        """Check whether an entry refused recently."""
        refusals = self._refusals.get(name)
        return refusals is not None and now < refusals.until

    def add_refusal(self, name: str, now: float) -> None:
        """Record that an entry refused a request as not run, or couldn't be reached."""
        times = self._refusals[name].times + 1 if name in self._refusals else 1
        pause_s = min(BACKOFF_LIMIT_S, BACKOFF_S * 2 ** (times - 1))
        self._refused_in_row += 1
        self._refusals[name] = _Refusals(times, now + pause_s)

    def add_answer(self, name: str) -> None:
        """Record that an entry answered a forwarded request."""
        self._refusals.pop(name, None)
        self._refused_in_row = 0
