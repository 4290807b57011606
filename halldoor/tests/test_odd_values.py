"""Tests of messages, log lines and metrics with values that can't be sent or rendered."""

from __future__ import annotations

import asyncio
import json
import os

import pytest

from halldoor.core.settings import Address
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.failures import FailureReporter
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.tasks import Part, TaskSet
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.test_supervision import ListLog


class TestDatagrams:
    def test_receiver_that_fails_costs_other_messages(self):
        log, metrics, received = ListLog(), GatewayMetrics(), []
        reporter = FailureReporter(log, metrics)
        port = DatagramPort(None, is_entry=lambda _: True, metrics=metrics, reporter=reporter)

        def receive(message, sender):
            if message < 0:
                raise KeyError(message)
            received.append(message)

        port.register_receiver(MessageKind.LOAD, int, receive)
        for data in (b"\x0a\xff", b"\x0a\x05"):
            port.datagram_received(data, ("127.0.0.1", 1))
        assert received == [5]
        assert 'halldoor_messages{kind="failed"} 1' in metrics.render().decode()
        assert log.lines[0]["event"] == "process: A receiver of messages failed."

    @pytest.mark.parametrize("odd", ["port", "host", "content"])
    def test_message_that_cannot_be_sent_closes_the_socket(self, odd):
        """The event loop closes a datagram socket on exceptions other than OSError."""

        async def check():
            log, metrics, received = ListLog(), GatewayMetrics(), []
            own = Address(IP, find_ports(1)[0])
            port = DatagramPort(
                own,
                is_entry=lambda _: True,
                metrics=metrics,
                reporter=FailureReporter(log, metrics),
            )
            port.register_receiver(MessageKind.LOAD, int, lambda *args: received.append(args[0]))
            tasks = TaskSet(log, metrics)
            await port.start()
            tasks.start(Part("datagrams", port.run))
            to = {"port": Address(IP, 70_000), "host": Address("\ud800", 9)}.get(odd, own)
            port.send(MessageKind.LOAD, 10**400 if odd == "content" else 1, to, own)
            await asyncio.sleep(0.2)
            port.send(MessageKind.LOAD, 7, own)
            async with asyncio.timeout(2):
                while 7 not in received:
                    await asyncio.sleep(0.01)
            await tasks.stop()
            port.close()

        asyncio.run(check())


class Unprintable:
    def __repr__(self):
        raise ValueError


class TestLog:
    @pytest.mark.parametrize(
        "build",
        [
            lambda: 10**5_000,
            lambda: {"a": 10**5_000},
            lambda: "\ud800",
            lambda: {"\ud800": "\ud800"},
            lambda: {(1, 2): 3},
            lambda: float("nan"),
            lambda: b"\xff",
            Unprintable,
        ],
        ids=["int", "nested int", "surrogate", "key", "tuple key", "nan", "bytes", "unprintable"],
    )
    # The values are built here, since pytest can't print them either.
    def test_odd_value_raises_into_the_caller(self, build):
        read_end, write_end = os.pipe()
        log = EventLog("e1", fd=write_end)
        log.event("targets", "Odd.", value=build(), other=1)
        log.close(timeout_s=2.0)
        os.close(write_end)
        with os.fdopen(read_end) as lines:
            line = json.loads(lines.read())
        assert line["event"] == "targets: Odd." and str(line["other"]) == "1"

    def test_failed_write_ends_the_log(self, monkeypatch):
        read_end, write_end = os.pipe()
        log = EventLog("e1", fd=write_end)
        write, calls = os.write, []

        def fail_once(fd, data):
            calls.append(data)
            if len(calls) == 1:
                raise MemoryError
            return write(fd, data)

        monkeypatch.setattr("halldoor.lines.os.write", fail_once)
        log.event("targets", "Lost.")
        while not calls:
            os.sched_yield()
        log.event("targets", "Written.")
        log.close(timeout_s=2.0)
        os.close(write_end)
        with os.fdopen(read_end) as lines:
            assert json.loads(lines.read())["event"] == "targets: Written."


@pytest.mark.parametrize("name", ["\ud800", 'a"b', "a\nb", "a\\b", "é", ""])
def test_odd_label_breaks_the_metrics(name):
    metrics = GatewayMetrics()
    metrics.add_request(name, "200", 0.1)
    metrics.add_request("sound", "200", 0.1)
    lines = metrics.render().decode().splitlines()
    assert 'halldoor_requests{service="sound",status="200"} 1' in lines
    labelled = [line for line in lines if "{" in line]
    assert all(line.startswith("halldoor_") for line in labelled)
    assert all(line.replace(r"\"", "").count('"') % 2 == 0 for line in labelled)
