"""The refusal of a request by one hall."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.errors import Refusal
from halldoor.core.explaining.decision import PassedOver


class HallRefusal(NamedTuple):
    """A hall did not answer a request.

    Attributes
    ----------
    refusal : Refusal
        The reason, and whether the request may have run.
    passed_over : list of PassedOver
        The hall's targets that were not used, and why.
    target : str
        Target that was tried last; empty if none was.
    attempts : int
        Number of sends to targets.
    """

    refusal: Refusal
    passed_over: list[PassedOver]
    target: str = ""
    attempts: int = 0
