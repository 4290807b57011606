"""Decoders of data from outside, as the property tests call them: a new one is one line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from halldoor_platform.interface import PlatformLookupFormat
from halldoor_platform.records import PlatformCodec
from halldoor_platform.settings import parse_address, parse_settings
from halldoor_platform.standin import encode_config, encode_route, encode_settings, encode_target
from halldoor_platform.store import PlatformStore, decode_item, decode_lease, read_era

from halldoor.core.decoding import decode_msgpack
from halldoor.core.quarantine.evidence import Evidence, TargetCrash
from halldoor.core.quarantine.record import EvidenceRecord, RecordedCrash
from halldoor.core.settings import Address, parse
from halldoor.core.targets.changes import MemberRecord, TargetStart
from halldoor.core.targets.contact import ContactReport
from halldoor.core.targets.entryweights import EntryLoad
from halldoor.core.targets.era import parse_era
from halldoor.core.targets.leaving import LeavingNotice
from halldoor.core.targets.limits import LimitNotice, parse_limit
from halldoor.core.targets.load import LoadReport
from halldoor.core.targets.notice import ColdNotice
from halldoor.core.targets.observation import Observation
from halldoor.core.targets.rests import parse_backoff
from halldoor.core.targets.withdrawal import StoreNotice, StoreView
from halldoor.core.teams.quota import Period, Report, Share, Shares, TeamCount
from halldoor.files import parse_yaml
from halldoor.gateway.attempt import parse_deadline_s
from halldoor.gateway.filestore import GatewayConfiguration
from halldoor.gateway.handover import RecordSet, RecordTable, decode_records, parse_wanted_era
from halldoor.gateway.lookup import PlainLookupFormat
from halldoor.gateway.plain import PlainCodec
from halldoor.gateway.polls import (
    ItemBlock,
    NoChanges,
    RelayedChanges,
    decode_poll_answer,
    parse_poll,
    unpack_items,
)
from halldoor.gateway.records import encode_evidence
from halldoor.gateway.store import RecordCodec, StoredItem
from properties.oddvalues import Decoder

ADDRESS = Address("127.0.0.1", 8080)
PLATFORM, PLAIN = PlatformCodec(), PlainCodec()
STORE = PlatformStore(ADDRESS)
MEMBER = MemberRecord("e1", ADDRESS, "a1", "a", ADDRESS, 2.0, 100.0)
EVIDENCE = encode_evidence(EvidenceRecord("d1", (RecordedCrash("t", "c", 1),), ("t",), True))
ITEM = {"key": "servers/i-1", "value": "e30=", "revision": 1}
SETTINGS = encode_settings(
    "e1",
    ADDRESS,
    {"front": 1, "ready": 2, "directory": 3, "metrics": 4, "relay": 5},
    zone="a1",
    zones={"a1": "a"},
)
TEAM = {"apiKeys": ["k"], "priority": 1, "ratePerS": 5, "burst": 2, "homeRegions": ["a"]}
CONFIG = msgspec.json.decode(
    encode_config(
        3,
        [
            encode_route("r1", "a.example", "deck", priority=1, homeRegions=["a"], public=False),
            encode_route("r2", "b.example", "", backends=[{"service": "deck", "weight": 1}]),
        ],
        ["deck"],
        {"north": TEAM},
    )
)
LIMITS = {
    "maxHeaderBytes": 9000,
    "maxBodyBytes": 9000,
    "headerTimeoutMs": 900,
    "idleTimeoutMs": 900,
}
CONFIG["resources"].append({"resourceKind": "limits", "spec": LIMITS})
ROUTING = {
    "version": 1,
    "routes": [
        {"name": "r1", "host": "a.example", "kind": "repeatable", "service": "deck"},
        {
            "name": "r2",
            "host": "b.example",
            "kind": "upload",
            "split": [{"service": "deck", "weight": 1.5}],
            "timeout_s": 1.0,
            "aim_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
        },
    ],
    "services": [{"name": "deck", "max_connections": 5, "cold_rate_per_s": 2.5}],
    "limits": {"head_bytes": 9000, "idle_timeout_s": 5.0},
    "teams": [{"name": "north", "key_digests": ["00"], "rate_per_s": 1.0, "burst": 1.0}],
}
TARGET = {"service": "deck", "address": {"ip": "127.0.0.1", "port": 80}, "hall": "a1", "slots": 2}
CONTACT = ContactReport(5.0, 1.0)


def decode_record(codec: RecordCodec, key: str) -> Callable[[bytes], Any]:
    """Return the decoder of a record under a key."""
    return lambda data: codec.decode(StoredItem(key, data))


def decode_message(kind: Any) -> Callable[[bytes], Any]:
    """Return the decoder of a message of a type."""
    return lambda data: decode_msgpack(data, kind, origin="message")


def decode_text(parse_text: Callable[[str], Any]) -> Callable[[bytes], Any]:
    """Return the decoder of a text that arrives as a target or a field of HTTP."""
    return lambda data: parse_text(data.decode("latin-1"))


def encode_records(*, is_packed: bool) -> bytes:
    """Encode an answer with all records."""
    table = RecordTable()
    table.replace_all(RecordSet([StoredItem("k", b"v")], 3, "1", 0.0))
    return table.encode(1.0, is_packed=is_packed)


def decode_configuration(text: str) -> Any:
    """Decode the configuration of a gateway on a file."""
    configuration = parse(parse_yaml(text, origin="x"), GatewayConfiguration, origin="x")
    return PLAIN.decode(StoredItem("routing", configuration.to_records()["routing"]))


JSON: dict[str, Decoder] = {
    "configuration": Decoder(decode_record(PLATFORM, "op/config"), msgspec.json.encode(CONFIG)),
    "target": Decoder(
        decode_record(PLATFORM, "servers/i-1"), encode_target("deck", ADDRESS, zone="a1")
    ),
    "entry": Decoder(
        decode_record(PLATFORM, "halldoor/entries/e1"), PLATFORM.encode_member(MEMBER).value or b""
    ),
    "evidence": Decoder(decode_record(PLATFORM, EVIDENCE.key), EVIDENCE.value or b""),
    "plain configuration": Decoder(decode_record(PLAIN, "routing"), msgspec.json.encode(ROUTING)),
    "plain target": Decoder(decode_record(PLAIN, "targets/i-1"), msgspec.json.encode(TARGET)),
    "plain entry": Decoder(
        decode_record(PLAIN, "entries/e1"), PLAIN.encode_member(MEMBER).value or b""
    ),
    "plain evidence": Decoder(decode_record(PLAIN, EVIDENCE.key), EVIDENCE.value or b""),
    "page": Decoder(
        STORE.decode_page, msgspec.json.encode({"items": [ITEM], "hasMore": True, "timestamp": 3})
    ),
    "watch": Decoder(
        STORE.decode_events, msgspec.json.encode({"events": [ITEM, ITEM], "timestamp": 3})
    ),
    "item": Decoder(decode_item, msgspec.json.encode(ITEM)),
    "lease": Decoder(decode_lease, b'{"leaseId":3,"ttlMs":6000}'),
    "settings": Decoder(parse_settings, SETTINGS),
}


def decode_changes(data: bytes) -> list[StoredItem]:
    """Decode the changes of a poll's answer."""
    changes = decode_poll_answer(200, data)
    return unpack_items(changes.items) if isinstance(changes, RelayedChanges) else []


MESSAGEPACK: dict[str, Decoder] = {
    "changes": Decoder(
        lambda data: decode_poll_answer(200, data),
        msgspec.msgpack.encode(
            RelayedChanges([StoredItem("k", b"v")], 3, 1.0, 0.5, contact=CONTACT)
        ),
    ),
    "packed changes": Decoder(
        decode_changes,
        msgspec.msgpack.encode(
            RelayedChanges([ItemBlock([StoredItem("k", b"v")]).packed], 3, 1.0, 0.5)
        ),
    ),
    "no changes": Decoder(
        lambda data: decode_poll_answer(503, data), msgspec.msgpack.encode(NoChanges(0.5, CONTACT))
    ),
    "records": Decoder(decode_records, encode_records(is_packed=False)),
    "packed records": Decoder(decode_records, encode_records(is_packed=True)),
} | {
    kind.__name__: Decoder(decode_message(kind), msgspec.msgpack.encode(message))
    for kind, message in (
        (Report, Report("e1", 1, (Period(1, (TeamCount("north", 3, 2),)),))),
        (Shares, Shares(1, (Share("north", 0.5),))),
        (Observation, Observation("t", "repeatable", "k", 12, False, 1, 1, 6, 100)),
        (Evidence, Evidence("d1", (TargetCrash("t", "c", 1.0),), ("t",), True)),
        (ColdNotice, ColdNotice("t", 1, 2.0)),
        (LimitNotice, LimitNotice("t", 1, 2.0, 0.5)),
        (LeavingNotice, LeavingNotice("t", 1, 0.5)),
        (StoreNotice, StoreNotice(StoreView("1", 3), 0.5, [TargetStart("t", 1)])),
        (EntryLoad, EntryLoad(3.0, 0.5)),
    )
}
TEXT: dict[str, Decoder] = {
    "poll": Decoder(decode_text(parse_poll), b"/changes?after=3&wait_ms=500&era=1"),
    "wanted era": Decoder(decode_text(parse_wanted_era), b"/records?newest=3&left=2&packed=1"),
    "look-up": Decoder(decode_text(PlatformLookupFormat().parse), b"/resolve?zone=a1&region=a"),
    "plain look-up": Decoder(decode_text(PlainLookupFormat().parse), b"/entries?hall=a1&region=a"),
    "deadline": Decoder(parse_deadline_s, b"800"),
    "back-off": Decoder(lambda data: parse_backoff(data, 1e9), b"Wed, 21 Oct 2015 07:28:00 GMT"),
    "limit": Decoder(parse_limit, b"2.5"),
    "load": Decoder(LoadReport.from_text, b"3,1,6,100"),
    "era header": Decoder(read_era, b"12"),
    "era": Decoder(decode_text(parse_era), b"12"),
    "address": Decoder(decode_text(parse_address), b"127.0.0.1:8080"),
    "file": Decoder(
        decode_text(decode_configuration), msgspec.yaml.encode(ROUTING | {"targets": []})
    ),
}
