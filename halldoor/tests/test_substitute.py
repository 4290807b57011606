"""An entry without contact to the store finds a substitute among the entries in contact."""

from __future__ import annotations

import asyncio
from typing import cast

import msgspec
import pytest

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import MemberRecord, MemberSeen
from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.httpclient import HttpAnswer
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import RelayedChanges
from halldoor.gateway.substitute import CANDIDATES, SubstituteReader
from halldoor.standins.storefleet import CountingLog

ENTRIES = 10


class PeerClient:
    """Client of an entry that sends changes only if it is in contact with the store."""

    def __init__(self, has_contact):
        self.has_contact = has_contact

    async def call(self, method, target, *, timeout_s, **options):
        if not self.has_contact:
            return HttpAnswer(503, b"")
        changes = RelayedChanges([], 7, 0.0, 0.0)
        return HttpAnswer(200, msgspec.msgpack.encode(changes))

    def close(self):
        pass


def make_reader(in_contact, links=()):
    catalog = Catalog(CatalogTimings())
    members = [
        MemberRecord(f"e{i}", Address("127.0.0.1", i), "h", "r", Address("127.0.0.1", i))
        for i in range(1, ENTRIES + 1)
    ]
    for i, member in enumerate(members, 1):
        link_mbps = 200.0 if i in links else 10.0
        catalog.apply(MemberSeen(member._replace(link_mbps=link_mbps)), 0.0)
    return SubstituteReader(
        members[0],
        catalog,
        settings=RelaySettings(),
        log=cast(EventLog, CountingLog()),
        metrics=GatewayMetrics(),
        open_client=lambda address: PeerClient(address.port in in_contact),
    )


@pytest.mark.parametrize("port", range(2, ENTRIES + 1))
def test_only_entry_in_contact_is_found_by_first_poll(port):
    async def check():
        for _ in range(5):
            update = await make_reader({port}).poll(7, "")
            assert update is not None
            assert update.is_substitute

    asyncio.run(check())


def test_entry_with_wide_link_is_found_first():
    async def check():
        for _ in range(20):
            reader = make_reader(set(range(2, ENTRIES + 1)), links=range(2, 2 + CANDIDATES))
            await reader.poll(7, "")
            assert int(reader._name.removeprefix("e")) in range(2, 2 + CANDIDATES)

    asyncio.run(check())


def test_no_substitute_is_found_if_no_entry_has_contact():
    assert asyncio.run(make_reader(set()).poll(7, "")) is None
