"""Detection of the store's outages, by its answers to this entry and by other entries' reports."""

from __future__ import annotations

import pytest

from halldoor.core.targets.contact import ContactSpan, Outage, StoreContact

TICK_S = 0.1
LONG_AGO = -100.0


def make_contact(*answers):
    """Return a contact that recorded answers at some times, with the ticks of a running process."""
    contact, now = StoreContact(), 0.0
    for at in answers:
        while now + TICK_S < at:
            now += TICK_S
            contact.record_tick(now)
        now = at
        contact.record_answer(now)
    return contact


@pytest.mark.parametrize(
    ("answers", "outage"),
    [
        ((1.0, 2.0, 3.5, 4.5), None),
        ((1.0, 5.5), Outage(1.0, 5.5)),
        # The store was back too briefly for every target to write its record; then long enough.
        ((1.0, 3.5, 4.5, 7.0), Outage(1.0, 7.0)),
        ((1.0, 3.5, 4.5, 5.5, 8.0), Outage(5.5, 8.0)),
    ],
)
def test_long_times_without_answers_are_outages(answers, outage):
    assert make_contact(*answers).outage == outage


@pytest.mark.parametrize(
    ("span", "outage"),
    [
        # The other entry was in contact all the time: only this entry was cut off.
        (ContactSpan(LONG_AGO, 5.4), Outage(1.0, 1.0)),
        # The store answered the other entry earlier.
        (ContactSpan(5.1, 5.4), Outage(1.0, 5.1)),
        # The other entry lost contact as well, and had no answer since.
        (ContactSpan(LONG_AGO, 1.2), Outage(1.0, 5.5)),
        # The store answered the other entry later.
        (ContactSpan(5.6, 5.6), Outage(1.0, 5.5)),
    ],
)
def test_report_of_another_entry_moves_the_end_of_an_outage_back(span, outage):
    contact = make_contact(1.0, 5.5)
    contact.record_span(span, 5.6)
    assert contact.outage == outage


def test_report_covers_no_time_before_a_suspension():
    contact = make_contact(1.0, 2.0)
    contact.record_answer(7.0)
    assert contact.outage is None
    assert contact.get_report(7.5).since_s == 0.5


def test_changes_that_arrive_before_the_proof_of_contact_fall_into_the_outage():
    # The other entry's contact has just begun: its report proves less than the message's delay.
    contact = make_contact(1.0, 2.0)
    contact.record_applied_until(2.0)
    for tick in range(21, 81):
        contact.record_tick(tick * TICK_S)
    contact.record_span(ContactSpan(8.02, 8.01), 8.03)
    assert contact.find_outage(8.03) == Outage(2.0, 8.03)
    assert contact.find_outage(3.9).length_s == 0.0


def test_time_up_to_the_applied_changes_is_no_outage():
    contact = make_contact(1.0, 2.0)
    contact.record_applied_until(7.0)
    assert contact.find_outage(8.0).length_s == 0.0
