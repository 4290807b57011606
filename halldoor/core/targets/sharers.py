"""Entries among which a rate is divided, and whose notices are believed."""

from __future__ import annotations

from halldoor.core.settings import Address

ABSENCE_S = 60.0
"""Time for which an entry whose record is gone still has its share, in seconds: it may be cut off
from the store, and go on serving."""
UNKNOWN_ENTRIES = 100
"""Entries to reckon with while it is not known how many there are: the size of a large fleet."""


class SharerTable:
    """The registered entries, and for a time those whose record is gone.

    Attributes
    ----------
    version : int
        Rises whenever the entries change.
    """

    def __init__(self) -> None:
        self._registered: set[str] = set()
        self._absent: dict[str, float] = {}
        self._addresses: dict[str, Address | None] = {}
        self._started_at: float | None = None
        self.version = 0

    def add(self, name: str, address: Address | None = None) -> None:
        """Add an entry that registered.

        Parameters
        ----------
        address : Address, optional
            Where its notices come from.
        """
        self._addresses[name] = address
        self._absent.pop(name, None)
        self._registered.add(name)
        self.version += 1

    def remove(self, name: str, now: float) -> None:
        """Remove an entry whose record is gone; it keeps its share for a time."""
        self._registered.discard(name)
        self._absent[name] = now
        self.version += 1

    def has_address(self, address: Address) -> bool:
        """Whether notices from an address are those of an entry."""
        return address in self._addresses.values()

    def list_names(self) -> set[str]:
        """Return the names of all that have a share."""
        return {*self._registered, *self._absent}

    def count(self, now: float, *, young_s: float) -> int:
        """Return the number of entries to divide a rate by.

        After a start others may still be registering, and an entry that takes itself for the
        only one would use the whole of what belongs to all.

        Parameters
        ----------
        young_s : float
            Time after the first call in which others may not have registered, in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._drop_absent(now)
        is_young = now - self._started_at < young_s
        known = len(self._registered) + len(self._absent)
        return max(1, known, UNKNOWN_ENTRIES if is_young else 1)

    def _drop_absent(self, now: float) -> None:
        """Drop entries that have been gone for too long to still serve."""
        dropped = [name for name, at in self._absent.items() if now - at > ABSENCE_S]
        for name in dropped:
            del self._absent[name]
            self._addresses.pop(name, None)
        self.version += bool(dropped)
