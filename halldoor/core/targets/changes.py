"""Records of the store as the request path uses them, and changes of them."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.bounds import UnixMs
from halldoor.core.quarantine.record import EvidenceRecord
from halldoor.core.settings import Address
from halldoor.core.targets.route import Routing


class TargetRecord(NamedTuple):
    """A target's record in the store, written by the target.

    Attributes
    ----------
    incarnation : str
        Name of the target; it is never used for another one.
    slots : int
        Requests that the target can run at a time.
    is_draining : bool
        Whether the target is about to stop and accepts no new requests.
    cold_left_s : float
        Time for which the target is still cold, in seconds.
    started_ms : int
        Start of the target, in Unix milliseconds by its own clock; 0 if it is not stated.  A
        target that starts again may keep its name.
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
        Time of the start; see `TargetRecord`.
    """

    target: str
    started_ms: UnixMs


class MemberRecord(NamedTuple):
    """An entry's record in the store, written by the entry.

    Attributes
    ----------
    front : Address
        Address at which it serves callers.
    relay : Address or None
        Address at which it relays changes of the store to other entries; None if it doesn't.
    cores, link_mbps : float or None
        Processor in cores of usual speed, and network link in Mbit/s; None: not stated.
    """

    name: str
    front: Address
    hall: str
    region: str
    relay: Address | None = None
    cores: float | None = None
    link_mbps: float | None = None


class RoutingSeen(NamedTuple):
    """The operators' configuration was written.

    Attributes
    ----------
    is_newest : bool
        Whether the store holds no later one, so that it is in force whatever its version.
    size_bytes : int
        Size of its record, for the log.
    """

    routing: Routing
    is_newest: bool = False
    size_bytes: int = 0


class RoutingRejected(NamedTuple):
    """The operators wrote a configuration that can't be read as a whole, or is inconsistent.

    Attributes
    ----------
    part : Routing or None
        What an entry without a configuration may serve of it; None if it can't be read.
    """

    part: Routing | None = None


class TargetSeen(NamedTuple):
    """A target's record was written."""

    record: TargetRecord


class TargetRemoved(NamedTuple):
    """A target's record was removed."""

    incarnation: str


class EvacuationSet(NamedTuple):
    """An operator started or ended the evacuation of a hall, whose targets get no requests."""

    hall: str
    is_evacuated: bool


class MemberSeen(NamedTuple):
    """An entry's record was written."""

    member: MemberRecord


class MemberRemoved(NamedTuple):
    """An entry's record was removed."""

    name: str


class EvidenceSeen(NamedTuple):
    """The record of evidence against a request was written."""

    record: EvidenceRecord


class EvidenceRemoved(NamedTuple):
    """The record of evidence against a request was removed."""

    digest: str


Change = (
    RoutingSeen
    | RoutingRejected
    | TargetSeen
    | TargetRemoved
    | EvacuationSet
    | MemberSeen
    | MemberRemoved
    | EvidenceSeen
    | EvidenceRemoved
)


def is_target_withdrawal(change: Change) -> bool:
    """Check whether a change is the draining or the removal of a target."""
    match change:
        case TargetSeen(record):
            return record.is_draining
        case TargetRemoved():
            return True
        case _:
            return False


def is_withdrawal(change: Change) -> bool:
    """Check whether a change takes a target or a hall out of use by a record that remains."""
    match change:
        case TargetSeen(record):
            return record.is_draining
        case EvacuationSet(_, is_evacuated):
            return is_evacuated
        case _:
            return False
