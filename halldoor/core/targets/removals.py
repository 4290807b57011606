"""Removals that follow from a full read of the store.

Records that the read doesn't contain were removed.  After the store was restored from an older
copy, their writers may write them again, so that their removal is postponed.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    EvidenceRemoved,
    EvidenceSeen,
    MemberRemoved,
    MemberSeen,
    TargetRemoved,
    TargetSeen,
)


def list_removals(
    changes: Sequence[Change],
    *,
    targets: Collection[str],
    members: Collection[str],
    evacuated: Collection[str],
    suspects: Collection[str],
) -> list[Change]:
    """List the removals of all known records that a full read does not contain.

    Parameters
    ----------
    changes : sequence of Change
        The records that were read.
    targets, members, evacuated, suspects : collection of str
        Targets, entries, evacuated halls and requests under suspicion that are known.
    """
    named = {c.record.incarnation for c in changes if isinstance(c, TargetSeen)}
    entries = {c.member.name for c in changes if isinstance(c, MemberSeen)}
    halls = {c.hall for c in changes if isinstance(c, EvacuationSet)}
    digests = {c.record.digest for c in changes if isinstance(c, EvidenceSeen)}
    return [
        *(TargetRemoved(name) for name in targets if name not in named),
        *(MemberRemoved(name) for name in members if name not in entries),
        *(EvacuationSet(hall, False) for hall in evacuated if hall not in halls),
        *(EvidenceRemoved(digest) for digest in suspects if digest not in digests),
    ]


class PostponedRemovals:
    """Removals found after a restore, which are applied later unless their records return."""

    def __init__(self) -> None:
        self._due_at: dict[Change, float] = {}

    def add(self, removals: Sequence[Change], *, due_at: float) -> list[Change]:
        """Postpone removals, and return those of targets: the catalog decides when to drop these.

        Parameters
        ----------
        due_at : float
            Time to apply the removals, in seconds of the steady clock.
        """
        at_once: list[Change] = [c for c in removals if isinstance(c, TargetRemoved)]
        self._due_at = {c: due_at for c in removals if c not in at_once}
        return at_once

    def cancel_for(self, change: Change) -> None:
        """Cancel the postponed removal of a record that a change writes again."""
        if not self._due_at:
            return
        match change:
            case EvacuationSet(hall, True):
                self._due_at.pop(EvacuationSet(hall, False), None)
            case MemberSeen(member):
                self._due_at.pop(MemberRemoved(member.name), None)
            case EvidenceSeen(record):
                self._due_at.pop(EvidenceRemoved(record.digest), None)

    def pop_due(self, now: float) -> list[Change]:
        """Remove and return the removals that are due."""
        due = [change for change, at in self._due_at.items() if at <= now]
        for change in due:
            del self._due_at[change]
        return due
