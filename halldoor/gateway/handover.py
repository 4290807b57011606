"""Transfers all records of the store from one entry to another.

When all entries start, or the store was restored from a copy, all of them need all records at once.
Each page is a call to the store, so calls would grow with entries times records; instead only a
hall's readers read the store, and the other entries fetch the records from them.
"""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from halldoor.core.bounds import Revision, SignedSeconds
from halldoor.core.decoding import DecodingError, decode_msgpack, decompress
from halldoor.core.targets.history import Batch
from halldoor.core.targets.proofs import compute_poll_proof
from halldoor.core.targets.relay import WantedEra
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.query import parse_query
from halldoor.gateway.store import StoredItem

RECORDS_PATH = "/records"
PACKED = "packed"
"""Query field by which an entry accepts compressed records or changes."""
COMPRESSION_LEVEL = 1


class ReaderLostError(Exception):
    """The reader can't be used now; the store has to be watched instead."""


class ReaderSilentError(ReaderLostError):
    """The reader does not answer; no other request should be sent to it now."""


class RecordSet(NamedTuple):
    """All records of the store, as of a revision.

    Attributes
    ----------
    revision : int
        Every change up to this revision is included.
    era : str
        Copy of the store that the revision belongs to.
    proven_at : float
        Moment up to which every change is included, on the loop's clock.
    newest : int
        Revision of the newest page; no page holds a later change.
    source : str
        What sent the records, for the log.
    took_s : float or None
        Time that they took to arrive, in seconds; None if it is not known.
    """

    items: list[StoredItem]
    revision: int
    era: str
    proven_at: float
    newest: int = 0
    source: str = ""
    took_s: float | None = None

    @property
    def view(self) -> StoreView:
        """Era and revision up to which every change is included."""
        return StoreView(self.era, self.revision)


class RecordSetAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for all records.

    Attributes
    ----------
    items : msgspec.Raw
        The records, as a list of `StoredItem`; or that list as bytes, compressed with zlib.
    era : str
        Copy of the store that the revision belongs to.
    age_s : float
        Time since the moment up to which the sender's state is complete, in seconds.
    """

    items: msgspec.Raw
    revision: Revision
    era: str
    age_s: SignedSeconds


class RecordTable:
    """All records of the store, encoded once for all entries that request them.

    Attributes
    ----------
    era : str
        Copy of the store that the records are of.
    """

    def __init__(self) -> None:
        self.era = ""
        self._revision: int | None = None
        self._records: dict[str, StoredItem] = {}
        self._encoded: bytes | None = None
        self._packed: bytes | None = None

    def find_difference(self, newer: RecordSet) -> Batch[StoredItem] | None:
        """Return the changes from these records to newer ones; None if they can't be compared."""
        before = self._revision
        if before is None or self.era != newer.era or newer.revision < before:
            return None
        names = {item.key for item in newer.items}
        items = [StoredItem(key, None) for key in self._records if key not in names]
        items += [item for item in newer.items if self._records.get(item.key) != item]
        return Batch(before, newer.revision, items, is_difference=True)

    def replace_all(self, records: RecordSet) -> None:
        """Replace all records with those of a full read."""
        self.era, self._revision = records.era, records.revision
        self._records = {item.key: item for item in records.items}
        self._clear_encoded()

    def _clear_encoded(self) -> None:
        """Drop the encoded records after a change."""
        self._encoded = self._packed = None

    def apply(self, items: Iterable[StoredItem], revision: int) -> None:
        """Apply changes up to a revision."""
        self._revision = revision
        for item in items:
            self._clear_encoded()
            if item.value is None:
                self._records.pop(item.key, None)
            else:
                self._records[item.key] = item

    def satisfies(self, wanted: WantedEra) -> bool:
        """Check whether these are records of the requested copy of the store."""
        return self._revision is not None and wanted.is_satisfied_by(self.era)

    def encode(self, age_s: float, *, is_packed: bool) -> bytes:
        """Encode the answer with all records; call it only after a full read."""
        assert self._revision is not None
        if self._encoded is None:
            self._encoded = msgspec.msgpack.encode(list(self._records.values()))
        items = self._encoded
        if is_packed:
            if self._packed is None:
                self._packed = msgspec.msgpack.encode(zlib.compress(items, COMPRESSION_LEVEL))
            items = self._packed
        answer = RecordSetAnswer(msgspec.Raw(items), self._revision, self.era, age_s)
        return msgspec.msgpack.encode(answer)


async def request_records(
    client: HttpClient, wanted: WantedEra, *, timeout_s: float, age_limit_s: float = math.inf
) -> RecordSet:
    """Request all records from another entry.

    Parameters
    ----------
    timeout_s : float
        Time limit of the answer's head, in seconds; includes the other entry's wait for the store.
    age_limit_s : float, optional
        Greatest age of the records when they are sent, in seconds.  They may get older on the way,
        as the next call brings the changes since.

    Raises
    ------
    ReaderLostError
        If the entry does not answer, or not with usable records of the wanted copy.
    """
    query = {name: era for name, era in wanted._asdict().items() if era is not None}
    query[PACKED] = "1"
    sent_at = asyncio.get_running_loop().time()
    try:
        answer = await client.call(
            "GET",
            f"{RECORDS_PATH}?{urlencode(query)}",
            timeout_s=timeout_s,
            arrival=Arrival(),
        )
    except HttpCallError as exc:
        raise ReaderSilentError(exc.detail) from exc
    if answer.status != 200:
        raise ReaderLostError(f"it answered {answer.status}")
    try:
        records, items = decode_records(answer.body)
    except DecodingError as exc:
        raise ReaderLostError(f"its answer can't be read: {exc}") from exc
    if not wanted.is_satisfied_by(records.era):
        raise ReaderLostError(f"its records are of copy {records.era!r} of the store")
    if records.age_s > age_limit_s:
        raise ReaderLostError(f"its state is {records.age_s:.2f} s old")
    proven_at = compute_poll_proof(sent_at=sent_at, held_s=0.0, age_s=records.age_s)
    return RecordSet(items, records.revision, records.era, proven_at, took_s=answer.transfer_s)


def decode_records(body: bytes) -> tuple[RecordSetAnswer, list[StoredItem]]:
    """Decode an answer with all records, compressed or not; raise `DecodingError` if it is none."""
    answer = decode_msgpack(body, RecordSetAnswer, origin="records")
    items = decode_msgpack(bytes(answer.items), list[StoredItem] | bytes, origin="records")
    if isinstance(items, bytes):
        items = decode_msgpack(
            decompress(items, origin="records"), list[StoredItem], origin="records"
        )
    return answer, items


def accepts_packed(target: str) -> bool:
    """Check whether a request for all records accepts compressed ones."""
    return parse_query(target).fields.get(PACKED) == "1"


def parse_wanted_era(target: str) -> WantedEra | None:
    """Parse the target of a request for all records; None where it is not one."""
    path, fields = parse_query(target)
    if path != RECORDS_PATH or "newest" not in fields:
        return None
    return WantedEra(fields["newest"], fields.get("left"))
