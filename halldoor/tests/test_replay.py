"""Replays of load patterns: the effect of single mechanisms of the choice of targets."""

from __future__ import annotations

import msgspec
import pytest

from halldoor.core.targets import load
from halldoor.core.targets.load import DecayTimes
from halldoor.standins.patterns import LARGE, SHIFTED, Burst, Slowdown
from halldoor.standins.replay import Replay

SEEDS = (1, 2, 3)


def play(pattern=LARGE, adapt=None):
    return [Replay(pattern, seed=seed, adapt=adapt).run() for seed in SEEDS]


def average(tallies, read):
    return sum(map(read, tallies)) / len(tallies)


def use(**settings):
    def adapt(entry):
        entry.chooser.settings = entry.chooser.settings._replace(**settings)

    return adapt


@pytest.fixture(scope="module")
def usual():
    return play()


class TestReplay:
    def test_a_seed_gives_the_same_play(self):
        pattern = msgspec.structs.replace(LARGE, length_s=2.0)
        assert Replay(pattern, seed=5).run() == Replay(pattern, seed=5).run()

    def test_every_request_ends_once(self):
        slow = Slowdown(at_s=1.0, for_s=2.0, share=0.3, factor=5.0)
        burst = Burst(at_s=1.0, for_s=2.0, factor=2.0)
        pattern = msgspec.structs.replace(LARGE, length_s=4.0, slowdowns=(slow,), bursts=(burst,))
        replay = Replay(pattern, seed=1)
        tally = replay.run()
        ended = tally.counts["in aim"] + tally.counts["late"] + tally.counts["refused"]
        assert ended == tally.by_hall.total() > 1_900
        assert all(not entry.chooser.in_flight.total() for entry in replay.entries)


class TestSharing:
    def test_a_hall_that_shares_what_it_learns_serves_more_in_time(self):
        """0.79 within the aim if each entry knows only its own answers, 0.84 with its hall's."""

        def serve(sharing_s):
            pattern = msgspec.structs.replace(SHIFTED, sharing_s=sharing_s)
            return sum(Replay(pattern, seed=s).run().share_in_aim() for s in (1, 2)) / 2

        assert serve(0.15) > serve(None) + 0.025


class TestLargeFleet:
    def test_a_report_counts_until_the_next_one_is_due(self, usual, monkeypatch):
        """0.82 within the aim from second 6 if reports decayed in 0.2 s, 0.96 by their interval."""
        monkeypatch.setattr(
            load.DecayTimes, "from_pace", classmethod(lambda cls, **_: DecayTimes())
        )
        fading = average(play(), lambda t: t.share_in_aim(6.0))
        assert average(usual, lambda t: t.share_in_aim(6.0)) > fading + 0.08

    def test_a_region_of_few_targets_serves_its_callers_better_by_its_room(self, usual):
        """A fixed weight of 6 kept 0.4 of this region's keys local, and 0.82 of the others'."""
        weighed = play(adapt=use(near_region_fill=1.33, most_local=0.82))
        here, before = (average(t, lambda t: t.share_of_hall("ams-a")) for t in (usual, weighed))
        assert here > before + 0.01
        far, far_before = (average(t, lambda t: t.counts["far"]) for t in (usual, weighed))
        assert far < far_before

    def test_a_second_target_of_a_key_takes_what_the_first_cannot(self, usual):
        alone = play(adapt=use(spill_choices=1))
        shares = [average(t, lambda t: t.share_in_aim(6.0)) for t in (usual, alone)]
        assert shares[0] > shares[1] + 0.02
