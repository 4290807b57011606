"""Interfaces of the metadata store and of the codec for its records."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence
from typing import Literal, NamedTuple

from halldoor.core.decoding import DecodingError, decoding
from halldoor.core.errors import HalldoorError
from halldoor.core.targets.changes import Change, MemberRecord, RoutingRejected
from halldoor.gateway.arrivals import Arrival, ProgressLimits
from halldoor.gateway.httpclient import LostAnswer

UNUSED_PREFIX = "unused/"
"""Prefix of no key."""
MAX_SHOWN = 200
"""Characters of a key that are shown in an error message."""


ArrivalKind = Literal["watch_arrival", "page_arrival"]


class StoreError(HalldoorError):
    """The store refused a call, sent an invalid answer or can't be reached."""


class HistoryGoneError(StoreError):
    """The store no longer has all changes since the revision of a watch."""


class LeaseGoneError(StoreError):
    """The lease expired, was ended, or belongs to another copy of the store."""


class StoredItem(NamedTuple):
    """A key and its value; the value is None where the key was removed."""

    key: str
    value: bytes | None


class Page(NamedTuple):
    """Some of the items of a range.

    Attributes
    ----------
    revision : int
        Revision of the store when the page was read.
    has_more : bool
        Whether the range continues after the page.
    """

    items: Sequence[StoredItem]
    has_more: bool
    revision: int


class Events(NamedTuple):
    """Changes that a watch returned, and the revision at which to continue.

    Attributes
    ----------
    transfer_s : float or None
        Time between the head of the answer and its end, in seconds; None if it is not known.
    """

    items: Sequence[StoredItem]
    revision: int
    transfer_s: float | None = None


class Lease(NamedTuple):
    """Name of a lease, and its lifetime in seconds."""

    name: str
    ttl_s: float


class MetadataStore(ABC):
    """Key-value store with leases, range reads, and watches from a revision.

    Every method raises `StoreError` if the store can't be reached in time, refuses the call, or
    sends an invalid answer.  A write that raised may have been applied, or may be applied later.

    Attributes
    ----------
    on_unreadable : callable
        Called with the cause when an item of an answer has no readable key, and is skipped.
    on_lost_answer : callable
        Called with the kind of a call, ``range``, ``watch`` or ``other``, and with what had arrived
        of its answer, if the call failed or was cancelled.
    era : str
        Identifies the copy of the store that sent the newest answer; it changes when the store is
        restored from a copy, and is empty where the store doesn't send it.  Revisions and leases
        of another era are invalid.
    watch_arrival, page_arrival : Arrival or None
        Progress of the answer to the present watch, and to the present read of a page; None while
        there is none, or where it is not known.
    keeps_entries : bool
        Whether reads include the records that entries write.
    """

    keeps_entries = True
    era: str = ""
    watch_arrival: Arrival | None = None
    page_arrival: Arrival | None = None

    def __init__(self) -> None:
        self.on_unreadable: Callable[[str], None] = lambda _: None
        self.on_lost_answer: Callable[[str, LostAnswer], None] = lambda *_: None
        self._progress = ProgressLimits()

    @contextlib.contextmanager
    def _follow_arrival(self, kind: ArrivalKind) -> Iterator[Arrival]:
        """Follow the progress of the answer to a call that is made in the context.

        Parameters
        ----------
        kind : ArrivalKind
            Attribute that holds the progress meanwhile.
        """
        arrival = self._progress.open()
        setattr(self, kind, arrival)
        try:
            yield arrival
        except StoreError:
            self._progress.record_failure(arrival, asyncio.get_running_loop().time())
            raise
        else:
            self._progress.record_success(arrival)
        finally:
            if getattr(self, kind) is arrival:
                setattr(self, kind, None)

    @abstractmethod
    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Read a page of the keys with a prefix, starting after the key `after`."""

    async def read_revision(self) -> int:
        """Read the store's revision; raise `StoreError` if it can't be read.

        A page of no key names it, which also passes a link that is busy with a large answer.
        """
        return (await self.read_range(UNUSED_PREFIX)).revision

    @abstractmethod
    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait up to `wait_s` seconds for changes after a revision to keys with a prefix.

        Raises
        ------
        HistoryGoneError
            If the store no longer has all changes since that revision.
        """

    @abstractmethod
    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Write a key that is removed when its lease ends.

        Raises
        ------
        LeaseGoneError
            If the lease does not exist.
        """

    @abstractmethod
    async def claim(self, key: str, *, lease: str) -> bool:
        """Write a key under a lease if it does not exist; return False if it does.

        Raises
        ------
        LeaseGoneError
            If the lease does not exist.
        """

    @abstractmethod
    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease that expires unless it is renewed within `ttl_s` seconds."""

    @abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseGoneError
            If the lease has expired or was ended.
        """

    @abstractmethod
    async def end_lease(self, lease: str) -> None:
        """End a lease, which removes its keys."""


class RecordCodec(ABC):
    """Mapping between records and the store's keys and values.

    Attributes
    ----------
    routing_key : str
        Key of the operators' configuration.
    """

    routing_key: str

    def decode(self, item: StoredItem) -> Change | None:
        """Decode an item to a change; return None for a key that the gateway does not use.

        Raises
        ------
        StoreError
            If the value can't be decoded.
        """
        try:
            with decoding(item.key[:MAX_SHOWN]):
                return self.decode_item(item)
        except DecodingError as exc:
            raise StoreError(exc.message, remedy=exc.remedy) from exc

    def decode_rejected(self, item: StoredItem) -> Change | None:
        """Return the change that stands for an item whose value can't be decoded.

        By default it is treated as removed.  Only a configuration can't be: the one before stays in
        force.
        """
        return self.decode(item._replace(value=None)) or RoutingRejected()

    @abstractmethod
    def decode_item(self, item: StoredItem) -> Change | None:
        """Decode an item as `decode`; raise any error if the value can't be decoded."""

    @abstractmethod
    def encode_member(self, member: MemberRecord) -> StoredItem:
        """Encode an entry's own record."""
