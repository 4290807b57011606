"""Confirms, while callers are refused by it, that an entry's configuration is the store's newest.

An entry that watches for itself hears nothing for 28 s where nothing changes, and a watch may be
stuck.  So the age of the last proof alone can't tell an unknown route from one that was just added.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from halldoor.core.targets.proofs import StateProof
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import MetadataStore, StoreError

ANSWER_S = 0.15
"""Longest time that a request waits for the store's answer, in seconds: two round trips between
regions."""
SHORTEST_PAUSE_S = 0.05
"""Shortest time between two checks of the state's age, in seconds."""

TEAMS_CHECK_S = 0.25
"""Time between two checks for teams, in seconds; there are none before the first configuration."""


class StateConfirmer:
    """Task that asks the store for its revision where a refusal depends on the state's age.

    Parameters
    ----------
    proof : StateProof
        Records the revision.
    access : CallerAccess
        Provides the limits on the state's age, and requests confirmations.

    Attributes
    ----------
    on_behind : callable
        Called with the store's view where the state has not reached it.
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
        self._answered = asyncio.Event()
        self._is_pausing = False
        self.on_behind: Callable[[StoreView], None] = lambda _: None
        access.confirm = self.request
        access.wait_for_confirmation = self.wait_for_answer

    def request(self) -> None:
        """Confirm the state unless it was proven to be complete a short time ago."""
        self._requested.set()

    async def wait_for_answer(self) -> None:
        """Request a confirmation, and wait for the store's answer unless none is due for now."""
        self.request()
        if self._is_pausing:
            return
        answered = self._answered
        try:
            async with asyncio.timeout(ANSWER_S):
                await answered.wait()
        except TimeoutError:
            return  # The caller is refused by what is known.

    def _wake_waiting(self) -> None:
        """Wake the requests that wait for an answer."""
        self._answered.set()
        self._answered = asyncio.Event()

    def reset(self) -> None:
        """Forget the request."""
        self._requested.clear()
        self._is_pausing = False

    async def run(self) -> None:
        """Confirm the state when requested, once in `confirmed_s` at most, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_request()
            confirmed_s = self._access.settings.confirmed_s
            now = loop.time()
            if now >= self._proof.proven_at + confirmed_s:
                await self._confirm(now, limit_s=confirmed_s)
                await self._pause(now + confirmed_s - loop.time())
            else:
                await self._pause(SHORTEST_PAUSE_S)

    async def _pause(self, pause_s: float) -> None:
        """Wait before the next call, in which nobody waits for an answer."""
        self._wake_waiting()
        self._is_pausing = True
        await asyncio.sleep(pause_s)
        self._is_pausing = False

    async def _wait_for_request(self) -> None:
        """Wait for a request; where all keys depend on the state's age, until it is to be proven.

        A request that came during the last confirmation was answered by it.
        """
        while not self._requested.is_set():
            try:
                async with asyncio.timeout(self._find_wait_s()):
                    await self._requested.wait()
            except TimeoutError:
                if self._access.is_strict:
                    break
        self._requested.clear()

    def _find_wait_s(self) -> float | None:
        """Return how long to wait for a request, in seconds; None without a limit."""
        if not self._access.settings.is_strict:
            return None
        if not self._access.has_teams:
            return TEAMS_CHECK_S
        due_at = self._proof.proven_at + self._access.settings.confirmed_s
        return max(SHORTEST_PAUSE_S, due_at - asyncio.get_running_loop().time())

    async def _confirm(self, now: float, *, limit_s: float) -> None:
        """Ask the store for its revision, and record it."""
        known = self._proof.view
        try:
            async with asyncio.timeout(limit_s):
                revision = await self._store.read_revision()
        except (StoreError, TimeoutError):
            self._metrics.add_store_call("revision", "failed")
            return
        self._metrics.add_store_call("revision", "ok")
        view = StoreView(self._store.era, revision)
        if not self._proof.record_revision(view, now, known=known):
            self.on_behind(view)
