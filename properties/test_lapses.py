"""Properties: a removed record counts as lapsed only if the store was away meanwhile."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.targets.catalog import CatalogTimings
from halldoor.core.targets.contact import ContactSpan, StoreContact
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet

TICK_S = 0.1
AWAY_FROM_S = 20.0
LENGTH_S = 40.0
SHORT_CUT_S = 1.4
"""Length of a cut, in s, below a record's lifetime less one missed renewal before and after."""
moments = st.floats(0.0, LENGTH_S)


def apply_spans(spans):
    """Apply spans of contact at their times, with ticks between, and yield each state."""
    contact, now = StoreContact(), 0.0
    for at, span in sorted(spans, key=lambda s: s[0]):
        while now + TICK_S < at:
            now += TICK_S
            contact.record_tick(now)
        now = at
        contact.record_span(span, now)
        yield now, contact


@given(
    away_s=st.floats(CatalogTimings().lapse_s, 10.0),
    answers=st.lists(moments, max_size=30),
    reports=st.lists(st.tuples(moments, st.floats(0.0, 30.0), st.floats(0.0, 3.0)), max_size=30),
)
def test_store_outage_is_detected_and_never_ends_before_store_return(away_s, answers, reports):
    """Holds for any contact of this entry and others, while records may be written again."""
    back_at = AWAY_FROM_S + away_s
    spans = [(at, ContactSpan(at, at)) for at in (0.0, *answers, back_at, LENGTH_S)]
    for at, since_s, age_s in reports:
        until = max(0.0, at - age_s)
        # Other entries may report any span in which the store was available throughout.
        spans.append((at, ContactSpan(max(0.0, until - since_s), until)))
    sound = [(at, span) for at, span in spans if span.until <= AWAY_FROM_S or span.since >= back_at]
    for now, contact in apply_spans(sound):
        if back_at <= now <= back_at + CatalogTimings().settle_s:
            absence = contact.outage
            assert absence is not None and absence.length_s >= away_s - 1e-6
            assert back_at <= absence.ended_at <= now


@given(
    answers=st.lists(moments, max_size=10),
    cut_from=st.floats(0.0, 30.0),
    period_s=st.floats(0.1, 1.5),
    age_s=st.floats(0.0, 1.0),
)
def test_entry_polling_another_in_contact_detects_no_outage(answers, cut_from, period_s, age_s):
    """It polls an entry that is always in contact, from its own first answer on."""
    spans = [(at, ContactSpan(at, at)) for at in (0.0, *answers, cut_from)]
    at = min(a for a in (0.0, *answers, cut_from))
    while at < LENGTH_S:
        spans.append((at, ContactSpan(0.0, at - age_s)))
        at += period_s
    for _, contact in apply_spans(spans):
        absence = contact.outage
        assert absence is None or absence.length_s < CatalogTimings().lapse_s


def list_cuts(most_s):
    """Return a strategy of cuts (entry, start, length in s), at most one for each entry."""
    cut = st.tuples(st.integers(1, 8), st.floats(0.0, 3.0), st.floats(0.3, most_s))
    return st.lists(cut, min_size=1, max_size=8, unique_by=lambda c: c[0])


@settings(max_examples=15)
@given(
    entries=st.sampled_from([2, 5, 9]),
    faults=st.one_of(
        st.tuples(list_cuts(6.0), st.just([])),
        # Without the store's history an entry can only read the store itself.
        st.tuples(list_cuts(SHORT_CUT_S), st.lists(st.floats(0.0, 6.0), min_size=1, max_size=3)),
    ),
    removals=st.lists(st.floats(0.0, 6.0), min_size=6, max_size=12),
)
def test_record_removed_while_store_answers_is_never_used_again(entries, faults, removals):
    """Some entries are cut off for a time; after short cuts the history may be lost too."""
    cuts, losses = faults

    async def check():
        fleet = StoreFleet(entries=entries, halls=1, targets=len(removals))
        fleet.configure(1)
        await fleet.start(within_s=0.1)
        await fleet.wait_until_synchronized(1)
        await asyncio.sleep(2 * fleet.settings.direct_s)
        loop = asyncio.get_running_loop()
        for port, at, for_s in cuts:
            if port < entries:
                loop.call_later(at, fleet.cut_off_from_store, port, for_s)
        for at in losses:
            loop.call_later(at, fleet.store.forget_history)
        for i, at in enumerate(removals):
            loop.call_later(at, fleet.store.remove, f"targets/t{i:05}")
        ends = loop.time() + 14.0
        while loop.time() < ends:
            await asyncio.sleep(0.05)
            assert not any(entry.catalog.lapsed for entry in fleet.entries.values())
        assert not any(entry.catalog.list_usable("deck") for entry in fleet.entries.values())
        fleet.stop()

    virtualtime.run(check())
