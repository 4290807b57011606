"""Acceptance of connections: those that wait when a port closes, and a system without room."""

from __future__ import annotations

import asyncio
import errno
import socket

from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.accepting import PAUSE_S, Acceptor
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.ports import listen
from halldoor.standins.sample import IP

REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer(caller: CallerConnection, head: Head) -> None:
    """Answer a request."""
    caller.send(Answer(200, [], b"answer"))


async def open_port() -> Acceptor:
    """Listen at a free port, and answer every request."""

    return await listen(IP, 0, answer, read_limits=CallerLimits, connections=set())


async def receive(sock: socket.socket) -> bytes:
    """Receive the first bytes of an answer."""
    sock.setblocking(False)
    async with asyncio.timeout(2.0):
        return await asyncio.get_running_loop().sock_recv(sock, 1_000)


def test_connections_in_the_queue_are_reset_when_their_port_closes():
    """Callers of a stopping entry had sent their requests, and got a reset."""

    async def run() -> None:
        port = await open_port()
        # Without a pause no task of the event loop accepts them before the port closes.
        callers = [socket.create_connection(port.sockets[0].getsockname()) for _ in range(20)]
        for caller in callers:
            caller.sendall(REQUEST)
        port.close()
        assert not port.is_serving()
        for caller in callers:
            assert (await receive(caller)).startswith(b"HTTP/1.1 200")
            caller.close()

    asyncio.run(run())


class FullSocket(socket.socket):
    """A listening socket whose system lacks room for connections for a while."""

    failures = 6
    calls = 0

    def accept(self):
        """Accept a connection, or fail."""
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOMEM, "no memory")
        return super().accept()


def test_accepting_spins_while_the_system_has_no_room():
    """Each connection that waited cost as many tracebacks as the queue has places."""

    async def run() -> None:
        reports = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: reports.append(context))
        sock = FullSocket()
        sock.bind((IP, 0))
        sock.listen()

        port = Acceptor(sock, lambda: CallerConnection(answer, CallerLimits, set(), lambda: False))
        caller = socket.create_connection(sock.getsockname())
        caller.sendall(REQUEST)
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(2 * PAUSE_S)
        assert sock.calls < 20
        assert len(reports) == 1
        caller.close()
        port.close()

    asyncio.run(run())


def test_idle_connections_to_targets_leave_no_room_for_callers():
    """A caller was rejected although descriptors of idle connections could be spared."""

    async def run() -> None:
        spared = [3, 0]
        port = Acceptor(
            socket.create_server((IP, 0)),
            lambda: CallerConnection(answer, CallerLimits, set(), lambda: False),
            reserved_share=1.0,
            spare=lambda: spared.pop(0),
        )
        for status in (b"200", b"503"):
            caller = socket.create_connection(port.sockets[0].getsockname())
            caller.sendall(REQUEST)
            assert (await receive(caller)).startswith(b"HTTP/1.1 " + status)
            caller.close()
        port.close()

    asyncio.run(run())
