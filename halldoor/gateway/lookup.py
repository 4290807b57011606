"""Callers' look-ups: the entries that a caller should use."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.entryweights import draw_entries
from halldoor.gateway.query import parse_query

MAX_ENTRIES = 64
"""Greatest number of entries in one answer."""
ENOUGH_IN_HALL = 2
"""Number of entries in the caller's hall from which no others are returned: one may crash."""


class Candidates(NamedTuple):
    """Entries of which an answer may name some.

    Attributes
    ----------
    group : str
        Name of the hall or region whose entries they are, unique among both.
    """

    group: str
    members: list[MemberRecord]

    @classmethod
    def from_hall(cls, members: Iterable[MemberRecord], hall: str) -> Candidates:
        """Return those of a hall."""
        return cls(f"hall/{hall}", [m for m in members if m.hall == hall])

    @classmethod
    def from_place(cls, members: Iterable[MemberRecord], *, hall: str, region: str) -> Candidates:
        """Return those of a caller's hall, else of its region, else all."""
        all_entries = list(members)
        candidates = cls.from_hall(all_entries, hall)
        if len(candidates.members) < ENOUGH_IN_HALL:
            in_region = [m for m in all_entries if m.region == region]
            candidates = cls(f"region/{region}", in_region)
        return candidates if candidates.members else cls("", all_entries)


Weigher = Callable[[Candidates], Mapping[str, float] | None]
"""Returns the weights of entries by name; None where all are named."""


def choose_entries(
    members: Iterable[MemberRecord],
    *,
    hall: str,
    region: str,
    generator: random.Random,
    weigh: Weigher = lambda _: None,
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
    weigh : callable, optional
        Returns the weights by which each entry is named in a part of the answers.
    """
    candidates = Candidates.from_place(members, hall=hall, region=region)
    chosen = candidates.members
    weights = weigh(candidates)
    generator.shuffle(chosen)
    if weights is not None:
        chosen = draw_entries(chosen, weights, generator)
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
        path, fields = parse_query(target)
        if path != "/entries":
            return None
        return LookupQuery(fields.get("hall", ""), fields.get("region", ""))

    def render(self, entries: Sequence[MemberRecord], *, ttl_s: float) -> bytes:
        """Encode the answer as JSON, with the time that callers may cache it, in seconds."""
        return msgspec.json.encode({"entries": [str(e.front) for e in entries], "ttl_s": ttl_s})
