"""Block requests that crash targets, at whichever entry they arrive next.

Load pattern: one request crashes each target that starts to run it, and its caller retries it at
any entry.  Each entry sees only one or two of the crashes and can't tell their cause, and the
service loses targets faster than they restart.  So crashes are added up over all entries, and after
a few of them no entry sends the request any more.  While no target crashes, no messages are sent
and nothing is written to the store.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.quarantine.collectors import FLEET_COLLECTORS
from halldoor.core.quarantine.evidence import Case, Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.quarantine.watch import Watch

CASES_KEPT = 4096
"""Requests whose crashes are kept, about 2 MB; the bound holds whatever callers send."""
SOUND_KEPT = 4096
"""Requests whose last answer is kept: about the last 50 s of a busy entry."""
LEAST_TOLD = 2
"""Crashes from which evidence is broadcast and stored: a single one mostly has another cause."""
REPEATS_S = (0.3, 1.0)
"""Delays after which a block is broadcast again, in seconds: an entry may lose two messages."""
RECORD_DELAY_S = 1.0
"""Delay before evidence against a request that is not blocked is stored, in seconds: an answer in
this time makes the record unnecessary."""
STAND_IN_DELAY_S = 2.0
"""Delay after which the next collector writes a record that the one before has not, in seconds:
longer than a store watch takes to deliver the record."""
ALONE_DELAY_S = 0.5
"""Time for which an entry waits for a broadcast of a collector before it writes a record itself,
in seconds."""
TRIALS_AFTER_S = (30.0, 300.0)
"""Delays after which a blocked request may run once more, in seconds: the fault that crashed its
targets may be fixed by then."""


class Audience(StrEnum):
    """Recipients of a broadcast."""

    FLEET = "fleet"
    HALL = "hall"


class Message(NamedTuple):
    """Evidence to send to other entries.

    Attributes
    ----------
    to : tuple of str, or Audience
        Names of the receiving entries, or all other entries of the fleet or of the own hall.
    """

    to: tuple[str, ...] | Audience
    evidence: Evidence


class Block(NamedTuple):
    """The block of a request: why it is not sent, and when it may run again.

    Attributes
    ----------
    ends : int
        Targets that crashed while running it.
    retry_after_s : float
        Time until the next trial run or the end of the block, in seconds.
    trial : int or None
        Index into `TRIALS_AFTER_S` of a trial run that is due and that one entry may use; None if
        none is due.
    """

    ends: int
    retry_after_s: float
    trial: int | None


class BlockChange(NamedTuple):
    """A request that has just become blocked or unblocked, for the log."""

    evidence: Evidence
    is_blocked: bool


class Quarantine:
    """The quarantine of one entry: blocked requests, and evidence to send and to store.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    settings : QuarantineSettings
        Numbers of crashes that block a request, and how long they count.
    find_collectors : callable
        Returns the names of a request's collectors by its digest, the fleet's first.
    on_change : callable
        Called with each request that becomes blocked or unblocked.

    Notes
    -----
    Times are passed in as ``now``, in seconds of any monotonic clock.
    """

    def __init__(
        self,
        own_name: str,
        settings: QuarantineSettings,
        find_collectors: Callable[[str], Sequence[str]],
        *,
        on_change: Callable[[BlockChange], None] = lambda _: None,
    ) -> None:
        self._own_name = own_name
        self.settings = settings
        self._find_collectors = find_collectors
        self._on_change = on_change
        self._watches: OrderedDict[str, Watch] = OrderedDict()
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        self._outbox: list[Message] = []

    def find_block(self, request: Identity, now: float) -> Block | None:
        """Return why a request must not be sent; None if it may be sent."""
        watch = self._watches.get(request.digest)
        if watch is None:
            return None
        watch.case.forget_before(now - self.settings.memory_s)
        self._judge(watch, now)
        if not watch.case.is_blocked_for(request.caller, self.settings):
            return None
        self._watches.move_to_end(request.digest)
        blocked_at = watch.case.find_blocked_at(self.settings)
        due = sum(now >= blocked_at + after_s for after_s in TRIALS_AFTER_S)
        trial = due - 1 if due and due - 1 not in watch.trials_taken else None
        times = [blocked_at + after_s for after_s in TRIALS_AFTER_S[due:]]
        times.append(watch.case.find_blocked_until(self.settings))
        return Block(watch.case.count_ends(), max(0.0, min(times) - now), trial)

    def note_trial(self, digest: str, trial: int) -> None:
        """Record that this entry or another has used a trial run."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.trials_taken.add(trial)

    def note_end(self, request: Identity, target: str, now: float) -> bool:
        """Record that a target crashed during an attempt of this entry.

        Return False if the crash is already recorded or the quarantine is switched off.
        """
        if not self.settings.limit:
            return False
        watch = self._watch(request.digest)
        if not watch.case.add_end(target, request.caller, now):
            return False
        watch.case.has_own_end = True
        answered_at = self._find_answer(request.digest, now)
        if answered_at is not None:
            watch.case.clear_before(answered_at)
        self._judge(watch, now)
        self._tell_collectors(watch, now)
        self._tell_all_if_collector(watch, now)
        self._plan_record(watch, now)
        return True

    def note_answer(self, digest: str, now: float) -> bool:
        """Record that a target answered a request successfully, and so did not crash from it.

        Returns
        -------
        bool
            Whether the answer clears crashes of the request, so that others must be notified.
        """
        self._sound_at[digest] = now
        self._sound_at.move_to_end(digest)
        if len(self._sound_at) > SOUND_KEPT:
            self._sound_at.popitem(last=False)
        watch = self._watches.get(digest)
        if watch is None or not watch.case.count_ends() or not watch.case.clear_before(now):
            return False
        self._spread(watch, now)
        return True

    def _find_answer(self, digest: str, now: float) -> float | None:
        """Return when this entry last got an answer to a request; None if none is recent."""
        answered_at = self._sound_at.get(digest)
        if answered_at is None or answered_at < now - self.settings.sound_s:
            return None
        return answered_at

    def take(self, evidence: Evidence, now: float, *, is_for_all: bool = False) -> None:
        """Merge evidence received from another entry.

        Parameters
        ----------
        is_broadcast : bool, optional
            Whether a collector sent it to all entries.
        """
        watch = self._watch(evidence.digest)
        if is_for_all:
            watch.heard = evidence
        self._merge(watch, evidence, now)

    def take_record(self, evidence: Evidence, now: float) -> None:
        """Merge evidence read from the store."""
        watch = self._watch(evidence.digest)
        watch.recorded = evidence
        self._merge(watch, evidence, now)

    def lose_record(self, digest: str, now: float) -> None:
        """Handle the removal of a request's record; plan to write it again if still needed."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.recorded = None
            watch.case.forget_before(now - self.settings.memory_s)
            self._plan_record(watch, now)

    def _merge(self, watch: Watch, evidence: Evidence, now: float) -> None:
        """Merge evidence, and clear crashes in it that a recent answer at this entry refutes."""
        is_news = watch.case.merge(evidence, now)
        answered_at = self._find_answer(evidence.digest, now)
        if answered_at is not None and watch.case.clear_before(answered_at):
            self._spread(watch, now)
            return
        if is_news:
            self._judge(watch, now)
            self._tell_all_if_collector(watch, now)
        self._plan_record(watch, now)

    def recheck_collectors(self, now: float) -> None:
        """Send the crashes seen by this entry to collectors that were not collectors before."""
        for watch in self._watches.values():
            if watch.case.has_own_end and watch.case.count_ends():
                collectors = self._list_other_collectors(watch)
                if set(collectors) - set(watch.collectors):
                    self._tell_collectors(watch, now)

    def _spread(self, watch: Watch, now: float) -> None:
        """Update whether a request is blocked, notify other entries and plan the record."""
        self._judge(watch, now)
        self._tell_collectors(watch, now)
        self._tell_all_if_collector(watch, now)
        self._plan_record(watch, now)

    def _judge(self, watch: Watch, now: float) -> None:
        """Recompute whether a request is blocked, and report a change."""
        is_blocked = watch.case.is_blocked(self.settings)
        if is_blocked == watch.is_blocked:
            return
        watch.is_blocked = is_blocked
        if not is_blocked:
            watch.trials_taken.clear()
            watch.repeats.clear()
        self._on_change(BlockChange(watch.case.build_evidence(now), is_blocked))

    def _is_known(self, watch: Watch, evidence: Evidence | None) -> bool:
        """Check whether a receiver that has ``evidence`` needs no further evidence."""
        if evidence is None or watch.case.is_covered_by(evidence):
            return evidence is not None
        if not watch.is_blocked:
            return False
        # Further crashes change nothing if the receiver blocks it for the same callers already.
        case = Case.from_evidence(evidence, 0.0)
        is_blocked_for_all = len(case.list_callers()) > 1 or len(watch.case.list_callers()) == 1
        return is_blocked_for_all and case.is_blocked(self.settings)

    def _list_other_collectors(self, watch: Watch) -> tuple[str, ...]:
        """Return a request's collectors without this entry."""
        collectors = self._find_collectors(watch.case.digest)
        return tuple(name for name in collectors if name != self._own_name)

    def _tell_collectors(self, watch: Watch, now: float) -> None:
        """Queue a message with the current evidence to the other collectors."""
        watch.collectors = self._list_other_collectors(watch)
        if watch.collectors:
            self._outbox.append(Message(watch.collectors, watch.case.build_evidence(now)))

    def _tell_all_if_collector(self, watch: Watch, now: float) -> None:
        """Broadcast the evidence if this entry is a collector and it is new and sufficient."""
        is_collector = self._own_name in self._find_collectors(watch.case.digest)
        is_worth = watch.case.count_ends() >= LEAST_TOLD or watch.told is not None
        if not is_collector or not is_worth or self._is_known(watch, watch.told):
            return
        self._tell_all(watch, now)
        if watch.is_blocked:
            watch.repeats = [now + after_s for after_s in REPEATS_S]

    def _tell_all(self, watch: Watch, now: float) -> None:
        """Queue a broadcast to the fleet or, as the hall's own collector, to the hall."""
        watch.told = watch.case.build_evidence(now)
        place = self._find_collectors(watch.case.digest).index(self._own_name)
        audience = Audience.FLEET if place < FLEET_COLLECTORS else Audience.HALL
        self._outbox.append(Message(audience, watch.told))

    def _plan_record(self, watch: Watch, now: float) -> None:
        """Plan when this entry writes a record unless another entry has written it by then.

        The first collector writes at once.  Others wait for their turn if they have received a
        broadcast; without one, they assume that no collector can be reached.
        """
        planned_at, watch.record_at = watch.record_at, None
        is_worth = watch.case.count_ends() >= LEAST_TOLD or watch.recorded is not None
        if not is_worth or self._is_known(watch, watch.recorded):
            return
        collectors = list(self._find_collectors(watch.case.digest))
        is_collector = self._own_name in collectors
        if not is_collector and not watch.case.has_own_end:
            return
        place = collectors.index(self._own_name) if is_collector else len(collectors)
        delay_s = 0.0 if watch.is_blocked else RECORD_DELAY_S
        is_heard = self._is_known(watch, watch.heard)
        if place:
            delay_s += place * STAND_IN_DELAY_S if is_heard else ALONE_DELAY_S
        is_later = planned_at is not None and planned_at < now + delay_s and not is_heard
        watch.record_at = planned_at if is_later else now + delay_s

    def find_due(self) -> float | None:
        """Return when the next message or record is due; None if none is."""
        if self._outbox:
            return 0.0
        return min(self._iter_due(), default=None)

    def _iter_due(self) -> Iterator[float]:
        """Yield the times at which records and repeated broadcasts are due."""
        for watch in self._watches.values():
            if watch.record_at is not None:
                yield watch.record_at
            yield from watch.repeats

    def take_messages(self, now: float) -> list[Message]:
        """Remove and return the messages that are due."""
        for watch in self._watches.values():
            if watch.repeats and watch.repeats[0] <= now:
                watch.repeats = [at for at in watch.repeats if at > now]
                if self._own_name in self._find_collectors(watch.case.digest):
                    self._tell_all(watch, now)
        messages, self._outbox = self._outbox, []
        return messages

    def take_record_due(self, now: float) -> Evidence | None:
        """Return one record that is due, blocked requests first, and drop it from the plan."""
        due = [w for w in self._watches.values() if w.record_at is not None and w.record_at <= now]
        if not due:
            return None
        watch = max(due, key=lambda w: w.is_blocked)
        watch.record_at = None
        return watch.case.build_evidence(now)

    def note_recorded(self, evidence: Evidence) -> None:
        """Record that the store has accepted a record of this entry."""
        watch = self._watches.get(evidence.digest)
        if watch is not None:
            watch.recorded = evidence

    def retry_record(self, digest: str, at: float) -> None:
        """Plan another attempt to write a record that the store did not accept."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.record_at = at

    def forget_old(self, now: float) -> None:
        """Remove expired crashes, and requests without any."""
        for digest, watch in list(self._watches.items()):
            watch.case.forget_before(now - self.settings.memory_s)
            self._judge(watch, now)
            if not watch.case.count_ends() and watch.record_at is None:
                del self._watches[digest]

    def count_suspects(self) -> int:
        """Count the requests that are blamed for crashes."""
        return sum(watch.case.count_ends() > 0 for watch in self._watches.values())

    def count_blocked(self) -> int:
        """Count the blocked requests."""
        return sum(watch.is_blocked for watch in self._watches.values())

    def _watch(self, digest: str) -> Watch:
        """Return the state of a request, adding it if new.

        Where `TRACKED_KEPT` requests are held, the least recently used one that is not blocked is
        removed.
        """
        watch = self._watches.get(digest)
        if watch is None:
            if len(self._watches) >= CASES_KEPT:
                free = (d for d, w in self._watches.items() if not w.is_blocked)
                del self._watches[next(free, next(iter(self._watches)))]
            watch = self._watches[digest] = Watch(digest)
        self._watches.move_to_end(digest)
        return watch
