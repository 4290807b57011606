"""Claims of operation ids that callers choose, stored in the platform.

A claim states which entry process issued the ticket for an operation id.  Claims are stored in a
fixed number of shards, by hash of the id; one compare-and-swap adds several claims to a shard.  Ids
contain their time (UUID version 7), and each shard has a floor: when the shard is full, the oldest
claims are dropped and the floor rises to the newest of the dropped ones.  An id at or below the
floor is answered "outcome unknown", so the decision doesn't depend on any clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, NamedTuple
from uuid import UUID

import msgspec

from halldoor.core.decoding import DecodingError, decode_msgpack
from halldoor.core.placement import hash_key

SHARDS = 64
"""Number of shards over which claims are distributed."""
CLAIMS_PER_SHARD = 6_000
"""Most claims in a shard: at about 90 bytes each, well below the platform's limit of 1 MB."""


class Claim(NamedTuple):
    """The entry process that may issue tickets for an operation id: entry name and process id."""

    issuer: str
    incarnation: str


FloorMs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
"""Unix time in milliseconds, in as many bits as an operation id has for it."""


class Shard(msgspec.Struct, frozen=True):
    """The stored value of a shard.

    Attributes
    ----------
    floor_ms : int
        Unix milliseconds; claims of ids with this time or an earlier one have been dropped.
    claims : dict of str to Claim
        Claim by operation id.
    """

    floor_ms: FloorMs = 0
    claims: dict[str, Claim] = {}


class _RawShard(msgspec.Struct):
    """The stored value of a shard, with its claims still encoded."""

    floor_ms: FloorMs = 0
    claims: dict[str, msgspec.Raw] = {}


UNKNOWN_CLAIM = Claim("", "")
"""Claim of an id whose stored claim can't be decoded: no entry may issue a ticket for it."""


class ClaimOutcome(NamedTuple):
    """The outcome of claiming ids in one shard."""

    shard: Shard
    holders: dict[str, Claim | None]
    """Claim in force for each id; None for an id that has no time or is at or below the floor."""


def parse_time_ms(operation: str) -> int | None:
    """Return the time in a version 7 UUID, in Unix milliseconds; None for any other text."""
    try:
        value = UUID(operation)
    except ValueError:
        return None
    if value.version != 7 or str(value) != operation:
        return None
    return value.int >> 80


def find_shard(operation: str) -> int:
    """Return the number of the shard of an operation id."""
    return hash_key(operation) % SHARDS


def format_shard_key(shard: int) -> str:
    """Return the platform key of a shard."""
    return f"claims/{shard:02d}"


def decode_shard(value: bytes | None) -> Shard:
    """Decode a shard; a missing one (None) is empty.

    A claim that can't be decoded becomes `UNKNOWN_CLAIM`, so that its id never runs.

    Raises
    ------
    DecodingError
        If the shard itself can't be decoded.
    """
    if value is None:
        return Shard()
    try:
        shard: Shard = decode_msgpack(value, Shard, origin="a shard of claims")
    except DecodingError:
        raw = decode_msgpack(value, _RawShard, origin="a shard of claims")
        return Shard(raw.floor_ms, {op: _decode_claim(data) for op, data in raw.claims.items()})
    return shard


def _decode_claim(data: msgspec.Raw) -> Claim:
    """Decode a claim; return `UNKNOWN_CLAIM` if that fails."""
    try:
        claim: Claim = decode_msgpack(bytes(data), Claim, origin="a claim")
    except DecodingError:
        return UNKNOWN_CLAIM
    return claim


def encode_shard(shard: Shard) -> bytes:
    """Encode a shard."""
    return msgspec.msgpack.encode(shard)


def claim_operations(shard: Shard, operations: Iterable[str], own_claim: Claim) -> ClaimOutcome:
    """Claim operation ids for one entry process; ids that are claimed already keep their claim.

    Returns
    -------
    ClaimOutcome
        The new shard, to be stored by compare-and-swap, and the claim in force for each id.
    """
    claims = dict(shard.claims)
    holders: dict[str, Claim | None] = {}
    for operation in operations:
        time_ms = parse_time_ms(operation)
        if operation in claims:
            holders[operation] = claims[operation]
        elif time_ms is None or time_ms <= shard.floor_ms:
            holders[operation] = None
        else:
            claims[operation] = own_claim
            holders[operation] = own_claim
    floor_ms = shard.floor_ms
    if len(claims) > CLAIMS_PER_SHARD:
        claims, floor_ms = _drop_oldest(claims, floor_ms, keep=set(holders))
    return ClaimOutcome(Shard(floor_ms, claims), holders)


def _drop_oldest(
    claims: dict[str, Claim], floor_ms: int, *, keep: set[str]
) -> tuple[dict[str, Claim], int]:
    """Drop the older half of the claims and raise the floor to the newest of the dropped ones.

    The ids in ``keep`` are being claimed now and stay even when old: their holder will rely on
    them.
    """
    by_age = sorted(claims, key=lambda op: parse_time_ms(op) or 0)
    dropped = [op for op in by_age[: len(by_age) // 2] if op not in keep]
    floor_ms = max([floor_ms, *(parse_time_ms(op) or 0 for op in dropped)])
    dropped_ids = set(dropped)
    return {op: holder for op, holder in claims.items() if op not in dropped_ids}, floor_ms
