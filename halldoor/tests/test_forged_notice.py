"""Notices that no registered entry sent have no effect: they could take targets out of use."""

from __future__ import annotations

import asyncio
import socket

import msgspec
import pytest

from halldoor.core.targets.changes import TargetStart
from halldoor.core.targets.leaving import LeavingNotice
from halldoor.core.targets.limits import LimitNotice
from halldoor.core.targets.notice import ColdNotice
from halldoor.core.targets.withdrawal import StoreNotice, StoreView
from halldoor.gateway.datagrams import MessageKind
from halldoor.standins.sample import IP
from halldoor.tests.ratekit import RateFleet

LATER = StoreView("", 1_000_000)
FORGED = {
    MessageKind.LIMITS: lambda name: LimitNotice(name, 0, 0.0, 0.0),
    MessageKind.LEAVING: lambda name: LeavingNotice(name, 0, 0.0),
    MessageKind.COLD_STATE: lambda name: ColdNotice(name, 0, 60.0),
    MessageKind.STORE_NEWS: lambda name: StoreNotice(LATER, 0.0, [TargetStart(name, 0)]),
}


def send(kind, notices, *, to, source):
    """Send a message from a socket that belongs to no entry."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
        forger.bind((source, 0))
        forger.sendto(bytes([kind]) + msgspec.msgpack.encode(notices), (to.ip, to.port))


@pytest.mark.parametrize("kind", FORGED)
@pytest.mark.parametrize("source", [IP, "127.0.0.1"], ids=["own", "loopback"])
def test_notices_of_unregistered_process_are_ignored(kind, source):
    """The sender knows the targets' names and an entry's address, but isn't registered."""

    async def check():
        async with RateFleet.open(entries=2, targets=8) as fleet:
            relay = fleet.kits[0].gateway.member.relay
            notices = [FORGED[kind](target.incarnation) for target in fleet.targets]
            for notice in notices:
                send(kind, [notice], to=relay, source=source)
            await asyncio.sleep(0.2)
            replies = [await fleet.kits[0].call(key=str(i)) for i in range(40)]
            assert [reply.status for reply in replies] == [200] * 40
            metrics = fleet.kits[0].gateway.metrics.render().decode()
            assert 'halldoor_messages{kind="stranger"} 8' in metrics

    asyncio.run(check())


def test_notices_of_entry_with_lapsed_record_are_accepted():
    """It may be cut off from the store, and be the only one to see a target's statement."""

    async def check():
        async with RateFleet.open(entries=2, targets=3) as fleet:
            leaving = fleet.targets[0]
            one, other = (kit.gateway for kit in fleet.kits)
            fleet.cut(1)
            fleet.store.remove("entries/e1")
            await fleet.kits[0].wait(lambda: "e1" not in one.catalog.members)
            leaving.extra = [(b"halldoor-leaving", b"1")]
            await fleet.send_requests(per_s=60.0, for_s=1.0, entries=[1])
            target = one.catalog.find_target("t0")
            await fleet.kits[0].wait(lambda: target.is_draining)
            assert other.catalog.find_target("t0").is_draining

    asyncio.run(check())
