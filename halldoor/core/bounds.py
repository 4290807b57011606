"""Types of figures and names in data from outside, with the bounds that decoding checks.

The bounds are far beyond any real deployment.  They keep calculations with accepted figures from
overflowing.
"""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

MAX_NAME = 1024
"""Greatest length of a name that is sent in a header field, in characters."""
MAX_KEY = 128
"""Greatest length of an affinity key that is kept as it is, in characters."""

MAX_REVISION = 2**63 - 1
"""Greatest number of a version, revision, lease or start."""
MAX_PORT = 65_535
"""Greatest port of TCP or UDP."""

Name = Annotated[str, Meta(max_length=MAX_NAME)]
"""Name of a target, an entry or a team."""
Digest = Annotated[str, Meta(max_length=128)]
"""Digest in hexadecimal."""
Key = Annotated[str, Meta(max_length=MAX_KEY)]
"""Affinity key."""
Kind = Annotated[str, Meta(max_length=4 * MAX_NAME)]
"""Kind of request, named by its service and route."""
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
"""Number of a version, revision, lease or start."""
Slots = Annotated[int, Meta(ge=1, le=1_000_000)]
"""Requests that a target can run at a time."""
Count = Annotated[int, Meta(ge=0, le=1_000_000_000)]
"""Number of requests, connections, attempts or milliseconds."""
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
"""Port of TCP or UDP."""
Bytes = Annotated[int, Meta(ge=0, le=2**40)]
"""Size in bytes."""
UnixMs = Annotated[int, Meta(ge=0, le=10**13)]
"""Time of day in Unix milliseconds."""
Milliseconds = Annotated[float, Meta(ge=0.0, le=1e13)]
"""Duration in milliseconds."""
Seconds = Annotated[float, Meta(ge=0.0, le=1e10)]
"""Duration in seconds."""
PositiveSeconds = Annotated[float, Meta(gt=0.0, le=86_400.0)]
"""Period, deadline or lifetime of up to a day, in seconds."""
SignedMilliseconds = Annotated[float, Meta(ge=-1e13, le=1e13)]
"""Difference of two times in milliseconds."""
SignedSeconds = Annotated[float, Meta(ge=-1e10, le=1e10)]
"""Difference of two times in seconds."""
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]
"""Requests a second, or a number of requests that need not be whole."""
Weight = Annotated[float, Meta(ge=0.0, le=1e9)]
"""Weight of a service in a split."""
Part = Annotated[float, Meta(ge=0.0, le=1.0)]
"""Part of a whole."""

_FIELD_VALUE = re.compile(r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")


def is_field_value(text: str) -> bool:
    """Check whether a name can be sent as the value of an HTTP header field (RFC 9110, 5.5)."""
    return len(text) <= MAX_NAME and _FIELD_VALUE.fullmatch(text) is not None
