"""What an entry knows of targets, evacuated halls and other entries.

The store's records are applied here one change at a time.  Nothing here reads a clock: the
time of the steady clock, in seconds, comes in as ``now``.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Sequence

from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    EvidenceGone,
    EvidenceSeen,
    MemberGone,
    MemberRecord,
    MemberSeen,
    RoutingSeen,
    TargetGone,
    TargetRecord,
    TargetSeen,
    TargetStart,
)
from halldoor.core.targets.contact import Lapse, StoreContact
from halldoor.core.targets.leaving import LeavingTable
from halldoor.core.targets.notice import ColdNotice
from halldoor.core.targets.removals import PostponedRemovals, list_missing
from halldoor.core.targets.route import Routing
from halldoor.core.targets.sharers import SharerTable
from halldoor.core.targets.target import Target
from halldoor.core.targets.timings import CatalogTimings
from halldoor.core.targets.withdrawal import HOLDS_MOST, StoreView, WithdrawalTable

LEFT_KEPT = 2000
"""Targets that left and are remembered, in case an older copy of the store names them again."""


class Catalog:
    """The believed state of the whole system.

    Parameters
    ----------
    timings : CatalogTimings
        How long beliefs last.

    Attributes
    ----------
    sharers : SharerTable
        Entries among which rates are divided.
    version, members_version : int
        Rise whenever something changes that choices depend on, and whenever entries do.
    lapsed : dict of str to Lapse
        Targets whose record lapsed while the store was away, and may come back.
    contact : StoreContact
        When the store answered.
    fresh_at : float
        When the store last answered, in seconds of the steady clock.
    relayed_at : float
        When an entry in contact with the store last passed changes on.
    """

    def __init__(self, timings: CatalogTimings) -> None:
        self.timings = timings
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] | None = None
        self._restarted: set[str] = set()
        self.lapsed: dict[str, Lapse] = {}
        self.contact = StoreContact()
        self._restored_at = -math.inf
        self.routing: Routing | None = None
        self.evacuated: set[str] = set()
        self.members: dict[str, MemberRecord] = {}
        self.sharers = SharerTable()
        self._suspects: set[str] = set()
        self._left: OrderedDict[str, int] = OrderedDict()
        self._leaving = LeavingTable()
        self._withdrawals = WithdrawalTable()
        self._newly_withdrawn: list[TargetStart] = []
        self._postponed = PostponedRemovals()
        self.version = 0
        self.members_version = 0
        self.fresh_at = 0.0
        self.relayed_at = -math.inf

    def apply(self, change: Change, now: float) -> bool:
        """Apply one change; False where it changes nothing."""
        self._postponed.drop_for(change)
        match change:
            case RoutingSeen(routing):
                return self._adopt(routing)
            case TargetSeen(record):
                return self._see_target(record, now)
            case TargetGone(incarnation):
                return self._lose_target(incarnation, now)
            case EvacuationSet(hall, is_evacuated):
                return self._set_evacuation(hall, is_evacuated, now)
            case MemberSeen(member):
                return self._see_member(member)
            case MemberGone(name):
                return self._lose_member(name, now)
            case EvidenceSeen(record):
                self._suspects.add(record.digest)
                return True
            case EvidenceGone(digest):
                self._suspects.discard(digest)
                return True

    def load(
        self, changes: Sequence[Change], now: float, *, is_restored: bool = False
    ) -> list[Change]:
        """Apply a whole reading of the store, in which what is not named is gone.

        Parameters
        ----------
        is_restored : bool, optional
            The store came back from an older copy.  What is not in it holds until its writer had
            time to write it again, and targets that left since the copy are not taken back.

        Returns
        -------
        list of Change
            What changed, the removals included.
        """
        if is_restored:
            changes = [c for c in changes if not self._has_left(c)]
        removals = list_missing(
            changes,
            targets=self._targets,
            members=self.members,
            evacuated=self.evacuated,
            suspects=self._suspects,
        )
        if is_restored:
            self._restored_at = now
            removals = self._postponed.add(removals, due_at=now + self.timings.settle_s)
        return [c for c in [*changes, *removals] if self.apply(c, now)]

    def _has_left(self, change: Change) -> bool:
        """Check whether a record is of a start of a target that is known to have left."""
        if not isinstance(change, TargetSeen):
            return False
        record = change.record
        return self._left.get(record.incarnation) == record.started_ms

    def apply_postponed(self, now: float) -> list[Change]:
        """Apply removals whose time is over, unless what they remove was written again."""
        return [change for change in self._postponed.take_due(now) if self.apply(change, now)]

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 where there is none."""
        return self.routing.version if self.routing is not None else 0

    def note_contact(self, heard_at: float) -> None:
        """Record the time of the last contact with the store, direct or by another entry."""
        self.fresh_at = max(self.fresh_at, heard_at)

    def note_relay(self, now: float) -> None:
        """Record that an entry in contact with the store passed changes on."""
        self.relayed_at = now

    @property
    def informed_at(self) -> float:
        """When news of the store last came in, from itself or by another entry."""
        return max(self.fresh_at, self.relayed_at)

    def note_answer(self, now: float) -> None:
        """Record that the store answered a call of this entry."""
        self.note_contact(now)
        self.contact.note_answer(now)

    def _find_lapse(self, now: float) -> Lapse | None:
        """Return until when a target is kept whose record is gone; None where that is meant."""
        absence, settle_s = self.contact.find_absence(now), self.timings.settle_s
        if now <= self._restored_at:
            return Lapse(now + settle_s, absence.length_s)
        lapse = Lapse(absence.ended_at + settle_s, absence.length_s)
        return lapse if lapse.away_s >= self.timings.lapse_s and now < lapse.until else None

    def drop_lapsed(self, now: float) -> list[str]:
        """Drop targets whose record lapsed and did not come back in time."""
        dropped = [name for name, lapse in self.lapsed.items() if now >= lapse.until]
        for name in dropped:
            self._forget(name)
        if dropped:
            self._touch()
        return dropped

    def take_restart(self, incarnation: str) -> bool:
        """Check, once for each, whether a known name has started again: nothing of before holds."""
        if incarnation not in self._restarted:
            return False
        self._restarted.discard(incarnation)
        return True

    def find_target(self, incarnation: str) -> Target | None:
        """Find a target by incarnation."""
        return self._targets.get(incarnation)

    def drop_target(self, incarnation: str) -> None:
        """Forget a target whose address answered for another incarnation."""
        if incarnation in self._targets:
            self._forget(incarnation)
            self._touch()

    def _forget(self, incarnation: str) -> None:
        """Drop a target."""
        self._left[incarnation] = self._targets.pop(incarnation).record.started_ms
        if len(self._left) > LEFT_KEPT:
            self._left.popitem(last=False)
        self.lapsed.pop(incarnation, None)

    def list_targets(self) -> Collection[Target]:
        """List all targets."""
        return self._targets.values()

    def list_usable(self, service: str) -> list[Target]:
        """List the targets of a service that neither drain nor stand in an evacuated hall."""
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
        """Count the entries that may share a budget."""
        return self.sharers.count(now, young_s=self.timings.young_s)

    def _touch(self) -> None:
        """Record that something changed which choices depend on."""
        self.version += 1
        self._by_service = None

    def _adopt(self, routing: Routing) -> bool:
        """Apply a configuration if it is newer; an older one is never taken back.

        One of the same version replaces what a store that was restored has lost.
        """
        known = self.routing
        if known is not None and (routing.version < known.version or routing == known):
            return False
        self.routing = routing
        self._touch()
        return True

    def _see_target(self, record: TargetRecord, now: float) -> bool:
        """Apply a target's record."""
        cold_until = now + record.cold_left_s if record.cold_left_s > 0 else -math.inf
        target = self._targets.get(record.incarnation)
        if target is not None and record.started_ms < target.record.started_ms:
            return False  # Written before the start that is known.
        if target is None or record.started_ms > target.record.started_ms > 0:
            if target is not None:
                self._restarted.add(record.incarnation)
                self.lapsed.pop(record.incarnation, None)
            target = self._targets[record.incarnation] = Target(record, cold_until)
            target.says_leaving = self._leaving.has(target.name, record.started_ms)
            target.is_withdrawn = self._withdrawals.has(target.start)
            self._touch()
            return True
        self.lapsed.pop(target.name, None)
        is_changed = record._replace(cold_left_s=0.0) != target.record._replace(cold_left_s=0.0)
        # A record never ends a cold time early: the target may have written it before.
        was_cold = target.is_cold(now)
        target.cold_until = max(target.cold_until, cold_until)
        # "Draining" is believed until the target starts again: it never comes back from it.
        is_draining = record.is_draining or target.record.is_draining
        if is_draining and not target.is_draining:
            self._newly_withdrawn.append(target.start)
        target.record = record._replace(is_draining=is_draining)
        is_cold = target.is_cold(now)
        if is_changed or (is_cold and not was_cold):
            self._touch()
        return is_changed or is_cold != was_cold

    def apply_cold_notice(self, notice: ColdNotice, now: float) -> bool:
        """Apply a target's statement on whether it is cold; False where it changes nothing.

        It never ends a cold time early: it may be older than the record.
        """
        target = self._targets.get(notice.target)
        if target is None or notice.started_ms != target.record.started_ms:
            return False
        target.stated_at = now
        if notice.cold_left_s <= 0:
            return False
        was_cold = target.is_cold(now)
        target.cold_until = max(target.cold_until, now + notice.cold_left_s)
        if not was_cold:
            self._touch()
        return not was_cold

    def add_leaving(self, incarnation: str, started_ms: int, *, until: float = math.inf) -> bool:
        """Apply a target's statement that it leaves; False where it changes nothing."""
        self._leaving.add(incarnation, started_ms, until=until)
        target = self._targets.get(incarnation)
        if target is None or target.record.started_ms != started_ms or target.says_leaving:
            return False
        target.says_leaving = True
        self._touch()
        return True

    def expire_leaving(self, now: float) -> list[str]:
        """Drop what others said of targets that leave, once it is too old; return the targets."""
        expired = self._leaving.expire(now)
        for target in filter(None, map(self._targets.get, expired)):
            target.says_leaving = self._leaving.has(target.name, target.record.started_ms)
            self._touch()
        return expired

    def take_withdrawn(self) -> list[TargetStart]:
        """Return, once, the targets that the store's records withdrew, and no notice before."""
        withdrawn, self._newly_withdrawn = self._newly_withdrawn, []
        return withdrawn

    def withdraw(self, start: TargetStart, view: StoreView, *, until: float) -> bool:
        """Apply another entry's notice that the store withdrew a target.

        Returns
        -------
        bool
            Whether the target was usable until now.
        """
        target = self._targets.get(start.target)
        if target is None or target.start != start:
            # Its record may come later than the notice.
            if len(self._withdrawals) < HOLDS_MOST:
                self._withdrawals.add(start, view, until=until)
            return False
        if target.is_draining:
            return False
        self._withdrawals.add(start, view, until=until)
        target.is_withdrawn = True
        self._touch()
        return True

    def release_withdrawn(self, own: StoreView, now: float) -> list[TargetStart]:
        """Decide by the own view of the store again where it includes what notices said.

        Returns
        -------
        list of TargetStart
            Targets that are usable after all.
        """
        usable = []
        for start in self._withdrawals.release(own, now):
            target = self._targets.get(start.target)
            if target is None or not target.is_withdrawn:
                continue
            target.is_withdrawn = self._withdrawals.has(target.start)
            if not target.is_draining:
                usable.append(start)
                self._touch()
        return usable

    def count_withdrawals(self) -> int:
        """Count the notices that hold."""
        return len(self._withdrawals)

    def can_send(self, incarnation: str) -> bool:
        """Check whether a request may still be sent to a target that was chosen."""
        target = self._targets.get(incarnation)
        if target is None or target.is_draining:
            return False
        return target.record.hall not in self.evacuated

    def _lose_target(self, incarnation: str, now: float) -> bool:
        """Apply the removal of a target's record."""
        target = self._targets.get(incarnation)
        if target is None:
            return False
        if incarnation in self.lapsed:
            return False
        is_leaving = target.record.is_draining or target.says_leaving
        lapse = None if is_leaving else self._find_lapse(now)
        if lapse is not None:
            self.lapsed[incarnation] = lapse
            return True
        if not target.is_draining and self.contact.can_tell_removals(now):
            self._newly_withdrawn.append(target.start)
        self._forget(incarnation)
        self._touch()
        return True

    def _set_evacuation(self, hall: str, is_evacuated: bool, now: float) -> bool:
        """Apply an evacuation, or its end."""
        if is_evacuated == (hall in self.evacuated):
            return False
        if is_evacuated:
            self.evacuated.add(hall)
        else:
            self.evacuated.discard(hall)
            self._assume_cold(hall, now)
        self._touch()
        return True

    def _assume_cold(self, hall: str, now: float) -> None:
        """Treat a hall's targets as cold: they may have turned so without a word yet.

        Those that turned cold at the end at the latest are warm after the time of a cold start.
        """
        services = self.routing.services if self.routing is not None else {}
        for target in self._targets.values():
            if target.record.hall != hall:
                continue
            service = services.get(target.record.service)
            cold_s = service.cold_start_s if service is not None else 0.0
            target.cold_until = max(target.cold_until, now + cold_s)

    def _see_member(self, member: MemberRecord) -> bool:
        """Apply an entry's record."""
        if self.members.get(member.name) == member:
            return False
        self.members[member.name] = member
        self.sharers.add(member.name, member.relay)
        self.members_version += 1
        return True

    def _lose_member(self, name: str, now: float) -> bool:
        """Apply the removal of an entry's record."""
        if self.members.pop(name, None) is None:
            return False
        self.sharers.remove(name, now)
        self.members_version += 1
        return True
