"""What the gateway asks of the metadata store, and of the records in it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from halldoor.core.errors import HalldoorError
from halldoor.core.targets.changes import Change, MemberRecord


class StoreError(HalldoorError):
    """The store refused, answered rubbish or can't be reached."""


class HistoryGoneError(StoreError):
    """The store no longer has the history that a watch would need."""


class LeaseGoneError(StoreError):
    """The lease is over."""


class StoredItem(NamedTuple):
    """A key and its value; None where the key was removed."""

    key: str
    value: bytes | None


class Page(NamedTuple):
    """Part of a range.

    Attributes
    ----------
    revision : int
        Revision of the store when the page was read.
    """

    items: Sequence[StoredItem]
    has_more: bool
    revision: int


class Events(NamedTuple):
    """What a watch brought, and the revision to go on from."""

    items: Sequence[StoredItem]
    revision: int


class Lease(NamedTuple):
    """A lease and its lifetime, in seconds."""

    name: str
    ttl_s: float


class MetadataStore(ABC):
    """The platform's store: keys with leases, ranges, and watches from a revision.

    Every method raises `StoreError` where the store can't be reached in time, refuses, or
    answers rubbish.  A write that raised may have been done, or may be done later.

    Attributes
    ----------
    era : str
        Tells the store's present state from the one before it was last restored from a copy, as
        its newest answer said; empty where it does not say.  Revisions and leases of another era
        mean nothing.
    """

    era: str = ""

    @abstractmethod
    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Read the keys with a prefix that come after a key."""

    @abstractmethod
    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait for changes after a revision.

        Raises
        ------
        HistoryGoneError
            Where the store no longer has that history.
        """

    @abstractmethod
    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Write a key that goes with a lease.

        Raises
        ------
        LeaseGoneError
            Where there is no such lease.
        """

    @abstractmethod
    async def claim(self, key: str, *, lease: str) -> bool:
        """Write a key that goes with a lease unless it is there; False where it is.

        Raises
        ------
        LeaseGoneError
            Where there is no such lease.
        """

    @abstractmethod
    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""

    @abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseGoneError
            Where it is over.
        """

    @abstractmethod
    async def end_lease(self, lease: str) -> None:
        """End a lease; its keys go with it."""


class RecordCodec(ABC):
    """Where the records stand in the store, and how they are written."""

    @abstractmethod
    def decode(self, item: StoredItem) -> Change | None:
        """Decode a record; None for a key that means nothing here.

        Raises
        ------
        StoreError
            Where the record can't be read.
        """

    @abstractmethod
    def encode_member(self, member: MemberRecord) -> StoredItem:
        """Encode an entry's own record."""
