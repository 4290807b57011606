"""Registers this entry in the store under a lease, so that look-ups name it while it runs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from halldoor.core.targets.changes import MemberRecord
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import Lease, LeaseGoneError, MetadataStore, RecordCodec, StoreError

LEASE_S = 3.0
"""Lifetime of the lease, in seconds: look-ups stop naming a crashed entry within it."""
RENEWAL_S = 1.0
"""Period of renewals, in seconds: three in one lifetime, so that two may be lost."""
SHORTEST_RENEWAL_S = 0.2
"""Shortest period of renewals, in seconds, for a lease that is shorter than requested."""
RETRY_S = 0.5
"""Pause after a failed call, in seconds."""
LONGEST_RESTORE_S = 60.0
"""Longest pause between two writes of a removed record, in seconds: it may be unreadable."""


class Registration:
    """Task that keeps this entry registered.

    Parameters
    ----------
    is_loaded : asyncio.Event
        Set once all records were read.  An entry that look-ups name earlier would answer 503, and
        other entries could not follow it yet.
    on_contact : callable
        Called whenever the store accepted a registration or renewal.
    on_return : callable
        Called with a cause when the store answers after a failure, or was restored from a copy.
    is_missing : callable
        Returns whether the state, complete up to a time in seconds of the loop's clock, lacks this
        entry's record.

    Attributes
    ----------
    is_open : asyncio.Event
        Set once callers can connect to this entry; set by default.
    """

    def __init__(
        self,
        store: MetadataStore,
        codec: RecordCodec,
        member: MemberRecord,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
        is_loaded: asyncio.Event,
        on_contact: Callable[[], None],
        on_return: Callable[[str], None],
        is_missing: Callable[[float], bool],
    ) -> None:
        self._store = store
        self._codec = codec
        self._member = member
        self._log = log
        self._metrics = metrics
        self._is_loaded = is_loaded
        self._on_contact = on_contact
        self._on_return = on_return
        self._is_missing = is_missing
        self._lease: Lease | None = None
        self._era = ""
        self._is_written = False
        self._written_at = math.inf
        self._is_outdated = False
        self._is_removed = False
        self._restore_pause_s = LEASE_S
        self._restore_at = -math.inf
        self._is_reachable = True
        self.is_open = asyncio.Event()
        self.is_open.set()
        self._has_failed = False
        self._wake = asyncio.Event()

    def reset(self) -> None:
        """Register again under another lease; the record stays until the old one expires."""
        self._lease = None
        self._is_written = False

    async def run(self) -> None:
        """Register once all records were read, and renew the lease until cancelled."""
        await self.is_open.wait()
        await self._is_loaded.wait()
        lapses = 0
        while True:
            self._wake.clear()
            try:
                pause_s = await self._renew()
            except LeaseGoneError:
                self._lease = None
                lapses += 1
                if lapses == 1:
                    self._log.event("membership", "Lease lapsed; registering again.")
                    continue
                pause_s = RETRY_S
            except StoreError as exc:
                self._metrics.add_store_call("lease", "failed")
                if not self._has_failed:
                    self._log.event("membership", "Can't renew the lease.", cause=exc.message)
                self._has_failed = True
                pause_s = RETRY_S
            else:
                lapses = 0
                self._on_contact()
                if self._has_failed:
                    self._has_failed = False
                    self._on_return("the store renews again")
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _renew(self) -> float:
        """Renew the lease, or create one; write the own record where it is missing.

        Returns
        -------
        float
            Time until the next renewal, in seconds.
        """
        if self._lease is None:
            lease = await self._store.create_lease(LEASE_S)
            if not 0.0 < lease.ttl_s < math.inf:
                raise StoreError(
                    f"The store granted a lease for {lease.ttl_s} s.", remedy="Check the store."
                )
            self._lease = lease
            self._era = self._store.era
            self._is_written = False
            self._metrics.add_store_call("lease", "created")
        elif self._is_written:
            await self._store.renew_lease(self._lease.name)
            self._metrics.add_store_call("lease", "renewed")
        self._check_era()
        self._restore_record()
        if not self._is_written:
            await self._write_record(self._lease.name)
        return max(SHORTEST_RENEWAL_S, min(RENEWAL_S, self._lease.ttl_s * RENEWAL_S / LEASE_S))

    async def _write_record(self, lease: str) -> None:
        """Write the own record; again at the next renewal if it was outdated meanwhile."""
        self._is_outdated = self._is_removed = False
        member = self._member if self._is_reachable else self._member._replace(relay=None)
        item = self._codec.encode_member(member)
        await self._store.write(item.key, item.value or b"", lease=lease)
        self._is_written = not self._is_outdated
        self._written_at = asyncio.get_running_loop().time()
        self._metrics.add_store_call("write", "ok")
        self._log.event("membership", "Registered.", lease=lease)

    def _check_era(self) -> None:
        """Reject a lease that was created before the store was restored from a copy.

        The restored store may reuse its name, so that this entry would renew another's lease.

        Raises
        ------
        LeaseGoneError
            If the store was restored since the lease was created.
        """
        if self._era != self._store.era:
            self._on_return("the store was restored from a copy")
            raise LeaseGoneError("The store was restored.", remedy="Create another lease.")

    def set_reachable(self, is_reachable: bool) -> None:
        """Set whether other entries reach this one at the relay address that its record names."""
        self._is_reachable = is_reachable
        self.rewrite_record()

    def set_member(self, member: MemberRecord) -> None:
        """Set what this entry's record says."""
        self._member = member
        self.rewrite_record()

    def record_removal(self) -> None:
        """Record that this entry's record was removed while the entry runs."""
        self._is_removed = True
        if asyncio.get_running_loop().time() >= self._restore_at:
            self._wake.set()

    def _restore_record(self) -> None:
        """Have the own record written again if it was removed, after growing pauses.

        A record that can't be read counts as removed however often it is written.
        """
        now = asyncio.get_running_loop().time()
        if not self._is_written or now < self._restore_at:
            return
        if not self._is_removed and not self._is_missing(self._written_at):
            return
        self._log.event("membership", "Own record is gone; writing it again.")
        is_repeated = now < self._restore_at + LONGEST_RESTORE_S
        pause_s = 2.0 * self._restore_pause_s if is_repeated else LEASE_S
        self._restore_pause_s = min(LONGEST_RESTORE_S, pause_s)
        self._restore_at = now + self._restore_pause_s
        self._is_written = False

    def rewrite_record(self) -> None:
        """Write this entry's record again, also after a write that is not answered yet."""
        self._is_written = False
        self._is_outdated = True
        self._wake.set()

    async def leave(self) -> None:
        """End the lease, so that look-ups stop naming this entry immediately."""
        lease, self._lease = self._lease, None
        if lease is None or self._era != self._store.era:
            return
        try:
            await self._store.end_lease(lease.name)
            self._log.event("membership", "Removed the own record.")
        except StoreError as exc:
            self._log.event(
                "membership", "Can't remove the own record; the lease expires.", cause=exc.message
            )
