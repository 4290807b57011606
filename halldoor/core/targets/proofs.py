"""Slots of an entry's watches, and the times up to which an answer includes every change."""

from __future__ import annotations


def find_watch_slot_wait(now: float, *, period_s: float, phase: float) -> float:
    """Return the time until an entry's next watch slot, in seconds.

    A change completes the watches of all entries at once.  With equal pauses they would all be
    without a watch at the same time, and none of them could notify the others of the next change.

    Parameters
    ----------
    period_s : float
        Time between two slots, in seconds.
    phase : float
        Offset of this entry's slots within the period, from 0 to 1.
    """
    if period_s <= 0:
        return 0.0
    return period_s - (now - phase * period_s) % period_s


def compute_watch_proof(
    *, sent_at: float, wait_s: float, returned_at: float, has_changes: bool
) -> float:
    """Return the time up to which a watch's answer includes every change.

    A watch without changes waited its whole time at the store first.  Of a watch with changes it is
    only known that the store answered after it was sent.
    """
    waited = sent_at + wait_s
    return sent_at if has_changes or returned_at < waited else waited


def compute_poll_proof(*, sent_at: float, held_s: float, age_s: float) -> float:
    """Return the time up to which a reader's answer to a poll includes every change.

    Parameters
    ----------
    held_s : float
        Time for which the reader held the poll before it answered, in seconds.
    age_s : float
        Age of the reader's own proof when it answered, in seconds.
    """
    return sent_at + held_s - age_s
