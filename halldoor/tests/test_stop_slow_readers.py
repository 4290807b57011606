"""A planned stop, and answers that callers are still reading."""

from __future__ import annotations

import asyncio
import time

from halldoor.gateway.headers import find
from halldoor.standins.narrowlink import connect_narrow
from halldoor.tests.gatewaykit import NAMES, GatewayKit
from halldoor.tests.narrowkit import build_request, stop_and_exit

ANSWER_BYTES = 260_000
WORK_S = 0.4
GRACE_S = 6.0
ROUTE = {"kind": "repeatable", "timeout_s": 6.0}


async def read_answer(sock, *, stall_s, every_s):
    """Read an answer slowly, after a pause; return how much of its body is missing."""
    loop = asyncio.get_running_loop()
    data = b""
    head_bytes = 0
    while not head_bytes or len(data) < head_bytes + ANSWER_BYTES:
        is_first = not data
        try:
            piece = await loop.sock_recv(sock, 8_192 if is_first else 30_000)
        except ConnectionResetError:
            break
        if not piece:
            break
        data += piece
        head_bytes = data.find(b"\r\n\r\n") + 4 if b"\r\n\r\n" in data else 0
        await asyncio.sleep(stall_s if is_first else every_s)
    return head_bytes + ANSWER_BYTES - len(data)


async def open_downloads(kit, *, count, receive_buffer):
    """Begin downloads whose answers come after `WORK_S`; return their connections."""

    async def work(target, request, writer):
        await asyncio.sleep(WORK_S)
        writer.write(target.build(request, body=b"s" * ANSWER_BYTES))

    for target in kit.targets.values():
        target.script = lambda r, w, target=target: work(target, r, w)
    loop = asyncio.get_running_loop()
    sockets = []
    for i in range(count):
        sock = connect_narrow(kit.front_port, receive_buffer=receive_buffer)
        await loop.sock_sendall(sock, build_request(b"first-%d" % i))
        sockets.append(sock)
    ids = {b"first-%d" % i for i in range(count)}
    await kit.wait(lambda: {find(r.headers, NAMES.attempt_id) for r in kit.received} >= ids)
    return sockets


def test_stop_cuts_off_answers_that_slow_readers_take():
    """The process exited while its transports held parts of answers (``review/1``)."""

    async def check():
        async with GatewayKit.open(route=ROUTE, grace_s=GRACE_S) as kit:
            sockets = await open_downloads(kit, count=4, receive_buffer=8_192)
            began = time.monotonic()
            stopping = asyncio.ensure_future(stop_and_exit(kit))
            reading = [read_answer(sock, stall_s=2.0, every_s=0.02) for sock in sockets]
            missing = await asyncio.gather(*reading)
            read_s = time.monotonic() - began
            await stopping
            for sock in sockets:
                sock.close()
            assert missing == [0] * 4
            assert read_s < GRACE_S

    asyncio.run(check())


def test_stop_resets_answers_on_a_further_pipelined_request():
    """A request met a socket closed at once, and the reset dropped answers (``review/2``)."""

    async def check():
        async with GatewayKit.open(route=ROUTE, grace_s=GRACE_S) as kit:
            sockets = await open_downloads(kit, count=8, receive_buffer=16_384)
            stopping = asyncio.ensure_future(stop_and_exit(kit))

            async def download(sock):
                reading = asyncio.ensure_future(read_answer(sock, stall_s=0.1, every_s=0.005))
                loop = asyncio.get_running_loop()
                for i in range(12):
                    await asyncio.sleep(WORK_S / 8)
                    try:
                        await loop.sock_sendall(sock, build_request(b"further-%d" % i))
                    except ConnectionError:
                        break
                return await reading

            missing = await asyncio.gather(*(download(sock) for sock in sockets))
            await stopping
            for sock in sockets:
                sock.close()
            assert missing == [0] * 8

    asyncio.run(check())
