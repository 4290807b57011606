"""A request that ends each target that runs it.

One request of one caller came again and again, at any entry.  Each target that began to run it
ended, so that its caller got 502, and an entry that may send a request to two targets lost two.  An
entry judged each sending by itself: it left the target alone for a while and gave the request to
the next one.  None of twelve entries saw more than two of the lost answers, so none could know that
it was the request.  The targets came back cold 1.5 to 3 s later, to a service that lacked half of
its room: for ten seconds four of five deck readings were not served in time.

What settled it: the same key at nine entries within 5 s, a target lost under 13 of the 16 sendings
that reached one, and no more than two of them at any entry.

    41.28  edge-ams-b-2  502  ('i-af495a43e6', 'answer lost')
    42.96  edge-ehv-a-2  502  ('i-af495a43e6', 'not reached'), ('i-677e2e171f', 'answer lost')
    43.57  edge-ehv-b-1  502  ('i-52ba7c4c46', 'answer lost'), ('i-4ca8f58142', 'answer lost')
    44.27  edge-ehv-a-2  502  ('i-7f3a0648f5', 'answer lost'), ('i-f57abdad79', 'answer lost')
    44.56  edge-ehv-a-1  502  ('i-f57abdad79', 'not reached'), ('i-925867431b', 'answer lost')
    45.32  edge-grq-a-1  502  ('i-0e40821af7', 'answer lost'), ('i-3edbe9164b', 'answer lost')
"""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.crashkit import BAD, POPULAR, CrashFleet

CONTACT_S = 3.0
"""Time in which all entries must know that a third target ended, in seconds."""
LATE_SENDS = 3
"""Sendings that all entries together may make later than that."""
KINDS = ["repeatable", "at-most-once"]


class TestCrashingRequest:
    @pytest.mark.parametrize("kind", KINDS)
    def test_it_is_sent_three_times_at_most_once_three_targets_have_ended(self, kind):
        async def check():
            async with CrashFleet.open(kind=kind) as fleet:
                await asyncio.gather(
                    fleet.ask(BAD, per_s=8.0, for_s=8.0), fleet.ask(b"", per_s=60.0, for_s=8.0)
                )
                assert len(fleet.ended_at) >= 3
                assert fleet.count_late_sends(BAD, after_s=CONTACT_S) <= LATE_SENDS
                # Three targets of twelve are away for 3 s, with what they were running.
                assert fleet.count_sound() >= 0.9

        asyncio.run(check())

    def test_entries_that_all_start_again_still_know(self):
        async def check():
            async with CrashFleet.open(kind="repeatable") as fleet:
                await fleet.ask(BAD, per_s=8.0, for_s=2.5)
                await fleet.restart_entries()
                await fleet.ask(BAD, per_s=8.0, for_s=4.0)
                assert fleet.count_late_sends(BAD, after_s=CONTACT_S) <= LATE_SENDS

        asyncio.run(check())


class TestSoundRequest:
    """Targets end for reasons of their own, each under a run of a much asked, sound request."""

    @pytest.mark.parametrize("key", ["", "/popular"])
    def test_it_stays_served(self, key):
        async def check():
            async with CrashFleet.open(kind="repeatable") as fleet:
                await asyncio.gather(
                    fleet.ask(POPULAR, per_s=8.0, for_s=8.0, key=key),
                    fleet.ask(b"", per_s=60.0, for_s=8.0),
                    fleet.end_targets_under(POPULAR, every_s=0.8, for_s=8.0),
                )
                assert len(fleet.ended_at) >= 6
                statuses = fleet.statuses[POPULAR]
                assert statuses.count(200) >= 0.9 * len(statuses)
                assert fleet.count_sound() >= 0.95

        asyncio.run(check())
