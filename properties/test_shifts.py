"""Properties of shift caps, routing, client blocks, revisions, health and routing policies."""

import random
from ipaddress import ip_network

from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.hall.health import HealthTable
from halldoor.core.hall.policy import Policy
from halldoor.core.steering.audit import compare
from halldoor.core.steering.block import BlockTable, pack_blocks, parse_address, unpack_blocks
from halldoor.core.steering.configuration import Configuration, to_data
from halldoor.core.steering.revision import (
    Head,
    join_configuration,
    read_block_index,
    split_configuration,
)
from halldoor.core.steering.routing import ServiceMeters, list_routing_steps
from halldoor.core.steering.shift import ShiftMeter, is_chosen
from halldoor.core.steering.snapshot import Snapshot
from halldoor.standins.sample import make_configuration


@given(
    st.lists(st.tuples(st.sampled_from([0.0, 0.05, 0.1, 0.3, 0.5, 1.0]), st.integers(1, 60))),
    st.randoms(use_true_random=False),
)
def test_moved_never_exceeds_cap_times_total_over_any_run(caps, rng):
    """After each request, moves stay within the sum of the caps in force, also under each cap."""
    meter = ShiftMeter(0.0)
    allowed, under_cap = 0.0, {"moved": 0, "total": 0}
    for cap, requests in caps:
        if cap != meter.cap:
            meter.set_cap(cap)
            under_cap = {"moved": meter.count.moved, "total": 0}
        for _ in range(requests):
            meter.add_request()
            under_cap["total"] += 1
            allowed += cap
            if rng.random() < 0.8 and meter.can_move():
                meter.add_move()
            assert meter.count.moved <= allowed + 1e-6
            assert meter.count.moved - under_cap["moved"] <= cap * under_cap["total"] + 1e-6
        assert meter.is_within_cap()


@given(st.floats(0.01, 1.0))
def test_moves_use_the_whole_cap(cap):
    meter = ShiftMeter(cap)
    for _ in range(1000):
        meter.add_request()
        if meter.can_move():
            meter.add_move()
    assert meter.count.moved >= int(cap * 1000) - 1


@given(st.text(), st.floats(0, 1), st.floats(0, 1))
def test_block_chosen_at_a_position_stays_chosen_at_higher_ones(block, one, other):
    low, high = sorted((one, other))
    assert not is_chosen("s", block, low) or is_chosen("s", block, high)


def make_snapshot(shifts, **service):
    data = make_configuration(halls={"a1": 1, "a2": 1, "b1": 1})
    data["shifts"] = shifts
    data["services"][0] |= service
    configuration = Configuration.from_data(data)
    return Snapshot.from_configuration(configuration, revision=1, hall="a1", blocks=BlockTable())


@given(
    st.lists(st.sampled_from(["c1", "c2", "big", "big"]), min_size=1, max_size=200),
    st.sampled_from([0.0, 0.1, 0.25]),
    st.sampled_from([0.05, 0.2]),
    st.sampled_from([0.0, 0.1, 1.0]),
    st.booleans(),
)
def test_shifts_and_failover_together_stay_within_each_cap(
    clients, cap, other_cap, failover, is_down
):
    """Two shifts and failover move to one region: all moves together fit the smaller shift cap."""
    shifts = [
        {
            "name": n,
            "service": "decks",
            "to": "region=b",
            "cap": c,
            "position": c,
            "state": "running",
        }
        for n, c in (("one", cap), ("two", other_cap))
    ]
    view = make_snapshot(shifts, failover_cap=failover).services["decks"]
    meters = ServiceMeters()
    meters.set_caps(view)
    landed = 0
    for total, client in enumerate(clients, 1):
        meters.add_request()
        for step in list_routing_steps(view, client):
            if step.charges and meters.charge_move(step.charges):
                continue
            is_home = step.hall in ("a1", "a2")
            if is_home and is_down:
                continue
            landed += not is_home
            break
        assert landed <= min(cap, other_cap) * total + 1e-6
    assert meters.is_within_caps()


def test_home_region_comes_before_failover_and_nearer_halls_first():
    view = make_snapshot([]).services["decks"]
    steps = list(list_routing_steps(view, "c"))
    assert [(s.hall, s.charges) for s in steps] == [
        ("a1", ()),
        ("a2", ()),
        ("b1", ("failover",)),
    ]


networks = st.lists(
    st.tuples(st.integers(0, 2**24 - 1), st.integers(0, 3)),
    min_size=1,
    max_size=300,
    unique_by=lambda x: x[0],
)


@given(networks, st.lists(st.integers(0, 2**32 - 1), max_size=20))
def test_block_table_finds_the_same_hall_as_a_linear_search(rows, addresses):
    blocks = [(f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24", hall) for n, hall in rows]
    chunks = pack_blocks(blocks)
    table = BlockTable()
    for name, data in chunks.items():
        table.replace_chunk(name, data)
    wanted = {parse_address(str(ip_network(b)[0])): hall for b, hall in blocks}
    for address in [*addresses, *(start + 7 for start in wanted)]:
        match = table.find(address)
        assert (match.hall if match else None) == wanted.get(address & ~255)
    assert pack_blocks(unpack_blocks(chunks)) == chunks


def test_changing_one_block_changes_one_chunk():
    blocks = [(f"10.{i >> 8}.{i & 255}.0/24", i % 7) for i in range(40_000)]
    before, after = (
        pack_blocks(blocks),
        pack_blocks([("10.3.7.0/24", 6), *(b for b in blocks if b[0] != "10.3.7.0/24")]),
    )
    assert len(before) > 4
    assert sum(before[name] != after.get(name) for name in before) == 1


@given(st.integers(0, 3), st.booleans())
def test_configuration_is_rebuilt_from_its_parts(targets, has_blocks):
    data = make_configuration(halls={"a1": 1, "b1": 2}, targets=targets + 1)
    if has_blocks:
        data["client_blocks"] = [{"hall": "b1", "networks": ["10.0.0.0/8", "192.168.1.0/24"]}]
    configuration = Configuration.from_data(data)
    bundle = split_configuration(configuration)
    head = Head(1, "x", bundle.names)
    parts = bundle.parts
    assert set(read_block_index(head, parts).values()) <= set(parts)
    assert join_configuration(head, parts, with_blocks=True) == configuration
    assert not list(compare(to_data(configuration), to_data(configuration)))


@given(st.lists(st.sampled_from(["good", "bad", "shed", "leaving"]), min_size=4, max_size=60))
def test_ejection_leaves_at_least_half_of_the_targets(events):
    health = HealthTable()
    names = ["t1", "t2", "t3", "t4"]
    leaving = set()
    for i, event in enumerate(events):
        name, now = names[i % 4], float(i) / 10
        if event == "good":
            health.add_success(name, 0.01)
        elif event == "bad":
            for _ in range(3):
                health.add_failure(name, now=now)
        elif event == "shed":
            health.add_shed(name, now=now)
        else:
            health.mark_leaving(name, now=now)
            leaving.add(name)
        usable = health.select_usable(names, now)
        staying = [n for n in names if not health.is_leaving(n, now)]
        assert len(usable) * 2 >= len(staying)
        assert set(usable) <= set(staying)


@given(
    st.sampled_from(["two-choices", "random", "round-robin", "least-reported"]), st.integers(0, 9)
)
def test_every_policy_orders_every_candidate_once(name, count):
    health = HealthTable()
    policy = Policy.from_name(name, random.Random(1))
    views = [health.view(f"t{i}", in_flight=i, share=3, now=0.0) for i in range(count)]
    assert sorted(policy.order(views)) == sorted(v.name for v in views)
