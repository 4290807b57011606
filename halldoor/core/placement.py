"""Rendezvous hashing: every process assigns keys to the same members, without messages."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

_HASH_RANGE = float(1 << 64)


def hash_key(*parts: str) -> int:
    """Return a 64-bit hash of strings, the same on every host."""
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return members by rendezvous hash for a key, the preferred one first.

    Removing a member moves only the keys that it came first for; the others keep their order.
    """
    names = list(members)
    hashes = hash_pairs(key, [name.encode() for name in names])
    return [name for _, name in sorted(zip(hashes, names, strict=True), reverse=True)]


def hash_to_unit(key: str) -> float:
    """Return a number in [0, 1) that depends only on the key."""
    return hash_key(key) / _HASH_RANGE


def hash_pairs(key: str, members: Iterable[bytes]) -> list[int]:
    """Return ``hash_key(key, member)`` for each of many members, hashing the key only once.

    Parameters
    ----------
    members : iterable of bytes
        Encoded names of the members.
    """
    key_hash = blake2b(key.encode() + b"\0", digest_size=8)
    hashes = []
    for member in members:
        pair_hash = key_hash.copy()
        pair_hash.update(member)
        hashes.append(int.from_bytes(pair_hash.digest(), "big"))
    return hashes
