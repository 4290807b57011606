"""Teams on the request path: keys, home regions and quotas, against scripted targets."""

from __future__ import annotations

import asyncio
from hashlib import sha256

import pytest

from halldoor.core.explaining.history import explain_request, parse_lines
from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway.headers import find
from halldoor.tests.gatewaykit import NAMES, GatewayKit, open_pair

KEY = "key-of-north"


def digest(key):
    return sha256(key.encode()).hexdigest()


def team(name="north", *, keys=(KEY,), **changes):
    return {"name": name, "key_digests": [digest(k) for k in keys], **changes}


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


def run(check, **options):
    async def open_and_check():
        async with GatewayKit.open(**{"teams": [team()]} | options) as kit:
            await check(kit)

    asyncio.run(open_and_check())


class TestKeys:
    def test_target_receives_the_team_but_not_the_key(self):
        async def check(kit):
            extra = [*bearer(KEY), (NAMES.team, "another")]
            reply = await kit.call(extra=extra)
            (received,) = kit.received
            assert reply.status == 200
            assert find(received.headers, NAMES.team) == b"north"
            assert [n for n, _ in received.headers].count(NAMES.team) == 1
            assert KEY.encode() not in b"".join(n + v for n, v in received.headers)

        run(check)

    @pytest.mark.parametrize("extra", [[], bearer("wrong"), [("Authorization", KEY)]])
    def test_unknown_key_gets_401_and_reaches_no_target(self, extra):
        async def check(kit):
            assert (await kit.call(extra=extra)).status == 401
            assert not kit.received

        run(check)

    def test_public_route_needs_no_key_and_forwards_none(self):
        async def check(kit):
            reply = await kit.call(extra=[*bearer("wrong"), (NAMES.team, "another")])
            (received,) = kit.received
            assert reply.status == 200
            assert not find(received.headers, NAMES.team)
            assert not find(received.headers, b"authorization")

        run(check, route={"is_public": True})

    def test_authorization_header_is_forwarded_without_teams(self):
        async def check(kit):
            assert (await kit.call(extra=bearer("x"))).status == 200
            assert find(kit.received[0].headers, b"authorization") == b"Bearer x"

        run(check, teams=[])

    def test_moved_or_revoked_key_takes_effect_with_the_configuration(self):
        async def check(kit):
            kit.configure(teams=[team(keys=()), team("south", keys=(KEY,))])
            await kit.wait(lambda: kit.gateway.catalog.routing.version == kit.version)
            assert (await kit.call(extra=bearer(KEY))).status == 200
            assert find(kit.received[-1].headers, NAMES.team) == b"south"
            kit.configure(teams=[team("south", keys=())])
            await kit.wait(lambda: kit.gateway.catalog.routing.version == kit.version)
            assert (await kit.call(extra=bearer(KEY))).status == 401

        run(check)

    def test_configuration_with_a_key_of_two_teams_is_refused(self):
        async def check(kit):
            kit.configure(teams=[team(), team("south")], path_prefix="/other/")
            await asyncio.sleep(0.3)
            assert kit.gateway.catalog.routing.version == kit.version - 1
            assert (await kit.call(extra=bearer(KEY))).status == 200

        run(check)


class TestStaleConfiguration:
    def test_unknown_key_gets_503_when_the_store_is_away(self):
        async def check(kit):
            kit.store.is_down = True
            await asyncio.sleep(0.3)
            unknown = await kit.call(extra=bearer("wrong"))
            assert (unknown.status, bool(unknown.find(b"retry-after"))) == (503, True)
            assert (await kit.call(extra=bearer(KEY))).status == 200

        run(check, access=AccessSettings(stale_s=0.1))

    def test_known_key_gets_503_when_stale_and_strict(self):
        async def check(kit):
            assert (await kit.call(extra=bearer(KEY))).status == 200
            kit.store.is_down = True
            await asyncio.sleep(0.3)
            assert (await kit.call(extra=bearer(KEY))).status == 503

        run(check, access=AccessSettings(is_strict=True, revoked_s=0.2))


class TestHomeRegions:
    def test_requests_run_in_the_home_region_of_the_team(self):
        async def check(kit):
            kit.write_target("t0", hall="grq-a")
            kit.write_target("t1", hall="ams-a")
            await kit.wait(lambda: kit.gateway.catalog.find_target("t0").record.hall == "grq-a")
            for i in range(12):
                assert (await kit.call(key=f"k{i}", extra=bearer(KEY))).status == 200
            assert len(kit.targets["t0"].received) == 12

        run(check, teams=[team(home_regions=["grq"])])

    def test_no_common_home_region_gets_503(self):
        async def check(kit):
            assert (await kit.call(extra=bearer(KEY))).status == 503
            assert not kit.received

        run(check, teams=[team(home_regions=["grq"])], route={"home_regions": ["ams"]})


class TestQuotas:
    def test_requests_over_the_quota_get_429_and_retry_after(self):
        async def check(kit):
            replies = [await kit.call(extra=bearer(KEY)) for _ in range(12)]
            statuses = [r.status for r in replies]
            assert statuses[:4] == [200] * 4 and statuses.count(429) >= 6
            assert float(replies[-1].find(b"retry-after")) > 0
            assert len(kit.received) == statuses.count(200)

        run(check, teams=[team(rate_per_s=1.0, burst=4.0)])

    def test_requests_that_reach_no_target_are_not_counted(self):
        async def check(kit):
            for _ in range(8):
                assert (await kit.call(extra=bearer(KEY))).status == 503

        run(check, targets=0, teams=[team(rate_per_s=0.1, burst=2.0)])

    def test_two_entries_share_one_quota(self):
        """Two entries that don't share counts would each admit a burst of 8, and 8 a second."""

        async def check():
            async with open_pair(teams=[team(rate_per_s=8.0, burst=8.0)]) as (one, two):
                for kit in (one, two):
                    await kit.wait(lambda kit=kit: is_answered(kit))
                asked, admitted, began = 0, 0, asyncio.get_running_loop().time()
                while asyncio.get_running_loop().time() - began < 4.0:
                    for kit in (one, two):
                        reply = await kit.call(extra=bearer(KEY))
                        asked += 1
                        admitted += reply.status == 200
                    await asyncio.sleep(0.02)
                assert asked > 150
                assert 20 <= admitted <= 8 * 4 + 8 + 8

        asyncio.run(check())


def is_answered(kit):
    age_s = kit.gateway.access.gate.get_answer_age(asyncio.get_running_loop().time())
    return age_s is not None and age_s < 0.5 and len(kit.gateway.catalog.members) == 2


class TestExplaining:
    def test_keys_are_not_written_to_logs_or_metrics(self, capfd):
        async def check(kit):
            for key in (KEY, "wrong-key-of-nobody", "another-wrong-key"):
                for _ in range(4):
                    await kit.call(extra=bearer(key))
            text = kit.gateway.metrics.render().decode()
            assert KEY not in text and "wrong" not in text

        run(check, teams=[team(rate_per_s=1.0, burst=2.0)])
        out = capfd.readouterr().out
        assert '"team over its quota"' in out and '"key unknown"' in out
        assert KEY not in out and "wrong" not in out

    def test_refused_request_is_explained_with_team_share_and_key_digest(self, capfd):
        async def check(kit):
            await kit.call(extra=bearer("wrong"), attempt_id="unknown")
            for i in range(4):
                await kit.call(extra=bearer(KEY), attempt_id=f"over{i}")

        run(check, teams=[team(rate_per_s=1.0, burst=2.0)])
        lines = list(parse_lines(capfd.readouterr().out.splitlines()))
        unknown = "\n".join(explain_request(lines, "unknown"))
        over = "\n".join(explain_request(lines, "over3"))
        assert f"begins with {digest('wrong')[:12]}" in unknown
        assert "Team north." in over and "It did not run" in over and "quota" in over
