"""Hand all records of the store to another entry, in place of the store's pages.

Load pattern: all entries read everything at once, because all start or because the store came back
from a copy.  Each page is a call, so that calls grow with entries times records; here a hall's
readers read, and the others ask them.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import parse_qsl, urlencode, urlsplit

import msgspec

from halldoor.core.targets.relay import Batch, WantedEra, date_poll
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.store import StoredItem

RECORDS_PATH = "/records"
PACKED = "packed"
"""Query field of an entry that takes compressed records."""
PACK_LEVEL = 1


class ReaderLostError(Exception):
    """The reader can't be relied on now; watch the store."""


class ReaderSilentError(ReaderLostError):
    """The reader does not answer; nothing else is to be asked of it now."""


class Whole(NamedTuple):
    """All records of the store, as of a revision.

    Attributes
    ----------
    era : str
        Which copy of the store the revision is of.
    proven_at : float
        Moment up to which every change is included, on the loop's clock.
    newest : int
        Revision of the newest part; no part holds anything later.
    """

    items: list[StoredItem]
    revision: int
    era: str
    proven_at: float
    newest: int = 0


class HandedRecords(msgspec.Struct, frozen=True):
    """Answer to a question for all records.

    Attributes
    ----------
    items : msgspec.Raw
        The records, as a list of `StoredItem`; or that list as bytes, compressed with zlib.
    era : str
        Which copy of the store the revision is of.
    age_s : float
        Age of the answering entry's proof, in seconds.
    """

    items: msgspec.Raw
    revision: int
    era: str
    age_s: float


class RecordTable:
    """All records, as an entry read them, encoded once for all that ask.

    Attributes
    ----------
    era : str
        Which copy of the store they are of.
    """

    def __init__(self) -> None:
        self.era = ""
        self._revision: int | None = None
        self._records: dict[str, StoredItem] = {}
        self._encoded: bytes | None = None
        self._packed: bytes | None = None

    def find_difference(self, whole: Whole) -> Batch[StoredItem] | None:
        """Return what leads from these records to all that was read; None where nothing does."""
        before = self._revision
        if before is None or self.era != whole.era or whole.revision < before:
            return None
        names = {item.key for item in whole.items}
        items = [StoredItem(key, None) for key in self._records if key not in names]
        items += [item for item in whole.items if self._records.get(item.key) != item]
        return Batch(before, whole.revision, items, is_difference=True)

    def begin(self, whole: Whole) -> None:
        """Begin anew with all that was read."""
        self.era, self._revision = whole.era, whole.revision
        self._records = {item.key: item for item in whole.items}
        self._forget_encoded()

    def _forget_encoded(self) -> None:
        """Drop what was encoded of records that are no longer the same."""
        self._encoded = self._packed = None

    def take(self, items: Iterable[StoredItem], revision: int) -> None:
        """Follow changes."""
        self._revision = revision
        for item in items:
            self._forget_encoded()
            if item.value is None:
                self._records.pop(item.key, None)
            else:
                self._records[item.key] = item

    def meets(self, wanted: WantedEra) -> bool:
        """Check whether these are records of the copy of the store that is asked for."""
        return self._revision is not None and wanted.is_met_by(self.era)

    def encode(self, age_s: float, *, is_packed: bool) -> bytes:
        """Encode the answer to a question for all of them; something must have been read."""
        assert self._revision is not None
        if self._encoded is None:
            self._encoded = msgspec.msgpack.encode(list(self._records.values()))
        items = self._encoded
        if is_packed:
            if self._packed is None:
                self._packed = msgspec.msgpack.encode(zlib.compress(items, PACK_LEVEL))
            items = self._packed
        handed = HandedRecords(msgspec.Raw(items), self._revision, self.era, age_s)
        return msgspec.msgpack.encode(handed)


async def ask_for_whole(client: HttpClient, wanted: WantedEra, *, timeout_s: float) -> Whole:
    """Ask an entry for all records.

    Parameters
    ----------
    timeout_s : float
        Time for the answer, the entry's own wait for the store included, in seconds.

    Raises
    ------
    ReaderLostError
        Where it can't give them.
    """
    query = {name: era for name, era in wanted._asdict().items() if era is not None}
    query[PACKED] = "1"
    sent_at = asyncio.get_running_loop().time()
    try:
        answer = await client.call("GET", f"{RECORDS_PATH}?{urlencode(query)}", timeout_s=timeout_s)
    except HttpCallError as exc:
        raise ReaderSilentError(str(exc)) from exc
    if answer.status != 200:
        raise ReaderLostError(f"it answered {answer.status}")
    try:
        handed = msgspec.msgpack.decode(answer.body, type=HandedRecords)
        items = _decode_items(handed.items)
    except (msgspec.DecodeError, zlib.error) as exc:
        raise ReaderLostError(f"its answer can't be read: {exc}") from exc
    if not wanted.is_met_by(handed.era):
        raise ReaderLostError(f"it knows copy {handed.era!r} of the store")
    proven_at = date_poll(sent_at=sent_at, held_s=0.0, age_s=handed.age_s)
    return Whole(items, handed.revision, handed.era, proven_at)


def _decode_items(data: bytes | msgspec.Raw) -> list[StoredItem]:
    """Decode records, compressed or not."""
    items = msgspec.msgpack.decode(data, type=list[StoredItem] | bytes)
    if isinstance(items, bytes):
        return msgspec.msgpack.decode(zlib.decompress(items), type=list[StoredItem])
    return items


def takes_packed(target: str) -> bool:
    """Check whether a question for all records takes them compressed."""
    return dict(parse_qsl(urlsplit(target).query)).get(PACKED) == "1"


def parse_wanted_era(target: str) -> WantedEra | None:
    """Read a question for all records; None where the request target is none."""
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    if parts.path != RECORDS_PATH or "newest" not in query:
        return None
    return WantedEra(query["newest"], query.get("left"))
