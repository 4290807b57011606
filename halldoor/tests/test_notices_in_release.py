"""Notices of many targets that drain in turn, as in a release, cause no extra store calls.

Nor do they make entries cancel watches before a slow store answers.
"""

from __future__ import annotations

import asyncio

import pytest

from halldoor.core.targets.changes import TargetStart
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.withdrawal import StoreNotice, StoreView
from halldoor.gateway.storenotices import _build_notices, _Pending
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

SETTINGS = RelaySettings(bound_s=3.0)
ENTRIES = 24
"""Number of entries; each is alone in its hall, so that each watches the store itself."""
TARGETS = 60
PERIOD_S = 0.1
"""Time between the withdrawals of two targets, in seconds."""
SLOW_STORE = 160.0
"""Factor on the store's time for a call, so that an answer takes 0.8 s."""


def drain(fleet, number):
    fleet.write_target(number, fleet.find_hall(number), is_draining=True)


def configure(fleet, number):
    fleet.configure(2 + number)


def play_release(write=drain, *, slowness=1.0):
    """Write changes in turn; return the number of watches and each entry's largest lag in s."""
    results = []

    async def play():
        results.extend(await write_changes(write, slowness))

    virtualtime.run(play())
    return results


async def write_changes(write, slowness):
    fleet = StoreFleet(
        entries=ENTRIES,
        halls=ENTRIES,
        targets=TARGETS,
        regions=3,
        settings=SETTINGS,
        batch_s=SETTINGS.own_pause_s,
        answer_s=0.005,
    )
    fleet.configure(1)
    await fleet.start(within_s=0.1)
    await fleet.wait_until_synchronized(1)
    await asyncio.sleep(5.0)
    fleet.server.slowness = slowness
    loop, latest = asyncio.get_running_loop(), dict.fromkeys(fleet.entries, 0.0)
    began_at, written = loop.time(), {}
    for number in range(TARGETS):
        write(fleet, number)
        written[fleet.store.copy().revision] = loop.time()
        await asyncio.sleep(PERIOD_S)
        for port, entry in fleet.entries.items():
            missing = [at for r, at in written.items() if r > entry.sync.view.revision]
            latest[port] = max(latest[port], loop.time() - min(missing, default=loop.time()))
    watches = fleet.count_calls(began_at, loop.time())["watch"]
    fleet.stop()
    return watches, sorted(latest.values())


def test_notices_of_withdrawals_cause_no_extra_watches():
    # Each notice made entries read from the store what the notice contained already.
    watches, _ = play_release()
    assert watches <= ENTRIES * (TARGETS * PERIOD_S / SETTINGS.own_pause_s + 1)


@pytest.mark.parametrize("write", [drain, configure])
def test_watches_wait_long_enough_for_slow_store(write):
    # Each notice made entries replace their watch half a second later, so none was answered.
    _, latest = play_release(write, slowness=SLOW_STORE)
    assert latest[-1] <= SETTINGS.bound_s


def test_configuration_and_withdrawn_target_are_sent_in_separate_notices():
    # Receivers took a message with both for one that they can apply without the store.
    view, start = StoreView("1", 9), TargetStart("t0", 0)
    due = dict.fromkeys((None, start), _Pending(view, learned_at=1.0, due_at=1.0))
    notices = list(_build_notices(due, view, 1.0))
    assert notices == [StoreNotice(view, 0.0, []), StoreNotice(view, 0.0, [start])]


def test_notice_of_configuration_keeps_its_view():
    """With the sender's view, entries that had the configuration read the store again for it."""
    view, own, start = StoreView("1", 9), StoreView("1", 30), TargetStart("t0", 0)
    due = dict.fromkeys((None, start), _Pending(view, learned_at=1.0, due_at=1.0))
    notices = list(_build_notices(due, own, 1.0))
    assert notices == [StoreNotice(view, 0.0, []), StoreNotice(own, 0.0, [start])]
