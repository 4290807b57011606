"""What speaks against a request: the targets that ended while they ran it, over all entries.

Evidence only grows: targets that ended, and those of them that are cleared because a target
answered the request later.  So it merges to the same whatever is lost, late, doubled or out of
order, and an entry may take it from any other and from the store.
"""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.quarantine.settings import QuarantineSettings

ENDS_KEPT = 16
"""Ends of one request that are kept, the newest: more than block it."""


class TargetEnd(NamedTuple):
    """A target that ended while it ran a request.

    Attributes
    ----------
    target : str
        One start of a target; copies of a request that ran on it at once count once.
    age_s : float
        How long ago, in seconds.
    """

    target: str
    age_s: float


class Evidence(NamedTuple):
    """What one entry tells others of a request.

    Attributes
    ----------
    ends : tuple of TargetEnd
        Targets that ended under it.
    cleared : tuple of str
        Those that it is not blamed for: a target answered it later.
    was_sound : bool
        A target has lately answered it.
    """

    digest: str
    ends: tuple[TargetEnd, ...]
    cleared: tuple[str, ...] = ()
    was_sound: bool = False


class Case:
    """What an entry knows of one request.

    Attributes
    ----------
    has_own_end : bool
        A target ended under a sending of this entry.
    """

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self._ended_at: dict[str, float] = {}
        self._cleared: set[str] = set()
        self._was_sound = False
        self.has_own_end = False

    def add_end(self, target: str, at: float) -> bool:
        """Add a target that ended; False where it is known."""
        if target in self._ended_at:
            return False
        self._ended_at[target] = at
        while len(self._ended_at) > ENDS_KEPT:
            self._drop(min(self._ended_at, key=self._ended_at.__getitem__))
        return True

    def clear_before(self, answered_at: float) -> bool:
        """Take note of an answer: it clears the request of the ends before; False if of none."""
        earlier = {t for t, at in self._ended_at.items() if at < answered_at} - self._cleared
        is_news = bool(earlier) or not self._was_sound
        self._cleared |= earlier
        self._was_sound = True
        return is_news

    def merge(self, evidence: Evidence, now: float) -> bool:
        """Take what another entry knows; False where it brings nothing new."""
        is_news = False
        for target, age_s in evidence.ends[:ENDS_KEPT]:
            is_news |= self.add_end(target, now - max(0.0, age_s))
        cleared = set(evidence.cleared) & self._ended_at.keys()
        is_news |= not cleared <= self._cleared
        self._cleared |= cleared
        is_news |= evidence.was_sound and not self._was_sound
        self._was_sound |= evidence.was_sound
        return is_news

    def forget_before(self, at: float) -> None:
        """Forget the ends before a time."""
        for target in [t for t, ended_at in self._ended_at.items() if ended_at < at]:
            self._drop(target)

    def _drop(self, target: str) -> None:
        """Drop an end."""
        del self._ended_at[target]
        self._cleared.discard(target)

    def build_evidence(self, now: float) -> Evidence:
        """Build what others are told."""
        ends = tuple(TargetEnd(t, max(0.0, now - at)) for t, at in self._ended_at.items())
        return Evidence(self.digest, ends, tuple(sorted(self._cleared)), self._was_sound)

    def is_covered_by(self, evidence: Evidence | None) -> bool:
        """Tell whether evidence holds all that is known here."""
        if evidence is None:
            return False
        return (
            self._ended_at.keys() <= {end.target for end in evidence.ends}
            and self._cleared <= set(evidence.cleared)
            and evidence.was_sound >= self._was_sound
        )

    def count_ends(self) -> int:
        """Count the targets whose end the request is blamed for."""
        return len(self._ended_at) - len(self._cleared)

    def find_blocked_at(self, settings: QuarantineSettings) -> float | None:
        """Give when the last end came that blocks the request; None where it is not blocked."""
        limit = settings.limit_once_sound if self._was_sound else settings.limit
        blamed = sorted(at for t, at in self._ended_at.items() if t not in self._cleared)
        if not settings.limit or len(blamed) < limit:
            return None
        return blamed[limit - 1]

    def find_blocked_until(self, settings: QuarantineSettings) -> float:
        """Give when so many ends are forgotten that a blocked request is no longer blocked."""
        limit = settings.limit_once_sound if self._was_sound else settings.limit
        blamed = sorted(at for t, at in self._ended_at.items() if t not in self._cleared)
        return blamed[-limit] + settings.memory_s
