"""Evidence as stored in the store: with times of day, since a stored age would not grow."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.quarantine.evidence import Evidence, TargetCrash

MS_PER_S = 1000


class RecordedCrash(NamedTuple):
    """A target that crashed while it ran a request; see `TargetCrash`.

    Attributes
    ----------
    target : str
        Incarnation (one start) of the target.
    caller : str
        Digest of the caller whose request it ran.
    at_ms : int
        Time of the crash, in Unix milliseconds by the clock of the entry that wrote the record.
    """

    target: str
    caller: str
    at_ms: int


class EvidenceRecord(NamedTuple):
    """Stored evidence about one request; see `Evidence`."""

    digest: str
    ends: tuple[RecordedCrash, ...]
    cleared: tuple[str, ...]
    was_sound: bool


def to_record(evidence: Evidence, now_ms: int) -> EvidenceRecord:
    """Convert evidence to a record.

    Parameters
    ----------
    now_ms : int
        Time of day, in Unix milliseconds.
    """
    ends = tuple(
        RecordedCrash(target, caller, now_ms - round(age_s * MS_PER_S))
        for target, caller, age_s in evidence.ends
    )
    return EvidenceRecord(evidence.digest, ends, evidence.cleared, evidence.was_sound)


def from_record(record: EvidenceRecord, now_ms: int) -> Evidence:
    """Convert a record to evidence; crashes dated in the future by a fast clock get age 0."""
    ends = tuple(
        TargetCrash(target, caller, max(0.0, (now_ms - at_ms) / MS_PER_S))
        for target, caller, at_ms in record.ends
    )
    return Evidence(record.digest, ends, record.cleared, record.was_sound)
