"""Targets that get no requests, or fewer than their share, for operators."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.rests import BackoffTable
from halldoor.core.targets.target import Target
from halldoor.core.targets.unproven import UnprovenTargets


class ExcludedTarget(NamedTuple):
    """A target that gets no requests, or fewer than its share, and the reason."""

    target: str
    service: str
    reason: str


class Exclusions:
    """Finds why targets get no requests, or fewer than their share.

    Parameters
    ----------
    catalog, outliers, backoffs, unproven
        What is known of the targets.
    """

    def __init__(
        self,
        catalog: Catalog,
        outliers: OutlierTable,
        backoffs: BackoffTable,
        unproven: UnprovenTargets,
    ) -> None:
        self._catalog = catalog
        self._outliers = outliers
        self._backoffs = backoffs
        self._unproven = unproven

    def list_targets(self, now: float) -> list[ExcludedTarget]:
        """List the targets that get no requests, or fewer than their share."""
        found = []
        for target in self._catalog.list_targets():
            reason = self._find_reason(target, now)
            if reason:
                found.append(ExcludedTarget(target.name, target.record.service, reason))
        return found

    def _find_reason(self, target: Target, now: float) -> str:
        """Return why a target gets less than its share of requests; empty if it gets its share."""
        if target.is_draining:
            return "draining"
        if target.record.hall in self._catalog.evacuated:
            return "hall evacuated"
        if target.name in self._catalog.lapsed:
            return "record lapsed"
        if self._unproven.has_failed(target):
            return "never answered"
        if self._outliers.is_ejected(target.name, now):
            return "ejected"
        if self._backoffs.find_wait(target.start, now) > 0:
            return "asked for rest"
        return "cold" if target.is_cold(now) else ""
