"""Long keys, ids and names of one caller or sender, in what all requests share."""

from __future__ import annotations

import asyncio
import itertools

import msgspec

from halldoor.core.targets.latency import LatencyModel
from halldoor.gateway.datagrams import MessageKind
from halldoor.tests.gatewaykit import GatewayKit, open_pair

LENGTH = 9_000


def build_key(i):
    return f"{i:08}" * (LENGTH // 8)


async def call_all(kit, keys):
    caller = await kit.connect()
    for key in keys:
        assert (await caller.call(key=key)).status == 200
    caller.close()


def test_long_keys_fill_the_memory():
    """Each key was kept as it is for each target: up to 20,000 of 16 kB."""

    async def run():
        async with GatewayKit.open() as kit:
            await call_all(kit, map(build_key, range(100)))
            pairs = kit.gateway.feedback._latency._pairs
            assert len(pairs) == 100
            assert sum(len(key) for _, key in pairs) < 100 * 130
            # The same key is recognised again, and its target gets it as it was sent.
            await call_all(kit, [build_key(0)])
            assert len(pairs) == 100
            assert len(dict(kit.received[-1].headers)[b"halldoor-affinity-key"]) == LENGTH

    asyncio.run(run())


def test_long_keys_of_one_caller_stop_the_observations_of_others():
    """A message with some long keys was larger than a datagram, and not sent."""

    async def run():
        async with open_pair() as (one, two):
            await two.wait(lambda: len(one.gateway.catalog.members) == 2)
            latency = two.gateway.feedback._latency
            for i in itertools.count():
                keys = [build_key(9 * i + j) for j in range(8)]
                await call_all(one, [*keys, f"short-{i}"])
                if any(key.startswith("short") for _, key in latency._pairs) or i > 30:
                    break
            assert i <= 30

    asyncio.run(run())


def test_long_ids_fill_the_log(capfd):
    """Each line held the whole id and key, and as many lines as usual were queued."""

    async def run():
        async with GatewayKit.open() as kit:
            await kit.call(path="/1", key=build_key(1), attempt_id="i" * 5_000)

    asyncio.run(run())
    lines = [line for line in capfd.readouterr().out.splitlines() if "Ended" in line]
    assert lines
    assert max(map(len, lines)) < 4_000


def test_kinds_of_requests_that_others_name_fill_the_memory():
    """Observations of other entries can name any kind."""
    model = LatencyModel()
    for i in range(10_000):
        model.add_answer(f"s/{i}", "t", "h", "", took_s=0.1, has_waited=False)
    assert model.get_levels("s/1").is_known
    assert len(model._samples) <= 5_000


def deliver(kit, kind, content):
    """Let a gateway receive a message of a stranger."""
    data = bytes([kind]) + msgspec.msgpack.encode(content)
    kit.gateway.port.datagram_received(data, ("127.0.0.1", 9))


def test_evidence_of_a_stranger_fills_the_memory():
    """The names of targets in evidence were of any length, 16 for each of 4,096 requests."""

    async def run():
        async with GatewayKit.open() as kit:
            for i in range(200):
                ends = [(build_key(8 * i + j), "c", 1.0) for j in range(6)]
                deliver(kit, MessageKind.EVIDENCE_FOR_ALL, (f"d{i}", ends))
            tracked = kit.gateway.quarantine._core._tracked.values()
            assert sum(len(name) for t in tracked for name in t.history._crashes) < 200 * 6 * 1_100

    asyncio.run(run())


def test_reports_of_strangers_fill_the_memory():
    """Each name was kept, where no team has a limit for as long as the process ran."""

    async def run():
        async with GatewayKit.open() as kit:
            for i in range(10_000):
                deliver(kit, MessageKind.QUOTA_REPORT, (f"e{i}", 1, ()))
            assert len(kit.gateway.quotas._ledger._reporters) <= 5_000

    asyncio.run(run())
