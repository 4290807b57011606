"""Admission to the hall's own targets: a target, and the right to send to it."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure, Result, Success

from halldoor.core.errors import Reason, Refusal, refuse
from halldoor.core.explaining.decision import PassedOver
from halldoor.core.hall.health import HealthTable, TargetView
from halldoor.core.hall.policy import Policy
from halldoor.core.hall.slots import Hold, Loan, SlotKey, SlotTable
from halldoor.core.invariant import Invariants
from halldoor.core.steering.configuration import Target
from halldoor.core.steering.snapshot import Snapshot

REST_MARGIN_S = 0.2
"""Time after a deadline in which a target may still be busy with what was cut off."""
SPILL_HEADROOM = 0.1
"""Share of slots that requests from other regions leave free for the hall's own."""

Borrow = Callable[[Sequence[str], float], Hold | None]


class Admission(NamedTuple):
    """A target with room, and the hold on its slot."""

    target: Target
    hold: Hold


class NoAdmission(NamedTuple):
    """Why no target could take a request."""

    refusal: Refusal
    passed_over: list[PassedOver]


class HallRoom:
    """Slots, health and policy of this hall, as one entry sees them.

    One lock guards all of it.  Handing each admission to a task by message was
    weighed: two thread switches a request cost more than the rest of the decision
    (docs/design/concurrency.md).
    """

    def __init__(
        self,
        me: str,
        *,
        policy: Policy,
        invariants: Invariants,
        borrow: Borrow,
        give_back: Callable[[Hold, float], None],
        rest_at_start: bool = True,
    ) -> None:
        # Waiters for a slot sleep on it; whoever frees one wakes one of them.
        self._lock = threading.Condition()
        self._waiting = 0
        self._policy = policy
        self._invariants = invariants
        self._borrow = borrow
        self._give_back = give_back
        self._rest_at_start = rest_at_start
        self._snapshot: Snapshot | None = None
        self._in_flight: dict[str, int] = {}
        self.slots = SlotTable(me)
        self.health = HealthTable()

    def adopt(self, snapshot: Snapshot) -> None:
        """Take over a new revision."""
        now = time.monotonic()
        is_first = self._snapshot is None
        with self._lock:
            old = self._snapshot.hall_targets if self._snapshot else snapshot.hall_targets
            for name in snapshot.hall_targets.keys() - old.keys():
                self.health.mark_cold(name, now=now)
            rest_s = snapshot.rest_s if self._rest_at_start or not is_first else {}
            self.slots.set_roster(
                {t.name: t.slots for t in snapshot.hall_targets.values()},
                [e.name for e in snapshot.hall.entries],
                now=now,
                rest_s=rest_s,
                former=snapshot.hall.former_rosters,
            )
            self._snapshot = snapshot

    def confirm_roster(self, revisions: Mapping[str, int]) -> None:
        """Learn which entries have adopted which revision, so that moved slots can be used."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        wanted = snapshot.hall.roster_revision
        adopted = {name for name, revision in revisions.items() if revision >= wanted}
        adopted.update(snapshot.hall.stopped_entries)
        with self._lock:
            self.slots.confirm(adopted, now=time.monotonic())

    def list_pending(self) -> list[str]:
        """List the former entries that moved slots still wait for."""
        with self._lock:
            return sorted(self.slots.list_pending())

    def admit(
        self,
        targets: Sequence[str],
        *,
        until: float,
        excluded: frozenset[str] = frozenset(),
        is_spill: bool = False,
        wait_s: float = 0.0,
    ) -> Result[Admission, NoAdmission]:
        """Find a target with room and take a slot of it.

        Parameters
        ----------
        targets : sequence of str
            Targets that the selector allows.
        until : float
            Deadline of the request, monotonic seconds.
        excluded : frozenset of str, optional
            Targets already tried.
        is_spill : bool, optional
            The request comes from another region, and leaves some room free.
        wait_s : float, optional
            Time to wait for a slot before giving up.
        """
        now = time.monotonic()
        passed_over: list[PassedOver] = []
        with self._lock:
            self.slots.expire_loans(now)
            names = self._list_candidates(targets, excluded, now, passed_over)
            if is_spill and not self._has_headroom(targets, now):
                return Failure(self._refuse(Reason.NO_ROOM, "keeps room for its own", passed_over))
            admission = self._take_own(names, until, now, passed_over)
        if admission is None and names and until > now:
            # Asking peers takes a round trip, so no lock is held meanwhile.
            admission = self._take_borrowed(names, until)
        if admission is None and names and wait_s > 0:
            admission = self._wait(targets, until=until, excluded=excluded, wait_s=wait_s)
        if admission is not None:
            return Success(admission)
        if not names:
            return Failure(self._refuse(Reason.NO_TARGET, "has no healthy target", passed_over))
        return Failure(self._refuse(Reason.NO_ROOM, "has no free slot", passed_over))

    def _wait(
        self, targets: Sequence[str], *, until: float, excluded: frozenset[str], wait_s: float
    ) -> Admission | None:
        """Wait a short while for an own slot.

        No more wait than there are own slots, so that a wait is about one request long;
        the others are refused at once and can go where there is room.
        """
        ends = min(time.monotonic() + wait_s, until)
        with self._lock:
            if self._waiting >= sum(self.slots.count_home(t) for t in targets):
                return None
            self._waiting += 1
            try:
                while (now := time.monotonic()) < ends:
                    self._lock.wait(ends - now)
                    now = time.monotonic()
                    names = self._list_candidates(targets, excluded, now, [])
                    admission = self._take_own(names, until, now, [])
                    if admission is not None:
                        return admission
            finally:
                self._waiting -= 1
        return None

    def _refuse(self, reason: Reason, what: str, passed_over: list[PassedOver]) -> NoAdmission:
        """Build the refusal of this hall."""
        hall = self._snapshot.hall.name if self._snapshot else "?"
        message = f"Hall {hall} {what} for this request now. Come back in a second."
        return NoAdmission(refuse(reason, message), passed_over)

    def _list_candidates(
        self,
        targets: Sequence[str],
        excluded: frozenset[str],
        now: float,
        passed_over: list[PassedOver],
    ) -> list[str]:
        """Filter and order the targets."""
        if self._snapshot is None:
            return []
        known = self._snapshot.hall_targets
        open_names = []
        for name in targets:
            if name not in known:
                continue
            if known[name].leaving or self.health.is_leaving(name, now):
                passed_over.append(PassedOver(name, "it is leaving"))
            elif name in excluded:
                passed_over.append(PassedOver(name, "it was tried already"))
            else:
                open_names.append(name)
        usable = self.health.filter_usable(open_names, now)
        passed_over += [
            PassedOver(n, "its probes or answers fail") for n in open_names if n not in usable
        ]
        views = [self._view(n, now) for n in usable]
        cold = [v.name for v in views if _is_cold_full(v, self._snapshot.hall_targets[v.name])]
        warm = self._policy.order([v for v in views if v.name not in cold])
        # A cold target past its ramp is a last resort: slow, but better than a refusal.
        return [*warm, *self._policy.order([v for v in views if v.name in cold])]

    def _view(self, name: str, now: float) -> TargetView:
        """Build what the policy sees of one target."""
        share = self.slots.count_home(name)
        return self.health.view(name, in_flight=self._in_flight.get(name, 0), share=share, now=now)

    def _has_headroom(self, targets: Sequence[str], now: float) -> bool:
        """Check whether enough own slots are free to take a request from elsewhere."""
        home = sum(self.slots.count_home(t) for t in targets)
        free = sum(self.slots.count_free(t, now) for t in targets)
        return free > home * SPILL_HEADROOM

    def _take_own(
        self, names: Sequence[str], until: float, now: float, passed_over: list[PassedOver]
    ) -> Admission | None:
        """Take an own slot of the first target that has one."""
        assert self._snapshot is not None or not names
        for name in names:
            hold = self.slots.acquire(name, now=now, until=until)
            if hold is not None:
                return self._count_in(name, hold)
            passed_over.append(PassedOver(name, "no own slot of it was free"))
        return None

    def _take_borrowed(self, names: Sequence[str], until: float) -> Admission | None:
        """Borrow a slot of any of the targets from a peer."""
        hold = self._borrow(names, until)
        if hold is None:
            return None
        with self._lock:
            return self._count_in(hold.key.target, hold)

    def _count_in(self, name: str, hold: Hold) -> Admission:
        """Count a request in."""
        assert self._snapshot is not None
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        self._invariants.check(self.slots.is_consistent(), "slot-in-one-place", name)
        return Admission(self._snapshot.hall_targets[name], hold)

    def may_send(self, admission: Admission) -> bool:
        """Check whether the hold still stands and the target still takes work."""
        now = time.monotonic()
        with self._lock:
            snapshot = self._snapshot
            target = snapshot.hall_targets.get(admission.target.name) if snapshot else None
            is_leaving = target is None or target.leaving
            is_leaving = is_leaving or self.health.is_leaving(admission.target.name, now)
        return now < admission.hold.until and not is_leaving

    def release(self, admission: Admission, *, busy_until: float = 0.0) -> None:
        """Return a slot back.

        Parameters
        ----------
        admission : Admission
            What was admitted.
        busy_until : float, optional
            Time until which the target may still be busy with what was cut off; the
            slot rests a little longer than that.
        """
        hold = admission.hold
        rest_until = busy_until + REST_MARGIN_S if busy_until else 0.0
        name = admission.target.name
        with self._lock:
            self._in_flight[name] -= 1
            if not hold.lender:
                self.slots.release(hold.key, rest_until=rest_until)
                self._lock.notify()
        if hold.lender:
            self._give_back(hold, rest_until)

    def lend(self, targets: Sequence[str], borrower: str, duration_s: float) -> Loan | None:
        """Lend a peer a slot of the first of the targets that has one idle."""
        now = time.monotonic()
        with self._lock:
            self.slots.expire_loans(now)
            for name in targets:
                if self.health.is_leaving(name, now):
                    continue
                loan = self.slots.lend(name, borrower, duration_s=duration_s, now=now)
                if loan is not None:
                    return loan
        return None

    def end_loan(self, number: int, borrower: str, rest_s: float) -> None:
        """Take a lent slot back."""
        with self._lock:
            self.slots.end_loan(number, borrower, rest_until=time.monotonic() + rest_s)
            self._lock.notify()

    def mark(self, target: str, *, is_healthy: bool, is_leaving: bool, load: float = 0.0) -> None:
        """Take a report on a target."""
        with self._lock:
            self.health.add_report(
                target,
                now=time.monotonic(),
                is_healthy=is_healthy,
                is_leaving=is_leaving,
                load=load,
            )

    def mark_leaving(self, target: str) -> None:
        """Believe that a target leaves, whoever said so."""
        with self._lock:
            self.health.mark_leaving(target, now=time.monotonic())

    def mark_cold(self, target: str) -> None:
        """Start a target's ramp."""
        with self._lock:
            self.health.mark_cold(target, now=time.monotonic())

    def is_leaving(self, target: str) -> bool:
        """Check whether a target takes no new work."""
        with self._lock:
            known = self._snapshot.hall_targets.get(target) if self._snapshot else None
            said = known is not None and known.leaving
            return said or self.health.is_leaving(target, time.monotonic())

    def add_result(self, target: str, *, is_good: bool, latency_s: float = 0.0) -> None:
        """Learn from a request's end."""
        with self._lock:
            if is_good:
                self.health.add_success(target, latency_s)
            else:
                self.health.add_failure(target, now=time.monotonic())

    def add_shed(self, target: str) -> None:
        """Learn that a target shed a request."""
        with self._lock:
            self.health.add_shed(target, now=time.monotonic())

    def count(self) -> dict[str, SlotCount]:
        """Count the own slots of every target of the hall."""
        now = time.monotonic()
        with self._lock:
            # Peers ask for loans by these counts, also of an entry that nobody else asks.
            self.slots.expire_loans(now)
            names = self._snapshot.hall_targets if self._snapshot else {}
            return {
                name: SlotCount(
                    self.slots.count_home(name),
                    self.slots.count_free(name, now),
                    self.slots.count_busy(name),
                    self.slots.count_lent(name),
                    self._in_flight.get(name, 0),
                )
                for name in names
            }

    def count_in_flight(self) -> int:
        """Count the requests of this entry on all targets of the hall."""
        with self._lock:
            return sum(self._in_flight.values())


class SlotCount(NamedTuple):
    """Own slots of one target: in all, free, busy and lent; and requests in flight."""

    home: int
    free: int
    busy: int
    lent: int
    in_flight: int


def _is_cold_full(view: TargetView, target: Target) -> bool:
    """Check whether a cold target already has its share of work from this entry."""
    if view.ramp >= 1.0:
        return False
    return view.in_flight >= max(1, int(target.slots * view.ramp))


def to_hold(target: str, index: int, lender: str, number: int, until: float) -> Hold:
    """Build the hold of a borrowed slot."""
    return Hold(SlotKey(target, index), lender, number, until)
