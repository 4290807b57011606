"""How an entry without a configuration contacts its seeds."""

import math

import pytest

from halldoor.core.errors import PeerError
from halldoor.core.hall.membership import Member, Membership
from halldoor.core.settings import Address
from halldoor.entry.gossip import SEEDS_PER_PERIOD, GossipTask


class SilentPeers:
    """Peers that never answer, as during a network partition."""

    def __init__(self):
        self.asked = []

    def call(self, address, method, **options):
        self.asked.append(address)
        raise PeerError("No answer.", remedy="Heal the cut.")


def build_gossip(peers, seeds):
    me = Member("a1-e1", "a1", "incarnation", 1, 0, 0, 0, False)
    return GossipTask(Membership(me), peers=peers, seeds=seeds, period_s=0.4)


class TestSeeds:
    @pytest.mark.parametrize("count", [1, 2, 11, 24])
    def test_every_seed_is_contacted_in_rotation(self, count):
        """When seeds were drawn at random, the only reachable one was sometimes missed for 20 s."""
        peers = SilentPeers()
        seeds = [Address("127.0.0.1", port) for port in range(1, count + 1)]
        gossip = build_gossip(peers, seeds)
        for _ in range(3):
            peers.asked.clear()
            for _ in range(math.ceil(count / SEEDS_PER_PERIOD)):
                gossip.tick()
            assert set(peers.asked) == set(seeds)

    def test_entries_that_start_together_contact_different_seeds_first(self):
        seeds = [Address("127.0.0.1", port) for port in range(1, 200)]
        first = set()
        for incarnation in ("one", "two", "three"):
            peers = SilentPeers()
            me = Member("a1-e1", "a1", incarnation, 1, 0, 0, 0, False)
            GossipTask(Membership(me), peers=peers, seeds=seeds, period_s=0.4).tick()
            first.add(tuple(peers.asked))
        assert len(first) == 3
