"""Bodies that come in pieces of some bytes, without end: peers that keep an event loop busy."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import threading
import time

import h11
import pytest

from halldoor.core.settings import Address
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.pieces import PieceLane, PieceReader
from halldoor.tests.gatewaykit import NAMES, GatewayKit

TURN_S = 0.1
"""Longest turn of the event loop in which other requests are still answered in time, in seconds."""
PEERS = [1, 3, 10]
LONG_TURN_S = 5.0


class EndlessPeer:
    """A target in a thread of its own, whose answers have pieces of some bytes and no end.

    Parameters
    ----------
    piece : bytes
        Content of a piece.
    """

    def __init__(self, piece=b"x", *, attempt_id=b""):
        self.piece, self.attempt_id = b"%x\r\n%s\r\n" % (len(piece), piece), attempt_id
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._is_closed = True
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock):
        """Read the head of a request, and send pieces until the connection closes."""
        with contextlib.suppress(OSError), sock:
            head = b""
            while b"\r\n\r\n" not in head:
                data = sock.recv(65_536)
                if not data:
                    return
                head += data
            mark = NAMES.attempt_id + b": "
            own_id = head.partition(mark)[2].partition(b"\r\n")[0]
            sock.sendall(
                b"HTTP/1.1 200 OK\r\n%s%s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                % (mark, own_id, NAMES.signature)
            )
            block = self.piece * 20_000
            while not self._is_closed:
                sock.sendall(block)


class LoopMeter:
    """The longest time that the event loop's thread computed in one turn, in seconds.

    Garbage collections are left out: they take as long as the objects of all tests before demand.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def __aenter__(self):
        gc.collect()
        gc.disable()
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(self, *_):
        gc.enable()
        self._task.cancel()

    async def _measure(self):
        while True:
            began_s = time.thread_time()
            await asyncio.sleep(0)
            self.longest_s = max(self.longest_s, time.thread_time() - began_s)


@contextlib.asynccontextmanager
async def open_kit(peers, piece, **route):
    """Start a gateway with a sound target, and others whose answers don't end."""
    with contextlib.ExitStack() as stack:
        async with GatewayKit.open(
            targets=0, route={"timeout_s": 5.0, "kind": "download"} | route
        ) as kit:
            for n in range(peers):
                kit.targets[f"x{n}"] = peer = stack.enter_context(EndlessPeer(piece))
                kit.write_target(f"x{n}")
                peer.stop = _do_nothing
            await kit.add_target("t0", slots=100)
            await kit.wait(lambda: len(kit.gateway.catalog.list_targets()) == peers + 1)
            yield kit


async def _do_nothing():
    """Stop a peer, whose context does so."""


class TestAnswers:
    @pytest.mark.parametrize("piece", [b"x", b"x" * 16], ids=["1", "16"])
    @pytest.mark.parametrize("peers", PEERS)
    def test_answers_without_end_keep_the_loop_busy(self, peers, piece):
        """One read of 256 KB was parsed in one turn, so an entry answered nobody (review/7)."""

        async def run():
            async with open_kit(peers, piece) as kit, LoopMeter() as meter:
                statuses = []

                async def call_in_turn(caller):
                    for n in range(6):
                        # An answer that has begun is cut at the deadline.
                        with contextlib.suppress(h11.RemoteProtocolError, ConnectionError):
                            reply = await kit.call(key=f"{caller}-{n}", deadline_ms=1500)
                            statuses.append(reply.status)

                await asyncio.gather(*(call_in_turn(n) for n in range(2 * peers)))
                assert meter.longest_s < TURN_S
                assert 200 in statuses

        asyncio.run(run())

    def test_answer_of_framing_alone_waits_until_its_deadline(self):
        """A body whose framing outweighs it by far is broken off, and another target answers."""

        async def run():
            async with open_kit(1, b"x") as kit:
                statuses = [
                    (await kit.call(key=str(n), deadline_ms=4000)).status for n in range(10)
                ]
                assert statuses == [200] * 10

        asyncio.run(run())

    def test_answer_in_single_bytes_is_broken_off(self):
        """An answer of 10 KB in pieces of one byte is unusual, but whole."""

        async def run():
            async with GatewayKit.open(targets=1, route={"timeout_s": 5.0}) as kit:
                target = kit.targets["t0"]

                async def answer(request, writer):
                    head = target.build(request, body=b"", has_length=False)[:-2]
                    writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
                    writer.write(b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")

                target.script = answer
                reply = await kit.call(deadline_ms=4000)
                assert (reply.status, reply.body) == (200, b"x" * 10_000)
                # The connection is kept: nothing of the answer is left over.
                await kit.call(deadline_ms=4000)
                assert len({r.connection for r in kit.received}) == 1

        asyncio.run(run())


class TestCalls:
    @pytest.mark.parametrize("peers", PEERS)
    def test_health_answers_without_end_keep_the_loop_busy(self, peers):
        """The client of health checks, the store and other entries had the same loop."""

        async def run():
            with contextlib.ExitStack() as stack:
                clients = [
                    HttpClient(stack.enter_context(EndlessPeer()).address) for _ in range(peers)
                ]
                async with LoopMeter() as meter:
                    results = await asyncio.gather(
                        *(c.call("GET", "/health", timeout_s=1.0) for c in clients),
                        return_exceptions=True,
                    )
                assert meter.longest_s < TURN_S
                assert all(isinstance(result, HttpCallError) for result in results)

        asyncio.run(run())


class TestCallers:
    @pytest.mark.parametrize("peers", PEERS)
    def test_uploads_in_small_pieces_keep_the_loop_busy(self, peers):
        """A caller's body in pieces of one byte was parsed in one turn as well."""

        async def run():
            async with GatewayKit.open(route={"kind": "upload", "timeout_s": 2.0}) as kit:
                kit.configure(kind="upload", timeout_s=2.0, limits={"body_bytes": 10**9})
                await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)
                stop = threading.Event()
                threads = [
                    threading.Thread(target=upload_endlessly, args=(kit.front_port, n, stop))
                    for n in range(peers)
                ]
                for thread in threads:
                    thread.start()
                async with LoopMeter() as meter:
                    await asyncio.sleep(1.0)
                stop.set()
                assert meter.longest_s < TURN_S

        asyncio.run(run())


def upload_endlessly(port, number, stop):
    """Send a body in pieces of one byte until it is stopped or the connection closes."""
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as sock:
        lines = [
            b"POST /1 HTTP/1.1",
            b"Host: decks.example",
            b"%s: u%d" % (NAMES.attempt_id, number),
            b"Transfer-Encoding: chunked",
        ]
        sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
        while not stop.is_set():
            sock.sendall(b"1\r\nx\r\n" * 20_000)


class TestLane:
    def test_connection_alone_rests(self):
        """An upload of 1 MB in pieces of one byte, alone at an entry, was answered 504."""

        async def run():
            lane, reader = PieceLane(), PieceReader()
            async with asyncio.timeout(LONG_TURN_S):
                for _ in range(3):
                    await lane.wait(reader, LONG_TURN_S)

        asyncio.run(run())

    def test_several_connections_use_all_time(self):
        async def run():
            lane, readers = PieceLane(), [PieceReader(), PieceReader()]
            await lane.wait(readers[0], LONG_TURN_S)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await lane.wait(readers[1], LONG_TURN_S)

        asyncio.run(run())
