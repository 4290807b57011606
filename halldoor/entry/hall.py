"""Admission to the hall's own targets: choose a target and reserve one of its slots."""

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

BUSY_MARGIN_S = 0.2
"""Seconds after a deadline in which a target may still run a request that was cut off."""
SPILL_HEADROOM = 0.1
"""Share of slots kept free for the hall's own callers when another region sends requests."""

Borrow = Callable[[Sequence[str], float], Hold | None]


class Admission(NamedTuple):
    """A chosen target and the hold on one of its slots."""

    target: Target
    hold: Hold


class AdmissionDenial(NamedTuple):
    """The reason why no target was admitted, and the targets that were rejected."""

    refusal: Refusal
    passed_over: list[PassedOver]


class AdmissionController:
    """Admits requests to this hall's targets by slots, health and policy, for one entry.

    One lock guards all state.  A task that receives each admission as a message was
    considered: two thread switches per request cost more than the decision itself
    (docs/design/concurrency.md).
    """

    def __init__(
        self,
        entry_name: str,
        *,
        policy: Policy,
        invariants: Invariants,
        borrow: Borrow,
        give_back: Callable[[Hold, float], None],
        rest_at_start: bool = True,
    ) -> None:
        # Threads that wait for a slot wait on this condition; freeing a slot wakes one of them.
        self._lock = threading.Condition()
        self._waiting = 0
        self._policy = policy
        self._invariants = invariants
        self._borrow = borrow
        self._give_back = give_back
        self._rest_at_start = rest_at_start
        self._snapshot: Snapshot | None = None
        self._in_flight: dict[str, int] = {}
        self.slots = SlotTable(entry_name)
        self.health = HealthTable()

    def adopt(self, snapshot: Snapshot) -> None:
        """Apply a new configuration revision to slots and health.

        Added targets are marked cold.  The first revision's slots stay unused for
        `Snapshot.rest_s` only if ``rest_at_start`` is set.
        """
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
        """Confirm the roster for entries that adopted it, which frees the slots moved from them."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        wanted = snapshot.hall.roster_revision
        adopted = {name for name, revision in revisions.items() if revision >= wanted}
        adopted.update(snapshot.hall.stopped_entries)
        with self._lock:
            self.slots.confirm(adopted, now=time.monotonic())

    def list_unconfirmed_entries(self) -> list[str]:
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
    ) -> Result[Admission, AdmissionDenial]:
        """Choose a target that has a free slot, and reserve the slot.

        Parameters
        ----------
        targets : sequence of str
            Targets that the selector allows.
        until : float
            Deadline of the request, monotonic seconds.
        excluded : frozenset of str, optional
            Targets already tried.
        is_spill : bool, optional
            Whether the request comes from another region; such a request is refused unless
            more than `SPILL_HEADROOM` of the slots is free.
        wait_s : float, optional
            Seconds to wait for a slot before the request is refused.
        """
        now = time.monotonic()
        passed_over: list[PassedOver] = []
        with self._lock:
            self.slots.expire_loans(now)
            names = self._list_candidates(targets, excluded, now, passed_over)
            if is_spill and not self._has_headroom(targets, now):
                return Failure(
                    self._refuse(Reason.NO_ROOM, "keeps its slots for its own callers", passed_over)
                )
            admission = self._acquire_own_slot(names, until, now, passed_over)
        if admission is None and names and until > now:
            # Borrowing from a peer takes a round trip, so the lock is not held during it.
            admission = self._borrow_slot(names, until)
        if admission is None and names and wait_s > 0:
            admission = self._wait_for_slot(targets, until=until, excluded=excluded, wait_s=wait_s)
        if admission is not None:
            return Success(admission)
        if not names:
            return Failure(self._refuse(Reason.NO_TARGET, "has no healthy target", passed_over))
        return Failure(self._refuse(Reason.NO_ROOM, "has no free slot", passed_over))

    def _wait_for_slot(
        self, targets: Sequence[str], *, until: float, excluded: frozenset[str], wait_s: float
    ) -> Admission | None:
        """Wait up to ``wait_s`` seconds for one of this entry's own slots.

        At most as many requests wait as there are own slots, so that a wait lasts about as
        long as one request.  Further requests are refused at once and can be sent to a hall
        with free slots.
        """
        ends = min(time.monotonic() + wait_s, until)
        with self._lock:
            if self._waiting >= sum(self.slots.count_own(t) for t in targets):
                return None
            self._waiting += 1
            try:
                while (now := time.monotonic()) < ends:
                    self._lock.wait(ends - now)
                    now = time.monotonic()
                    names = self._list_candidates(targets, excluded, now, [])
                    admission = self._acquire_own_slot(names, until, now, [])
                    if admission is not None:
                        return admission
            finally:
                self._waiting -= 1
        return None

    def _refuse(self, reason: Reason, what: str, passed_over: list[PassedOver]) -> AdmissionDenial:
        """Build a refusal that names this hall."""
        hall = self._snapshot.hall.name if self._snapshot else "?"
        message = f"Hall {hall} {what}. Retry in a second."
        return AdmissionDenial(refuse(reason, message), passed_over)

    def _list_candidates(
        self,
        targets: Sequence[str],
        excluded: frozenset[str],
        now: float,
        passed_over: list[PassedOver],
    ) -> list[str]:
        """List usable targets in the policy's order; add the others to ``passed_over``."""
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
        usable = self.health.select_usable(open_names, now)
        passed_over += [
            PassedOver(n, "its probes or answers fail") for n in open_names if n not in usable
        ]
        views = [self._build_view(n, now) for n in usable]
        cold = [v.name for v in views if _is_at_ramp_limit(v, self._snapshot.hall_targets[v.name])]
        warm = self._policy.order([v for v in views if v.name not in cold])
        # A cold target at its ramp-up's limit is a last resort: slow, but better than a refusal.
        return [*warm, *self._policy.order([v for v in views if v.name in cold])]

    def _build_view(self, name: str, now: float) -> TargetView:
        """Build the policy's view of one target."""
        share = self.slots.count_own(name)
        return self.health.view(name, in_flight=self._in_flight.get(name, 0), share=share, now=now)

    def _has_headroom(self, targets: Sequence[str], now: float) -> bool:
        """Check whether enough own slots are free to admit a request from another region."""
        home = sum(self.slots.count_own(t) for t in targets)
        free = sum(self.slots.count_free(t, now) for t in targets)
        return free > home * SPILL_HEADROOM

    def _acquire_own_slot(
        self, names: Sequence[str], until: float, now: float, passed_over: list[PassedOver]
    ) -> Admission | None:
        """Reserve an own slot of the first target that has a free one."""
        assert self._snapshot is not None or not names
        for name in names:
            hold = self.slots.acquire(name, now=now, until=until)
            if hold is not None:
                return self._record_admission(name, hold)
            passed_over.append(PassedOver(name, "no own slot of it was free"))
        return None

    def _borrow_slot(self, names: Sequence[str], until: float) -> Admission | None:
        """Borrow a slot of any of the targets from another entry of the hall."""
        hold = self._borrow(names, until)
        if hold is None:
            return None
        with self._lock:
            # The target may have been removed during the call.
            if self._snapshot and hold.key.target in self._snapshot.hall_targets.keys() & names:
                return self._record_admission(hold.key.target, hold)
        self._give_back(hold, 0.0)
        return None

    def _record_admission(self, name: str, hold: Hold) -> Admission:
        """Count a request as in flight on a target, and return its admission."""
        assert self._snapshot is not None
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        self._invariants.check(self.slots.is_consistent(), "slot-in-one-place", name)
        return Admission(self._snapshot.hall_targets[name], hold)

    def may_send(self, admission: Admission) -> bool:
        """Check whether the hold is still valid and the target still accepts requests."""
        now = time.monotonic()
        with self._lock:
            snapshot = self._snapshot
            target = snapshot.hall_targets.get(admission.target.name) if snapshot else None
            is_leaving = target is None or target.leaving
            is_leaving = is_leaving or self.health.is_leaving(admission.target.name, now)
        return now < admission.hold.until and not is_leaving

    def release(self, admission: Admission, *, busy_until: float = 0.0) -> None:
        """Release the slot of an admission; a borrowed slot is returned to its lender.

        Parameters
        ----------
        admission : Admission
            The admission to release.
        busy_until : float, optional
            Time, in monotonic seconds, until which the target may still run a request that was
            cut off; the slot stays unused for `BUSY_MARGIN_S` longer.
        """
        hold = admission.hold
        rest_until = busy_until + BUSY_MARGIN_S if busy_until else 0.0
        name = admission.target.name
        with self._lock:
            self._in_flight[name] -= 1
            if not hold.lender:
                self.slots.release(hold.key, rest_until=rest_until)
                self._lock.notify()
        if hold.lender:
            self._give_back(hold, rest_until)

    def lend(self, targets: Sequence[str], borrower: str, duration_s: float) -> Loan | None:
        """Lend a peer an idle slot of the first of the targets that has one."""
        now = time.monotonic()
        with self._lock:
            self.slots.expire_loans(now)
            for name in targets:
                if self.health.is_leaving(name, now):
                    continue
                if loan := self.slots.lend(name, borrower, duration_s=duration_s, now=now):
                    return loan
        return None

    def reclaim_lent_slot(self, number: int, borrower: str, rest_s: float) -> None:
        """End a loan; its slot can be used again after ``rest_s`` seconds."""
        with self._lock:
            self.slots.end_loan(number, borrower, rest_until=time.monotonic() + rest_s)
            self._lock.notify()

    def record_health(
        self, target: str, *, is_healthy: bool, is_leaving: bool, load: float = 0.0
    ) -> None:
        """Record a target's health, reported by a probe here or by a peer."""
        with self._lock:
            self.health.add_report(
                target,
                now=time.monotonic(),
                is_healthy=is_healthy,
                is_leaving=is_leaving,
                load=load,
            )

    def mark_leaving(self, target: str) -> None:
        """Mark a target as leaving, so that it is sent no new requests."""
        with self._lock:
            self.health.mark_leaving(target, now=time.monotonic())

    def mark_cold(self, target: str) -> None:
        """Mark a target as cold, which starts its ramp-up."""
        with self._lock:
            self.health.mark_cold(target, now=time.monotonic())

    def is_leaving(self, target: str) -> bool:
        """Check whether a target leaves and so accepts no new requests."""
        with self._lock:
            known = self._snapshot.hall_targets.get(target) if self._snapshot else None
            said = known is not None and known.leaving
            return said or self.health.is_leaving(target, time.monotonic())

    def record_result(self, target: str, *, is_good: bool, latency_s: float = 0.0) -> None:
        """Record a successful or failed answer in a target's health."""
        with self._lock:
            if is_good:
                self.health.add_success(target, latency_s)
            else:
                self.health.add_failure(target, now=time.monotonic())

    def record_shed(self, target: str) -> None:
        """Record in a target's health that it shed a request."""
        with self._lock:
            self.health.add_shed(target, now=time.monotonic())

    def count_slots(self) -> dict[str, SlotCount]:
        """Count the own slots of every target of the hall."""
        now = time.monotonic()
        with self._lock:
            # Peers choose lenders by these counts, so loans must expire here even without requests.
            self.slots.expire_loans(now)
            names = self._snapshot.hall_targets if self._snapshot else {}
            return {
                name: SlotCount(
                    self.slots.count_own(name),
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
    """This entry's slots of one target: total, free, busy and lent; and its requests in flight."""

    home: int
    free: int
    busy: int
    lent: int
    in_flight: int


def _is_at_ramp_limit(view: TargetView, target: Target) -> bool:
    """Check whether a cold target already has all requests that its ramp-up allows."""
    if view.ramp >= 1.0:
        return False
    return view.in_flight >= max(1, int(target.slots * view.ramp))


def build_borrowed_hold(target: str, index: int, lender: str, number: int, until: float) -> Hold:
    """Build the hold of a slot borrowed from ``lender`` under loan ``number``."""
    return Hold(SlotKey(target, index), lender, number, until)
