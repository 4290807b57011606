"""Caps of shifts, which limit the share of requests that move, not of hash space.

A stable hash of the client block chooses which clients move, so that caches stay warm.  Counts
limit how many requests move: every request of a service adds ``cap`` to the credit of each of its
shifts, and every move spends a credit of 1.  Credit starts at zero, so at each entry
moved <= cap * total since its start.  The sum over all entries then stays below the cap too,
without messages between them.
"""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.placement import hash_to_unit

CREDIT_LIMIT = 2.0
"""Largest credit that is kept, so that credit of quiet hours can't pay for a burst of moves."""


class ShiftCount(NamedTuple):
    """Requests of a service at one entry: all, those moved by a shift, those denied by its cap."""

    total: int
    moved: int
    denied: int


class ShiftMeter:
    """Counter of requests that enforces the cap of one shift at this entry.

    Parameters
    ----------
    cap : float
        Largest share of requests that may move, from 0 to 1.
    """

    def __init__(self, cap: float) -> None:
        self.cap = cap
        self.credit = 0.0
        self.count = ShiftCount(0, 0, 0)
        # Sum of the cap over all requests, with the cap at the time of each; for `is_within_cap`.
        self.allowed = 0.0

    def set_cap(self, cap: float) -> None:
        """Change the cap; credit earned under another cap is dropped."""
        if cap != self.cap:
            self.cap = cap
            self.credit = 0.0

    def add_request(self) -> None:
        """Count one request of the service, moved or not."""
        self.credit = min(CREDIT_LIMIT, self.credit + self.cap)
        self.allowed += self.cap
        self.count = self.count._replace(total=self.count.total + 1)

    def can_move(self) -> bool:
        """Check whether one more request may move."""
        # The small term absorbs rounding, as in 10 * 0.1; `is_within_cap` allows the same.
        return self.credit >= 1.0 - 1e-9

    def add_move(self) -> None:
        """Count a move and spend its credit, before the request is sent."""
        self.credit -= 1.0
        self.count = self.count._replace(moved=self.count.moved + 1)

    def add_denial(self) -> None:
        """Count a move that the cap forbade."""
        self.count = self.count._replace(denied=self.count.denied + 1)

    def is_within_cap(self) -> bool:
        """Check whether the moves at this entry have stayed within the cap."""
        return self.count.moved <= self.allowed + 1e-6


def is_chosen(shift: str, client_block: str, position: float) -> bool:
    """Check whether a shift at ``position`` (0 to 1) moves a client block.

    When the position grows, further blocks move and none moves back.
    """
    return hash_to_unit(f"{shift}\0{client_block}") < position
