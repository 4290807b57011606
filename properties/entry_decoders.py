"""Decoders of halldoor-entry, admin and the commands, for the property tests: one line each."""

from __future__ import annotations

import base64
import io
import json
from collections.abc import Callable
from typing import Any

import msgspec

from halldoor.admin.api import ApplyBody, DrainBody, ShiftBody
from halldoor.admin.service import decode_status
from halldoor.cli.fleet import describe_fleet, parse_metrics
from halldoor.core.decoding import decode_json, decode_msgpack
from halldoor.core.explaining.decision import (
    Decision,
    decode_decision,
    read_decision,
    sign_decision,
)
from halldoor.core.explaining.history import explain_request, parse_lines
from halldoor.core.explaining.refusals import judge_refusals
from halldoor.core.explaining.report import build_report, describe_report
from halldoor.core.orders.claim import Claim, Shard, decode_shard, encode_shard, parse_time_ms
from halldoor.core.orders.ticket import Ticket, decode_ticket, encode_ticket
from halldoor.core.settings import EntrySettings, parse
from halldoor.core.steering.audit import AuditRecord, decode_audit, decode_refused
from halldoor.core.steering.block import BlockTable, parse_address, parse_range
from halldoor.core.steering.configuration import Configuration
from halldoor.core.steering.revision import (
    Head,
    decode_head,
    digest,
    encode_head,
    join_configuration,
    read_block_index,
    split_configuration,
)
from halldoor.core.steering.selector import Selector
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.probe import decode_health
from halldoor.entry.reader import read_request
from halldoor.keyvalue.client import decode_hosts, parse_version
from halldoor.standins.sample import make_configuration
from halldoor.wire.convert import from_thrift_member, from_thrift_refusal
from halldoor.wire.protocol import idl
from properties.oddvalues import Decoder

KEY = b"key" * 6
ID = "01890a5d-ac96-774b-bcce-b302099a8057"
CONFIGURATION = make_configuration(halls={"a1": 1}) | {
    "client_blocks": [{"hall": "a1", "networks": ["10.0.0.0/8"]}],
    "shifts": [{"name": "s", "service": "decks", "to": "hall=a1", "cap": 0.5}],
}
BUNDLE = split_configuration(Configuration.from_data(CONFIGURATION))
HEAD = Head(3, "change", BUNDLE.names, "0" * 32)
SNAPSHOT = Snapshot.from_configuration(
    Configuration.from_data(CONFIGURATION), revision=3, hall="a1", blocks=BlockTable()
)
DECISION = Decision(
    *("id", "e", 3, "s", "op", "net", "a=b", "default", "", "h", "t", "served", 1), []
)
AUDIT = AuditRecord(3, "change", "team", "now", "apply", "accepted", "", ["a"], ["b"])
SETTINGS = {
    "name": "e1",
    "hall": "a1",
    "http": {"ip": "127.0.0.1", "port": 80},
    "wire": {"ip": "127.0.0.1", "port": 81},
    "platform": "http://127.0.0.1:1",
    "decision_key": "0123456789abcdef",
    "workers": 4,
    "queue_s": 0.1,
}
STATUS = {
    "name": "e1",
    "state": "serving",
    "revision": 3,
    "targets": {"t": {"leaving": True, "in_flight": 2}},
    "moves": [{"service": "s", "cap_of": "c", "total": 4, "moved": 1, "cap": 0.5}],
}
ATTEMPT = {"target": "t", "result": "answered", "took_ms": 9, "in_flight": 1, "load_age_ms": 3}
ATTEMPT |= {"load": 0.5, "distance": "near", "expected_ms": 8, "expected_wait_ms": 1, "place": 0}
REQUEST = {"event": "request: Ended.", "at": 5.0, "entry": "e1", "id": "a1", "service": "s"}
REQUEST |= {"status": 200, "took_ms": 9, "aim_ms": 20, "stands_for": 2, "attempts": [ATTEMPT]}
REFUSED = {"event": "request: Ended.", "at": 5.0, "entry": "e1", "id": "a1", "status": 404}
REFUSED |= {"outcome": "no route", "host": "h", "path": "/", "version": 3, "revision": 4, "era": ""}
REFUSED |= {"proven_age_ms": 3, "limit_ms": 3000, "unix_s": 9.0, "stands_for": 2}
ROUTING = {"event": "routing: In force.", "at": 5.0, "entry": "e2", "version": 4, "revision": 5}
ROUTING |= {"era": "", "unix_s": 3.0}
MOVE = {"event": "flow: Moved between regions.", "at": 5.0, "entry": "e1", "origin": "a"}
MOVE |= {"version": 3, "store_age_ms": 4, "before": {"a": 3}, "after": {"b": 3}}
REACH = {
    "event": "reach: No target can be reached.",
    "at": 5.0,
    "since_ms": 4,
    "causes": {"t": "x"},
}
SEEN = {"event": "targets: Draining.", "at": 5.0, "entry": "e1", "target": "t", "revision": 5}
METRICS = b"""halldoor_state{name="targets"} 3.0
halldoor_target_out{target="t",service="s",reason="r"} 1
halldoor_over_quota{team="n"} 4
halldoor_region_requests{from="a",to="b"} 5
"""


def decode_part(name: str) -> Callable[[bytes], Any]:
    """Return the decoder of a part of a revision, as an entry applies it."""

    def decode(data: bytes) -> Any:
        head = msgspec.structs.replace(HEAD, parts=HEAD.parts | {name: digest(data)})
        parts = BUNDLE.parts | {digest(data): data}
        blocks = BlockTable()
        for chunk, part in read_block_index(head, parts).items():
            blocks.replace_chunk(chunk, parts.get(part, b""))
        configuration = join_configuration(head, parts, on_odd=lambda problem: None)
        Snapshot.from_configuration(configuration, revision=3, hall="a1", blocks=blocks)
        return configuration

    return decode


def decode_chunk(data: bytes) -> Any:
    """Decode a chunk of client blocks, and look one address up."""
    blocks = BlockTable()
    blocks.replace_chunk("00000000-32", data)
    return blocks.find(10 << 24)


def decode_log(data: bytes) -> Any:
    """Decode a log line, as the commands do."""
    lines = list(parse_lines([data.decode(errors="replace")]))
    others = list(parse_lines(json.dumps(line) for line in (REFUSED, ROUTING)))
    return (
        describe_report(build_report(lines)),
        explain_request(lines, "a1"),
        judge_refusals([*lines, *others], "a1"),
    )


def decode_request(**fields: str) -> Callable[[bytes], Any]:
    """Return the decoder of a request with a field of the environment replaced."""
    (name,) = fields

    def decode(data: bytes) -> Any:
        environ = {
            "PATH_INFO": "/s/decks/read/x",
            "REQUEST_URI": "/s/decks/read/x?a=b",
            "REQUEST_METHOD": "GET",
            "REMOTE_ADDR": "10.1.2.3",
            "wsgi.input": io.BytesIO(b"x" * 100),
        }
        read = read_request(environ | {name: fields[name] + data.decode("latin-1")}, SNAPSHOT)
        return read[0][5:8] if isinstance(read[0], tuple) else ()

    return decode


def decode_body(kind: type[Any]) -> Callable[[bytes], Any]:
    """Return the decoder of a body of the administration API."""
    return lambda data: decode_json(data, kind, origin="the request")


def decode_text(parse_text: Callable[[str], Any]) -> Callable[[bytes], Any]:
    """Return the decoder of text in a header or a query."""
    return lambda data: parse_text(data.decode("latin-1"))


def decode_member(data: bytes) -> Any:
    """Convert the record of a peer whose fields are MessagePack."""
    fields = decode_msgpack(data, dict[str, Any], origin="fields")
    return from_thrift_member(idl.Member(**{k: v for k, v in fields.items() if k in MEMBER}))


def decode_summary(data: bytes) -> Any:
    """Decode the fields of a status that the summaries use."""
    status = decode_status(data)
    return [status.get(name) for name in STATUS]


def decode_refusal(data: bytes) -> Any:
    """Convert the refusal of a peer whose wait is JSON."""
    wait_s = decode_json(data, float, origin="a wait")
    return from_thrift_refusal(idl.Refusal(reason="x", ran="y", retry_after_s=wait_s))


def decode_ticket_payload(data: bytes) -> Any:
    """Decode a ticket with a payload."""
    return decode_ticket(base64.urlsafe_b64encode(b"m" * 16 + data).decode().rstrip("="))


MEMBER = {"name": "e", "hall": "h", "incarnation": "i", "generation": 1, "heartbeat": 1}
MEMBER |= {"version": 1, "revision": 1, "is_leaving": False, "sees_platform": True}
JSON: dict[str, Decoder] = {
    name: Decoder(decode, msgspec.json.encode(example))
    for name, decode, example in (
        ("hosts", decode_hosts, [["t1", True], ["t2", False]]),
        ("health", decode_health, {"state": "ok", "age_s": 2.5, "load": 0.5}),
        ("status", decode_summary, STATUS),
        ("ticket", decode_ticket_payload, ["e1", "i", 3, ID]),
        ("apply", decode_body(ApplyBody), {"configuration": {}, "base": 3, "change_id": "c"}),
        ("shift", decode_body(ShiftBody), {"name": "s", "verb": "step", "position": 0.5}),
        ("drain", decode_body(DrainBody), {"target": "t", "leaving": True}),
        (
            "configuration",
            lambda d: Configuration.from_data(decode_json(d, dict, origin="x")),
            CONFIGURATION,
        ),
        (
            "settings",
            lambda d: parse(decode_json(d, dict, origin="x"), EntrySettings, origin="x"),
            SETTINGS,
        ),
        ("log of a request", decode_log, REQUEST),
        ("log of a refusal", decode_log, REFUSED),
        ("log of a configuration", decode_log, ROUTING),
        ("log of a move", decode_log, MOVE),
        ("log of unreached targets", decode_log, REACH),
        ("log of a target", decode_log, SEEN),
        ("refusal", decode_refusal, 1.5),
    )
}
MESSAGEPACK: dict[str, Decoder] = {
    "member": Decoder(decode_member, msgspec.msgpack.encode(MEMBER)),
    "head": Decoder(decode_head, encode_head(HEAD)),
    "shard": Decoder(decode_shard, encode_shard(Shard(5, {ID: Claim("e1", "i")}))),
    "audit": Decoder(decode_audit, msgspec.msgpack.encode(AUDIT)),
    "refused": Decoder(
        lambda data: decode_refused(data, on_odd=lambda problem: None),
        msgspec.msgpack.encode([AUDIT, AUDIT]),
    ),
    "decision": Decoder(decode_decision, msgspec.msgpack.encode(DECISION)),
} | {
    f"part {name}": Decoder(decode_part(name), BUNDLE.parts[part])
    for name, part in BUNDLE.names.items()
}
TEXT: dict[str, Decoder] = {
    "version": Decoder(decode_text(parse_version), b"12"),
    "deadline": Decoder(decode_request(HTTP_HALLDOOR_DEADLINE_MS=""), b"800"),
    "length": Decoder(decode_request(CONTENT_LENGTH=""), b"12"),
    "address of a request": Decoder(decode_request(REQUEST_URI=""), b"/s/decks/read/x"),
    "path": Decoder(decode_request(PATH_INFO="/s/"), b"decks/read/x"),
    "client": Decoder(decode_request(HTTP_HALLDOOR_CLIENT=""), b"10.1.2.3"),
    "header": Decoder(decode_request(HTTP_X_ODD=""), b"value"),
    "ticket text": Decoder(
        decode_text(decode_ticket), encode_ticket(Ticket("e", "i", 1, ID), KEY).encode()
    ),
    "record": Decoder(
        decode_text(lambda text: read_decision(text, KEY)), sign_decision(DECISION, KEY).encode()
    ),
    "metrics": Decoder(
        lambda data: describe_fleet([parse_metrics("x", data.decode(errors="replace"))]), METRICS
    ),
    "selector": Decoder(decode_text(Selector.from_text), b"a=b,c in (d|e)"),
    "operation id": Decoder(decode_text(parse_time_ms), ID.encode()),
    "range of blocks": Decoder(decode_text(parse_range), b"0a000000-24"),
    "chunk of blocks": Decoder(decode_chunk, b"\x00\x00\x00\x0a\x00\x00"),
    "client address": Decoder(decode_text(parse_address), b"10.1.2.3"),
}
