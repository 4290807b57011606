"""Records of the store as the request path knows them, and how they change."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.quarantine.record import EvidenceRecord
from halldoor.core.settings import Address
from halldoor.core.targets.route import Routing


class TargetRecord(NamedTuple):
    """What a target says of itself in the store.

    Attributes
    ----------
    incarnation : str
        Name of the target; it stands for nothing else, ever.
    slots : int
        Requests that it works on at a time.
    is_draining : bool
        It is about to end and takes no new work.
    cold_left_s : float
        How much longer it is cold, in seconds.
    started_ms : int
        When it started, in Unix milliseconds by its own clock; 0 where it does not say.  A target
        that starts again may keep its name.
    """

    incarnation: str
    service: str
    address: Address
    hall: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_ms: int = 0


class TargetStart(NamedTuple):
    """One start of a target.

    Attributes
    ----------
    target : str
        Name of its incarnation.
    started_ms : int
        When it started; see `TargetRecord`.
    """

    target: str
    started_ms: int


class MemberRecord(NamedTuple):
    """An entry that serves callers, as it registered itself in the store.

    Attributes
    ----------
    relay : Address or None
        Where it passes changes of the store on to other entries; None where it does not.
    """

    name: str
    front: Address
    hall: str
    region: str
    relay: Address | None = None


class RoutingSeen(NamedTuple):
    """A version of the operators' configuration was read."""

    routing: Routing


class TargetSeen(NamedTuple):
    """A target's record was written."""

    record: TargetRecord


class TargetGone(NamedTuple):
    """A target's record was removed."""

    incarnation: str


class EvacuationSet(NamedTuple):
    """An operator asked that a hall's targets get nothing, or took that back."""

    hall: str
    is_evacuated: bool


class MemberSeen(NamedTuple):
    """An entry's record was written."""

    member: MemberRecord


class MemberGone(NamedTuple):
    """An entry's record was removed."""

    name: str


class EvidenceSeen(NamedTuple):
    """Evidence against a request was recorded."""

    record: EvidenceRecord


class EvidenceGone(NamedTuple):
    """Evidence against a request is no longer recorded."""

    digest: str


Change = (
    RoutingSeen
    | TargetSeen
    | TargetGone
    | EvacuationSet
    | MemberSeen
    | MemberGone
    | EvidenceSeen
    | EvidenceGone
)


def is_target_withdrawal(change: Change) -> bool:
    """Check whether a change tells that a target drains or is gone."""
    match change:
        case TargetSeen(record):
            return record.is_draining
        case TargetGone():
            return True
        case _:
            return False
