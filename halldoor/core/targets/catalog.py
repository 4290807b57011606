"""An entry's view of the targets, evacuated halls, other entries and the configuration.

The store's records are applied one change at a time.  Nothing here reads a clock: the time of the
steady clock, in seconds, is passed in as ``now``.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence

from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    EvidenceRemoved,
    EvidenceSeen,
    MemberRecord,
    MemberRemoved,
    MemberSeen,
    RoutingRejected,
    RoutingSeen,
    TargetRecord,
    TargetRemoved,
    TargetSeen,
    TargetStart,
)
from halldoor.core.targets.contact import Lapse, StoreContact
from halldoor.core.targets.leaving import LeavingTable
from halldoor.core.targets.notice import ColdNotice
from halldoor.core.targets.proofs import StateProof
from halldoor.core.targets.provenance import Provenance
from halldoor.core.targets.removals import PostponedRemovals, list_removals
from halldoor.core.targets.route import Routing
from halldoor.core.targets.sharers import SharerTable
from halldoor.core.targets.starts import EarlierStarts
from halldoor.core.targets.target import Target
from halldoor.core.targets.timings import CatalogTimings
from halldoor.core.targets.withdrawal import NOTICES_MAX, StoreView, WithdrawalTable

COLD_LIMIT_S = 60.0
"""Longest time for which one record or statement makes a target cold, in seconds: targets that stay
cold say so again much earlier."""
REMOVED_KEPT = 2000
"""Removed targets that are remembered, in case an older copy of the store names them again."""


class Catalog:
    """This entry's view of the state of the whole system.

    Parameters
    ----------
    timings : CatalogTimings
        How long records are kept when the store can't confirm them.

    Attributes
    ----------
    sharers : SharerTable
        Entries among which rates are divided.
    version, members_version : int
        Incremented with each change that affects choices, and with each change of entries.
    has_rejected_routing : bool
        Whether the store's last configuration can't be used, so that the one in force is older.
    lapsed : dict of str to Lapse
        Targets whose record expired in an outage of the store, and may be written again.
    contact : StoreContact
        Times at which the store answered.
    proof : StateProof
        Moment up to which this view includes every change.
    store_contact_at : float
        Time of the last contact with the store, direct or through another entry, in seconds of the
        steady clock.  The view may be older: see `proof`.
    relayed_at : float
        Time at which an entry in contact with the store last passed on changes.
    provenance : Provenance or None
        How the configuration in force arrived; None if there is none, or it was not recorded.
    """

    def __init__(self, timings: CatalogTimings) -> None:
        self.timings = timings
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] | None = None
        self._restarted: set[str] = set()
        self.lapsed: dict[str, Lapse] = {}
        self.contact = StoreContact()
        self.proof = StateProof()
        self._restored_at = -math.inf
        self.routing: Routing | None = None
        self.provenance: Provenance | None = None
        self.has_rejected_routing = False
        self.evacuated: set[str] = set()
        self.members: dict[str, MemberRecord] = {}
        self.sharers = SharerTable()
        self._suspects: set[str] = set()
        self._removed_starts: OrderedDict[str, int] = OrderedDict()
        self._leaving = LeavingTable()
        self._withdrawals = WithdrawalTable()
        self._newly_withdrawn: list[TargetStart] = []
        self._postponed = PostponedRemovals()
        self._earlier_starts = EarlierStarts()
        self.version = 0
        self.members_version = 0
        self.store_contact_at = 0.0
        self.relayed_at = -math.inf

    def apply(self, change: Change, now: float) -> bool:
        """Apply one change; return whether it changed anything."""
        self._postponed.cancel_for(change)
        match change:
            case RoutingSeen(routing, is_newest):
                return self._apply_routing(routing, is_newest=is_newest)
            case RoutingRejected(part):
                return self._apply_rejection(part)
            case TargetSeen(record):
                return self._apply_target(record, now)
            case TargetRemoved(incarnation):
                return self._remove_target(incarnation, now)
            case EvacuationSet(hall, is_evacuated):
                return self._set_evacuation(hall, is_evacuated, now)
            case MemberSeen(member):
                return self._apply_member(member)
            case MemberRemoved(name):
                return self._remove_member(name, now)
            case EvidenceSeen(record):
                self._suspects.add(record.digest)
                return True
            case EvidenceRemoved(digest):
                self._suspects.discard(digest)
                return True

    def apply_full_read(
        self,
        changes: Sequence[Change],
        now: float,
        *,
        is_restored: bool = False,
        on_failure: Callable[[Change, Exception], None] | None = None,
    ) -> list[Change]:
        """Apply a full read of the store and remove everything that it doesn't contain.

        Parameters
        ----------
        is_restored : bool, optional
            Whether the store was restored from an older copy.  Records that it lacks are kept
            until their writers had time to write them again, and targets that were removed after
            the copy was made are not added again.
        on_failure : callable, optional
            Called with each change that can't be applied, and the exception; the others are
            applied.  By default the exception is raised.

        Returns
        -------
        list of Change
            The changes that had an effect, removals included.
        """
        if is_restored:
            changes = [c for c in changes if not self._was_removed(c)]
        removals = list_removals(
            changes,
            targets=self._targets,
            members=self.members,
            evacuated=self.evacuated,
            suspects=self._suspects,
        )
        if is_restored:
            self._restored_at = now
            removals = self._postponed.add(removals, due_at=now + self.timings.settle_s)
        applied: list[Change] = []
        for change in [*changes, *removals]:
            try:
                if self.apply(change, now):
                    applied.append(change)
            except Exception as exc:
                if on_failure is None:
                    raise
                on_failure(change, exc)
        return applied

    def _was_removed(self, change: Change) -> bool:
        """Check whether a record is of a start of a target that was removed before."""
        if not isinstance(change, TargetSeen):
            return False
        record = change.record
        return self._removed_starts.get(record.incarnation) == record.started_ms

    def apply_postponed(self, now: float) -> list[Change]:
        """Apply the postponed changes that are due, except of records that were written again."""
        starts: list[Change] = []
        for record in self._earlier_starts.pop_due(now):
            self._start_target(record, now)
            starts.append(TargetSeen(record))
        return starts + [c for c in self._postponed.pop_due(now) if self.apply(c, now)]

    def lacks_member(self, name: str, since: float) -> bool:
        """Check whether an entry's record is missing in a state that includes every change.

        Parameters
        ----------
        since : float
            Time up to which the state has to be complete, in seconds of the steady clock.
        """
        return name not in self.members and self.proof.proven_at > since

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.routing.version if self.routing is not None else 0

    def find_proof_age_s(self, now: float) -> float | None:
        """Return the time since the moment up to which every change is known, in seconds.

        None before the first full read.
        """
        age_s = now - self.proof.proven_at
        return age_s if math.isfinite(age_s) else None

    def record_contact(self, answered_at: float) -> None:
        """Record a contact with the store, direct or through another entry."""
        self.store_contact_at = max(self.store_contact_at, answered_at)

    def record_relay(self, now: float) -> None:
        """Record that an entry in contact with the store passed on changes."""
        self.relayed_at = now

    @property
    def last_update_at(self) -> float:
        """Time of the last answer or change, from the store itself or from another entry."""
        return max(self.store_contact_at, self.relayed_at)

    def record_answer(self, now: float) -> None:
        """Record that the store answered a call of this entry."""
        self.record_contact(now)
        self.contact.record_answer(now)

    def _find_lapse(self, now: float) -> Lapse | None:
        """Return how long to keep a target whose record expired in an outage; None if in none."""
        outage, settle_s = self.contact.find_outage(now), self.timings.settle_s
        if now <= self._restored_at:
            return Lapse(now + settle_s, outage.length_s)
        lapse = Lapse(outage.ended_at + settle_s, outage.length_s)
        return lapse if lapse.away_s >= self.timings.lapse_s and now < lapse.until else None

    def drop_lapsed(self, now: float) -> list[str]:
        """Drop lapsed targets whose record was not written again in time; return their names."""
        dropped = [name for name, lapse in self.lapsed.items() if now >= lapse.until]
        for name in dropped:
            self._drop(name)
        if dropped:
            self._mark_changed()
        return dropped

    def pop_restart(self, incarnation: str) -> bool:
        """Check, once per start, whether a target restarted, so that its old data is invalid."""
        if incarnation not in self._restarted:
            return False
        self._restarted.discard(incarnation)
        return True

    def find_target(self, incarnation: str) -> Target | None:
        """Return the target with an incarnation; None if it is unknown."""
        return self._targets.get(incarnation)

    def drop_target(self, incarnation: str) -> None:
        """Drop a target whose address answered for another incarnation."""
        if incarnation in self._targets:
            self._drop(incarnation)
            self._mark_changed()

    def _drop(self, incarnation: str) -> None:
        """Drop a target, and remember its start as removed."""
        self._removed_starts[incarnation] = self._targets.pop(incarnation).record.started_ms
        if len(self._removed_starts) > REMOVED_KEPT:
            self._removed_starts.popitem(last=False)
        self.lapsed.pop(incarnation, None)

    def list_targets(self) -> Collection[Target]:
        """List all targets."""
        return self._targets.values()

    def list_usable(self, service: str) -> list[Target]:
        """List the targets of a service that neither drain nor are in an evacuated hall."""
        if self._by_service is None:
            self._by_service = {}
            for target in self._targets.values():
                if target.is_draining or target.record.hall in self.evacuated:
                    continue
                self._by_service.setdefault(target.record.service, []).append(target)
        return self._by_service.get(service, [])

    def count_members(self) -> int:
        """Count the live entries, this one included."""
        return max(1, len(self.members))

    def count_sharers(self, now: float) -> int:
        """Return the number of entries to divide a rate by."""
        return self.sharers.count(now, young_s=self.timings.young_s)

    def _mark_changed(self) -> None:
        """Increment the version and drop the cached lists, after a change that affects choices."""
        self.version += 1
        self._by_service = None

    def _apply_routing(self, routing: Routing, *, is_newest: bool) -> bool:
        """Apply a configuration unless it is older than the known one, or equal to it.

        A different one of the same version is applied: a restored store may have lost the other.
        So is the store's newest one: operators may have written a wrong version before.
        """
        known = self.routing
        is_older = known is not None and routing.version < known.version
        if is_older and not is_newest:
            return False
        self.has_rejected_routing = False
        if routing == known:
            return False
        self.routing = routing
        self._mark_changed()
        return True

    def _apply_rejection(self, part: Routing | None) -> bool:
        """Record that a configuration was rejected; use a part of it if there is no other."""
        was_rejected, self.has_rejected_routing = self.has_rejected_routing, True
        if self.routing is not None or part is None:
            return not was_rejected
        self.routing = part
        self._mark_changed()
        return True

    def _apply_target(self, record: TargetRecord, now: float) -> bool:
        """Apply a target's record; return whether it changed anything."""
        target = self._targets.get(record.incarnation)
        if target is not None and record.started_ms < target.record.started_ms:
            self._earlier_starts.add(record, due_at=now + self.timings.settle_s)
            return False
        self._earlier_starts.cancel(record.incarnation)
        if target is None or record.started_ms > target.record.started_ms > 0:
            self._start_target(record, now)
            return True
        self.lapsed.pop(target.name, None)
        is_changed = record._replace(cold_left_s=0.0) != target.record._replace(cold_left_s=0.0)
        # A record never shortens the cold time: the target may have written it before turning cold.
        was_cold = target.is_cold(now)
        target.cold_until = max(target.cold_until, _find_cold_until(record, now))
        # A draining target never returns to service without a restart.
        is_draining = record.is_draining or target.record.is_draining
        if is_draining and not target.is_draining:
            self._newly_withdrawn.append(target.start)
        target.record = record._replace(is_draining=is_draining)
        is_cold = target.is_cold(now)
        if is_changed or (is_cold and not was_cold):
            self._mark_changed()
        return is_changed or is_cold != was_cold

    def _start_target(self, record: TargetRecord, now: float) -> None:
        """Add a target, or another start of a known one, whose old state is invalid."""
        if record.incarnation in self._targets:
            self._restarted.add(record.incarnation)
            self.lapsed.pop(record.incarnation, None)
        target = self._targets[record.incarnation] = Target(record, _find_cold_until(record, now))
        target.has_stated_leaving = self._leaving.has(target.name, record.started_ms)
        target.is_withdrawn = self._withdrawals.has(target.start)
        self._mark_changed()

    def apply_cold_notice(self, notice: ColdNotice, now: float) -> bool:
        """Apply a target's statement on whether it is cold; return whether it became cold by it.

        The statement never shortens the cold time: it may be older than the record.
        """
        target = self._targets.get(notice.target)
        if target is None or notice.started_ms != target.record.started_ms:
            return False
        target.stated_at = now
        if notice.cold_left_s <= 0:
            return False
        was_cold = target.is_cold(now)
        cold_until = now + min(notice.cold_left_s, COLD_LIMIT_S)
        target.cold_until = max(target.cold_until, cold_until)
        if not was_cold:
            self._mark_changed()
        return not was_cold

    def add_leaving(self, incarnation: str, started_ms: int, *, until: float = math.inf) -> bool:
        """Apply a target's statement that it is leaving; return whether it changed anything."""
        self._leaving.add(incarnation, started_ms, until=until)
        target = self._targets.get(incarnation)
        if target is None or target.record.started_ms != started_ms or target.has_stated_leaving:
            return False
        target.has_stated_leaving = True
        self._mark_changed()
        return True

    def expire_leaving(self, now: float) -> list[str]:
        """Drop expired statements that targets are leaving; return the names of those targets."""
        expired = self._leaving.expire(now)
        for target in filter(None, map(self._targets.get, expired)):
            target.has_stated_leaving = self._leaving.has(target.name, target.record.started_ms)
            self._mark_changed()
        return expired

    def pop_withdrawn(self) -> list[TargetStart]:
        """Return, once, the targets withdrawn by the store's records and by no earlier notice."""
        withdrawn, self._newly_withdrawn = self._newly_withdrawn, []
        return withdrawn

    def apply_withdrawal_notice(self, start: TargetStart, view: StoreView, *, until: float) -> bool:
        """Apply another entry's notice that the store withdrew a target.

        Returns
        -------
        bool
            Whether the target was usable until now.
        """
        target = self._targets.get(start.target)
        if target is None or target.start != start:
            # The target's record may arrive later than the notice.
            if len(self._withdrawals) < NOTICES_MAX:
                self._withdrawals.add(start, view, until=until)
            return False
        if target.is_draining:
            return False
        self._withdrawals.add(start, view, until=until)
        target.is_withdrawn = True
        self._mark_changed()
        return True

    def release_reached_withdrawals(self, own: StoreView, now: float) -> list[TargetStart]:
        """Drop the notices that expired, or whose revision this entry's view has reached.

        From then on the view of this entry decides on those targets.

        Returns
        -------
        list of TargetStart
            Targets that became usable again.
        """
        usable = []
        for start in self._withdrawals.release(own, now):
            target = self._targets.get(start.target)
            if target is None or not target.is_withdrawn:
                continue
            target.is_withdrawn = self._withdrawals.has(target.start)
            if not target.is_draining:
                usable.append(start)
                self._mark_changed()
        return usable

    def count_withdrawals(self) -> int:
        """Count the notices in force."""
        return len(self._withdrawals)

    def can_send(self, incarnation: str) -> bool:
        """Check whether a request may still be sent to a target that was chosen for it."""
        target = self._targets.get(incarnation)
        if target is None or target.is_draining:
            return False
        return target.record.hall not in self.evacuated

    def _remove_target(self, incarnation: str, now: float) -> bool:
        """Apply the removal of a target's record; return whether it changed anything."""
        self._earlier_starts.cancel(incarnation)
        target = self._targets.get(incarnation)
        if target is None:
            return False
        if incarnation in self.lapsed:
            return False
        is_leaving = target.record.is_draining or target.has_stated_leaving
        lapse = None if is_leaving else self._find_lapse(now)
        if lapse is not None:
            self.lapsed[incarnation] = lapse
            return True
        if not target.is_draining and self.contact.can_distinguish_removals(now):
            self._newly_withdrawn.append(target.start)
        self._drop(incarnation)
        self._mark_changed()
        return True

    def _set_evacuation(self, hall: str, is_evacuated: bool, now: float) -> bool:
        """Apply the start or end of a hall's evacuation; return whether it changed anything."""
        if is_evacuated == (hall in self.evacuated):
            return False
        if is_evacuated:
            self.evacuated.add(hall)
        else:
            self.evacuated.discard(hall)
            self._assume_cold(hall, now)
        self._mark_changed()
        return True

    def _assume_cold(self, hall: str, now: float) -> None:
        """Treat a hall's targets as cold, since they may have turned cold without a record of it.

        A target that turned cold during the evacuation is warm again after a cold start's duration.
        """
        services = self.routing.services if self.routing is not None else {}
        for target in self._targets.values():
            if target.record.hall != hall:
                continue
            service = services.get(target.record.service)
            cold_s = service.cold_start_s if service is not None else 0.0
            target.cold_until = max(target.cold_until, now + cold_s)

    def _apply_member(self, member: MemberRecord) -> bool:
        """Apply an entry's record; return whether it changed anything."""
        if self.members.get(member.name) == member:
            return False
        self.members[member.name] = member
        self.sharers.add(member.name, member.relay)
        self.members_version += 1
        return True

    def _remove_member(self, name: str, now: float) -> bool:
        """Apply the removal of an entry's record; return whether the entry was known."""
        if self.members.pop(name, None) is None:
            return False
        self.sharers.remove(name, now)
        self.members_version += 1
        return True


def _find_cold_until(record: TargetRecord, now: float) -> float:
    """Return the time until which a record that just arrived says that its target is cold."""
    return now + min(record.cold_left_s, COLD_LIMIT_S) if record.cold_left_s > 0 else -math.inf
