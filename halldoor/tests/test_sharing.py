"""Observations of targets that the entries of a hall send each other."""

from __future__ import annotations

import asyncio

from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.observation import SharingSettings, choose_peers
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.tests.gatewaykit import open_pair


def make_member(name, hall="ams-a"):
    return MemberRecord(name, Address("127.0.0.1", 1), hall, "ams", Address("127.0.0.1", 2))


class TestPeers:
    def test_peers_are_a_bounded_number_of_others_of_the_hall(self):
        members = [make_member(f"e{i}") for i in range(30)] + [make_member("far", "grq-a")]
        peers = choose_peers(members, members[0], SharingSettings(peers=12))
        assert len({p.name for p in peers}) == 12
        assert not {"e0", "far"} & {p.name for p in peers}

    def test_each_entry_is_a_peer_of_at_least_four_others(self):
        members = [make_member(f"e{i}") for i in range(30)]
        told = [p.name for m in members for p in choose_peers(members, m, SharingSettings())]
        assert min(told.count(m.name) for m in members) >= 4


class TestSharing:
    def test_observation_of_one_entry_reaches_another(self):
        async def check():
            async with open_pair() as (one, two):
                await two.wait(lambda: len(one.gateway.catalog.members) == 2)
                assert (await one.call(key="k")).status == 200
                name = next(name for name, t in one.targets.items() if t.received)
                await two.wait(lambda: two.gateway.feedback._latency.has_answered(name, "k"))

        asyncio.run(check())

    def test_malformed_messages_are_counted_and_ignored(self):
        metrics = GatewayMetrics()
        port = DatagramPort(None, is_entry=lambda _: True, metrics=metrics)
        port.register_receiver(MessageKind.OBSERVATIONS, list[int], lambda *_: None)
        for data in (b"", b"\x09", b"\x03", b"\x03\xff", b"\x03\x91\xa1x"):
            port.datagram_received(data, ("127.0.0.1", 1))
        text = metrics.render().decode()
        assert 'halldoor_messages{kind="unreadable"} 3' in text
        assert 'halldoor_messages{kind="unknown"} 2' in text
