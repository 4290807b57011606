"""Shift caps that hold for requests, not for hash space.

Who moves is chosen by a stable hash of the client block, so that caches stay
warm; how many is enforced by counts: every request of a service earns each of
its shifts ``cap`` of a credit and every move spends a whole one.  Credit starts
at zero, so at each entry moved <= cap * total since its start, and what holds
at each entry holds for the sum, without messages.
"""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.placement import to_unit

CREDIT_LIMIT = 2.0
"""Credit kept at most, so that quiet hours can't pay for a burst of moves."""


class ShiftCount(NamedTuple):
    """Requests counted for one shift at one entry."""

    total: int
    moved: int
    denied: int


class ShiftMeter:
    """Count the requests of one shift against its cap.

    Parameters
    ----------
    cap : float
        Greatest share of requests that may move, from 0 to 1.
    """

    def __init__(self, cap: float) -> None:
        self.cap = cap
        self.credit = 0.0
        self.count = ShiftCount(0, 0, 0)
        # The largest value that cap * total took over every cap in force, for the assertion.
        self.allowed = 0.0

    def set_cap(self, cap: float) -> None:
        """Change the cap; credit earned under the old one is dropped."""
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
        """Spend the credit of one move; counted before the request is sent."""
        self.credit -= 1.0
        self.count = self.count._replace(moved=self.count.moved + 1)

    def add_denial(self) -> None:
        """Count a move that the cap forbade."""
        self.count = self.count._replace(denied=self.count.denied + 1)

    def is_within_cap(self) -> bool:
        """Check whether the promise holds at this entry."""
        return self.count.moved <= self.allowed + 1e-6


def is_chosen(shift: str, client_block: str, position: float) -> bool:
    """Check whether a shift at ``position`` (0 to 1) would move this client block.

    The set of blocks only grows as the position grows.
    """
    return to_unit(f"{shift}\0{client_block}") < position
