"""Removals that follow from a whole reading of the store.

What a reading does not name is gone.  After the store came back from an older copy it may be
written again by its writer, and holds until then.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    EvidenceGone,
    EvidenceSeen,
    MemberGone,
    MemberSeen,
    TargetGone,
    TargetSeen,
)


def list_missing(
    changes: Sequence[Change],
    *,
    targets: Collection[str],
    members: Collection[str],
    evacuated: Collection[str],
    suspects: Collection[str],
) -> list[Change]:
    """List the removals of what is known and a whole reading does not name.

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
        *(TargetGone(name) for name in targets if name not in named),
        *(MemberGone(name) for name in members if name not in entries),
        *(EvacuationSet(hall, False) for hall in evacuated if hall not in halls),
        *(EvidenceGone(digest) for digest in suspects if digest not in digests),
    ]


class PostponedRemovals:
    """Removals, and when each is applied."""

    def __init__(self) -> None:
        self._due_at: dict[Change, float] = {}

    def add(self, removals: Sequence[Change], *, due_at: float) -> list[Change]:
        """Put removals off, and return those that are not: a target's record has its own rule.

        Parameters
        ----------
        due_at : float
            When they are applied, in seconds of the steady clock.
        """
        at_once: list[Change] = [c for c in removals if isinstance(c, TargetGone)]
        self._due_at = {c: due_at for c in removals if c not in at_once}
        return at_once

    def drop_for(self, change: Change) -> None:
        """Drop the removal of what a change writes again."""
        if not self._due_at:
            return
        match change:
            case EvacuationSet(hall, True):
                self._due_at.pop(EvacuationSet(hall, False), None)
            case MemberSeen(member):
                self._due_at.pop(MemberGone(member.name), None)
            case EvidenceSeen(record):
                self._due_at.pop(EvidenceGone(record.digest), None)

    def take_due(self, now: float) -> list[Change]:
        """Return, once, the removals whose time is over."""
        due = [change for change, at in self._due_at.items() if at <= now]
        for change in due:
            del self._due_at[change]
        return due
