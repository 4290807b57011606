"""Confirms, while callers are refused by it, that an entry's configuration is the store's newest.

An entry that watches for itself hears nothing for 28 s where nothing changes, and a watch may be
stuck.  So the age of the last proof alone can't tell an unknown route from one that was just added.
"""

from __future__ import annotations

import asyncio

from halldoor.core.targets.proofs import StateProof
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import MetadataStore, StoreError

SHORTEST_PAUSE_S = 0.05
"""Shortest time between two checks of the state's age, in seconds."""


class StateConfirmer:
    """Task that asks the store for its revision where a refusal depends on the state's age.

    Parameters
    ----------
    proof : StateProof
        Records the revision.
    access : CallerAccess
        Provides the limits on the state's age, and requests confirmations.
    """

    def __init__(
        self,
        store: MetadataStore,
        proof: StateProof,
        access: CallerAccess,
        metrics: GatewayMetrics,
    ) -> None:
        self._store = store
        self._proof = proof
        self._access = access
        self._metrics = metrics
        self._requested = asyncio.Event()
        access.confirm = self.request

    def request(self) -> None:
        """Confirm the state unless it was proven to be complete a short time ago."""
        self._requested.set()

    def reset(self) -> None:
        """Forget the request."""
        self._requested.clear()

    async def run(self) -> None:
        """Confirm the state when requested, once in `confirmed_s` at most, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_request()
            confirmed_s = self._access.settings.confirmed_s
            now = loop.time()
            if now >= self._proof.proven_at + confirmed_s:
                await self._confirm(now, limit_s=confirmed_s)
                await asyncio.sleep(now + confirmed_s - loop.time())
            else:
                await asyncio.sleep(SHORTEST_PAUSE_S)

    async def _wait_for_request(self) -> None:
        """Wait for a request; where all keys depend on the state's age, until it is to be proven.

        A request that came during the last confirmation was answered by it.
        """
        timeout_s = None
        if self._access.is_strict:
            due_at = self._proof.proven_at + self._access.settings.confirmed_s
            timeout_s = max(SHORTEST_PAUSE_S, due_at - asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(timeout_s):
                await self._requested.wait()
        except TimeoutError:
            return
        finally:
            self._requested.clear()

    async def _confirm(self, now: float, *, limit_s: float) -> None:
        """Ask the store for its revision, and record it."""
        try:
            async with asyncio.timeout(limit_s):
                revision = await self._store.read_revision()
        except (StoreError, TimeoutError):
            self._metrics.add_store_call("revision", "failed")
            return
        self._metrics.add_store_call("revision", "ok")
        self._proof.record_revision(StoreView(self._store.era, revision), now)
