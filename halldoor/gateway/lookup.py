"""Answer callers' look-ups: which entries to use."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from halldoor.core.targets.changes import MemberRecord

ANSWER_LIMIT = 64
"""Entries in one answer."""
ENOUGH = 2
"""Entries of the caller's own hall that are enough without others: one may die."""


def choose_entries(
    members: Iterable[MemberRecord], *, hall: str, region: str, source: random.Random
) -> list[MemberRecord]:
    """Choose the entries for a caller: its hall's, else its region's, else all.

    Callers stay in their region, so that requests which may not leave it don't; and in their
    hall where that has enough entries, since bytes between halls cost.

    Parameters
    ----------
    hall, region : str
        Where the caller is; unknown ones are treated as far away.
    source : random.Random
        Order of the answer, so that callers that take the first spread out.
    """
    known = list(members)
    chosen = [m for m in known if m.hall == hall]
    if len(chosen) < ENOUGH:
        chosen = [m for m in known if m.region == region]
    if not chosen:
        chosen = known
    source.shuffle(chosen)
    return chosen[:ANSWER_LIMIT]


class LookupQuery(NamedTuple):
    """Where a caller is."""

    hall: str
    region: str


class LookupFormat(ABC):
    """How look-ups and readiness questions are written."""

    @property
    @abstractmethod
    def ready_path(self) -> str:
        """Path of the readiness question."""

    @abstractmethod
    def parse(self, target: str) -> LookupQuery | None:
        """Read a look-up; None where the request target is none."""

    @abstractmethod
    def render(self, entries: Sequence[MemberRecord], *, ttl_s: float) -> bytes:
        """Write the answer as JSON."""


class PlainLookupFormat(LookupFormat):
    """The product's own form: ``GET /entries?hall=...&region=...``."""

    @property
    def ready_path(self) -> str:
        """Path of the readiness question."""
        return "/ready"

    def parse(self, target: str) -> LookupQuery | None:
        """Read a look-up."""
        parts = urlsplit(target)
        if parts.path != "/entries":
            return None
        query = dict(parse_qsl(parts.query))
        return LookupQuery(query.get("hall", ""), query.get("region", ""))

    def render(self, entries: Sequence[MemberRecord], *, ttl_s: float) -> bytes:
        """Write the answer."""
        return msgspec.json.encode({"entries": [str(e.front) for e in entries], "ttl_s": ttl_s})
