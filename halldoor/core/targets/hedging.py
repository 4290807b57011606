"""Time after which a request that is still running is sent to a second target.

Load pattern: a few requests in a hundred take many times as long as the others of their kind, and
which ones is not known beforehand.  Alone, such a request is late or runs into its route's timeout.
The delay follows from observed times, so that the share of requests that are sent twice stays the
same, however long the work of a kind takes and however much it varies.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

RATIOS_KEPT = 200
"""Latest answers of a kind from which its delay is computed."""
LEAST_RATIOS = 40
"""Answers of a kind before its first hedge: of fewer, hardly any is slow."""
QUANTILE_EVERY = 8
"""Answers between two computations of a quantile."""


class HedgeSettings(NamedTuple):
    """Settings of hedged requests.

    Attributes
    ----------
    is_on : bool
        Whether requests of routes with `Route.is_hedged` are hedged.
    quantile : float
        Part of the requests of a kind that end before they are hedged.
    least_factor, most_factor : float
        Least and greatest delay, in multiples of the expected time.
    """

    is_on: bool = True
    quantile: float = 0.95
    least_factor: float = 1.5
    most_factor: float = 4.0


class _Ratios:
    """Actual times of the latest answers of a kind, in multiples of the expected ones."""

    def __init__(self) -> None:
        self._values: deque[float] = deque(maxlen=RATIOS_KEPT)
        self._added = 0
        self._quantile: float | None = None

    def add(self, ratio: float) -> None:
        """Add the ratio of an answer."""
        self._values.append(ratio)
        self._added += 1
        if self._added % QUANTILE_EVERY == 0:
            self._quantile = None

    def find_quantile(self, quantile: float) -> float | None:
        """Return a quantile of the ratios; None if there are too few."""
        if len(self._values) < LEAST_RATIOS:
            return None
        if self._quantile is None:
            self._quantile = sorted(self._values)[int(quantile * len(self._values))]
        return self._quantile


class HedgeDelays:
    """Delays of hedged requests by kind.

    Parameters
    ----------
    settings : HedgeSettings
        Bounds of the delay.
    """

    def __init__(self, settings: HedgeSettings) -> None:
        self.settings = settings
        self._ratios: dict[str, _Ratios] = {}

    def add_time(self, kind: str, *, took_s: float, expected_s: float) -> None:
        """Record how long an attempt ran until its answer, or until it was superseded.

        Parameters
        ----------
        kind : str
            Kind of request; those of one kind deviate alike from their expected time.
        took_s, expected_s : float
            Actual and expected time, in seconds.
        """
        if expected_s > 0:
            self._ratios.setdefault(kind, _Ratios()).add(took_s / expected_s)

    def find_delay(self, kind: str, *, expected_s: float) -> float | None:
        """Return the time after which an attempt is hedged, in seconds; None: it is not hedged.

        Parameters
        ----------
        expected_s : float
            Expected time of the attempt, in seconds.
        """
        if not self.settings.is_on or expected_s <= 0:
            return None
        ratios = self._ratios.get(kind)
        factor = None if ratios is None else ratios.find_quantile(self.settings.quantile)
        if factor is None:
            return None
        bounded = min(self.settings.most_factor, max(self.settings.least_factor, factor))
        return bounded * expected_s
