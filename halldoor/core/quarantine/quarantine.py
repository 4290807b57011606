"""Stop requests under which targets end, wherever they come in next.

Load pattern: one request ends each target that begins to run it, and its caller sends it again and
again, at any entry.  Each entry sees one or two of the ends, none can tell, and the service loses
its targets faster than they come back.  So the ends are summed up over all entries, and past a few
of them nobody sends the request any more.  Nothing is sent, and nothing is written to the store,
while no target ends.
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
"""Requests that are remembered for ends, about 2 MB; callers can't make an entry remember more."""
SOUND_KEPT = 4096
"""Requests that are remembered for answers: the last 50 s of a busy entry."""
LEAST_TOLD = 2
"""Ends from which all entries are told: one alone is mostly a target's own."""
REPEATS_S = (0.3, 1.0)
"""When a block is told again, in seconds, so that two messages to an entry may be lost."""
RECORD_DELAY_S = 1.0
"""Time for a request that is not blocked to be answered before it is recorded, in seconds."""
STAND_IN_DELAY_S = 2.0
"""Time until another entry records what the first has not, in seconds: above that of a watch."""
ALONE_DELAY_S = 0.5
"""Time for the collectors to be heard before an entry records its own ends, in seconds."""
TRIALS_AFTER_S = (30.0, 300.0)
"""When a blocked request may run once more, in seconds: what ended its targets may be mended."""


class Audience(StrEnum):
    """Who is told, where it is not some entries by name."""

    FLEET = "fleet"
    HALL = "hall"


class Message(NamedTuple):
    """Evidence for others.

    Attributes
    ----------
    to : tuple of str, or Audience
        Names of entries, or all others of the fleet or of the own hall.
    """

    to: tuple[str, ...] | Audience
    evidence: Evidence


class Block(NamedTuple):
    """Why a request is not sent.

    Attributes
    ----------
    ends : int
        Targets that ended under it.
    retry_after_s : float
        When it may run again, if only once, in seconds.
    trial : int or None
        Number of the run that one entry may try now; None where none is due.
    """

    ends: int
    retry_after_s: float
    trial: int | None


class BlockChange(NamedTuple):
    """A request that is blocked now, or no longer is; for logs."""

    evidence: Evidence
    is_blocked: bool


class Quarantine:
    """One entry's part in it.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    settings : QuarantineSettings
        Bounds.
    find_collectors : callable
        Gives the names of a request's collectors, the fleet's first.
    on_change : callable
        Called with each request that becomes blocked, or no longer is.

    Notes
    -----
    Times come in as ``now``, in seconds of any steady clock.
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

    # What callers' requests ask

    def find_block(self, request: Identity, now: float) -> Block | None:
        """Find why a request must not be sent; None where it may."""
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
        """Record that a trial was taken, by this entry or another."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.trials_taken.add(trial)

    # What this entry sees

    def note_end(self, request: Identity, target: str, now: float) -> bool:
        """Record that a target ended under a request; False where that is known."""
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
        """Record that a target answered a request soundly, and so did not end under it.

        Returns
        -------
        bool
            It speaks for a request under which targets ended, and others are to be told.
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
        """Return when this entry last had an answer; None where that is too long ago."""
        answered_at = self._sound_at.get(digest)
        if answered_at is None or answered_at < now - self.settings.sound_s:
            return None
        return answered_at

    # What others know

    def take(self, evidence: Evidence, now: float, *, is_for_all: bool = False) -> None:
        """Take what another entry tells.

        Parameters
        ----------
        is_for_all : bool, optional
            It told everybody: it is a collector.
        """
        watch = self._watch(evidence.digest)
        if is_for_all:
            watch.heard = evidence
        self._merge(watch, evidence, now)

    def take_record(self, evidence: Evidence, now: float) -> None:
        """Take what the store holds."""
        watch = self._watch(evidence.digest)
        watch.recorded = evidence
        self._merge(watch, evidence, now)

    def lose_record(self, digest: str, now: float) -> None:
        """Record that the store no longer holds anything of a request; it may have to again."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.recorded = None
            watch.case.forget_before(now - self.settings.memory_s)
            self._plan_record(watch, now)

    def _merge(self, watch: Watch, evidence: Evidence, now: float) -> None:
        """Merge evidence, and add what this entry knows to the contrary."""
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
        """Tell collects now of this entry's ends, where others counted before."""
        for watch in self._watches.values():
            if watch.case.has_own_end and watch.case.count_ends():
                collectors = self._list_other_collectors(watch)
                if set(collectors) - set(watch.collectors):
                    self._tell_collectors(watch, now)

    # Telling others

    def _spread(self, watch: Watch, now: float) -> None:
        """Judge anew, and let the others know."""
        self._judge(watch, now)
        self._tell_collectors(watch, now)
        self._tell_all_if_collector(watch, now)
        self._plan_record(watch, now)

    def _judge(self, watch: Watch, now: float) -> None:
        """Record whether a request is blocked."""
        is_blocked = watch.case.is_blocked(self.settings)
        if is_blocked == watch.is_blocked:
            return
        watch.is_blocked = is_blocked
        if not is_blocked:
            watch.trials_taken.clear()
            watch.repeats.clear()
        self._on_change(BlockChange(watch.case.build_evidence(now), is_blocked))

    def _is_known(self, watch: Watch, evidence: Evidence | None) -> bool:
        """Check whether who has some evidence need not be told more."""
        if evidence is None or watch.case.is_covered_by(evidence):
            return evidence is not None
        if not watch.is_blocked:
            return False
        # Further ends change nothing where the request is blocked for as many callers.
        case = Case.from_evidence(evidence, 0.0)
        is_blocked_for_all = len(case.list_callers()) > 1 or len(watch.case.list_callers()) == 1
        return is_blocked_for_all and case.is_blocked(self.settings)

    def _list_other_collectors(self, watch: Watch) -> tuple[str, ...]:
        """List a request's collectors, this entry left out."""
        collectors = self._find_collectors(watch.case.digest)
        return tuple(name for name in collectors if name != self._own_name)

    def _tell_collectors(self, watch: Watch, now: float) -> None:
        """Tell the collectors."""
        watch.collectors = self._list_other_collectors(watch)
        if watch.collectors:
            self._outbox.append(Message(watch.collectors, watch.case.build_evidence(now)))

    def _tell_all_if_collector(self, watch: Watch, now: float) -> None:
        """Tell everybody, where this entry counts and there is enough to tell."""
        is_collector = self._own_name in self._find_collectors(watch.case.digest)
        is_worth = watch.case.count_ends() >= LEAST_TOLD or watch.told is not None
        if not is_collector or not is_worth or self._is_known(watch, watch.told):
            return
        self._tell_all(watch, now)
        if watch.is_blocked:
            watch.repeats = [now + after_s for after_s in REPEATS_S]

    def _tell_all(self, watch: Watch, now: float) -> None:
        """Tell everybody for whom this entry counts: the fleet, or its hall."""
        watch.told = watch.case.build_evidence(now)
        place = self._find_collectors(watch.case.digest).index(self._own_name)
        audience = Audience.FLEET if place < FLEET_COLLECTORS else Audience.HALL
        self._outbox.append(Message(audience, watch.told))

    def _plan_record(self, watch: Watch, now: float) -> None:
        """Plan when this entry records a case, unless another has done so by then."""
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

    # What is due

    def find_due(self) -> float | None:
        """Return when something is due; None while nothing is."""
        if self._outbox:
            return 0.0
        return min(self._iter_due(), default=None)

    def _iter_due(self) -> Iterator[float]:
        """Return the times at which something is due."""
        for watch in self._watches.values():
            if watch.record_at is not None:
                yield watch.record_at
            yield from watch.repeats

    def take_messages(self, now: float) -> list[Message]:
        """Take what is to be sent now."""
        for watch in self._watches.values():
            if watch.repeats and watch.repeats[0] <= now:
                watch.repeats = [at for at in watch.repeats if at > now]
                if self._own_name in self._find_collectors(watch.case.digest):
                    self._tell_all(watch, now)
        messages, self._outbox = self._outbox, []
        return messages

    def take_record_due(self, now: float) -> Evidence | None:
        """Take one case that is to be recorded now, a blocked one first; None where none is."""
        due = [w for w in self._watches.values() if w.record_at is not None and w.record_at <= now]
        if not due:
            return None
        watch = max(due, key=lambda w: w.is_blocked)
        watch.record_at = None
        return watch.case.build_evidence(now)

    def note_recorded(self, evidence: Evidence) -> None:
        """Record that the store took what this entry recorded."""
        watch = self._watches.get(evidence.digest)
        if watch is not None:
            watch.recorded = evidence

    def retry_record(self, digest: str, at: float) -> None:
        """Plan again to record what the store did not take."""
        watch = self._watches.get(digest)
        if watch is not None:
            watch.record_at = at

    # What is remembered

    def forget_old(self, now: float) -> None:
        """Forget the requests under which no target ended for long."""
        for digest, watch in list(self._watches.items()):
            watch.case.forget_before(now - self.settings.memory_s)
            self._judge(watch, now)
            if not watch.case.count_ends() and watch.record_at is None:
                del self._watches[digest]

    def count_suspects(self) -> int:
        """Count the requests under which targets ended."""
        return sum(watch.case.count_ends() > 0 for watch in self._watches.values())

    def count_blocked(self) -> int:
        """Count the requests that are blocked."""
        return sum(watch.is_blocked for watch in self._watches.values())

    def _watch(self, digest: str) -> Watch:
        """Return what is known of a request; the least lately met one makes room."""
        watch = self._watches.get(digest)
        if watch is None:
            if len(self._watches) >= CASES_KEPT:
                free = (d for d, w in self._watches.items() if not w.is_blocked)
                del self._watches[next(free, next(iter(self._watches)))]
            watch = self._watches[digest] = Watch(digest)
        self._watches.move_to_end(digest)
        return watch
