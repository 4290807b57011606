"""Evidence as the store keeps it: by the time of day, since an age would stand still there."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.quarantine.evidence import Evidence, TargetEnd

MS_PER_S = 1000


class RecordedEnd(NamedTuple):
    """A target that ended while it ran a request.

    Attributes
    ----------
    target : str
        One start of a target.
    caller : str
        Digest of whose request it ran.
    at_ms : int
        When, in Unix milliseconds by the clock of the entry that wrote it.
    """

    target: str
    caller: str
    at_ms: int


class EvidenceRecord(NamedTuple):
    """Evidence of one request; see `Evidence`."""

    digest: str
    ends: tuple[RecordedEnd, ...]
    cleared: tuple[str, ...]
    was_sound: bool


def to_record(evidence: Evidence, now_ms: int) -> EvidenceRecord:
    """Return the record of evidence.

    Parameters
    ----------
    now_ms : int
        Time of day, in Unix milliseconds.
    """
    ends = tuple(
        RecordedEnd(target, caller, now_ms - round(age_s * MS_PER_S))
        for target, caller, age_s in evidence.ends
    )
    return EvidenceRecord(evidence.digest, ends, evidence.cleared, evidence.was_sound)


def from_record(record: EvidenceRecord, now_ms: int) -> Evidence:
    """Return the evidence of a record; what a fast clock dated ahead is taken for new."""
    ends = tuple(
        TargetEnd(target, caller, max(0.0, (now_ms - at_ms) / MS_PER_S))
        for target, caller, at_ms in record.ends
    )
    return Evidence(record.digest, ends, record.cleared, record.was_sound)
