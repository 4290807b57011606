"""What halldoor asks of the platform."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from halldoor.core.errors import PlatformError

VALUE_LIMIT = 1_000_000


class Value(NamedTuple):
    """A value and its version; versions rise with every write of the key."""

    data: bytes
    version: int


class HostState(NamedTuple):
    """A line of the platform's host list, which lags behind reality."""

    name: str
    is_leaving: bool


class WriteConflictError(PlatformError):
    """The key's version is not the expected one; nothing was written."""


class UncertainWriteError(PlatformError):
    """The answer to a write was lost; it may have taken effect."""


class Platform(ABC):
    """The key-value service with compare-and-swap, leases and watches.

    Every method raises `PlatformError` where the platform can't be reached,
    refuses, or answers rubbish.
    """

    @abstractmethod
    def get(self, key: str) -> Value | None:
        """Read a key; None where it does not exist."""

    @abstractmethod
    def put(self, key: str, data: bytes, *, expected: int | None, lease: str = "") -> int:
        """Write a key by compare-and-swap.

        Parameters
        ----------
        key : str
            Name of the key.
        data : bytes
            Value, of `VALUE_LIMIT` bytes at most.
        expected : int or None
            Version that must be there; 0 for a new key; None for any.
        lease : str, optional
            Lease with which the key goes.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        WriteConflictError
            Where another version is there.
        UncertainWriteError
            Where the answer was lost.
        """

    @abstractmethod
    def watch(self, key: str, *, after: int, timeout_s: float) -> Value | None:
        """Wait for a version above ``after``; None where none came in time."""

    @abstractmethod
    def create_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease: str) -> None:
        """Renew a lease; `PlatformError` where it has lapsed."""

    @abstractmethod
    def end_lease(self, lease: str) -> None:
        """End a lease; its keys go at once."""

    @abstractmethod
    def list_hosts(self) -> list[HostState]:
        """List live and leaving hosts, entries and targets alike."""
