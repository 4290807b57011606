"""Look-up answers weighted by the capacity and the load of entries."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.cli.gateway import build_settings
from halldoor.core.fields import parse_fields
from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.entryweights import (
    EntryCapacity,
    EntryLoad,
    WeightSettings,
    WeightTable,
    compute_base_weights,
    draw_entries,
    read_figure,
)
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.filestore import GatewayFileSettings
from halldoor.gateway.lookup import MAX_ENTRIES, Candidates, choose_entries
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.plain import PlainCodec
from halldoor.gateway.store import StoredItem
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.gatewaykit import GatewayKit, build_route_changes

ADDRESS = Address("127.0.0.1", 1)
USUAL = WeightSettings()
LARGE, SMALL, UNSET = EntryCapacity(2.15, 200.0), EntryCapacity(0.43, 10.0), EntryCapacity()
BUSY = EntryLoad(running_per_core=640.0, stalled=0.5)


def list_entries(*capacities, hall="a", region="r"):
    """Return an entry for each capacity, with names from e0 on."""
    return [
        MemberRecord(f"e{i}", ADDRESS, hall, region, ADDRESS, *capacity)
        for i, capacity in enumerate(capacities)
    ]


def weigh(candidates):
    return compute_base_weights(candidates.members, USUAL)


def choose(members, generator, *, hall="a", region="r", weigh=weigh):
    chosen = choose_entries(members, hall=hall, region=region, generator=generator, weigh=weigh)
    return [m.name for m in chosen]


def find_share(part, *, always, others):
    """Return the mean share of callers of an entry that is named in a part of the answers.

    `always` other entries are named in each answer, and `others` with the least weight.
    """
    least = USUAL.least
    counts = range(others + 1)
    chance = [math.comb(others, k) * least**k * (1 - least) ** (others - k) for k in counts]
    return part * sum(p / (always + 1 + k) for k, p in zip(counts, chance, strict=True))


class TestShares:
    MEMBERS = list_entries(*[LARGE] * 12, *[SMALL] * 63)

    def test_share_of_callers_follows_weights(self):
        """With equal shares, 63 links of 10 Mbit/s had 84 in 100 callers of the downloads."""
        large = find_share(1.0, always=11, others=63)
        small = find_share(USUAL.least, always=12, others=62)
        assert 12 * large + 63 * small == pytest.approx(1.0)
        assert small / large == pytest.approx(USUAL.least, rel=0.1)
        by_weight = 12 / (12 + 63 * USUAL.least)
        assert 12 * large == pytest.approx(by_weight, rel=0.02)

    def test_drawn_answers_have_the_computed_shares(self):
        shares, generator = Counter(), Random(3)
        for _ in range(4000):
            named = choose(self.MEMBERS, generator)
            shares.update({name: 1 / len(named) / 4000 for name in named})
        large = find_share(1.0, always=11, others=63)
        assert [shares[f"e{i}"] for i in range(12)] == pytest.approx([large] * 12, rel=0.05)
        small = sum(shares[f"e{i}"] for i in range(12, 75)) / 63
        assert small == pytest.approx(find_share(USUAL.least, always=12, others=62), rel=0.05)

    @pytest.mark.parametrize("lost", [["e0"], ["e0", "e1"]])
    def test_lost_large_entries_leave_at_least_two_named(self, lost):
        members = [m for m in list_entries(LARGE, LARGE, *[SMALL] * 10) if m.name not in lost]
        answers = [choose(members, Random(seed)) for seed in range(200)]
        assert all(len(set(names)) >= 2 for names in answers)
        if lost == ["e0"]:
            assert all("e1" in names for names in answers)
        else:
            assert all(len(names) == 10 for names in answers)

    @given(
        capacities=st.lists(st.sampled_from([LARGE, SMALL, UNSET]), min_size=1, max_size=80),
        seed=st.integers(0, 999),
    )
    def test_at_least_two_and_the_largest_are_named(self, capacities, seed):
        members = list_entries(*capacities)
        weights = compute_base_weights(members, USUAL)
        drawn = draw_entries(members, weights, Random(seed))
        names = [m.name for m in drawn]
        assert len(set(names)) == len(names) >= min(2, len(members))
        most = max(weights.values())
        assert {n for n, w in weights.items() if w == most} <= set(names)


class TestUnweighted:
    @pytest.mark.parametrize("capacity", [LARGE, UNSET])
    def test_equal_entries_are_all_named_in_the_same_order_as_before(self, capacity):
        members = list_entries(*[capacity] * 70)
        before, generator = list(members), Random(5)
        generator.shuffle(before)
        assert choose(members, Random(5)) == [m.name for m in before][:MAX_ENTRIES]
        assert choose(members, Random(5), weigh=lambda _: None) == choose(members, Random(5))

    def test_hall_of_one_entry_falls_back_to_its_region(self):
        groups = []

        def record(candidates):
            groups.append(candidates.group)
            return weigh(candidates)

        far = [m._replace(name=f"f{m.name}") for m in list_entries(LARGE, LARGE, hall="b")]
        members = [*list_entries(SMALL), *far]
        named = [choose(members, Random(s), weigh=record) for s in range(100)]
        assert all({"fe0", "fe1"} <= set(names) for names in named)
        assert 0 < sum("e0" in names for names in named) < 25
        assert choose(list_entries(SMALL), Random(1), weigh=record) == ["e0"]
        assert choose(far, Random(1), hall="x", region="y", weigh=record)
        assert set(groups) == {"region/r", ""}


class TestCapacity:
    @pytest.mark.parametrize(
        "value", [0, -1, 1e9, math.nan, math.inf, -math.inf, True, None, "x", [], 10**400, "nan"]
    )
    def test_bad_values_count_as_not_set(self, value):
        assert read_figure(value) is None
        assert EntryCapacity(value, value).drop_invalid() == UNSET
        record = {"front": ADDRESS, "hall": "a", "region": "r", "cores": value}
        if not isinstance(value, float) or math.isfinite(value):
            with contextlib.suppress(OverflowError):
                data = msgspec.json.encode(record)
                change = PlainCodec().decode(StoredItem("entries/e1", data))
                assert change.member.cores is None

    def test_weight_is_the_smaller_of_processor_and_link(self):
        members = list_entries(LARGE, EntryCapacity(2.15, 50.0), EntryCapacity(0.43, 200.0), SMALL)
        weights = list(compute_base_weights(members, USUAL).values())
        assert weights == pytest.approx([1.0, 0.25, 0.2, 0.05])

    def test_entry_without_capacity_counts_as_the_mean_of_the_others(self):
        weights = compute_base_weights(list_entries(LARGE, EntryCapacity(0.43), UNSET), USUAL)
        assert weights["e2"] == pytest.approx((1.0 + 0.2) / 2)

    def test_record_without_capacity_is_as_before(self):
        """Entries of older versions reject a record with fields that they do not know."""
        without, with_both = list_entries(UNSET, LARGE)
        data = PlainCodec().encode_member(without).value
        assert list(msgspec.json.decode(data)) == ["front", "hall", "region", "relay"]
        item = PlainCodec().encode_member(with_both)
        assert PlainCodec().decode(item).member == with_both


class TestSmoothing:
    MEMBERS = list_entries(LARGE, LARGE, SMALL)

    @given(
        steps=st.lists(
            st.tuples(st.floats(0.0, 3.0), st.booleans(), st.booleans()), min_size=2, max_size=30
        )
    )
    def test_weight_moves_by_at_most_its_step(self, steps):
        table, now, seen = WeightTable(USUAL), 0.0, []
        for after_s, is_busy, is_lost in steps:
            now += after_s
            if is_busy:
                table.record_load("e0", BUSY, now)
            members = self.MEMBERS[:1] + self.MEMBERS[2:] if is_lost else self.MEMBERS
            seen.append((now, table.compute("hall/a", members, now)))
        for at, weights in seen:
            for later, others in seen:
                if at <= later <= at + USUAL.step_s:
                    for name in ("e0", "e2"):
                        assert abs(others[name] - weights[name]) <= USUAL.most_step + 1e-9

    def test_new_entry_starts_at_its_weight(self):
        table = WeightTable(USUAL)
        table.compute("hall/a", self.MEMBERS[:1], 0.0)
        assert table.compute("hall/a", self.MEMBERS, 0.1) == {"e0": 1.0, "e1": 1.0, "e2": 0.05}

    def test_load_lowers_weight_and_counts_for_its_time_only(self):
        table = WeightTable(USUAL)
        table.compute("hall/a", self.MEMBERS, 0.0)
        for now in range(30):
            table.record_load("e0", BUSY, float(now))
            weights = table.compute("hall/a", self.MEMBERS, now + 0.5)
        assert weights["e0"] < 0.1 and weights["e1"] == 1.0
        assert table.compute("hall/a", self.MEMBERS, 30.9)["e0"] < 0.1
        weights = table.compute("hall/a", self.MEMBERS, 31.9)
        assert weights["e0"] > 0.1
        table.drop_unused(100.0)
        assert table.compute("hall/a", self.MEMBERS, 100.0)["e0"] == 1.0

    def test_lost_message_does_not_change_weights(self):
        """A load counts for two periods, so one lost message must not raise the weight."""
        weights = []
        for lost in (set(), {20}):
            table = WeightTable(USUAL)
            for now in range(25):
                if now not in lost:
                    table.record_load("e0", BUSY, float(now))
                last = table.compute("hall/a", self.MEMBERS, now + 0.9)
            weights.append(last)
        assert weights[0] == weights[1]

    @pytest.mark.parametrize(
        "load", [(math.nan, 0.0), (-1.0, 0.0), (1e12, 0.0), (1.0, math.inf), (1.0, 1.5)]
    )
    def test_invalid_load_is_ignored(self, load):
        table = WeightTable(USUAL)
        table.record_load("e0", EntryLoad(*load), 0.0)
        assert table.compute("hall/a", self.MEMBERS, 0.0)["e0"] == 1.0

    def test_idle_entry_keeps_its_weight(self):
        assert EntryLoad(20.0, 0.08).find_factor(USUAL) == 1.0
        assert EntryLoad(128.0, 0.0).find_factor(USUAL) == pytest.approx(0.5)
        assert EntryLoad(0.0, 1.0).find_factor(USUAL) == 0.0


@contextlib.asynccontextmanager
async def open_pair(kind):
    """Open two gateways of a hall, of which the second is small, with a route of a kind."""
    relays = [Address(IP, port) for port in find_ports(2)]
    route = build_route_changes(kind)
    kit = GatewayKit.open(name="e1", relay=relays[0], route=route, capacity=LARGE)
    async with kit as one:
        other = GatewayKit.open(
            name="e2",
            relay=relays[1],
            store=one.store,
            targets=0,
            is_configured=False,
            capacity=SMALL,
        )
        async with other as two:
            await one.wait(lambda: len(one.gateway.catalog.members) == 2)
            await two.wait(lambda: len(two.gateway.catalog.members) == 2)
            yield one, two


async def look_up(port):
    """Return the addresses in the answer to a look-up of a caller in the hall."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request = "GET /entries?hall=ams-a&region=ams HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    writer.write(request.encode())
    body = (await reader.read()).partition(b"\r\n\r\n")[2]
    writer.close()
    return msgspec.json.decode(body)["entries"]


def count_loads(kit):
    text = kit.gateway.metrics.render().decode()
    lines = [line for line in text.splitlines() if 'kind="load"' in line]
    return int(lines[0].split()[-1]) if lines else 0


class TestGateway:
    def test_downloads_switch_weights_on_and_a_stop_switches_them_off(self):
        async def check():
            async with open_pair("download") as (one, two):
                weights = one.gateway.weighing.list_weights()
                assert weights == {"e1": 1.0, "e2": pytest.approx(0.05)}
                await one.wait(lambda: count_loads(one) and count_loads(two))
                one.gateway.is_stopping = True
                assert one.gateway.weighing.list_weights() == {}
                one.gateway.is_stopping = False

        asyncio.run(check())

    def test_look_up_names_small_entries_in_few_answers(self):
        async def check():
            async with open_pair("download") as (one, _):
                (third,) = list_entries(SMALL, hall="ams-a", region="ams")
                item = PlainCodec().encode_member(third._replace(name="e3"))
                one.store.put(item.key, item.value)
                await one.wait(lambda: len(one.gateway.catalog.members) == 3)
                port = one.gateway.ports._servers[1].sockets[0].getsockname()[1]
                named = [len(await look_up(port)) for _ in range(40)]
                # Mostly the large one and one of the others; before, all three.
                assert min(named) == 2 and named.count(3) < 10

        asyncio.run(check())

    def test_suspension_does_not_count_as_load(self):
        """A resumed entry would lose callers for a stall that is none of its host's."""

        async def check():
            async with open_pair("download") as (one, _):
                weighing, now = one.gateway.weighing, asyncio.get_running_loop().time()
                weighing._was_paused, weighing._measured_at = False, now - 30.0
                weighing._table.clear()
                weighing._update(now)
                assert weighing._table._loads == {}

        asyncio.run(check())

    def test_weights_stay_while_the_store_is_away(self):
        async def check():
            async with open_pair("download") as (one, _):
                before = one.gateway.weighing.list_weights()
                one.store.take_down()
                await asyncio.sleep(1.5)
                assert one.gateway.weighing.list_weights() == before
                one.store.is_down = False

        asyncio.run(check())

    def test_without_downloads_nothing_is_weighted_or_sent(self):
        async def check():
            async with open_pair("repeatable") as (one, two):
                hall = Candidates.from_hall(one.gateway.catalog.members.values(), "ams-a")
                assert one.gateway.weighing.weigh(hall) is None
                await asyncio.sleep(2.2)
                assert count_loads(one) == count_loads(two) == 0

        asyncio.run(check())

    def test_low_own_weight_is_logged_once(self):
        async def check():
            async with open_pair("download") as (one, _):
                weighing, events = one.gateway.weighing, []
                weighing._log.event = lambda part, text, **fields: events.append(text)
                weighing._count_running = lambda: 100_000
                await one.wait(lambda: "The own weight is low." in events, limit_s=20.0)
                await asyncio.sleep(1.5)
                assert events.count("The own weight is low.") == 1

        asyncio.run(check())

    def test_load_of_unregistered_sender_is_rejected(self):
        metrics, received = GatewayMetrics(), []
        port = DatagramPort(None, is_entry=lambda _: False, metrics=metrics)
        port.register_receiver(MessageKind.LOAD, EntryLoad, lambda *args: received.append(args))
        data = bytes([MessageKind.LOAD]) + msgspec.msgpack.encode(BUSY)
        port.datagram_received(data, ("127.0.0.1", 9))
        assert MessageKind.LOAD == 10 and not received
        assert 'halldoor_messages{kind="stranger"} 1' in metrics.render().decode()


def test_capacity_of_the_settings_file_is_read():
    address = {"ip": "127.0.0.1", "port": 1}
    data = dict.fromkeys(("front", "ready", "directory"), address)
    data |= {"name": "e1", "hall": "a", "region": "r", "configuration": "", "regions": {}}
    for capacity, wanted in (({"cores": 2.15, "link_mbps": "much"}, (2.15, None)), ({}, UNSET)):
        fields = parse_fields(data | {"capacity": capacity}, GatewayFileSettings, origin="file")
        assert build_settings(fields).capacity.drop_invalid() == wanted
