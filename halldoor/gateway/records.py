"""Records that entries write, alike in every store: evidence, trials and retry permits."""

from __future__ import annotations

import msgspec

from halldoor.core.bounds import UnixMs
from halldoor.core.decoding import decode_json
from halldoor.core.quarantine.record import EvidenceRecord, RecordedCrash
from halldoor.core.targets.changes import Change, EvidenceRemoved, EvidenceSeen
from halldoor.gateway.store import StoredItem

EVIDENCE_PREFIX = "halldoor/quarantine/"
TRIAL_PREFIX = "halldoor/trials/"
PERMIT_PREFIX = "halldoor/permits/"


class CrashModel(msgspec.Struct, frozen=True):
    """Crash of a target while it ran a request.

    Attributes
    ----------
    target, caller : str
        The target, and the caller that sent the request.
    at_ms : int
        Time of the crash, in Unix milliseconds.
    """

    target: str
    caller: str
    at_ms: UnixMs


class EvidenceModel(msgspec.Struct, frozen=True):
    """Evidence that a request crashes targets; the key ends with the request's digest.

    Attributes
    ----------
    ends : list of CrashModel
        Crashes of targets that ran the request.
    cleared : list of str
        Targets whose crash is not blamed on the request, since a target answered it later.
    was_sound : bool
        Whether a target answered the request recently.
    """

    ends: list[CrashModel]
    cleared: list[str] = []
    was_sound: bool = False


def encode_evidence(record: EvidenceRecord) -> StoredItem:
    """Encode evidence as an item of the store."""
    ends = [CrashModel(*end) for end in record.ends]
    model = EvidenceModel(ends, list(record.cleared), record.was_sound)
    return StoredItem(EVIDENCE_PREFIX + record.digest, msgspec.json.encode(model))


def decode_evidence(item: StoredItem) -> Change:
    """Decode an item with evidence, or its removal, to a change.

    Raises
    ------
    DecodingError
        If the value can't be decoded.
    """
    digest = item.key.removeprefix(EVIDENCE_PREFIX)
    if item.value is None:
        return EvidenceRemoved(digest)
    model = decode_json(item.value, EvidenceModel, origin="evidence")
    ends = tuple(RecordedCrash(end.target, end.caller, end.at_ms) for end in model.ends)
    return EvidenceSeen(EvidenceRecord(digest, ends, tuple(model.cleared), model.was_sound))


def build_trial_key(digest: str, trial: int) -> str:
    """Return the key that an entry claims before it runs a blocked request as a trial."""
    return f"{TRIAL_PREFIX}{digest}/{trial}"


def build_permit_prefix(service: str) -> str:
    """Return the prefix of the keys, ended by a number, that permit retries of a service."""
    return f"{PERMIT_PREFIX}{service}/"
