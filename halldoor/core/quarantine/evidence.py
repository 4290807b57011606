"""Evidence against a request: the targets that crashed while running it, over all entries.

Evidence only grows: it holds the crashed targets, and which of these crashes are cleared because a
target answered the request later.  So merging gives the same result in any order and with any
message lost, delayed or duplicated, and an entry can merge evidence from any entry and the store.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from halldoor.core.bounds import Digest, Name, SignedSeconds
from halldoor.core.quarantine.settings import QuarantineSettings

CRASHES_KEPT = 16
"""Newest crashes that are kept for one request; more than are needed to block it."""


class TargetCrash(NamedTuple):
    """A target that crashed while it ran a request.

    Attributes
    ----------
    target : str
        Incarnation (one start) of the target.  Copies of a request that ran on it at the same
        time count as one crash.
    caller : str
        Digest of the caller whose request it ran; see `Identity`.
    age_s : float
        Time since the crash, in seconds.
    """

    target: Name
    caller: Digest
    age_s: SignedSeconds


class Evidence(NamedTuple):
    """Evidence about one request, as entries send it to each other.

    Attributes
    ----------
    digest : str
        Digest of the request; see `Identity`.
    ends : tuple of TargetCrash
        Targets that crashed while running the request.
    cleared : tuple of str
        Crashed targets that the request is not blamed for, since a target answered it later.
    was_sound : bool
        Whether a target has answered the request recently.
    """

    digest: Digest
    ends: tuple[TargetCrash, ...]
    cleared: tuple[Name, ...] = ()
    was_sound: bool = False


class _Crash(NamedTuple):
    """A crash, dated by the clock of this entry (``at``, in seconds)."""

    caller: str
    at: float


class CrashHistory:
    """The crashes and answers of one request that an entry knows of.

    Attributes
    ----------
    has_own_crash : bool
        Whether a target crashed during an attempt of this entry, not only of other entries.
    """

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self._crashes: dict[str, _Crash] = {}
        self._cleared: set[str] = set()
        self._was_answered = False
        self.has_own_crash = False

    @classmethod
    def from_evidence(cls, evidence: Evidence, now: float) -> CrashHistory:
        """Build a history that holds the given evidence only."""
        history = cls(evidence.digest)
        history.merge(evidence, now)
        return history

    def add_crash(self, target: str, caller: str, at: float) -> bool:
        """Add a crashed target; return False if its crash is already recorded."""
        if target in self._crashes:
            return False
        self._crashes[target] = _Crash(caller, at)
        while len(self._crashes) > CRASHES_KEPT:
            self._drop(min(self._crashes, key=lambda name: self._crashes[name].at))
        return True

    def record_answer(self, answered_at: float) -> bool:
        """Record an answer, which clears the crashes before it; return False if nothing changes."""
        earlier = {
            t for t, crash in self._crashes.items() if crash.at < answered_at
        } - self._cleared
        has_changed = bool(earlier) or not self._was_answered
        self._cleared |= earlier
        self._was_answered = True
        return has_changed

    def refute(self, targets: Collection[str]) -> bool:
        """Clear the crashes of targets that were found running; return False if none changes."""
        refuted = self._crashes.keys() & set(targets) - self._cleared
        self._cleared |= refuted
        return bool(refuted)

    def merge(self, evidence: Evidence, now: float) -> bool:
        """Merge evidence of another entry; return False if it adds nothing new."""
        has_changed = False
        for target, caller, age_s in evidence.ends[:CRASHES_KEPT]:
            has_changed |= self.add_crash(target, caller, now - max(0.0, age_s))
        cleared = set(evidence.cleared) & self._crashes.keys()
        has_changed |= not cleared <= self._cleared
        self._cleared |= cleared
        has_changed |= evidence.was_sound and not self._was_answered
        self._was_answered |= evidence.was_sound
        return has_changed

    def remove_before(self, at: float) -> None:
        """Remove the crashes before a time."""
        for target in [t for t, crash in self._crashes.items() if crash.at < at]:
            self._drop(target)

    def _drop(self, target: str) -> None:
        """Remove the crash of a target."""
        del self._crashes[target]
        self._cleared.discard(target)

    def build_evidence(self, now: float) -> Evidence:
        """Build the evidence that is sent to other entries or to the store."""
        ends = tuple(
            TargetCrash(target, caller, max(0.0, now - at))
            for target, (caller, at) in self._crashes.items()
        )
        return Evidence(self.digest, ends, tuple(sorted(self._cleared)), self._was_answered)

    def is_covered_by(self, evidence: Evidence) -> bool:
        """Check whether the evidence contains everything in this history."""
        return (
            self._crashes.keys() <= {crash.target for crash in evidence.ends}
            and self._cleared <= set(evidence.cleared)
            and evidence.was_sound >= self._was_answered
        )

    def list_blamed_since(self, at: float) -> list[str]:
        """List the targets whose crashes since a time the request is blamed for."""
        crashes = self._crashes.items()
        return [t for t, crash in crashes if crash.at >= at and t not in self._cleared]

    def _list_blamed(self) -> list[_Crash]:
        """List the crashes that the request is blamed for (not cleared), oldest first."""
        blamed = [crash for target, crash in self._crashes.items() if target not in self._cleared]
        return sorted(blamed, key=lambda crash: crash.at)

    def _get_limit(self, settings: QuarantineSettings) -> int:
        """Return the number of crashes that blocks the request."""
        return settings.limit_once_sound if self._was_answered else settings.limit

    def count_crashes(self) -> int:
        """Count the crashes that the request is blamed for."""
        return len(self._crashes) - len(self._cleared)

    def is_blocked(self, settings: QuarantineSettings) -> bool:
        """Check whether the request is blocked for at least one caller."""
        return bool(settings.limit) and self.count_crashes() >= self._get_limit(settings)

    def is_blocked_for(self, caller: str, settings: QuarantineSettings) -> bool:
        """Check whether the request is blocked for a caller.

        Crashes during the attempts of a single caller may be caused by headers of that caller,
        which are not part of the digest: they block the request for this caller only.
        """
        if not self.is_blocked(settings):
            return False
        callers = self.list_callers()
        return caller in callers or len(callers) > 1

    def list_callers(self) -> set[str]:
        """Return the callers whose attempts crashed targets."""
        return {crash.caller for crash in self._list_blamed()}

    def find_blocked_at(self, settings: QuarantineSettings) -> float:
        """Return the time of the crash that blocked the request, which must be blocked."""
        return self._list_blamed()[self._get_limit(settings) - 1].at

    def find_blocked_until(self, settings: QuarantineSettings) -> float:
        """Return when enough crashes expire that a blocked request is unblocked."""
        return self._list_blamed()[-self._get_limit(settings)].at + settings.memory_s
