"""What one attempt in one hall led to."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.errors import Refusal
from halldoor.core.explaining.decision import PassedOver


class HallRefusal(NamedTuple):
    """A hall gave no answer.

    Attributes
    ----------
    refusal : Refusal
        Why, and whether the request may have run.
    passed_over : list of PassedOver
        The hall's candidates.
    target : str
        Target that was tried last, or empty.
    attempts : int
        Sends to targets.
    """

    refusal: Refusal
    passed_over: list[PassedOver]
    target: str = ""
    attempts: int = 0
