"""Choice of the entries of a hall that watch the store for the others, and the changes they relay.

Load pattern: a large fleet in which records change all the time.  If every entry watches, calls to
the store grow with entries times changes; with relaying they grow with halls times changes.  The
watching entries, called readers, follow from the registered entries alone, so that no agreement is
needed.  The entries that poll a reader are its followers.

An entry may rely on another one only as long as it can prove how old its state is.  Each update
carries that proof: a time up to which every change is included.  Proofs are lower bounds: message
delays only make them older.  So an entry that relays another entry's changes, or a reader that
lost the store without noticing, can never make old state look new.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.era import parse_era

OWN_PAUSE_SHARE = 0.42
"""Time between two watch slots of an entry without followers, as part of the bound."""
OWN_PAUSE_LIMIT_S = 1.3
"""Longest time between two watch slots, in seconds: new targets must be found soon, too."""
QUIET_SHARE = 0.25
"""Wait of a reader's watch for changes, as part of the bound: each return is a proof."""
BUSY_SHARE = 0.15
"""The same for the first watch after changes, whose proof is older by the pause."""
PAUSE_SHARE = 0.1
"""Pause of a reader after changes, as part of the bound, so that one call returns several."""
LONG_PAUSE_SHARE = 0.25
"""Longest pause of a reader with few followers, as part of the bound.

While 10 records change a second, a reader calls the store 4.5 times a second with `PAUSE_SHARE` and
a bound of 2 s, which is as much as four entries that watch for themselves.
"""
PROOF_SHARE = QUIET_SHARE + BUSY_SHARE + PAUSE_SHARE
"""Age that a working reader's proof may reach, as part of the bound."""
AGE_SHARE = 0.6
"""Age of the last proof, as part of the bound, from which state is too old to rely on.

It is above `PROOF_SHARE`.  The remainder of the bound is left for a poll's answer and the entry's
own call to the store.
"""
HANDOVER_SHARE = 0.25
"""Time that a reader waits for the requested copy of the store, as part of the bound."""
PAGE_SHARE = 0.25
"""Time after which an unanswered page of the store is requested again, as part of the bound."""
ROUND_TRIP_S = 0.07
"""Time of a message to another region and back, in seconds."""
RESUME_SHARE = 0.1
"""Wait of the first watch that continues an earlier watch or a poll, as part of the bound.

A store that is about to drop its history may accept such a watch, and answer it only at the next
change.
"""
RECEIVE_SHARE = 0.25
"""Time that a reader may need for an answer of the store, as part of the bound, before followers
watch the store themselves: what the reader receives it still has to send to each of them."""
WATCH_S = 28.0
"""Longest wait of a watch by an entry without followers, in seconds; the store allows 30."""
RETRY_S = 0.05
"""Longest pause before the first retry of a call to the store, in seconds.  Pauses differ, so that
entries whose calls failed together retry at different times."""
READING_S = 0.25
"""Time of a full read of the store, in seconds: a few pages, each a round trip."""


class Budget(NamedTuple):
    """Longest durations of the steps from a change in the store to the last request without it.

    Attributes
    ----------
    own_pause_s : float
        Pause between two watches of an entry that has no followers, in seconds.
    reader_pause_s : float
        Longest pause of a reader after changes, before its next watch, in seconds.
    age_s : float
        Time for which a follower relies on a reader that it has lost, in seconds.
    handover_s : float
        Time after which a follower stops waiting for all records from its reader, in seconds; it
        waits longer for those of another copy of the store.
    connect_s, call_s : float
        Time to open a connection to the store, and of a call to it, in seconds.
    retry_s : float
        Delay of the first retry, in seconds.
    poll_s : float
        Time for a poll's answer to arrive, within a hall, in seconds.
    reading_s : float
        Time of a full read of the store, in seconds.
    request_s : float
        Time in which a request that was sent just before the change was applied opens its
        connection and arrives, in seconds.
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
        """Return the time of a chain of steps, in seconds: attribute names without ``_s``."""
        return sum(getattr(self, f"{part}_s") for part in chain)


_WATCH_CUT = ("call", "retry", "connect", "call")
"""A watch is cut, and another one is opened."""
_CALL_REFUSED = ("retry", "call")
"""A call is refused, and made again."""
_HISTORY_LOST = (*_WATCH_CUT, "retry", "reading")
"""The watch opened after a cut finds the store's history lost, so that all records are read."""
_READER_LOST = ("age", "connect", "call")
"""A follower loses its reader and calls the store itself."""
CHANGE_PATHS = {
    "own watch": ("own_pause", "call", "request"),
    "own watch, cut": ("own_pause", *_WATCH_CUT, "request"),
    "own watch, cut and refused": ("own_pause", *_WATCH_CUT, *_CALL_REFUSED, "request"),
    "own watch, history lost": ("own_pause", *_HISTORY_LOST, "request"),
    "own watch, history lost, refused": ("own_pause", *_HISTORY_LOST, *_CALL_REFUSED, "request"),
    "reader": ("reader_pause", "call", "poll", "request"),
    "reader, cut": ("reader_pause", *_WATCH_CUT, "poll", "request"),
    "reader, history lost": ("reader_pause", *_HISTORY_LOST, "poll", "request"),
    "reader, history lost, refused": (
        "reader_pause",
        *_HISTORY_LOST,
        *_CALL_REFUSED,
        "poll",
        "request",
    ),
    "reader left behind, no handover": (
        "reader_pause",
        *_HISTORY_LOST,
        "poll",
        "connect",
        "call",
        "retry",
        "handover",
        "reading",
        "request",
    ),
    "lost reader": (*_READER_LOST, "request"),
    "lost reader, refused": (*_READER_LOST, *_CALL_REFUSED, "request"),
    "lost reader, history lost": (*_READER_LOST, "retry", "reading", "request"),
    "lost reader, history lost, refused": (
        *_READER_LOST,
        "retry",
        "reading",
        *_CALL_REFUSED,
        "request",
    ),
}
"""Steps by which a change reaches an entry, one after the other, by the failures on the way."""


class RelaySettings(NamedTuple):
    """When and how changes are relayed between the entries of a hall.

    Attributes
    ----------
    least_entries : int
        Entries of a hall from which some of them read the store for the others.  While records
        change all the time, at a bound of 2 s, a reader with the long pause makes 1.9 calls a
        second, and an entry without followers 1.2.  In a hall of two, the saving would not make up
        for the reader's short watches while nothing changes.
    large_hall_entries : int
        Entries of a hall from which its readers keep the short pause: each of their calls serves
        so many entries that knowing changes sooner costs little.
    followers_per_reader : int
        Entries for each reader.  A poll costs the reader about 1 ms of processor time, and each
        follower polls once per change or proof, one to three times a second.
    bound_s : float
        Time within which a change has to be in force on every entry, in seconds.
    answer_s : float
        Time for a poll's answer beyond its wait, in seconds: hundreds of round trips in a hall.
    poll_at_least_s : float
        Shortest wait of a poll, in seconds, so that a reader without changes is not polled in a
        tight loop; and the shortest time for its answer.
    contact_limit_s : float
        Time without any answer of the store after which an entry follows any other that has
        contact, in seconds: two renewals of its lease have failed by then.
    direct_s : float
        Time for which an entry that lost its reader watches the store itself, in seconds: the
        lifetime of a crashed reader's record.
    """

    least_entries: int = 3
    large_hall_entries: int = 8
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
        """Pause of a reader after changes in a large hall, in seconds; the shortest in others."""
        return PAUSE_SHARE * self.bound_s

    @property
    def own_pause_s(self) -> float:
        """Time between two watch slots of an entry without followers, in seconds."""
        return min(OWN_PAUSE_LIMIT_S, OWN_PAUSE_SHARE * self.bound_s)

    @property
    def handover_wait_s(self) -> float:
        """Time that a reader waits for the requested copy of the store, in seconds."""
        return HANDOVER_SHARE * self.bound_s

    @property
    def page_limit_s(self) -> float:
        """Time limit for a page of the store, in seconds, before slower pages were measured."""
        return PAGE_SHARE * self.bound_s

    @property
    def receive_limit_s(self) -> float:
        """Time for an answer of the store for which followers wait, in seconds."""
        return RECEIVE_SHARE * self.bound_s

    @property
    def budget(self) -> Budget:
        """Division of the bound among the steps by which a change reaches an entry."""
        return Budget(
            own_pause_s=self.own_pause_s,
            reader_pause_s=LONG_PAUSE_SHARE * self.bound_s,
            age_s=self.age_limit_s,
            handover_s=self.answer_s,
        )

    @property
    def resume_s(self) -> float:
        """Wait of the first watch that continues an earlier one, in seconds."""
        return RESUME_SHARE * self.bound_s

    def find_watch_s(self, *, is_after_changes: bool) -> float:
        """Return how long a reader's watch waits, in seconds; shorter if a pause aged its proof."""
        return (BUSY_SHARE if is_after_changes else QUIET_SHARE) * self.bound_s

    def find_watch_wait_s(
        self,
        *,
        is_reader: bool,
        is_after_changes: bool,
        has_reader: bool,
        is_unsettled: bool,
        has_contact: bool,
        is_resumed: bool,
    ) -> float:
        """Return how long a watch waits for changes, in seconds.

        Parameters
        ----------
        is_reader, has_reader : bool
            Whether the entry reads for others, or lost its reader, which it follows again later.
        is_unsettled : bool
            Whether the revision may be one that the store has not reached.
        has_contact : bool
            Whether the store answered lately; otherwise a substitute is looked for again soon.
        is_resumed : bool
            Whether the watch is the first one after a cut one or a poll.
        """
        wait_s = WATCH_S
        if is_reader:
            # Shorter, as each return proves the reader's state to its followers.
            wait_s = self.find_watch_s(is_after_changes=is_after_changes)
        elif has_reader or not has_contact:
            wait_s = self.direct_s
        if is_unsettled:
            wait_s = min(wait_s, self.find_watch_s(is_after_changes=False))
        return min(wait_s, self.resume_s) if is_resumed else wait_s

    def find_pause_s(self, age_s: float, *, entries: int) -> float:
        """Return how long a reader pauses after changes, in seconds.

        In a hall that is not large, the pause is as long as the next watch's proof allows: after a
        watch that returned at once it is the longest, after one that waited its time the shortest.

        Parameters
        ----------
        age_s : float
            Age of the last proof, in seconds.
        entries : int
            Number of entries of the hall.
        """
        if entries >= self.large_hall_entries:
            return self.pause_s
        left_s = (PROOF_SHARE - BUSY_SHARE) * self.bound_s - age_s
        return min(LONG_PAUSE_SHARE * self.bound_s, max(self.pause_s, left_s))

    def find_poll_s(self, age_s: float) -> float:
        """Return how long a poll may wait for changes, in seconds, by the last proof's age."""
        return max(self.poll_at_least_s, self.age_limit_s - age_s - self.answer_s)

    def find_answer_s(self, age_s: float) -> float:
        """Return the time for a poll's answer beyond its wait, in seconds, by the proof's age."""
        left_s = self.age_limit_s - age_s - self.find_poll_s(age_s)
        return min(self.answer_s, max(self.poll_at_least_s, left_s))


def list_hall(members: Iterable[MemberRecord], hall: str) -> dict[str, MemberRecord]:
    """Return the entries of a hall that can read the store for others, by name."""
    return {m.name: m for m in members if m.hall == hall and m.relay is not None}


def choose_readers(
    members: Iterable[MemberRecord], hall: str, settings: RelaySettings
) -> list[MemberRecord]:
    """Choose the entries of a hall that read the store for others; every entry chooses the same.

    Returns
    -------
    list of MemberRecord
        Those with the widest links, and among about equal ones the first by rendezvous hash; empty
        if the hall is too small for readers.
    """
    known = list_hall(members, hall)
    if len(known) < settings.least_entries:
        return []
    count = math.ceil(len(known) / settings.followers_per_reader)
    return sort_by_link([known[name] for name in rank(hall, known)])[:count]


def sort_by_link(members: Sequence[MemberRecord]) -> list[MemberRecord]:
    """Sort entries by the width of their links, the widest first; about equal ones stay in order.

    Links are about equal if they lie between the same two halvings of the widest.  One that is not
    stated counts as the widest.
    """
    widest = max((m.link_mbps for m in members if m.link_mbps is not None), default=1.0)

    def count_halvings(member: MemberRecord) -> int:
        if member.link_mbps is None:
            return 0
        return math.floor(math.log2(widest) - math.log2(member.link_mbps))

    return sorted(members, key=count_halvings)


def has_wider_link(members: Iterable[MemberRecord], own: MemberRecord) -> bool:
    """Check whether an entry has a link of more than twice the width of the own one."""
    if own.link_mbps is None:
        return False
    limit = 2 * own.link_mbps
    return any(m.link_mbps is not None and m.link_mbps > limit for m in members)


def choose_reader(own_name: str, readers: Sequence[MemberRecord]) -> MemberRecord | None:
    """Choose the reader that an entry follows; None if it reads the store itself."""
    by_name = {reader.name: reader for reader in readers}
    if not by_name or own_name in by_name:
        return None
    # Each follower has an order of its own, so that the readers have about equally many.
    return by_name[rank(own_name, by_name)[0]]


class WantedEra(NamedTuple):
    """The copy of the store whose records an entry requests from another entry.

    Attributes
    ----------
    newest : str
        The copy named by the store's last answer to this entry.
    left : str or None
        The copy that this entry's state was read from, if it is no longer valid; None if there
        was none, or if it is still valid.
    """

    newest: str
    left: str | None = None

    def is_satisfied_by(self, era: str) -> bool:
        """Check whether a copy is the requested one, or a newer one.

        `newest` is not accepted if it is the copy that this entry just left.  Another copy is newer
        only if `left` is known and the copy's number is above those of both.
        """
        if era == self.newest:
            return era != self.left
        if self.left is None:
            return False
        number, left, newest = map(parse_era, (era, self.left, self.newest))
        if number is None or left is None or newest is None:
            return False
        return number > max(left, newest)
