"""Messages with which an entry polls another one for changes of the store."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Iterable
from functools import cached_property
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from halldoor.core.bounds import MAX_REVISION, Revision, SignedSeconds
from halldoor.core.decoding import (
    MAX_BYTES,
    DecodingError,
    decode_msgpack,
    decompress,
    parse_int,
)
from halldoor.core.settings import Address
from halldoor.core.targets.contact import ContactReport, StoreContact, compute_contact_span
from halldoor.core.targets.history import Batch
from halldoor.core.targets.proofs import compute_poll_proof
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.handover import (
    COMPRESSION_LEVEL,
    PACKED,
    RECORDS_PATH,
    ReaderLostError,
    ReaderSilentError,
)
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.losses import LossLog
from halldoor.gateway.query import parse_query
from halldoor.gateway.store import Events, StoredItem

CHANGES_PATH = "/changes"
MAX_WAIT_MS = 3_600_000
"""Greatest wait of a poll that is accepted, in milliseconds."""
LARGE_BYTES = 4_096
"""Size of the values of an update from which it is compressed, in bytes."""
OTHER_ERA = 409
"""Status that answers a poll for changes of another copy of the store."""

_KINDS = {CHANGES_PATH: "poll", RECORDS_PATH: "records"}


class OtherEraError(Exception):
    """The reader follows another copy of the store: all records have to be read again."""


class ContactLostError(Exception):
    """No answer or report of the store arrived for too long while a watch waited."""


class ItemBlock(list[StoredItem]):
    """Changes that are encoded once for all entries that poll for them."""

    @cached_property
    def size(self) -> int:
        """Size of the values, in bytes."""
        return sum(len(item.value or b"") for item in self)

    @property
    def is_large(self) -> bool:
        """Whether the changes are worth compressing."""
        return self.size >= LARGE_BYTES

    @cached_property
    def packed(self) -> bytes:
        """The changes in MessagePack, compressed with zlib."""
        return zlib.compress(msgspec.msgpack.encode(list(self)), COMPRESSION_LEVEL)


def unpack_items(items: Iterable[StoredItem | bytes]) -> list[StoredItem]:
    """Replace the compressed blocks among changes by their changes.

    Raises
    ------
    DecodingError
        If a block can't be decoded, or if all of them have more than `MAX_BYTES`.
    """
    plain: list[StoredItem] = []
    left = MAX_BYTES
    for item in items:
        if isinstance(item, bytes):
            data = decompress(item, origin="changes", max_bytes=max(1, left))
            left -= len(data)
            plain += decode_msgpack(data, list[StoredItem], origin="changes")
        else:
            plain.append(item)
    return plain


class RelayedChanges(msgspec.Struct, frozen=True):
    """Answer to a poll, with the changes after its revision.

    Attributes
    ----------
    items : list of StoredItem or bytes
        The changes in their order.  Bytes are several of them, as `ItemBlock.packed`; they are sent
        only to an entry whose poll accepts them.
    age_s : float
        Time since the moment up to which the sender's state is complete, in seconds.
    held_s : float
        Time for which the poll was held, in seconds.
    is_difference : bool
        Whether changes that were undone before the newest revision may be left out.
    contact : ContactReport or None
        The answering entry's contact with the store.
    is_receiving : bool
        Whether the sender is about to receive changes for so long that a follower gets them sooner
        from the store.
    """

    items: list[StoredItem | bytes]
    revision: Revision
    age_s: SignedSeconds
    held_s: SignedSeconds
    is_difference: bool = False
    contact: ContactReport | None = None
    is_receiving: bool = False


class NoChanges(msgspec.Struct, frozen=True):
    """Answer to a poll for changes that the answering entry does not have."""

    held_s: SignedSeconds
    contact: ContactReport | None = None


class Update(NamedTuple):
    """Changes after a revision.

    Attributes
    ----------
    proven_at : float
        Moment up to which every change is included, on the loop's clock.
    is_relayed : bool
        Whether the changes came from another entry.
    is_substitute : bool
        Whether the changes came from a substitute for the store: an entry that is polled while
        this one has no contact with the store.
    is_difference : bool
        Whether changes that were undone before the newest revision may be left out.
    is_receiving : bool
        Whether the entry that sent the changes waits long for the next ones.
    source : str
        What sent the changes, for the log.
    """

    events: Events
    proven_at: float
    is_relayed: bool = False
    is_substitute: bool = False
    is_difference: bool = False
    is_receiving: bool = False
    source: str = ""

    def to_batch(self, after: int) -> Batch[StoredItem]:
        """Return the changes after a revision as a batch for followers."""
        return Batch(
            after=after,
            revision=self.events.revision,
            items=self.events.items,
            is_difference=self.is_difference,
        )


class Poll(NamedTuple):
    """A request for changes after a revision.

    Attributes
    ----------
    after : int
        Revision after which changes are wanted.
    wait_s : float
        Longest time to wait for changes, in seconds.
    era : str
        Copy of the store that the revision belongs to.
    needs_contact : bool
        Whether only an entry in contact with the store may answer, whatever the age of its state.
    accepts_packed : bool
        Whether the answer may contain compressed changes.
    """

    after: int
    wait_s: float
    era: str
    needs_contact: bool = False
    accepts_packed: bool = True


def parse_poll(target: str) -> Poll | None:
    """Parse the target of a poll; None where it is not one."""
    path, fields = parse_query(target)
    if path != CHANGES_PATH:
        return None
    try:
        after = parse_int(fields.get("after", ""), lowest=0, highest=MAX_REVISION, origin="after")
        wait_ms = parse_int(fields.get("wait_ms", ""), lowest=0, highest=MAX_WAIT_MS, origin="wait")
    except DecodingError:
        return None
    return Poll(
        after,
        wait_ms / 1000,
        fields.get("era", ""),
        needs_contact=fields.get("needs_contact") == "1",
        accepts_packed=fields.get(PACKED) == "1",
    )


def decode_poll_answer(status: int, body: bytes) -> RelayedChanges | NoChanges | None:
    """Decode the answer to a poll; raise `DecodingError` if it is none."""
    kind: type[RelayedChanges | NoChanges] = RelayedChanges if status == 200 else NoChanges
    return decode_msgpack(body, kind, origin="poll") if body else None


async def send_poll(
    client: HttpClient,
    poll: Poll,
    contact: StoreContact,
    *,
    sent_at: float,
    answer_s: float,
    arrival: Arrival | None = None,
    source: str = "",
) -> Update:
    """Send a poll and read its answer.

    Parameters
    ----------
    contact : StoreContact
        Records the other entry's contact with the store, also if it sends no changes.
    sent_at : float
        When the poll is sent, on the loop's clock.
    answer_s : float
        Time limit of the answer's head in addition to the poll's wait, in seconds.
    arrival : Arrival, optional
        Records the answer's progress.
    source : str, optional
        What the log calls the other entry.

    Raises
    ------
    ReaderLostError
        If no usable answer arrives.
    OtherEraError
        If the other entry follows another copy of the store.
    """
    query = {"after": poll.after, "wait_ms": round(poll.wait_s * 1000), "era": poll.era}
    if poll.accepts_packed:
        query[PACKED] = 1
    if poll.needs_contact:
        query["needs_contact"] = 1
    try:
        answer = await client.call(
            "GET",
            f"{CHANGES_PATH}?{urlencode(query)}",
            timeout_s=poll.wait_s + answer_s,
            arrival=arrival if arrival is not None else Arrival(),
        )
    except HttpCallError as exc:
        raise ReaderSilentError(exc.detail) from exc
    try:
        changes = decode_poll_answer(answer.status, answer.body)
        items = unpack_items(changes.items) if isinstance(changes, RelayedChanges) else []
    except DecodingError as exc:
        raise ReaderLostError(f"its answer can't be read: {exc}") from exc
    if changes is not None and changes.contact is not None:
        now = asyncio.get_running_loop().time()
        span = compute_contact_span(
            changes.contact, sent_at=sent_at, held_s=changes.held_s, received_at=now
        )
        contact.record_span(span, now)
    if answer.status == OTHER_ERA:
        raise OtherEraError
    if not isinstance(changes, RelayedChanges):
        raise ReaderLostError(f"it answered {answer.status}")
    proven_at = compute_poll_proof(sent_at=sent_at, held_s=changes.held_s, age_s=changes.age_s)
    events = Events(items, changes.revision, answer.transfer_s)
    return Update(
        events,
        proven_at,
        is_relayed=True,
        is_difference=changes.is_difference,
        is_receiving=changes.is_receiving,
        source=source,
    )


def open_counted(
    open_client: Callable[[Address], HttpClient], losses: LossLog, address: Address
) -> HttpClient:
    """Open a client whose lost answers are recorded."""
    client = open_client(address)
    client.on_loss = lambda loss: losses.record(_KINDS.get(loss.path, "other"), loss)
    return client
