"""Records that only entries write, alike in every store: evidence against requests, and trials."""

from __future__ import annotations

import msgspec

from halldoor.core.quarantine.record import EvidenceRecord, RecordedEnd
from halldoor.core.targets.changes import Change, EvidenceGone, EvidenceSeen
from halldoor.gateway.store import StoredItem

EVIDENCE_PREFIX = "halldoor/quarantine/"
TRIAL_PREFIX = "halldoor/trials/"


class EndModel(msgspec.Struct, frozen=True):
    """A target that ended under a request, in Unix milliseconds, and whose it was."""

    target: str
    caller: str
    at_ms: int


class EvidenceModel(msgspec.Struct, frozen=True):
    """Evidence against a request, whose digest is the end of the key."""

    ends: list[EndModel]
    cleared: list[str] = []
    was_sound: bool = False


def encode_evidence(record: EvidenceRecord) -> StoredItem:
    """Encode evidence."""
    ends = [EndModel(*end) for end in record.ends]
    model = EvidenceModel(ends, list(record.cleared), record.was_sound)
    return StoredItem(EVIDENCE_PREFIX + record.digest, msgspec.json.encode(model))


def decode_evidence(item: StoredItem) -> Change:
    """Decode evidence, or its removal.

    Raises
    ------
    msgspec.DecodeError
        Where it can't be read.
    """
    digest = item.key.removeprefix(EVIDENCE_PREFIX)
    if item.value is None:
        return EvidenceGone(digest)
    model = msgspec.json.decode(item.value, type=EvidenceModel)
    ends = tuple(RecordedEnd(end.target, end.caller, end.at_ms) for end in model.ends)
    return EvidenceSeen(EvidenceRecord(digest, ends, tuple(model.cleared), model.was_sound))


def name_trial(digest: str, trial: int) -> str:
    """Return the key that the entry holds which runs a blocked request once more."""
    return f"{TRIAL_PREFIX}{digest}/{trial}"
