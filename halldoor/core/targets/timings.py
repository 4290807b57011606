"""How long beliefs about targets and entries last."""

from __future__ import annotations

from typing import NamedTuple


class CatalogTimings(NamedTuple):
    """How long beliefs last.

    Attributes
    ----------
    settle_s : float
        After the store was away, time for records that lapsed meanwhile to come back.
    lapse_s : float
        Shortest absence of the store in which a target's record lapses: the lifetime of a record
        less the time between two writes.
    young_s : float
        Time after the start in which other entries may not have registered yet.
    """

    settle_s: float = 2.0
    lapse_s: float = 3.0
    young_s: float = 6.0
