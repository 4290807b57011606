"""Stand-ins use ports of their own, and count only requests that are in flight."""

import asyncio
import contextlib
import socket
import subprocess
import sys
import threading

import pytest

from halldoor.core.settings import Address
from halldoor.gateway.headers import HeaderNames
from halldoor.standins.fleet import wait_until
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.scripted import ScriptedTarget
from halldoor.standins.target import Behaviour, TargetStandin
from halldoor.standins.targetlink import Cut, TargetLink


def test_each_process_has_its_own_loopback_address():
    """Two concurrent test runs opened the same port on one address, and a fleet did not start."""
    code = "from halldoor.standins.sample import IP; print(IP)"
    others = {
        subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        ).stdout.strip()
        for _ in range(3)
    }
    assert len(others | {IP}) == 4
    assert all(ip.startswith("127.") and 64 <= int(ip.split(".")[1]) < 128 for ip in others)


class StalledBody:
    """A request body whose reading stands still, as in a process that gets no processor time."""

    def __init__(self, resumed):
        self.resumed = resumed

    def read(self, size):
        self.resumed.wait(20)
        return b"x" * size


@pytest.mark.parametrize(
    ("has_disconnected", "ignore_cancel", "greatest"),
    [(True, False, 6), (True, True, 12), (False, False, 12)],
)
def test_stalled_target_keeps_slot_limits(has_disconnected, ignore_cancel, greatest):
    """A stalled target counted requests whose entries had given them up, beside those after."""
    standin = TargetStandin(Behaviour(ignore_cancel=ignore_cancel))
    resumed = threading.Event()
    threads = []
    with contextlib.ExitStack() as stack:

        def run(environ):
            with contextlib.suppress(ConnectionAbortedError):
                standin(environ, lambda *_: None)

        def send():
            caller, sock = map(stack.enter_context, socket.socketpair())
            environ = {"PATH_INFO": "/", "CONTENT_LENGTH": "1", "halldoor.socket": sock}
            environ["wsgi.input"] = StalledBody(resumed)
            threads.append(threading.Thread(target=run, args=(environ,)))
            threads[-1].start()
            return caller

        try:
            callers = [send() for _ in range(6)]
            wait_until(lambda: standin._get_stats()["in_flight"] == 6, what="six requests")
            if has_disconnected:
                for caller in callers:
                    caller.close()
            for _ in range(6):
                send()
            wait_until(lambda: standin._get_stats()["in_flight"] == 12, what="six more")
            assert standin.greatest == greatest
        finally:
            resumed.set()
            for thread in threads:
                thread.join()
    assert standin._get_stats()["in_flight"] == 0


def test_links_that_are_cut_lose_their_ports_to_others():
    """With hundreds of links, the kernel chose the port of one that did not listen."""

    async def check():
        target = Address(IP, find_ports(1)[0])
        links = [TargetLink(target) for _ in range(200)]
        for link in links:
            await link.start()
            await link.set_cut(Cut.RESET)
        others = [TargetLink(target) for _ in range(200)]
        for other in others:
            await other.start()
        assert not {link.address for link in links} & {other.address for other in others}
        for link in links:
            await link.set_cut(None)
        for link in [*links, *others]:
            await link.stop()

    asyncio.run(check())


@pytest.mark.parametrize("cut", [Cut.RESET, Cut.BREAK])
def test_connection_that_opens_as_its_link_is_cut_works_on(cut):
    """The cut reset only connections that were relayed already; entries used the others."""

    async def answer(target, link, *, steps):
        """Connect, let the loop run some steps, cut the link and return what is answered."""
        reader, writer = await asyncio.open_connection(link.address.ip, link.address.port)
        for _ in range(steps):
            await asyncio.sleep(0)
        await link.set_cut(cut)
        try:
            writer.write(b"GET / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n")
            return await asyncio.wait_for(reader.read(), 5.0)
        except ConnectionError:
            return b""
        finally:
            writer.transport.abort()
            await link.set_cut(None)

    async def check():
        target = ScriptedTarget("t0", HeaderNames())
        await target.start()
        link = TargetLink(target.address)
        await link.start()
        assert [await answer(target, link, steps=steps) for steps in range(10)] == [b""] * 10
        await link.stop()
        await target.stop()

    asyncio.run(check())
