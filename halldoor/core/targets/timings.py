"""Times for which records are kept after an outage, or are incomplete after a start."""

from __future__ import annotations

from typing import NamedTuple


class CatalogTimings(NamedTuple):
    """Times for which records are kept after an outage, or are incomplete after a start.

    Attributes
    ----------
    settle_s : float
        Time after an outage of the store, in seconds, in which records that expired during it may
        be written again.
    lapse_s : float
        Shortest outage of the store, in seconds, in which a target's record can expire: the
        lifetime of a record less the time between two writes.
    young_s : float
        Time after the start, in seconds, in which other entries may not have registered yet.
    """

    settle_s: float = 2.0
    lapse_s: float = 3.0
    young_s: float = 6.0
