"""In-process stand-in for the metadata store, with the faults of real stores."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from halldoor.gateway.store import (
    Events,
    HistoryGoneError,
    Lease,
    LeaseGoneError,
    MetadataStore,
    Page,
    StoredItem,
    StoreError,
)

PAGE_SIZE = 50
"""Items on one page of a range."""


class StoreCopy(NamedTuple):
    """Copy of a store's whole state, for `MemoryStore.restore`."""

    values: dict[str, bytes]
    history: list[tuple[int, StoredItem]]
    revision: int
    leases: dict[str, set[str]]
    next_lease: int


class MemoryStore(MetadataStore):
    """A metadata store that keeps keys, leases and the change history in memory.

    Parameters
    ----------
    page_items : int, optional
        Items on one page of a range.
    has_expiry : bool, optional
        Leases that are not renewed expire.

    Attributes
    ----------
    is_down : bool
        Every call fails, and waiting watches fail as well.
    calls, ranges : int
        Number of calls so far, and number of range pages that were read.
    is_slow : bool
        Reads of ranges wait until this is false again.
    is_withholding_changes : bool
        Watches receive no changes.
    restore_count : int
        Number of times that the store was restored from a copy.
    """

    def __init__(self, *, page_items: int = PAGE_SIZE, has_expiry: bool = False) -> None:
        self._page_items = page_items
        self._values: dict[str, bytes] = {}
        self._history: list[tuple[int, StoredItem]] = []
        self._first_revision = 0
        self._revision = 0
        self._leases: dict[str, set[str]] = {}
        self._next_lease = 1
        self._has_expiry = has_expiry
        self._ttls: dict[str, float] = {}
        self._expiries: dict[str, asyncio.TimerHandle] = {}
        self.restore_count = 0
        self._changed = asyncio.Event()
        self.is_down = False
        self.is_slow = False
        self.is_withholding_changes = False
        self._watch_cuts = 0
        self.calls = 0
        self.ranges = 0

    def put(self, key: str, value: bytes, *, lease: str = "") -> None:
        """Write a key, by default without a lease.

        Parameters
        ----------
        lease : str, optional
            Name of the key's lease, which is created if it does not exist.
        """
        for keys in self._leases.values():
            keys.discard(key)
        if lease:
            self._leases.setdefault(lease, set()).add(key)
        self._values[key] = value
        self._record(StoredItem(key, value))

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._values.pop(key, None) is not None:
            self._record(StoredItem(key, None))

    def forget_history(self) -> None:
        """Drop the change history; watches from an earlier revision fail."""
        self._history.clear()
        self._first_revision = self._revision

    def open_gap(self) -> None:
        """Withhold changes from watches until `close_gap` is called."""
        self.is_withholding_changes = True

    def close_gap(self, *, forget_after_s: float = 0.0) -> None:
        """Fail all watches, and drop the history with the withheld changes.

        Parameters
        ----------
        forget_after_s : float, optional
            Time between the two, in seconds.  A watch that starts in between receives nothing until
            the next change.
        """
        self._watch_cuts += 1
        self._wake_watches()
        if forget_after_s:
            asyncio.get_running_loop().call_later(forget_after_s, self._finish_gap)
        else:
            self._finish_gap()

    def _finish_gap(self) -> None:
        """Drop the history, and deliver later changes to watches again."""
        self.is_withholding_changes = False
        self.forget_history()

    def copy(self) -> StoreCopy:
        """Return a copy of the whole state."""
        leases = {name: set(keys) for name, keys in self._leases.items()}
        return StoreCopy(
            dict(self._values), list(self._history), self._revision, leases, self._next_lease
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy: later changes are lost, and their revision numbers are assigned again."""
        self._values = dict(copy.values)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._leases = {name: set(keys) for name, keys in copy.leases.items()}
        self._next_lease = copy.next_lease
        self.restore_count += 1
        self.era = str(self.restore_count)
        self._wake_watches()

    def take_down(self) -> None:
        """Take the store down: calls and waiting watches fail."""
        self.is_down = True
        self._wake_watches()

    def list_keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix."""
        return sorted(k for k in self._values if k.startswith(prefix))

    def _record(self, item: StoredItem) -> None:
        """Add a change to the history."""
        self._revision += 1
        self._history.append((self._revision, item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        """Wake every waiting watch so that it checks for changes and faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _count_call(self) -> None:
        """Count a call, and fail it while the store is down."""
        self.calls += 1
        if self.is_down:
            raise StoreError("The store is down.", remedy="Start it.")

    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Return one page of the keys with a prefix."""
        self._count_call()
        while self.is_slow:
            await asyncio.sleep(0.01)
        self.ranges += 1
        keys = [k for k in self.list_keys(prefix) if k > after]
        items = [StoredItem(k, self._values[k]) for k in keys[: self._page_items]]
        return Page(items, len(keys) > self._page_items, self._revision)

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait for changes after a revision, for ``wait_s`` seconds at most."""
        self._count_call()
        if after > self._revision:
            raise HistoryGoneError("There is no such revision.", remedy="Read all again.")
        cuts = self._watch_cuts
        try:
            async with asyncio.timeout(wait_s):
                while (
                    self.is_withholding_changes or self._revision <= after
                ) and self._is_watch_active(cuts):
                    await self._changed.wait()
        except TimeoutError:
            return Events([], after)
        if self.is_down:
            raise StoreError("The store is down.", remedy="Start it.")
        if cuts != self._watch_cuts:
            raise StoreError("The watch was cut.", remedy="Watch again.")
        if after < self._first_revision:
            raise HistoryGoneError("The history is gone.", remedy="Read all again.")
        items = [i for r, i in self._history if r > after and i.key.startswith(prefix)]
        return Events(items, self._revision)

    def _is_watch_active(self, cuts: int) -> bool:
        """Check whether a watch is still open; ``cuts`` is the number of cuts at its start."""
        return not self.is_down and cuts == self._watch_cuts

    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Write a key under a lease."""
        self._count_call()
        if lease not in self._leases:
            raise LeaseGoneError("No such lease.", remedy="Create another.")
        self.put(key, value, lease=lease)

    async def claim(self, key: str, *, lease: str) -> bool:
        """Write a key under a lease unless the key exists; return whether it was written."""
        if key in self._values:
            self._count_call()
            return False
        await self.write(key, b"", lease=lease)
        return True

    async def create_lease(self, ttl_s: float) -> Lease:
        """Create a lease."""
        self._count_call()
        name = str(self._next_lease)
        self._next_lease += 1
        self._leases[name] = set()
        self._ttls[name] = ttl_s
        self._schedule_expiry(name)
        return Lease(name, ttl_s)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease."""
        self._count_call()
        if lease not in self._leases:
            raise LeaseGoneError("No such lease.", remedy="Create another.")
        self._schedule_expiry(lease)

    def _schedule_expiry(self, lease: str) -> None:
        """Schedule the expiry of a lease, in place of an earlier schedule."""
        if not self._has_expiry:
            return
        if lease in self._expiries:
            self._expiries[lease].cancel()
        loop = asyncio.get_running_loop()
        self._expiries[lease] = loop.call_later(self._ttls[lease], self.expire_lease, lease)

    async def end_lease(self, lease: str) -> None:
        """End a lease."""
        self._count_call()
        self.expire_lease(lease)

    def expire_lease(self, lease: str) -> None:
        """Expire a lease, and remove its keys."""
        if lease in self._expiries:
            self._expiries.pop(lease).cancel()
        for key in self._leases.pop(lease, set()):
            self.remove(key)

    def find_lease(self, key: str) -> str:
        """Return the name of a key's lease; empty if it has none."""
        return next((name for name, keys in self._leases.items() if key in keys), "")

    def list_leases(self) -> list[str]:
        """List the leases that have not expired."""
        return list(self._leases)
