"""Interface of the platform that halldoor runs on: a key-value service and a host list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from halldoor.core.errors import PlatformError

MAX_VALUE_BYTES = 1_000_000
"""Largest value of a key, in bytes."""


class Value(NamedTuple):
    """Value of a key and its version, which rises with every write of the key."""

    data: bytes
    version: int


class HostState(NamedTuple):
    """Row of the platform's host list, which lags behind the hosts' actual state."""

    name: str
    is_leaving: bool


class WriteConflictError(PlatformError):
    """The key doesn't have the expected version; nothing was written."""


class UncertainWriteError(PlatformError):
    """No answer to a write arrived; the write may have taken effect."""


class Platform(ABC):
    """Client of the key-value service, with compare-and-swap, leases and watches.

    Every method raises `PlatformError` if the platform can't be reached, refuses the call, or gives
    an invalid answer.
    """

    @abstractmethod
    def get(self, key: str) -> Value | None:
        """Return the value of a key; None if the key doesn't exist."""

    @abstractmethod
    def put(self, key: str, data: bytes, *, expected: int | None, lease: str = "") -> int:
        """Write a key by compare-and-swap.

        Parameters
        ----------
        key : str
            Name of the key.
        data : bytes
            Value, at most `MAX_VALUE_BYTES` bytes.
        expected : int or None
            Version that the key must have; 0 for a key that must not exist; None for any.
        lease : str, optional
            Lease that the key is attached to; the key is deleted when the lease ends or expires.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        WriteConflictError
            If the key has another version.
        UncertainWriteError
            If no answer arrived.
        """

    @abstractmethod
    def watch(self, key: str, *, after: int, timeout_s: float) -> Value | None:
        """Wait for a version of the key above ``after``; return None at the time-out."""

    @abstractmethod
    def create_lease(self, ttl_s: float) -> str:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease: str) -> None:
        """Renew a lease; raise `PlatformError` if it has expired."""

    @abstractmethod
    def end_lease(self, lease: str) -> None:
        """End a lease before it expires, which deletes its keys at once."""

    @abstractmethod
    def list_hosts(self) -> list[HostState]:
        """List running and leaving hosts, both entries and targets."""
