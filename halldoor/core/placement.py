"""Rendezvous hashing: who is home to what, without messages."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

_SPACE = float(1 << 64)


def hash_key(*parts: str) -> int:
    """Hash strings to 64 bits, alike on every host."""
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Order members by rendezvous hash for a key, best first.

    A member that leaves moves only its own keys; the order of the others stays.
    """
    names = list(members)
    hashes = hash_pairs(key, [name.encode() for name in names])
    return [name for _, name in sorted(zip(hashes, names, strict=True), reverse=True)]


def to_unit(key: str) -> float:
    """Map a key to a stable number in [0, 1)."""
    return hash_key(key) / _SPACE


def hash_pairs(key: str, members: Iterable[bytes]) -> list[int]:
    """Hash a key with each of many members, as `hash_key` does; the key is hashed once.

    Parameters
    ----------
    members : iterable of bytes
        Their encoded names.
    """
    begun = blake2b(key.encode() + b"\0", digest_size=8)
    hashes = []
    for member in members:
        pair = begun.copy()
        pair.update(member)
        hashes.append(int.from_bytes(pair.digest(), "big"))
    return hashes
