"""Which entries of a hall watch the store for the others, and the changes that they pass on.

Load pattern: a large fleet in which something always changes.  When every entry watches, calls to
the store grow with entries times changes; here they grow with halls times changes.  Who watches
follows from the registered entries alone, so that nothing has to be agreed.

An entry may rely on another only as long as it can prove how old its knowledge is.  Each update
carries that proof: a moment up to which every change is included.  Proofs are lower bounds: the
time on the way only makes them older.  So an entry that relays what it got from a third one, or a
reader that lost the store without noticing, can never make old knowledge look new.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Generic, NamedTuple, TypeVar

from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord

T = TypeVar("T")

BATCHES_KEPT = 64
"""Batches of changes that an entry keeps for its followers: 20 s at three a second."""
OWN_PAUSE_SHARE = 0.42
"""Part of the bound between two slots of an entry that watches for itself alone."""
OWN_PAUSE_LIMIT_S = 1.3
"""Longest time between two slots, in seconds: new targets are wanted too."""
QUIET_SHARE = 0.25
"""Part of the bound that a reader's watch waits for changes: each return is a proof."""
BUSY_SHARE = 0.15
"""The same for the watch after changes, whose proof is later by the pause."""
PAUSE_SHARE = 0.1
"""Part of the bound that a reader pauses after changes, so that several make one call."""
AGE_SHARE = 0.6
"""Part of the bound after which knowledge without a newer proof is too old to rely on.

Above the shares before, which add up to the age that a sound reader's proof may reach; the rest
of the bound is left for a poll's answer and the entry's own call to the store.
"""
HANDOVER_SHARE = 0.25
"""Part of the bound that a reader waits for the copy of the store that it is asked for."""
PAGE_SHARE = 0.25
"""Part of the bound after which a page of the store that is not answered is asked for anew."""
ROUND_TRIP_S = 0.07
"""Time of a message to another region and back, in seconds."""
RESUME_SHARE = 0.1
"""Part of the bound that the first watch waits which goes on from another one, or from a poll.

A store that is about to forget its history may take it, and answer it at its next change only.
"""
RETRY_S = 0.05
"""Longest pause before the first retry of a call to the store, in seconds: entries that lost a
call together retry at different moments."""
READING_S = 0.25
"""Time in which all records are read, in seconds: a few pages, each a round trip."""


class Budget(NamedTuple):
    """Parts of the way from a change of the store to the last request that ignores it.

    Each is the longest time that it takes, in seconds.

    Attributes
    ----------
    own_pause_s : float
        An entry that watches for itself pauses.
    reader_pause_s : float
        A reader pauses.
    age_s : float
        A follower relies on a reader that is lost.
    handover_s : float
        A follower waits for all records of its reader, in vain; of another copy of the store it
        waits longer.
    connect_s, call_s : float
        A connection to the store is opened, and a call answered.
    retry_s : float
        The first retry is put off.
    poll_s : float
        A poll's answer comes in: within a hall.
    reading_s : float
        All records are read.
    request_s : float
        A request that was sent just before opens its connection, and arrives.
    """

    own_pause_s: float
    reader_pause_s: float
    age_s: float
    handover_s: float
    connect_s: float = ROUND_TRIP_S
    call_s: float = ROUND_TRIP_S
    retry_s: float = RETRY_S
    poll_s: float = 0.1 * ROUND_TRIP_S
    reading_s: float = READING_S
    request_s: float = 1.5 * ROUND_TRIP_S

    def add_up(self, chain: Sequence[str]) -> float:
        """Return the time that a chain of parts takes, in seconds."""
        return sum(getattr(self, f"{part}_s") for part in chain)


_CUT = ("call", "retry", "connect", "call")
"""A watch is cut, and another one opened."""
_REFUSED = ("retry", "call")
"""A call is refused, and made once more."""
_LOST_HISTORY = (*_CUT, "retry", "reading")
"""The watch that is opened after a cut finds the history lost."""
_LOST_READER = ("age", "connect", "call")
"""A follower watches the store itself."""
CHAINS = {
    "own watch": ("own_pause", "call", "request"),
    "own watch, cut": ("own_pause", *_CUT, "request"),
    "own watch, cut and refused": ("own_pause", *_CUT, *_REFUSED, "request"),
    "own watch, history lost": ("own_pause", *_LOST_HISTORY, "request"),
    "own watch, history lost, refused": ("own_pause", *_LOST_HISTORY, *_REFUSED, "request"),
    "reader": ("reader_pause", "call", "poll", "request"),
    "reader, cut": ("reader_pause", *_CUT, "poll", "request"),
    "reader, history lost": ("reader_pause", *_LOST_HISTORY, "poll", "request"),
    "reader, history lost, refused": (
        "reader_pause",
        *_LOST_HISTORY,
        *_REFUSED,
        "poll",
        "request",
    ),
    "reader left behind, no handover": (
        "reader_pause",
        *_LOST_HISTORY,
        "poll",
        "connect",
        "call",
        "retry",
        "handover",
        "reading",
        "request",
    ),
    "lost reader": (*_LOST_READER, "request"),
    "lost reader, refused": (*_LOST_READER, *_REFUSED, "request"),
    "lost reader, history lost": (*_LOST_READER, "retry", "reading", "request"),
    "lost reader, history lost, refused": (
        *_LOST_READER,
        "retry",
        "reading",
        *_REFUSED,
        "request",
    ),
}
"""Ways of news to an entry, by what goes wrong on them: the parts one after the other."""


class RelaySettings(NamedTuple):
    """When and how changes are passed on between the entries of a hall.

    Attributes
    ----------
    least_entries : int
        Entries of a hall from which some of them read the store for the others.  Below it, the
        reader's short watches cost more calls than they save: they are 1.3 a second at a bound
        of 3 s, where an entry of its own makes 0.2 to 0.8.
    followers_per_reader : int
        Entries for each reader; a poll costs the reader about 1 ms of processor time, and each
        follower polls as often as there is news or a proof, one to three times a second.
    bound_s : float
        Shortest time in which a change has to be in force, in seconds.
    answer_s : float
        Time for a poll's answer beyond its wait, in seconds: hundreds of round trips in a hall.
    poll_at_least_s : float
        Shortest wait of a poll, in seconds, so that a reader without news is not asked in a loop;
        and the shortest time for its answer.
    contact_limit_s : float
        Time without any answer of the store after which an entry follows any other that has
        contact, in seconds: two renewals of its lease have failed by then.
    direct_s : float
        Time for which an entry that lost its reader watches the store itself, in seconds: the
        lifetime of a dead reader's record.
    """

    least_entries: int = 8
    followers_per_reader: int = 32
    bound_s: float = 2.0
    answer_s: float = 0.3
    poll_at_least_s: float = 0.1
    direct_s: float = 3.0
    contact_limit_s: float = 2.0

    @property
    def age_limit_s(self) -> float:
        """Age of the last proof beyond which an entry watches the store itself, in seconds."""
        return AGE_SHARE * self.bound_s

    @property
    def pause_s(self) -> float:
        """Pause of a reader after changes, in seconds."""
        return PAUSE_SHARE * self.bound_s

    @property
    def own_pause_s(self) -> float:
        """Time between two slots of an entry that watches for itself alone, in seconds."""
        return min(OWN_PAUSE_LIMIT_S, OWN_PAUSE_SHARE * self.bound_s)

    @property
    def handover_wait_s(self) -> float:
        """Time for a reader to read the copy of the store that is asked for, in seconds."""
        return HANDOVER_SHARE * self.bound_s

    @property
    def page_limit_s(self) -> float:
        """Time for a page of the store, in seconds, while nothing says that it takes longer."""
        return PAGE_SHARE * self.bound_s

    @property
    def budget(self) -> Budget:
        """How the bound is divided among the parts of a way."""
        return Budget(
            own_pause_s=self.own_pause_s,
            reader_pause_s=self.pause_s,
            age_s=self.age_limit_s,
            handover_s=self.answer_s,
        )

    @property
    def resume_s(self) -> float:
        """Wait of a first watch, in seconds."""
        return RESUME_SHARE * self.bound_s

    def find_watch_s(self, *, is_after_changes: bool) -> float:
        """Return how long a reader's watch waits for changes, in seconds."""
        return (BUSY_SHARE if is_after_changes else QUIET_SHARE) * self.bound_s

    def find_poll_s(self, age_s: float) -> float:
        """Return how long a poll may wait for news, in seconds, by the age of the last proof."""
        return max(self.poll_at_least_s, self.age_limit_s - age_s - self.answer_s)

    def find_answer_s(self, age_s: float) -> float:
        """Return the time for a poll's answer beyond its wait, in seconds."""
        left_s = self.age_limit_s - age_s - self.find_poll_s(age_s)
        return min(self.answer_s, max(self.poll_at_least_s, left_s))


def choose_readers(
    members: Iterable[MemberRecord], hall: str, settings: RelaySettings
) -> list[MemberRecord]:
    """Choose the entries of a hall that read the store for others, alike on every entry.

    Returns
    -------
    list of MemberRecord
        The first by rendezvous hash; empty where the hall is too small for readers.
    """
    known = {m.name: m for m in members if m.hall == hall and m.relay is not None}
    if len(known) < settings.least_entries:
        return []
    count = math.ceil(len(known) / settings.followers_per_reader)
    return [known[name] for name in rank(hall, known)[:count]]


def choose_reader(own_name: str, readers: Sequence[MemberRecord]) -> MemberRecord | None:
    """Choose the reader that an entry follows; None where it reads the store itself."""
    by_name = {reader.name: reader for reader in readers}
    if not by_name or own_name in by_name:
        return None
    # Each follower by its own order, so that readers have about as many.
    return by_name[rank(own_name, by_name)[0]]


class WantedEra(NamedTuple):
    """Which copy of the store an entry asks another one for records of.

    Attributes
    ----------
    newest : str
        The copy that its own newest answer of the store was of.
    left : str or None
        The copy that it believed until now, and no longer can; None where it believed none, or
        where it still is that copy.
    """

    newest: str
    left: str | None = None

    def is_met_by(self, era: str) -> bool:
        """Check whether records of a copy are what is asked for, or newer."""
        if era == self.newest:
            return era != self.left
        if self.left is None:
            return False
        known = (self.left, self.newest)
        return era.isdecimal() and all(e.isdecimal() and int(e) < int(era) for e in known)


class Batch(NamedTuple, Generic[T]):
    """Changes that one update brought.

    Attributes
    ----------
    after, revision : int
        The batch holds all changes after the first revision up to the second.
    is_difference : bool
        What came and went between the two revisions is left out, so that it leads from the first
        one alone to the second.
    """

    after: int
    revision: int
    items: Sequence[T]
    is_difference: bool = False


class ChangeHistory(Generic[T]):
    """The last changes that an entry took, in order and without a gap."""

    def __init__(self) -> None:
        self._batches: deque[Batch[T]] = deque(maxlen=BATCHES_KEPT)

    def has_news(self, after: int) -> bool:
        """Check whether a follower at a revision need not wait for an answer."""
        return not self._batches or self._batches[-1].revision > after

    def add(self, batch: Batch[T]) -> None:
        """Add a batch; one that does not follow the last begins a new history."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
        can_extend = self._batches and not self._batches[-1].is_difference
        if batch.items or batch.is_difference or not can_extend:
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
        if wanted and wanted[0].is_difference and wanted[0].after < after:
            return None
        return Batch(
            after=after,
            revision=max(after, self._batches[-1].revision),
            items=[item for batch in wanted for item in batch.items],
            is_difference=any(batch.is_difference for batch in wanted),
        )


def find_slot_s(now: float, *, period_s: float, phase: float) -> float:
    """Return the time until an entry's next slot for a watch, in seconds.

    A change wakes the watches of all entries at once.  After pauses of one length they would be
    deaf at once as well, and none of them could notify the others.

    Parameters
    ----------
    period_s : float
        Time between two slots, in seconds.
    phase : float
        Where this entry's slots lie within the period, from 0 to 1.
    """
    if period_s <= 0:
        return 0.0
    return period_s - (now - phase * period_s) % period_s


def date_watch(*, sent_at: float, wait_s: float, returned_at: float, has_changes: bool) -> float:
    """Return the moment up to which a watch's answer includes every change.

    One that brought nothing waited its time at the store first; of one with changes it is only
    known that it was answered after it was sent.
    """
    waited = sent_at + wait_s
    return sent_at if has_changes or returned_at < waited else waited


def date_poll(*, sent_at: float, held_s: float, age_s: float) -> float:
    """Return the moment up to which a reader's answer includes every change.

    Parameters
    ----------
    held_s : float
        Time for which the reader held the poll before it answered, in seconds.
    age_s : float
        Age of the reader's own proof when it answered, in seconds.
    """
    return sent_at + held_s - age_s
