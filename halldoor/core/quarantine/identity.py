"""Digests that identify equal requests, and their callers.

Requests of one team with the same method, host, path and body are equal.  Headers are ignored,
since ids and others differ between attempts.  Without teams a caller is known only by its address,
which may differ each time.  So the address is not part of the request's digest but recorded with
the evidence: crashes during attempts from one address block the request for that address only.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16
"""Size of a request's digest: too long for anyone to find two requests with the same digest."""
CALLER_BYTES = 4
"""Size of a caller's digest; it only distinguishes the few callers of one request."""


class Identity(NamedTuple):
    """Digests of a request and of its caller.

    Attributes
    ----------
    digest : str
        Digest of team, method, host, path and body, in hexadecimal; the same for equal requests.
    caller : str
        Digest of the team or, without teams, of the caller's address, in hexadecimal.
    """

    digest: str
    caller: str


def identify_request(
    team: str,
    address: str,
    *,
    method: bytes,
    host: bytes,
    target: bytes,
    body: bytes,
    length: bytes,
) -> Identity:
    """Compute the identity of a request, which is the same on every entry.

    Parameters
    ----------
    team, address : str
        Team of the caller, empty where there are no teams, and address of the caller.
    host : bytes
        The ``Host`` header; its case and port are ignored, as for routes.
    target : bytes
        Path and query.
    body : bytes
        The body, or the beginning of a long body that is forwarded before it is complete.
    length : bytes
        Announced length of the body where ``body`` is only its beginning, else empty.
    """
    name = host.partition(b":")[0].lower()
    digest = _compute_digest(team.encode(), method, name, target, length, body, size=DIGEST_BYTES)
    caller = _compute_digest(team.encode(), b"" if team else address.encode(), size=CALLER_BYTES)
    return Identity(digest, caller)


def _compute_digest(*parts: bytes, size: int) -> str:
    """Digest parts, each prefixed by its length so that moving bytes between parts matters."""
    digest = blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
