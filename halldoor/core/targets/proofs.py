"""Slots of an entry's watches, and the times up to which an answer includes every change."""

from __future__ import annotations

import math
from typing import NamedTuple

from halldoor.core.targets.withdrawal import StoreView


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


class _Sighting(NamedTuple):
    """A view of the store that another source has, and when it was seen.

    Attributes
    ----------
    seen_at : float
        Moment, in seconds of the steady clock, from which a state that includes every change
        includes the view.
    """

    view: StoreView
    seen_at: float


class StateProof:
    """The moment up to which an entry's state of the store is known to include every change.

    A renewed lease or any other answer of the store proves nothing about the state: a watch may be
    stuck, or its answer may still be on its way, while small calls succeed.

    Attributes
    ----------
    proven_at : float
        Moment up to which every change is included, in seconds of the steady clock.
    """

    def __init__(self) -> None:
        self.proven_at = -math.inf
        self._view = StoreView("", -1)
        self._asked: _Sighting | None = None
        self._announced: _Sighting | None = None

    def record_update(self, view: StoreView, proven_at: float) -> None:
        """Record an update that was applied, and the moment up to which it includes every change.

        Parameters
        ----------
        view : StoreView
            Era and revision of the entry's state with the update.
        """
        if view.era != self._view.era:
            self.proven_at = -math.inf
        self._view = view
        self._extend(proven_at)
        if self._asked is not None and view.has_reached(self._asked.view):
            self._extend(self._asked.seen_at)
            self._asked = None

    @property
    def view(self) -> StoreView:
        """Era and revision of the state."""
        return self._view

    def record_revision(
        self, view: StoreView, sent_at: float, *, known: StoreView | None = None
    ) -> bool:
        """Record the store's revision, as the answer to a call names it.

        Once the state has reached it, it includes every change up to the call.  Return whether it
        has.  A lower revision proves nothing: the store may have been restored from a copy.

        Parameters
        ----------
        sent_at : float
            When the call was sent, in seconds of the steady clock.
        known : StoreView, optional
            The own view when the call was sent; the present one by default.
        """
        if not self._view.has_reached(view):
            self._asked = _Sighting(view, sent_at)
            return False
        if view.has_reached(known or self._view):
            self._asked = None
            self._extend(sent_at)
        return True

    def _extend(self, proven_at: float) -> None:
        """Move the proof to a later moment."""
        self.proven_at = max(self.proven_at, proven_at)

    def record_announcement(self, view: StoreView, now: float) -> None:
        """Record another entry's notice that the store holds another configuration."""
        if self._announced is None or not self._announced.view.has_reached(view):
            self._announced = _Sighting(view, now)

    def withdraw(self) -> None:
        """Withdraw the proof: the store was restored from a copy, and has to be read again."""
        self.proven_at = -math.inf
        self._asked = None

    @property
    def is_behind(self) -> bool:
        """Whether another entry's notice names changes that this state lacks.

        A state that is proven to be complete later than the notice refutes it.
        """
        if self._announced is None or self.proven_at >= self._announced.seen_at:
            return False
        return self._view.is_behind(self._announced.view)
