"""Odd values in the key-value service cost only themselves: entries go on serving and following."""

import time

import msgspec
import pytest
from returns.result import Failure

from halldoor.core.decoding import DecodingError
from halldoor.core.errors import PlatformError
from halldoor.core.orders.claim import (
    UNKNOWN_CLAIM,
    Claim,
    claim_operations,
    decode_shard,
    find_shard,
    format_shard_key,
)
from halldoor.core.steering.revision import HEAD_KEY, PART_PREFIX, Head, digest
from halldoor.entry.claims import ClaimTask
from halldoor.entry.probe import TargetHealth, decode_health
from halldoor.keyvalue.base import HostState, Value
from halldoor.keyvalue.client import HttpPlatform, decode_hosts
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration
from halldoor.tests.conftest import start_all

NAMES = ("a1-e1", "a1-e2")
READ = "/s/decks/read/x"
NESTED = b"\x91" * 100_000 + b"\xc0"


class OddStore:
    """The configuration in the key-value service, as another program may leave it."""

    def __init__(self, fleet):
        self.fleet, self.platform = fleet, HttpPlatform(fleet.platform_url)
        value = self.platform.get(HEAD_KEY)
        self.head = msgspec.msgpack.decode(value.data, type=Head)
        self.parts = {
            name: msgspec.msgpack.decode(self.platform.get(PART_PREFIX + part).data)
            for name, part in self.head.parts.items()
        }

    def put_part(self, data):
        self.platform.put(PART_PREFIX + digest(data), data, expected=None)
        return digest(data)

    def put_head(self, data):
        self.platform.put(HEAD_KEY, data, expected=None)

    def build_head(self, *, revision=None, **parts):
        """Build the next head, with some parts replaced."""
        revision = self.head.revision + 1 if revision is None else revision
        names = {n.replace("__", "/"): self.put_part(data) for n, data in parts.items()}
        return msgspec.structs.replace(
            self.head, revision=revision, change_id="odd", parts=self.head.parts | names
        )

    def restore(self):
        """Write a sound head of a later revision, and return its revision."""
        self.head = msgspec.structs.replace(self.head, revision=self.head.revision + 10)
        self.put_head(msgspec.msgpack.encode(self.head))
        return self.head.revision


ODD_HEADS = {
    "rubbish": lambda s: b"\xff\x00rubbish",
    "nested": lambda s: NESTED,
    "nested field": lambda s: b"\x81\xa3odd" + NESTED,
    "revision": lambda s: msgspec.msgpack.encode(s.build_head(revision=1 << 40)),
    "part missing": lambda s: msgspec.msgpack.encode(
        msgspec.structs.replace(s.build_head(), parts={"halls": "0" * 32})
    ),
    "part nested": lambda s: msgspec.msgpack.encode(s.build_head(services=NESTED)),
    "part of another type": lambda s: msgspec.msgpack.encode(s.build_head(targets__0=b"\x07")),
    "part number": lambda s: msgspec.msgpack.encode(s.build_head(targets__x=b"\x90")),
    "block index": lambda s: msgspec.msgpack.encode(s.build_head(block_index=b"\x93\x01\x02\x03")),
    "block range": lambda s: msgspec.msgpack.encode(
        s.build_head(block_index=msgspec.msgpack.encode({"x-99": s.put_part(b"12345")}))
    ),
    "block bytes": lambda s: msgspec.msgpack.encode(
        s.build_head(block_index=msgspec.msgpack.encode({"00000000-32": s.put_part(b"12345")}))
    ),
    "hall of a target": lambda s: msgspec.msgpack.encode(
        s.build_head(
            targets__0=msgspec.msgpack.encode([s.parts["targets/0"][0] | {"hall": "nowhere"}])
        )
    ),
}


@pytest.fixture(scope="module")
def store():
    with Fleet.open() as fleet:
        start_all(fleet, make_configuration(halls={"a1": 2}))
        yield OddStore(fleet)


def assert_serving(fleet):
    answers = [fleet.call(name, READ).status for name in NAMES for _ in range(5)]
    assert answers == [200] * 10


@pytest.mark.parametrize("odd", ODD_HEADS)
def test_odd_head_stops_entries_from_following(store, odd):
    """The watch ended at exceptions that it didn't expect, and no later revision was applied."""
    store.put_head(ODD_HEADS[odd](store))
    time.sleep(1.0)
    assert_serving(store.fleet)
    store.fleet.wait_ready(*NAMES, revision=store.restore(), limit_s=6.0)
    assert_serving(store.fleet)


def test_entry_starts_beside_an_odd_head_with_the_configuration_of_a_peer(store):
    store.put_head(ODD_HEADS["nested"](store))
    store.fleet.kill("a1-e2")
    store.fleet.restart_entry("a1-e2")
    store.fleet.wait_ready("a1-e2", revision=store.head.revision, limit_s=10.0)
    assert_serving(store.fleet)
    store.fleet.wait_ready(*NAMES, revision=store.restore(), limit_s=6.0)


@pytest.mark.parametrize(
    "change",
    [{"slots": 10**18}, {"address": {"ip": "127.0.0.1", "port": 70_000}}, {"hall": 5}, {"odd": 1}],
    ids=lambda change: next(iter(change)),
)
def test_odd_target_takes_the_others_out_of_service(store, change):
    """Without its row, the revision is applied and the other targets stay."""
    first, *others = store.parts["targets/0"]
    odd = msgspec.msgpack.encode([first | {"name": "odd"} | change, first, *others])
    head = store.build_head(targets__0=odd)
    store.head = msgspec.structs.replace(store.head, revision=head.revision)
    store.put_head(msgspec.msgpack.encode(head))
    store.fleet.wait_ready(*NAMES, revision=head.revision, limit_s=6.0)
    assert_serving(store.fleet)
    status = store.fleet.get_json("a1-e1", "/v1/status")
    assert "odd" not in status["targets"] and len(status["targets"]) == 2


def test_odd_row_hides_the_other_hosts():
    rows = b'[["t1", true], ["t2"], 7, [{"a": [[1]]}, false], ["t3", false]]'
    assert decode_hosts(rows) == [HostState("t1", True), HostState("t3", False)]
    for data in (b"{}", b"rubbish", b"[" * 100_000, b""):
        with pytest.raises(PlatformError):
            decode_hosts(data)


def test_odd_claim_makes_a_shard_unreadable():
    """Its id is never run; the claims beside it stay."""
    ids = [f"01890a5d-ac96-774b-bcce-b302099a80{i}" for i in (57, 58, 59)]
    data = msgspec.msgpack.encode({"floor_ms": 5, "claims": {ids[0]: 7, ids[1]: ["e1", "i"]}})
    shard = decode_shard(data)
    assert shard.claims == {ids[0]: UNKNOWN_CLAIM, ids[1]: Claim("e1", "i")}
    holders = claim_operations(shard, ids, Claim("e2", "j")).holders
    assert holders == dict(zip(ids, (*shard.claims.values(), Claim("e2", "j")), strict=True))


class OddShards:
    """A key-value service in which one shard of claims is odd."""

    def __init__(self, number):
        self.key = format_shard_key(number)

    def get(self, key):
        return Value(NESTED, 1) if key == self.key else None

    def put(self, key, data, *, expected, lease=""):
        return 1


def test_odd_shard_delays_orders_of_other_shards():
    operations = [f"01890a5d-ac96-774b-bcce-b302099a80{i:02d}" for i in range(20)]
    odd, sound = (
        operations[0],
        next(o for o in operations if find_shard(o) != find_shard(operations[0])),
    )
    task = ClaimTask(OddShards(find_shard(odd)), Claim("e1", "i"))
    task.start()
    started = time.monotonic()
    for _ in range(20):
        assert isinstance(task.request_claim(odd), Failure)
        assert task.request_claim(sound).unwrap() == Claim("e1", "i")
    assert time.monotonic() - started < 2.0
    assert task.odd_shards == 20
    task.stop()


@pytest.mark.parametrize("data", [b'{"state": "ok", "load": -1e308}', b'{"age_s": "x"}', b"{}"])
def test_odd_figure_of_a_target_counts_as_a_failed_probe(data):
    assert decode_health(data) == TargetHealth()


@pytest.mark.parametrize("data", [b"", b"[" * 50_000, b'{"state": 5}', b" " * 70_000 + b"{}"])
def test_odd_health_answer_is_a_failed_probe(data):
    with pytest.raises(DecodingError):
        decode_health(data)
