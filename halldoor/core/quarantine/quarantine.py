"""Block requests that crash targets, at whichever entry they arrive next.

Load pattern: one request crashes each target that starts to run it, and its caller retries it at
any entry.  Each entry sees only one or two of the crashes and can't tell their cause, and the
service loses targets faster than they restart.  So crashes are added up over all entries, and after
a few of them no entry sends the request any more.  While no target crashes, no messages are sent
and nothing is written to the store.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import NamedTuple

from halldoor.core.quarantine.collectors import FLEET_COLLECTORS
from halldoor.core.quarantine.evidence import CrashHistory, Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.message import Audience, Message
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.quarantine.watch import TrackedRequest

TRACKED_KEPT = 4096
"""Most requests whose crashes are kept, about 2 MB, so that callers can't exhaust the memory."""
ANSWERS_KEPT = 4096
"""Requests whose last answer is kept: about the last 50 s of a busy entry."""
MIN_CRASHES = 2
"""Crashes from which evidence is broadcast and stored: a single one mostly has another cause."""
REBROADCAST_DELAYS_S = (0.3, 1.0)
"""Delays after which a block is broadcast again, in seconds: an entry may lose two messages."""
UNBLOCKED_RECORD_DELAY_S = 1.0
"""Delay before evidence against a request that is not blocked is stored, in seconds: an answer in
this time makes the record unnecessary."""
BACKUP_RECORD_DELAY_S = 2.0
"""Delay after which the next collector writes a record that the one before has not, in seconds:
longer than a store watch takes to deliver the record."""
NO_BROADCAST_DELAY_S = 0.5
"""Time for which an entry waits for a broadcast of a collector before it writes a record itself,
in seconds."""
TRIALS_AFTER_S = (30.0, 300.0)
"""Delays after which a blocked request may run once more, in seconds: the fault that crashed its
targets may be fixed by then."""


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
        self._tracked: OrderedDict[str, TrackedRequest] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._outbox: list[Message] = []

    def find_block(self, request: Identity, now: float) -> Block | None:
        """Return why a request must not be sent; None if it may be sent."""
        tracked = self._tracked.get(request.digest)
        if tracked is None:
            return None
        tracked.history.remove_before(now - self.settings.memory_s)
        self._update_blocked(tracked, now)
        if not tracked.history.is_blocked_for(request.caller, self.settings):
            return None
        self._tracked.move_to_end(request.digest)
        blocked_at = tracked.history.find_blocked_at(self.settings)
        due = sum(now >= blocked_at + after_s for after_s in TRIALS_AFTER_S)
        trial = due - 1 if due and due - 1 not in tracked.trials_taken else None
        times = [blocked_at + after_s for after_s in TRIALS_AFTER_S[due:]]
        times.append(tracked.history.find_blocked_until(self.settings))
        return Block(tracked.history.count_crashes(), max(0.0, min(times) - now), trial)

    def record_trial(self, digest: str, trial: int) -> None:
        """Record that this entry or another has used a trial run."""
        tracked = self._tracked.get(digest)
        if tracked is not None:
            tracked.trials_taken.add(trial)

    def record_crash(self, request: Identity, target: str, now: float) -> bool:
        """Record that a target crashed during an attempt of this entry.

        Return False if the crash is already recorded or the quarantine is switched off.
        """
        if not self.settings.limit:
            return False
        tracked = self._track(request.digest)
        if not tracked.history.add_crash(target, request.caller, now):
            return False
        tracked.history.has_own_crash = True
        answered_at = self._find_recent_answer(request.digest, now)
        if answered_at is not None:
            tracked.history.record_answer(answered_at)
        self._update_blocked(tracked, now)
        self._notify_collectors(tracked, now)
        self._broadcast_if_collector(tracked, now)
        self._plan_record(tracked, now)
        return True

    def record_answer(self, digest: str, now: float) -> bool:
        """Record that a target answered a request successfully, and so did not crash from it.

        Returns
        -------
        bool
            Whether the answer clears crashes of the request, so that others must be notified.
        """
        self._answered_at[digest] = now
        self._answered_at.move_to_end(digest)
        if len(self._answered_at) > ANSWERS_KEPT:
            self._answered_at.popitem(last=False)
        tracked = self._tracked.get(digest)
        if (
            tracked is None
            or not tracked.history.count_crashes()
            or not tracked.history.record_answer(now)
        ):
            return False
        self._update_and_notify(tracked, now)
        return True

    def list_blamed_since(self, at: float) -> set[str]:
        """List the targets whose crashes since a time any request is blamed for."""
        histories = [tracked.history for tracked in self._tracked.values()]
        return {target for history in histories for target in history.list_blamed_since(at)}

    def list_blamed_for(self, digest: str) -> set[str]:
        """List the targets whose crashes a request is blocked for; none if it is not blocked."""
        tracked = self._tracked.get(digest)
        if tracked is None or not tracked.is_blocked:
            return set()
        return set(tracked.history.list_blamed_since(-math.inf))

    def refute_crashes(self, targets: Collection[str], now: float) -> int:
        """Clear the crashes of targets that were found running; return the number of requests."""
        refuted = [tracked for tracked in self._tracked.values() if tracked.history.refute(targets)]
        for tracked in refuted:
            self._update_and_notify(tracked, now)
        return len(refuted)

    def _find_recent_answer(self, digest: str, now: float) -> float | None:
        """Return when this entry last got an answer to a request; None if none is recent."""
        answered_at = self._answered_at.get(digest)
        if answered_at is None or answered_at < now - self.settings.sound_s:
            return None
        return answered_at

    def merge_evidence(self, evidence: Evidence, now: float, *, is_broadcast: bool = False) -> None:
        """Merge evidence received from another entry.

        Parameters
        ----------
        is_broadcast : bool, optional
            Whether a collector sent it to all entries.
        """
        tracked = self._track(evidence.digest)
        if is_broadcast:
            tracked.last_received = evidence
        self._merge(tracked, evidence, now)

    def merge_record(self, evidence: Evidence, now: float) -> None:
        """Merge evidence read from the store."""
        tracked = self._track(evidence.digest)
        tracked.recorded = evidence
        self._merge(tracked, evidence, now)

    def handle_removed_record(self, digest: str, now: float) -> None:
        """Handle the removal of a request's record; plan to write it again if still needed."""
        tracked = self._tracked.get(digest)
        if tracked is not None:
            tracked.recorded = None
            tracked.history.remove_before(now - self.settings.memory_s)
            self._plan_record(tracked, now)

    def _merge(self, tracked: TrackedRequest, evidence: Evidence, now: float) -> None:
        """Merge evidence, and clear crashes in it that a recent answer at this entry refutes."""
        has_changed = tracked.history.merge(evidence, now)
        answered_at = self._find_recent_answer(evidence.digest, now)
        if answered_at is not None and tracked.history.record_answer(answered_at):
            self._update_and_notify(tracked, now)
            return
        if has_changed:
            self._update_blocked(tracked, now)
            self._broadcast_if_collector(tracked, now)
        self._plan_record(tracked, now)

    def notify_new_collectors(self, now: float) -> None:
        """Send the crashes seen by this entry to collectors that were not collectors before."""
        for tracked in self._tracked.values():
            if tracked.history.has_own_crash and tracked.history.count_crashes():
                collectors = self._list_other_collectors(tracked)
                if set(collectors) - set(tracked.notified):
                    self._notify_collectors(tracked, now)

    def _update_and_notify(self, tracked: TrackedRequest, now: float) -> None:
        """Update whether a request is blocked, notify other entries and plan the record."""
        self._update_blocked(tracked, now)
        self._notify_collectors(tracked, now)
        self._broadcast_if_collector(tracked, now)
        self._plan_record(tracked, now)

    def _update_blocked(self, tracked: TrackedRequest, now: float) -> None:
        """Recompute whether a request is blocked, and report a change."""
        is_blocked = tracked.history.is_blocked(self.settings)
        if is_blocked == tracked.is_blocked:
            return
        tracked.is_blocked = is_blocked
        if not is_blocked:
            tracked.trials_taken.clear()
            tracked.rebroadcast_at.clear()
        self._on_change(BlockChange(tracked.history.build_evidence(now), is_blocked))

    def _is_informed(self, tracked: TrackedRequest, evidence: Evidence | None) -> bool:
        """Check whether a receiver that has ``evidence`` needs no further evidence."""
        if evidence is None or tracked.history.is_covered_by(evidence):
            return evidence is not None
        if not tracked.is_blocked:
            return False
        # Further crashes change nothing if the receiver blocks it for the same callers already.
        receiver = CrashHistory.from_evidence(evidence, 0.0)
        is_blocked_for_all = (
            len(receiver.list_callers()) > 1 or len(tracked.history.list_callers()) == 1
        )
        return is_blocked_for_all and receiver.is_blocked(self.settings)

    def _list_other_collectors(self, tracked: TrackedRequest) -> tuple[str, ...]:
        """Return a request's collectors without this entry."""
        collectors = self._find_collectors(tracked.history.digest)
        return tuple(name for name in collectors if name != self._own_name)

    def _notify_collectors(self, tracked: TrackedRequest, now: float) -> None:
        """Queue a message with the current evidence to the other collectors."""
        tracked.notified = self._list_other_collectors(tracked)
        if tracked.notified:
            self._outbox.append(Message(tracked.notified, tracked.history.build_evidence(now)))

    def _broadcast_if_collector(self, tracked: TrackedRequest, now: float) -> None:
        """Broadcast the evidence if this entry is a collector and it is new and sufficient."""
        is_enough = tracked.history.count_crashes() >= MIN_CRASHES or tracked.last_sent is not None
        if not is_enough or self._is_informed(tracked, tracked.last_sent):
            return
        if self._own_name not in self._find_collectors(tracked.history.digest):
            return
        self._broadcast(tracked, now)
        if tracked.is_blocked:
            tracked.rebroadcast_at = [now + after_s for after_s in REBROADCAST_DELAYS_S]

    def _broadcast(self, tracked: TrackedRequest, now: float) -> None:
        """Queue a broadcast to the fleet or, as the hall's own collector, to the hall."""
        tracked.last_sent = tracked.history.build_evidence(now)
        rank = self._find_collectors(tracked.history.digest).index(self._own_name)
        audience = Audience.FLEET if rank < FLEET_COLLECTORS else Audience.HALL
        self._outbox.append(Message(audience, tracked.last_sent))

    def _plan_record(self, tracked: TrackedRequest, now: float) -> None:
        """Plan when this entry writes a record unless another entry has written it by then.

        The first collector writes at once.  Others wait for their turn if they have received a
        broadcast; without one, they assume that no collector can be reached.
        """
        planned_at, tracked.record_at = tracked.record_at, None
        is_enough = tracked.history.count_crashes() >= MIN_CRASHES or tracked.recorded is not None
        if not is_enough or self._is_informed(tracked, tracked.recorded):
            return
        collectors = list(self._find_collectors(tracked.history.digest))
        is_collector = self._own_name in collectors
        if not is_collector and not tracked.history.has_own_crash:
            return
        rank = collectors.index(self._own_name) if is_collector else len(collectors)
        delay_s = 0.0 if tracked.is_blocked else UNBLOCKED_RECORD_DELAY_S
        has_broadcast = self._is_informed(tracked, tracked.last_received)
        if rank:
            delay_s += rank * BACKUP_RECORD_DELAY_S if has_broadcast else NO_BROADCAST_DELAY_S
        is_later = planned_at is not None and planned_at < now + delay_s and not has_broadcast
        tracked.record_at = planned_at if is_later else now + delay_s

    def find_due(self) -> float | None:
        """Return when the next message or record is due; None if none is."""
        if self._outbox:
            return 0.0
        return min(self._iter_due(), default=None)

    def _iter_due(self) -> Iterator[float]:
        """Yield the times at which records and repeated broadcasts are due."""
        for tracked in self._tracked.values():
            if tracked.record_at is not None:
                yield tracked.record_at
            yield from tracked.rebroadcast_at

    def pop_messages(self, now: float) -> list[Message]:
        """Remove and return the messages that are due."""
        for tracked in self._tracked.values():
            if tracked.rebroadcast_at and tracked.rebroadcast_at[0] <= now:
                tracked.rebroadcast_at = [at for at in tracked.rebroadcast_at if at > now]
                if self._own_name in self._find_collectors(tracked.history.digest):
                    self._broadcast(tracked, now)
        messages, self._outbox = self._outbox, []
        return messages

    def pop_due_record(self, now: float) -> Evidence | None:
        """Return one record that is due, blocked requests first, and drop it from the plan."""
        due = [w for w in self._tracked.values() if w.record_at is not None and w.record_at <= now]
        if not due:
            return None
        tracked = max(due, key=lambda w: w.is_blocked)
        tracked.record_at = None
        return tracked.history.build_evidence(now)

    def confirm_record(self, evidence: Evidence) -> None:
        """Record that the store has accepted a record of this entry."""
        tracked = self._tracked.get(evidence.digest)
        if tracked is not None:
            tracked.recorded = evidence

    def retry_record(self, digest: str, at: float) -> None:
        """Plan another attempt to write a record that the store did not accept."""
        tracked = self._tracked.get(digest)
        if tracked is not None:
            tracked.record_at = at

    def remove_expired(self, now: float) -> None:
        """Remove expired crashes, and requests without any."""
        for digest, tracked in list(self._tracked.items()):
            tracked.history.remove_before(now - self.settings.memory_s)
            self._update_blocked(tracked, now)
            if not tracked.history.count_crashes() and tracked.record_at is None:
                del self._tracked[digest]

    def count_suspects(self) -> int:
        """Count the requests that are blamed for crashes."""
        return sum(tracked.history.count_crashes() > 0 for tracked in self._tracked.values())

    def count_blocked(self) -> int:
        """Count the blocked requests."""
        return sum(tracked.is_blocked for tracked in self._tracked.values())

    def _track(self, digest: str) -> TrackedRequest:
        """Return the state of a request, adding it if new.

        Where `TRACKED_KEPT` requests are held, the least recently used one that is not blocked is
        removed.
        """
        tracked = self._tracked.get(digest)
        if tracked is None:
            if len(self._tracked) >= TRACKED_KEPT:
                unblocked = (d for d, w in self._tracked.items() if not w.is_blocked)
                del self._tracked[next(unblocked, next(iter(self._tracked)))]
            tracked = self._tracked[digest] = TrackedRequest(digest)
        self._tracked.move_to_end(digest)
        return tracked
