"""Answers whose bodies take longer than the time limit of their call, over real sockets."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.settings import Address
from halldoor.gateway.arrivals import LEAST_RATE, SILENCE_S, Arrival, ProgressLimits
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.standins.sample import IP

LIMIT_S = 0.2
PARTS = 12
EACH_S = 0.05


async def call(part, *, gap_s=EACH_S, arrival=None):
    """Call a server that sends a body of `PARTS` equal parts; return the body's length."""

    handlers = []

    async def answer(reader, writer):
        handlers.append(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * len(part)))
            for _ in range(PARTS):
                writer.write(part)
                await asyncio.sleep(gap_s)
            await reader.read()
        finally:
            writer.close()

    server = await asyncio.start_server(answer, IP, 0)
    client = HttpClient(Address(IP, server.sockets[0].getsockname()[1]))
    try:
        answered = await client.call("GET", "/", timeout_s=LIMIT_S, arrival=arrival)
        return len(answered.body)
    finally:
        client.close()
        server.close()
        for handler in handlers:
            handler.cancel()
        await asyncio.wait(handlers)


def test_large_answer_is_given_up_while_it_arrives():
    """It was dropped at the time limit of the call, and requested again from the start."""
    part = b"x" * 20_000
    assert asyncio.run(call(part, arrival=Arrival())) == PARTS * len(part)


def test_answer_without_progress_limit_keeps_its_time_limit():
    with pytest.raises(HttpCallError, match="TimeoutError"):
        asyncio.run(call(b"x" * 20_000))


@pytest.mark.parametrize(("part", "gap_s"), [(b"x", 0.2), (b"x" * 50_000, 3.0)])
def test_trickle_and_silence_are_given_up(part, gap_s):
    async def run():
        began = asyncio.get_running_loop().time()
        with pytest.raises(HttpCallError, match="TimeoutError") as raised:
            await call(part, gap_s=gap_s, arrival=Arrival())
        assert raised.value.loss is not None and raised.value.loss.received_bytes > 0
        return asyncio.get_running_loop().time() - began

    assert asyncio.run(run()) < LIMIT_S + SILENCE_S + 0.5


def test_credit_of_fast_part_does_not_extend_silence():
    arrival = Arrival()
    arrival.begin(10.0)
    arrival.add(100 * LEAST_RATE, 10.5)
    assert arrival.find_limit() == 10.5 + SILENCE_S
    arrival.add(1, 200.0)
    assert arrival.find_limit() == pytest.approx(110.0 + SILENCE_S, abs=0.01)


def arrive(limits, *, size, took_s):
    """Have an answer arrive evenly, or until it is given up; return whether it arrived."""
    arrival = limits.open()
    arrival.begin(0.0)
    for part in range(1, 101):
        now = part * took_s / 100
        if arrival.is_overdue(now):
            limits.record_failure(arrival, now)
            return False
        arrival.add(size // 100, now)
    limits.record_success(arrival)
    return True


def test_slow_answer_is_given_up_each_time():
    """At 4 kB/s, an eighth of the rate, the fourth one arrives and so do those after it."""
    limits = ProgressLimits()
    slow = {"size": 400_000, "took_s": 100.0}
    assert [arrive(limits, **slow) for _ in range(6)] == [False] * 3 + [True] * 3
    assert arrive(limits, size=2_000, took_s=0.1)
    assert arrive(limits, **slow)
    assert arrive(limits, size=400_000, took_s=5.0)
    assert not arrive(limits, **slow)


def test_call_without_an_answer_relaxes_limits():
    """An unreachable server would be granted a trickle afterwards."""
    limits = ProgressLimits()
    limits.record_failure(limits.open(), 100.0)
    assert not arrive(limits, size=400_000, took_s=14.0)


def test_limits_stay_relaxed_after_an_answer_larger_than_all_later_ones():
    """Its bytes came another way, so that the store never sent as many again."""
    limits, now = ProgressLimits(), 0.0
    for received in [1_000_000] * 4 + [900_000] * 100:
        arrival = limits.open()
        arrival.begin(now)
        arrival.add(received, now + 0.1)
        if received == 1_000_000:
            now = arrival.find_limit()
            limits.record_failure(arrival, now)
        else:
            limits.record_success(arrival)
            now += 1.0
    last = limits.open()
    last.begin(now)
    assert last.find_limit() - now == pytest.approx(SILENCE_S)
