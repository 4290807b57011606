"""Answers of targets that end within their head, framing or body, at every byte."""

from __future__ import annotations

import asyncio
import socket
import struct

import h11
import pytest

from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.outlier import OutlierSettings
from halldoor.gateway.exchange import ANSWER_BUFFER_BYTES
from halldoor.gateway.headers import find
from halldoor.gateway.plain import PlainCodec
from halldoor.tests.gatewaykit import ATTEMPT_NUMBERS, NAMES, GatewayKit

BODY = b"body-of-answer"
LONG = bytes(range(65, 91)) * (ANSWER_BUFFER_BYTES // 26 + 2_000)
UPLOAD = b"u" * 150_000
NOT_RUN = (408, 421, 429, 503)
CALLERS = [(v, k) for v in (b"1.1", b"1.0") for k in (True, False)]
"""Versions of callers, and whether they use one connection for all requests."""


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Form:
    """Form of an answer: its fields, its framed body and the bytes before and after it."""

    def __init__(self, fields, framed, body, *, before=b"", after=b"", method=b"GET", status=200):
        self.fields = fields
        self.framed = framed
        self.body = body
        self.before = before
        self.after = after
        self.method = method
        self.status = status

    def build_head(self, attempt_id):
        own = b"%s: %s\r\n%s: s\r\n" % (NAMES.attempt_id, attempt_id, NAMES.signature)
        status = b"HTTP/1.1 %d OK\r\n" % self.status
        return self.before + status + own + self.fields + b"\r\n"

    def list_cuts(self):
        """Return the lengths to cut at, from the start if positive, else from the end."""
        length = len(self.build_head(b"a000000")) + len(self.framed) + len(self.after)
        if length < 1_000:
            return list(range(length + 1))
        near = length - len(LONG) + ANSWER_BUFFER_BYTES
        return [*range(180, 210), *range(near - 3, near + 4), *range(length - 12, length + 1)]


LENGTH = b"Content-Length: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = chunk(BODY[:4]) + chunk(BODY[4:])
WHOLE = LENGTH % len(BODY)
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FORMS = {
    "length": Form(WHOLE, BODY, BODY),
    "empty": Form(LENGTH % 0, b"", b""),
    "chunked": Form(CHUNKED, CHUNKS + b"0\r\n\r\n", BODY),
    "extension": Form(CHUNKED, b"4;x=y\r\n" + BODY[:4] + b"\r\n0\r\n\r\n", BODY[:4]),
    "trailers": Form(CHUNKED, CHUNKS + b"0\r\nA: b\r\nC: d\r\n\r\n", BODY),
    "unframed": Form(b"", BODY, BODY),
    "unframed-empty": Form(b"", b"", b""),
    "informational": Form(WHOLE, BODY, BODY, before=INFORMATIONAL * 2),
    "head": Form(WHOLE, b"", b"", method=b"HEAD"),
    "head-chunked": Form(CHUNKED, b"", b"", method=b"HEAD"),
    "no-content": Form(b"", b"", b"", status=204),
    "long": Form(LENGTH % len(LONG), LONG, LONG),
    "long-chunked": Form(CHUNKED, chunk(LONG) + b"0\r\n\r\n", LONG),
    "long-unframed": Form(b"", LONG, LONG),
    "upload": Form(WHOLE, BODY, BODY, method=b"POST"),
    "surplus": Form(WHOLE, BODY, BODY, after=b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd"),
}


class CutTarget:
    """Script of a target that sends a part of an answer and ends the connection."""

    def __init__(self, target, form):
        self.target = target
        self.form = form
        self.cut = 0
        self.end = "closed"
        self.sent = {}

    async def __call__(self, request, writer):
        attempt_id = find(request.headers, NAMES.attempt_id)
        if not attempt_id:
            writer.close()  # Another entry polls for changes.
            return
        if request.target == b"/sound":
            writer.write(self.target.build(request, body=b"sound-" + attempt_id))
            return
        form = self.form
        data = form.build_head(attempt_id) + form.framed + form.after
        writer.write(data[: self.cut])
        await writer.drain()
        self.sent[attempt_id] = self.cut - len(data) + len(form.after)
        if self.end == "open":
            return
        if self.end == "reset":
            # The bytes before the reset are read first.
            await asyncio.sleep(0.002)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class RawCaller:
    """Caller of HTTP/1.0 or 1.1 that reads answers up to their end."""

    def __init__(self, reader, writer, version):
        self.reader = reader
        self.writer = writer
        self.version = version

    async def call(self, attempt_id, method, path, body=b""):
        """Return status, headers, body and whether the answer looks complete."""
        head = b"%s %s HTTP/%s\r\nHost: decks.example\r\n" % (method, path, self.version)
        head += b"%s: %s\r\n" % (NAMES.attempt_id, attempt_id)
        if self.version == b"1.0":
            head += b"Connection: keep-alive\r\n"
        if body:
            head += b"Content-Length: %d\r\n" % len(body)
        self.writer.write(head + b"\r\n" + body)
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=10**6)
        parser.send(h11.Request(method=method, target=path, headers=[("Host", "x")]))
        response, received = None, b""
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self.reader.read(1 << 20))
                    continue
            except (h11.RemoteProtocolError, ConnectionError):
                break
            if isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                received += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_open = parser.their_state is h11.DONE and not parser.trailing_data[0]
                headers = list(response.headers.raw_items())
                assert not parser.trailing_data[0], "bytes after the answer"
                return response.status_code, headers, received, True
            elif isinstance(event, h11.ConnectionClosed):
                break
        self.is_open = False
        return (response.status_code if response else 0), [], received, False


async def replace_targets_by_peer(kit):
    """Add another entry as the only way of the gateway's requests; return its stand-in."""
    peer = await kit.add_target("peer")
    for name in kit.targets:
        kit.store.remove(f"targets/{name}")
    await kit.wait(lambda: not kit.gateway.catalog.list_targets())
    record = MemberRecord("e2", peer.address, "ams-a", "ams", peer.address)
    item = PlainCodec().encode_member(record)
    kit.store.put(item.key, item.value)
    await kit.wait(lambda: "e2" in kit.gateway.catalog.members)
    forwarder = kit.gateway.reach.forwarder
    forwarder.is_needed = lambda state, choice: True
    forwarder._peers.add_refusal = lambda *_: None
    return peer


async def check_cuts(form, kind, end, *, is_forwarded=False):
    """Send requests whose answers are cut at each byte; return what is wrong with what came."""
    wrong = []
    options = {
        "outliers": OutlierSettings(ejects_failing=False, ejects_slow=False),
        "quarantine": QuarantineSettings(limit=0, limit_once_sound=0),
    }
    async with GatewayKit.open(targets=1, route={"kind": kind, "timeout_s": 3.0}, **options) as kit:
        (target,) = kit.targets.values()
        if is_forwarded:
            target = await replace_targets_by_peer(kit)
        target.read_body = form.method != b"POST"
        script = target.script = CutTarget(target, form)
        script.end = end
        reached = 0
        cuts = form.list_cuts()
        if end == "open":
            cuts = cuts[-len(form.after) :]
        for version, is_kept in CALLERS:
            caller = None
            for cut in cuts:
                script.cut = cut
                if caller is None or not is_kept or not caller.is_open:
                    if caller is not None:
                        caller.writer.transport.abort()
                    pair = await asyncio.open_connection("127.0.0.1", kit.front_port, limit=1 << 20)
                    caller = RawCaller(*pair, version)
                attempt_id = b"a%06d" % next(ATTEMPT_NUMBERS)
                body = UPLOAD if form.method == b"POST" else b""
                answer = await caller.call(attempt_id, form.method, b"/cut", body)
                reached += attempt_id in script.sent
                problem = judge(form, answer, script.sent.get(attempt_id), end)
                if form.after and end != "open":
                    # Until the entry has seen the end of its connection.
                    await asyncio.sleep(0.006)
                if problem is None and caller.is_open:
                    attempt_id = b"a%06d" % next(ATTEMPT_NUMBERS)
                    target.read_body = True
                    sound = await caller.call(attempt_id, b"GET", b"/sound")
                    target.read_body = form.method != b"POST"
                    if sound[3] and sound[0] == 200 and sound[2] != b"sound-" + attempt_id:
                        problem = f"the next request got {sound}"
                if problem:
                    wrong.append(f"{version!r} kept={is_kept} cut={cut}: {problem}")
            caller.writer.transport.abort()
        assert reached > len(CALLERS) * len(cuts) * 0.9
    return wrong


def judge(form, answer, missing, end):
    """Return what is wrong with an answer; `missing` is below 0 if the target's was cut."""
    status, headers, body, is_complete = answer
    resets = end == "reset"
    if missing is None:
        return f"{status} without a run" if 200 <= status < 300 else None
    if status in NOT_RUN and is_complete:
        return f"{status}, though the target has run it"
    if not (is_complete and 200 <= status < 300):
        is_whole = missing >= 0 and form.fields + form.framed and not resets
        return f"{status} for a whole answer" if is_whole else None
    if not find(headers, NAMES.signature):
        return "a success without a signature"
    if missing >= 0 and not (resets and form in UNFRAMED):
        return None if body == form.body else f"{len(body)} bytes of {len(form.body)}"
    if form in UNFRAMED and not resets and -missing <= len(form.framed):
        return None if body == form.body[: len(form.body) + missing] else "another body"
    return f"{status} looks complete with {-missing} bytes missing, reset={resets}"


UNFRAMED = (FORMS["unframed"], FORMS["unframed-empty"], FORMS["long-unframed"])


@pytest.mark.parametrize("kind", ["repeatable", "at-most-once"])
@pytest.mark.parametrize(
    ("name", "end"), [(n, e) for n in FORMS for e in ("closed", "reset")] + [("surplus", "open")]
)
def test_answer_cut_at_each_byte_is_read_as_whole(name, end, kind):
    """No caller gets an incomplete answer that looks complete, or the answer of another request."""
    wrong = asyncio.run(check_cuts(FORMS[name], kind, end))
    assert not wrong, f"{len(wrong)}: " + "\n".join(wrong[:12])


@pytest.mark.parametrize("end", ["closed", "reset"])
@pytest.mark.parametrize("name", [n for n in FORMS if n != "surplus"])
def test_forwarded_answer_cut_at_each_byte_is_read_as_whole(name, end):
    """The same for answers that another entry passes on; entries send no surplus ones."""
    wrong = asyncio.run(check_cuts(FORMS[name], "at-most-once", end, is_forwarded=True))
    assert not wrong, f"{len(wrong)}: " + "\n".join(wrong[:12])
