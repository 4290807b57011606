"""Which requests are the same: those of one caller with the same method, host, path and body.

Ids differ from one sending to the next, and so may all other headers.  The caller is part of it, so
that nobody can make another's request look like one under which targets end.
"""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
"""Size of a digest: too long for anyone to find two requests with the same one."""


def name_caller(team: str, address: str) -> str:
    """Name whose a request is: a team's, wherever it comes from, or else an address's."""
    return f"team {team}" if team else f"address {address}"


def digest_request(
    caller: str, *, method: bytes, host: bytes, target: bytes, body: bytes, length: bytes
) -> str:
    """Digest what makes requests the same, alike on every entry.

    Parameters
    ----------
    caller : str
        Whose it is; see `name_caller`.
    host : bytes
        The ``Host`` header; neither its case nor a port in it counts, as for routes.
    target : bytes
        Path and query.
    body : bytes
        The body, or the beginning that is known before a long one is sent on.
    length : bytes
        Announced length of the body where only its beginning is known; empty for a whole one.

    Returns
    -------
    str
        Digest in hexadecimal.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    name = host.partition(b":")[0].lower()
    for part in (caller.encode(), method, name, target, length, body):
        # Lengths keep one part's end from passing for the next one's beginning.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
