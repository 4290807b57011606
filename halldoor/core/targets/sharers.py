"""Entries among which a rate is divided, and whose notices are accepted."""

from __future__ import annotations

from halldoor.core.settings import Address

SHARE_KEPT_S = 60.0
"""Time for which an entry keeps its share after its record was removed, in seconds: it may still
serve callers while it is cut off from the store."""
ASSUMED_ENTRIES = 100
"""Number of entries assumed shortly after the start, while it is unknown: that of a large fleet."""


class SharerTable:
    """The registered entries, and for a time those whose record was removed.

    Attributes
    ----------
    version : int
        Incremented with each change of the entries.
    """

    def __init__(self) -> None:
        self._registered: set[str] = set()
        self._removed_at: dict[str, float] = {}
        self._addresses: dict[str, Address | None] = {}
        self._started_at: float | None = None
        self.version = 0

    def add(self, name: str, address: Address | None = None) -> None:
        """Add an entry that registered.

        Parameters
        ----------
        address : Address, optional
            Address from which its notices are sent.
        """
        self._addresses[name] = address
        self._removed_at.pop(name, None)
        self._registered.add(name)
        self.version += 1

    def remove(self, name: str, now: float) -> None:
        """Mark an entry's record as removed; the entry keeps its share for `SHARE_KEPT_S`."""
        self._registered.discard(name)
        self._removed_at[name] = now
        self.version += 1

    def has_address(self, address: Address) -> bool:
        """Check whether an address is one from which an entry sends notices."""
        return address in self._addresses.values()

    def has_ip(self, ip: str) -> bool:
        """Check whether an IP address is one of an entry."""
        return any(a is not None and a.ip == ip for a in self._addresses.values())

    def list_names(self) -> set[str]:
        """Return the names of all entries that have a share."""
        return {*self._registered, *self._removed_at}

    def count(self, now: float, *, young_s: float) -> int:
        """Return the number of entries to divide a rate by.

        After a restart of all entries, others may still be registering.  An entry that knows only
        itself must not use the whole rate, so a large number is assumed at first.

        Parameters
        ----------
        young_s : float
            Time after the first call in which others may not have registered, in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._drop_removed(now)
        is_starting = now - self._started_at < young_s
        known = len(self._registered) + len(self._removed_at)
        return max(1, known, ASSUMED_ENTRIES if is_starting else 1)

    def _drop_removed(self, now: float) -> None:
        """Drop the entries whose record was removed more than `SHARE_KEPT_S` ago."""
        dropped = [name for name, at in self._removed_at.items() if now - at > SHARE_KEPT_S]
        for name in dropped:
            del self._removed_at[name]
            self._addresses.pop(name, None)
        self.version += bool(dropped)
