"""Which requests are the same, and whose they are.

Those of one team with the same method, host, path and body are the same; ids differ from one
sending to the next, and so may all other headers.  Where there are no teams nobody tells who a
caller is, and its address may be another one each time.  So an address is no part of the request,
but goes with the evidence: targets that end under the sendings of one address speak against the
request of that address alone.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16
"""Size of a digest: too long for anyone to find two requests with the same one."""
CALLER_BYTES = 4
"""Size of a caller's digest, which only has to tell some callers from each other."""


class Identity(NamedTuple):
    """What makes a request the same as others, and whose this one is.

    Attributes
    ----------
    digest : str
        Of team, method, host, path and body, in hexadecimal.
    caller : str
        Of the team, or else of the caller's address, in hexadecimal.
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
    """Identify a request, alike on every entry.

    Parameters
    ----------
    team, address : str
        Whose it is, empty where there are no teams, and where it comes from.
    host : bytes
        The ``Host`` header; neither its case nor a port in it counts, as for routes.
    target : bytes
        Path and query.
    body : bytes
        The body, or the beginning that is known before a long one is sent on.
    length : bytes
        Announced length of the body where only its beginning is known; empty for a whole one.
    """
    name = host.partition(b":")[0].lower()
    digest = _digest(team.encode(), method, name, target, length, body, size=DIGEST_BYTES)
    caller = _digest(team.encode(), b"" if team else address.encode(), size=CALLER_BYTES)
    return Identity(digest, caller)


def _digest(*parts: bytes, size: int) -> str:
    """Digest parts; lengths keep one's end from passing for the next one's beginning."""
    digest = blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
