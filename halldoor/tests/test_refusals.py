"""Refusals by an entry whose configuration may be older than the store's.

Callers got 404 for routes in force from entries that renewed their leases, which are small calls,
while the answer with the new configuration did not arrive.
"""

from __future__ import annotations

import asyncio
import hashlib
from unittest import mock

import pytest

from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway import storenotices
from halldoor.tests.gatewaykit import GatewayKit

STALE_S = 1.5
"""Longer than the time between two renewals of the lease, in seconds."""
KEY = "north-key"
TEAM = {"name": "north", "key_digests": [hashlib.sha256(KEY.encode()).hexdigest()]}


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


def run(check, *, teams=(), **access):
    async def open_and_check():
        settings = AccessSettings(**{"stale_s": STALE_S} | access)
        options = {"targets": 1, "teams": teams, "access": settings}
        async with GatewayKit.open(route={"path_prefix": "/old/"}, **options) as kit:
            await check(kit)

    asyncio.run(open_and_check())


def test_entry_that_renews_its_lease_refuses_a_route_it_has_not_read():
    """Regression: 404, as a renewal counted as contact with the store."""

    async def check(kit):
        kit.store.open_gap()
        kit.configure(path_prefix="/new/")
        await asyncio.sleep(STALE_S + 1.0)
        for _ in range(5):
            reply = await kit.call(path="/new/1")
            assert (reply.status, bool(reply.find(b"retry-after"))) == (503, True)
            await asyncio.sleep(0.2)
        kit.store.close_gap()
        await kit.wait(lambda: kit.gateway.catalog.configuration_version == kit.version)
        assert (await kit.call(path="/new/1")).status == 200

    run(check)


def test_stuck_watch_is_replaced_once_it_makes_the_entry_refuse():
    """It was open for up to 28 s."""

    async def check(kit):
        kit.store.open_gap()
        kit.configure(path_prefix="/new/")
        await asyncio.sleep(STALE_S + 0.5)
        renewing = mock.patch.object(kit.gateway.store_notices, "_renew_watch")
        with renewing as renew, mock.patch.object(storenotices, "WITHDRAWAL_LAG_S", 0.3):
            assert (await kit.call(path="/new/1")).status == 503
            await kit.wait(lambda: renew.called, limit_s=1.0)

    run(check)


def test_entry_that_renews_its_lease_refuses_a_key_it_has_not_read():
    """Regression: 401."""

    async def check(kit):
        kit.store.open_gap()
        kit.configure(teams=[TEAM, TEAM | {"name": "south", "key_digests": ["0" * 64]}])
        await asyncio.sleep(STALE_S + 1.0)
        for _ in range(5):
            assert (await kit.call(path="/old/1", extra=bearer("south-key"))).status == 503
            await asyncio.sleep(0.2)

    run(check, teams=[TEAM])


def test_entry_that_renews_its_lease_serves_a_revoked_key():
    """Regression: strict entries served revoked keys for as long as their leases were renewed."""

    async def check(kit):
        assert (await kit.call(path="/old/1", extra=bearer(KEY))).status == 200
        kit.store.open_gap()
        kit.configure(teams=[TEAM | {"key_digests": []}], path_prefix="/old/")
        await asyncio.sleep(2 * STALE_S)
        assert (await kit.call(path="/old/1", extra=bearer(KEY))).status == 503

    run(check, teams=[TEAM], is_strict=True, revoked_s=STALE_S)


class TestQuietStore:
    """Nothing changes, so that a watch waits 28 s."""

    def test_unknown_route_and_key_are_refused_after_one_retry(self):
        async def check(kit):
            await asyncio.sleep(STALE_S + 0.5)
            for request, status in (
                ({"path": "/none/1"}, 404),
                ({"path": "/old/1", "extra": bearer("?")}, 401),
            ):
                first = await kit.call(**request)
                assert first.status in (503, status)
                await asyncio.sleep(float(first.find(b"retry-after") or 0))
                assert (await kit.call(**request)).status == status

        run(check, teams=[TEAM])

    def test_unknown_route_gets_404_only_after_a_retry(self):
        """Regression: an idle entry alone answered 503 to each unknown path, and never 404."""

        async def check(kit):
            for _ in range(3):
                await asyncio.sleep(STALE_S + 0.5)
                assert (await kit.call(path="/none/1")).status == 404

        run(check)

    @pytest.mark.parametrize("pause_s", [0.1, 0.6])
    def test_unknown_routes_cost_few_calls(self, pause_s):
        async def check(kit):
            await asyncio.sleep(STALE_S + 0.5)
            began = kit.store.ranges
            statuses = []
            for _ in range(int(3 * STALE_S / pause_s)):
                statuses.append((await kit.call(path="/none/1")).status)
                await asyncio.sleep(pause_s)
            assert set(statuses[1:]) == {404}
            assert kit.store.ranges - began <= 5

        run(check)

    def test_strict_entry_serves_its_keys(self):
        async def check(kit):
            for _ in range(5):
                assert (await kit.call(path="/old/1", extra=bearer(KEY))).status == 200
                await asyncio.sleep(0.7 * STALE_S)

        run(check, teams=[TEAM], is_strict=True, revoked_s=STALE_S)


def test_event_that_a_full_read_may_contain_already_proves_the_state():
    """Regression: versions decide meanwhile, so that a replaced configuration may be in force."""

    async def check(kit):
        gateway = kit.gateway
        gateway.sync._sequence._repeats_until = 1_000_000
        before = gateway.catalog.proof.proven_at
        kit.configure(path_prefix="/new/")
        await kit.wait(lambda: gateway.catalog.configuration_version == kit.version)
        assert gateway.catalog.proof.proven_at == before

    run(check)
