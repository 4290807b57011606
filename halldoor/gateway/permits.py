"""Retry permits, which entries that have just started share through the store."""

from __future__ import annotations

import asyncio
from random import Random

from halldoor.core.targets.budget import RetrySettings, count_permits
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.records import build_permit_prefix
from halldoor.gateway.store import MetadataStore, StoreError

TIMEOUT_S = 0.25
"""Longest wait for a permit, in seconds: four calls to a store in a far region."""
MAX_CLAIMS = 2
"""Most permits to try to claim for one retry, since another entry may claim the first."""
MAX_RUNNING = 4
"""Most retries that wait for a permit at a time."""
PAUSE_S = 2.0
"""Time without another claim for a service after a failed one, in seconds."""
USE_S = 1.0
"""Time that a permit is kept beyond the window, in seconds: the retry that uses it may arrive that
much later than its claim."""


class RetryPermits:
    """Permits for single retries, of which all entries together have a few in each window.

    A permit is a key in the store.  The entry that creates it may send one retry; the key stays for
    the window of the retry budget, whether or not the entry runs.  So the number of these retries
    is bounded however often entries restart.

    Parameters
    ----------
    store : MetadataStore
        Store that all entries share.
    """

    def __init__(self, store: MetadataStore, *, log: EventLog, metrics: GatewayMetrics) -> None:
        self._store = store
        self._log = log
        self._metrics = metrics
        self._random = Random()
        self._running = 0
        self._paused_until: dict[str, float] = {}

    async def acquire(self, service: str, budget: RetrySettings, *, left_s: float) -> bool:
        """Acquire a permit for one retry; False if none is free or the store does not answer.

        Parameters
        ----------
        service : str
            Service whose retry budget the permit is part of.
        budget : RetrySettings
            Retry budget of all entries together.
        left_s : float
            Time left for the request, in seconds; at most a quarter of it is spent.
        """
        count = count_permits(budget)
        loop = asyncio.get_running_loop()
        now = loop.time()
        is_paused = now < self._paused_until.get(service, now)
        if not count or is_paused or self._running >= MAX_RUNNING:
            return False
        self._running += 1
        try:
            async with asyncio.timeout(min(TIMEOUT_S, left_s / 4)):
                is_acquired = await self._claim_any(service, count, budget.window_s)
        except (StoreError, TimeoutError) as exc:
            self._metrics.add_store_call("claim", "failed")
            self._log.event("retries", "Can't claim a permit.", service=service, cause=repr(exc))
            is_acquired = False
        finally:
            self._running -= 1
        if not is_acquired:
            self._paused_until[service] = now + PAUSE_S
        # A process that was suspended meanwhile must not use a permit that is free again.
        return is_acquired and loop.time() - now < USE_S

    async def _claim_any(self, service: str, count: int, window_s: float) -> bool:
        """Claim one of a service's permits; return False if all are taken."""
        prefix = build_permit_prefix(service)
        page = await self._store.read_range(prefix)
        self._metrics.add_store_call("range", "ok")
        taken = {item.key for item in page.items}
        free = [key for i in range(count) if (key := f"{prefix}{i}") not in taken]
        if not free:
            self._log.event("retries", "All permits are taken.", service=service, permits=count)
            return False
        lease = await self._store.create_lease(window_s + USE_S + TIMEOUT_S)
        self._metrics.add_store_call("lease", "created")
        for key in self._random.sample(free, min(len(free), MAX_CLAIMS)):
            is_own = await self._store.claim(key, lease=lease.name)
            self._metrics.add_store_call("claim", "ok" if is_own else "taken")
            if is_own:
                self._metrics.add_retry(service, "permit")
                self._log.event("retries", "Took a permit.", service=service, key=key)
                return True
        return False
