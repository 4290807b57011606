"""Detection of the store's outages, by its answers to this entry and by other entries' reports."""

from __future__ import annotations

import pytest

from halldoor.core.targets.contact import Absence, ContactSpan, StoreContact

TICK_S = 0.1
LONG_AGO = -100.0


def make_contact(*answers):
    """Return a contact that recorded answers at some times, with the ticks of a running process."""
    contact, now = StoreContact(), 0.0
    for at in answers:
        while now + TICK_S < at:
            now += TICK_S
            contact.tick(now)
        now = at
        contact.note_answer(now)
    return contact


@pytest.mark.parametrize(
    ("answers", "absence"),
    [
        ((1.0, 2.0, 3.5, 4.5), None),
        ((1.0, 5.5), Absence(1.0, 5.5)),
        # The store was back too briefly for every target to write its record; then long enough.
        ((1.0, 3.5, 4.5, 7.0), Absence(1.0, 7.0)),
        ((1.0, 3.5, 4.5, 5.5, 8.0), Absence(5.5, 8.0)),
    ],
)
def test_times_without_answers_are_absences(answers, absence):
    assert make_contact(*answers).absence == absence


@pytest.mark.parametrize(
    ("span", "absence"),
    [
        # The other entry was in contact all the time: only this entry was cut off.
        (ContactSpan(LONG_AGO, 5.4), Absence(1.0, 1.0)),
        # The store answered the other entry earlier.
        (ContactSpan(5.1, 5.4), Absence(1.0, 5.1)),
        # The other entry lost contact as well, and had no answer since.
        (ContactSpan(LONG_AGO, 1.2), Absence(1.0, 5.5)),
        # The store answered the other entry later.
        (ContactSpan(5.6, 5.6), Absence(1.0, 5.5)),
    ],
)
def test_what_another_entry_heard_moves_the_end_of_an_absence(span, absence):
    contact = make_contact(1.0, 5.5)
    contact.note_span(span, 5.6)
    assert contact.absence == absence


def test_a_report_claims_nothing_of_before_the_process_stood_still():
    contact = make_contact(1.0, 2.0)
    contact.note_answer(7.0)
    assert contact.absence is None
    assert contact.get_report(7.5).since_s == 0.5


def test_changes_that_come_before_the_proof_of_contact_are_taken_for_meant():
    # The other entry's contact has just begun: its report proves less than the message's delay.
    contact = make_contact(1.0, 2.0)
    contact.note_known(2.0)
    for tick in range(21, 81):
        contact.tick(tick * TICK_S)
    contact.note_span(ContactSpan(8.02, 8.01), 8.03)
    assert contact.find_absence(8.03) == Absence(2.0, 8.03)
    assert contact.find_absence(3.9).length_s == 0.0


def test_what_was_proven_to_be_known_is_no_silence():
    contact = make_contact(1.0, 2.0)
    contact.note_known(7.0)
    assert contact.find_absence(8.0).length_s == 0.0
