"""Claims on the callers' own operation ids, kept in the platform.

A claim says which entry process issued the ticket for an id.  Claims live in a
fixed number of shards, by hash of the id; one compare-and-swap takes many of
them.  Ids carry their time (UUID version 7), and each shard has a floor: when it
is full the oldest claims go and the floor rises to the youngest of those.  An id
at or below the floor is answered "outcome unknown", so no clock decides.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from uuid import UUID

import msgspec

from halldoor.core.placement import hash_key

SHARDS = 64
CLAIMS_PER_SHARD = 6_000
"""At about 90 bytes a claim, well below the megabyte that the platform takes."""


class Claim(NamedTuple):
    """Who may issue tickets for an operation id."""

    issuer: str
    incarnation: str


class Shard(msgspec.Struct, frozen=True):
    """The value of one shard key.

    Attributes
    ----------
    floor_ms : int
        Unix milliseconds; ids of this age or older are no longer known.
    claims : dict of str to Claim
        Claim by operation id.
    """

    floor_ms: int = 0
    claims: dict[str, Claim] = {}


class Claimed(NamedTuple):
    """Outcome of claiming some ids in one shard."""

    shard: Shard
    holders: dict[str, Claim | None]
    """The holder of each id; None where the id is below the floor."""


def parse_time_ms(operation: str) -> int | None:
    """Read the time of a version 7 UUID in Unix milliseconds; None for anything else."""
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


def to_key(shard: int) -> str:
    """Name the platform key of a shard."""
    return f"claims/{shard:02d}"


def decode_shard(value: bytes | None) -> Shard:
    """Read a shard; a missing one is empty."""
    return Shard() if value is None else msgspec.msgpack.decode(value, type=Shard)


def encode_shard(shard: Shard) -> bytes:
    """Write a shard."""
    return msgspec.msgpack.encode(shard)


def claim(shard: Shard, operations: Iterable[str], me: Claim) -> Claimed:
    """Claim ids for one entry process; an id that has a holder keeps it.

    Returns
    -------
    Claimed
        The new shard, to be committed by compare-and-swap, and each id's holder.
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
            claims[operation] = me
            holders[operation] = me
    floor_ms = shard.floor_ms
    if len(claims) > CLAIMS_PER_SHARD:
        claims, floor_ms = _drop_oldest(claims, floor_ms, keep=set(holders))
    return Claimed(Shard(floor_ms, claims), holders)


def _drop_oldest(
    claims: dict[str, Claim], floor_ms: int, *, keep: set[str]
) -> tuple[dict[str, Claim], int]:
    """Drop the older half and raise the floor above all that was dropped.

    Ids being claimed now stay even when old: their holder is about to rely on them.
    """
    by_age = sorted(claims, key=lambda op: parse_time_ms(op) or 0)
    dropped = [op for op in by_age[: len(by_age) // 2] if op not in keep]
    floor_ms = max([floor_ms, *(parse_time_ms(op) or 0 for op in dropped)])
    gone = set(dropped)
    return {op: holder for op, holder in claims.items() if op not in gone}, floor_ms
