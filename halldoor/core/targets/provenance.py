"""How the configuration in force came to an entry, for its log and metrics."""

from __future__ import annotations

from typing import NamedTuple

STORE_PAGES, STORE_WATCH = "store pages", "store watch"
"""Sources of what an entry reads from the store itself."""


class Provenance(NamedTuple):
    """Where changes of the store came from, and when they were applied here.

    Attributes
    ----------
    source : str
        What sent them: the store, a reader or a substitute by name.
    revision, era : int, str
        Revision up to which the answer contains every change, and the copy of the store.
    at : float
        When they were applied, on the loop's clock.
    took_s : float or None
        Time that the answer took to arrive, in seconds; None if it is not known.
    """

    source: str
    revision: int
    era: str
    at: float
    took_s: float | None = None
