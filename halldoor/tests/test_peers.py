"""Choice of the entry that a request is forwarded to, where others refuse or are cut off too."""

from __future__ import annotations

import random

from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.peers import BACKOFF_S, PeerTable
from halldoor.tests.reachkit import HALLS


class TestPeers:
    def make_members(self, *, each=3):
        return [
            MemberRecord(
                f"{hall}{i}", Address("127.0.0.1", 0), hall, hall[:3], Address("127.0.0.1", 9)
            )
            for hall in HALLS
            for i in range(each)
        ]

    def choose(self, table, members, now=0.0, *, homes=(), tried=()):
        return table.choose(members, now, homes=homes, tried=tried, source=random.Random(1))

    def test_own_hall_is_preferred_then_own_region(self):
        members = self.make_members()
        table = PeerTable(members[0])
        assert self.choose(table, members).hall == HALLS[0]
        table.add_refusal(members[1].name, 0.0)
        table.add_refusal(members[2].name, 0.0)
        assert self.choose(table, members).hall == HALLS[1]

    def test_request_with_homes_stays_in_them(self):
        members = self.make_members()
        table = PeerTable(members[0])
        assert self.choose(table, members, homes=("grq",)).region == "grq"
        assert self.choose(table, members, homes=("xxx",)) is None

    def test_hall_that_refuses_is_taken_last(self):
        """A large hall that is cut off as a whole must not use up every request's offers."""
        members = self.make_members(each=30)
        table = PeerTable(members[0])
        for _ in range(2):
            table.add_refusal(self.choose(table, members).name, 0.0)
        assert self.choose(table, members).hall == HALLS[1]

    def test_offers_are_rare_while_all_refuse(self):
        members = self.make_members(each=100)
        table, offers = PeerTable(members[0]), 0
        for i in range(1000):
            peer = self.choose(table, members, i / 100)
            if peer is not None:
                offers += 1
                table.add_refusal(peer.name, i / 100)
        assert offers <= 12 + 10.0 / BACKOFF_S

    def test_pause_ends_and_doubles(self):
        members = self.make_members(each=1)[:2]
        table = PeerTable(members[0])
        table.add_refusal(members[1].name, 0.0)
        assert self.choose(table, members, BACKOFF_S / 2) is None
        assert self.choose(table, members, BACKOFF_S) == members[1]
        table.add_refusal(members[1].name, 1.0)
        assert self.choose(table, members, 1.0 + BACKOFF_S) is None
        table.add_answer(members[1].name)
        assert self.choose(table, members, 1.0 + BACKOFF_S) == members[1]

    def test_only_entry_has_nobody_to_forward_to(self):
        (own,) = self.make_members(each=1)[:1]
        assert self.choose(PeerTable(own), [own]) is None
