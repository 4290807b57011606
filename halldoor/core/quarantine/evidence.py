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
    caller : str
        Digest of whose request it ran.
    age_s : float
        How long ago, in seconds.
    """

    target: str
    caller: str
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


class _End(NamedTuple):
    """An end, by the clock of this entry."""

    caller: str
    at: float


class Case:
    """What an entry knows of one request.

    Attributes
    ----------
    has_own_end : bool
        A target ended under a sending of this entry.
    """

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self._ends: dict[str, _End] = {}
        self._cleared: set[str] = set()
        self._was_sound = False
        self.has_own_end = False

    @classmethod
    def from_evidence(cls, evidence: Evidence, now: float) -> Case:
        """Build a case that knows some evidence and nothing else."""
        case = cls(evidence.digest)
        case.merge(evidence, now)
        return case

    def add_end(self, target: str, caller: str, at: float) -> bool:
        """Add a target that ended; False where it is known."""
        if target in self._ends:
            return False
        self._ends[target] = _End(caller, at)
        while len(self._ends) > ENDS_KEPT:
            self._drop(min(self._ends, key=lambda name: self._ends[name].at))
        return True

    def clear_before(self, answered_at: float) -> bool:
        """Take note of an answer: it clears the request of the ends before; False if of none."""
        earlier = {t for t, end in self._ends.items() if end.at < answered_at} - self._cleared
        is_news = bool(earlier) or not self._was_sound
        self._cleared |= earlier
        self._was_sound = True
        return is_news

    def merge(self, evidence: Evidence, now: float) -> bool:
        """Take what another entry knows; False where it brings nothing new."""
        is_news = False
        for target, caller, age_s in evidence.ends[:ENDS_KEPT]:
            is_news |= self.add_end(target, caller, now - max(0.0, age_s))
        cleared = set(evidence.cleared) & self._ends.keys()
        is_news |= not cleared <= self._cleared
        self._cleared |= cleared
        is_news |= evidence.was_sound and not self._was_sound
        self._was_sound |= evidence.was_sound
        return is_news

    def forget_before(self, at: float) -> None:
        """Forget the ends before a time."""
        for target in [t for t, end in self._ends.items() if end.at < at]:
            self._drop(target)

    def _drop(self, target: str) -> None:
        """Drop an end."""
        del self._ends[target]
        self._cleared.discard(target)

    def build_evidence(self, now: float) -> Evidence:
        """Build what others are told."""
        ends = tuple(
            TargetEnd(target, caller, max(0.0, now - at))
            for target, (caller, at) in self._ends.items()
        )
        return Evidence(self.digest, ends, tuple(sorted(self._cleared)), self._was_sound)

    def is_covered_by(self, evidence: Evidence) -> bool:
        """Check whether evidence holds all that is known here."""
        return (
            self._ends.keys() <= {end.target for end in evidence.ends}
            and self._cleared <= set(evidence.cleared)
            and evidence.was_sound >= self._was_sound
        )

    # What follows from it

    def _list_blamed(self) -> list[_End]:
        """List the ends that the request is blamed for, in order."""
        blamed = [end for target, end in self._ends.items() if target not in self._cleared]
        return sorted(blamed, key=lambda end: end.at)

    def _find_limit(self, settings: QuarantineSettings) -> int:
        """Give how many ends block the request."""
        return settings.limit_once_sound if self._was_sound else settings.limit

    def count_ends(self) -> int:
        """Count the targets whose end the request is blamed for."""
        return len(self._ends) - len(self._cleared)

    def is_blocked(self, settings: QuarantineSettings) -> bool:
        """Check whether the request is blocked, for one caller at least."""
        return bool(settings.limit) and self.count_ends() >= self._find_limit(settings)

    def is_blocked_for(self, caller: str, settings: QuarantineSettings) -> bool:
        """Check whether the request of a caller is blocked.

        What ended under the sendings of one caller only may be that caller's doing, by headers
        that make no difference here: it does not speak against the others.
        """
        if not self.is_blocked(settings):
            return False
        callers = self.list_callers()
        return caller in callers or len(callers) > 1

    def list_callers(self) -> set[str]:
        """List whose sendings targets ended under."""
        return {end.caller for end in self._list_blamed()}

    def find_blocked_at(self, settings: QuarantineSettings) -> float:
        """Return when the end came that blocked the request; it must be blocked."""
        return self._list_blamed()[self._find_limit(settings) - 1].at

    def find_blocked_until(self, settings: QuarantineSettings) -> float:
        """Return when so many ends are forgotten that a blocked request no longer is."""
        return self._list_blamed()[-self._find_limit(settings)].at + settings.memory_s
