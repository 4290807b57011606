"""Answers of the store and of other entries that arrive in part."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from halldoor.core.settings import Address
from halldoor.core.targets.contact import StoreContact
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.handover import ReaderSilentError
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.losses import LossLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import Poll, send_poll
from halldoor.tests.test_provenance import read_lines

PART = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 40_000


@contextlib.asynccontextmanager
async def open_client():
    """Open a client of a server that sends a part of each answer, and the list of its losses."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(PART)
        await reader.read()
        writer.close()

    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        client = HttpClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        losses = []
        client.on_loss = losses.append
        yield client, losses
        await asyncio.sleep(0.05)  # The server's handler ends.


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_bytes_of_a_call_that_failed_are_not_known(is_cancelled):
    async def check():
        async with open_client() as (client, losses):
            with pytest.raises(TimeoutError if is_cancelled else HttpCallError):
                async with asyncio.timeout(0.2 if is_cancelled else 5.0):
                    await client.call("GET", "/records?newest=1", timeout_s=0.3)
            (loss,) = losses
            assert (loss.path, loss.received_bytes) == ("/records", len(PART))
            assert 0.2 <= loss.took_s < 2.0

    asyncio.run(check())


def test_cause_of_a_lost_reader_does_not_name_what_arrived(monkeypatch):
    monkeypatch.setattr("halldoor.gateway.arrivals.SILENCE_S", 0.3)

    async def check():
        async with open_client() as (client, _):
            poll = Poll(1, 0.1, "")
            with pytest.raises(ReaderSilentError, match=f"TimeoutError, {len(PART)} bytes in 0.3"):
                await send_poll(client, poll, StoreContact(), sent_at=0.0, answer_s=0.2)

    asyncio.run(check())


def test_wasted_bytes_are_not_counted(capfd):
    async def check():
        metrics, log = GatewayMetrics(), EventLog("e1")
        async with open_client() as (client, losses):
            with pytest.raises(HttpCallError):
                await client.call("GET", "/records", timeout_s=0.2)
        LossLog("relay", log=log, metrics=metrics).record("records", losses[0])
        log.close(timeout_s=2.0)
        return metrics.render().decode()

    assert f'halldoor_wasted_bytes{{kind="records"}} {len(PART)}' in asyncio.run(check())
    (line,) = read_lines(capfd.readouterr().out, "relay: An answer arrived in part.")
    assert (line["kind"], line["received_bytes"]) == ("records", len(PART))
