"""Callers' look-ups: the entries that a caller should use."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from halldoor.core.targets.changes import MemberRecord

MAX_ENTRIES = 64
"""Greatest number of entries in one answer."""
ENOUGH_IN_HALL = 2
"""Number of entries in the caller's hall from which no others are returned: one may crash."""


def choose_entries(
    members: Iterable[MemberRecord], *, hall: str, region: str, generator: random.Random
) -> list[MemberRecord]:
    """Choose the entries for a caller: its hall's, else its region's, else all.

    Callers stay in their region, because some requests must not leave it, and in their hall if it
    has enough entries, because traffic between halls costs money.

    Parameters
    ----------
    hall, region : str
        Location of the caller; unknown ones are treated as far away.
    generator : random.Random
        Shuffles the answer, so that callers that use the first entry spread out.
    """
    all_entries = list(members)
    chosen = [m for m in all_entries if m.hall == hall]
    if len(chosen) < ENOUGH_IN_HALL:
        chosen = [m for m in all_entries if m.region == region]
    if not chosen:
        chosen = all_entries
    generator.shuffle(chosen)
    return chosen[:MAX_ENTRIES]


class LookupQuery(NamedTuple):
    """Location of a caller."""

    hall: str
    region: str


class LookupFormat(ABC):
    """Format of look-ups and readiness checks, which an adapter may replace."""

    @property
    @abstractmethod
    def ready_path(self) -> str:
        """URL path of the readiness check."""

    @abstractmethod
    def parse(self, target: str) -> LookupQuery | None:
        """Parse the target of a request; return None if it is not a look-up."""

    @abstractmethod
    def render(self, entries: Sequence[MemberRecord], *, ttl_s: float) -> bytes:
        """Encode the answer as JSON, with the time that callers may cache it, in seconds."""


class PlainLookupFormat(LookupFormat):
    """halldoor's own format: ``GET /entries?hall=...&region=...``."""

    @property
    def ready_path(self) -> str:
        """URL path of the readiness check."""
        return "/ready"

    def parse(self, target: str) -> LookupQuery | None:
        """Parse the target of a request; return None if it is not a look-up."""
        parts = urlsplit(target)
        if parts.path != "/entries":
            return None
        query = dict(parse_qsl(parts.query))
        return LookupQuery(query.get("hall", ""), query.get("region", ""))

    def render(self, entries: Sequence[MemberRecord], *, ttl_s: float) -> bytes:
        """Encode the answer as JSON, with the time that callers may cache it, in seconds."""
        return msgspec.json.encode({"entries": [str(e.front) for e in entries], "ttl_s": ttl_s})
