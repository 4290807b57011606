"""Retries of entries that have just started, whose share of the retry budget is still empty."""

from __future__ import annotations

import asyncio
import time

import pytest

from halldoor.core.targets.budget import RetrySettings, count_permits
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.gateway.headers import find
from halldoor.gateway.permits import TIMEOUT_S
from halldoor.standins.memorystore import MemoryStore
from halldoor.tests.budgetkit import BudgetFleet
from halldoor.tests.gatewaykit import NAMES, GatewayKit


def shed_first(kit):
    """Make targets reject the first arrival of each request, and answer the second."""
    seen = set()

    async def script(target, request, writer):
        attempt_id = find(request.headers, NAMES.attempt_id)
        is_first = attempt_id not in seen
        seen.add(attempt_id)
        await (target.shed if is_first else target.answer)(request, writer)

    for target in kit.targets.values():
        target.script = lambda r, w, target=target: script(target, r, w)


def open_new_kit(store=None, **options):
    """Open a gateway that has just started and doesn't know the number of entries."""
    return GatewayKit.open(store=store, timings=CatalogTimings(), ran_for_s=0.0, **options)


class TestNewEntry:
    """Guards against requests that an entry fails although one retry would save them."""

    @pytest.mark.parametrize("kind", ["repeatable", "at-most-once"])
    def test_first_request_is_rejected_by_its_target(self, kind):
        async def check():
            async with open_new_kit(route={"kind": kind}) as kit:
                shed_first(kit)
                assert (await kit.call()).status == 200

        asyncio.run(check())

    def test_entry_restarts_several_times(self):
        """Each of its processes fails no request, as long as permits are left."""

        async def check():
            store = MemoryStore(has_expiry=True)
            for _ in range(count_permits(RetrySettings())):
                async with open_new_kit(store) as kit:
                    shed_first(kit)
                    assert (await kit.call()).status == 200

        asyncio.run(check())

    def test_no_permit_is_left(self, capfd):
        """The log did not tell that permits were used up from that none was tried."""

        async def check():
            store = MemoryStore(has_expiry=True)
            for _ in range(count_permits(RetrySettings()) + 1):
                async with open_new_kit(store) as kit:
                    shed_first(kit)
                    reply = await kit.call()
            assert reply.status == 503

        asyncio.run(check())
        lines = capfd.readouterr().out.splitlines()
        assert sum("All permits are taken." in line for line in lines) == 1

    @pytest.mark.parametrize("fault", ["down", "slow"])
    def test_store_does_not_answer(self, fault):
        """The request is refused soon, as not run."""

        async def check():
            async with open_new_kit() as kit:
                shed_first(kit)

                async def wait(ttl_s):
                    await asyncio.sleep(3600)

                if fault == "down":
                    kit.store.take_down()
                else:
                    kit.store.create_lease = wait
                began = time.monotonic()
                reply = await kit.call()
                assert reply.status == 503
                assert time.monotonic() - began < TIMEOUT_S + 0.3
                assert reply.find(b"retry-after")

        asyncio.run(check())


class ClaimCountingStore(MemoryStore):
    """Store that counts the keys that entries have claimed."""

    def __init__(self):
        super().__init__(has_expiry=True)
        self.claims = 0

    async def claim(self, key, *, lease):
        is_own = await super().claim(key, lease=lease)
        self.claims += is_own
        return is_own


def test_permits_exceed_the_budget_over_restarts():
    """All targets reject everything while all entries restart again and again."""

    async def check():
        budget = RetrySettings(ratio=0.2, slack=40.0, window_s=2.0)
        store = ClaimCountingStore()
        async with BudgetFleet.open(entries=4, budget=budget._asdict(), store=store) as fleet:
            sending = asyncio.ensure_future(fleet.send_requests(per_s=150.0, for_s=6.0))
            await asyncio.sleep(0.5)
            fleet.set_trouble("shed")
            for _ in range(6):
                await fleet.restart(*fleet.kits)
                await asyncio.sleep(0.6)
            await sending
            fleet.assert_within_budget()
            # A permit can be claimed again after the window and the time for its use.
            assert count_permits(budget) <= store.claims <= 3 * count_permits(budget)

    asyncio.run(check())
