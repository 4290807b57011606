"""Health of the targets in the entry's hall, as seen by this entry.

That a target is leaving is accepted from any source at once.  That it is healthy must agree with
this entry's own requests: failures of these eject a target for a while.  Ejection is bounded so
that it never removes all targets of a set.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject a target."""
EJECT_S = 2.0
"""Length of a target's first ejection, in seconds; each further one takes twice as long."""
EJECT_LIMIT_S = 30.0
"""Longest ejection, in seconds."""
MAX_DOUBLINGS = 16
"""Most times that the length of an ejection doubles."""
LEAVING_MEMORY_S = 4.0
"""Time for which a report that a target is leaving counts, in seconds."""
REPORT_MEMORY_S = 5.0
"""Time for which a report that a target is unhealthy counts, in seconds."""
RAMP_S = 10.0
"""Time for which a target counts as cold, in seconds."""
RAMP_FLOOR = 0.34
"""Share of a target's slots that is used when its ramp-up starts."""
LATENCY_WEIGHT = 0.2
"""Weight of a new answer in the moving average of latencies."""


class TargetView(NamedTuple):
    """The state of a target that routing policies compare.

    Attributes
    ----------
    in_flight : int
        Requests of this entry that the target is running now.
    share : int
        Slots of the target that this entry is home to.
    latency_s : float
        Moving average of the time of its answers to this entry, in seconds; 0 before the first.
    ramp : float
        Share of its slots to use, from 0 to 1; below 1 while it is cold.
    reported : float
        Load that it reported last, from 0 to 1; it lags behind the true load.
    """

    name: str
    in_flight: int
    share: int
    latency_s: float
    ramp: float
    reported: float


class _TargetHealth:
    """Health of one target: outcomes of this entry's requests, and reports."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.latency_s = 0.0
        self.leaving_until = 0.0
        self.unhealthy_until = 0.0
        self.cold_since: float | None = None
        self.reported = 0.0


class HealthTable:
    """Health of the targets of one hall, by name."""

    def __init__(self) -> None:
        self._by_target: dict[str, _TargetHealth] = {}

    def _get_or_add(self, target: str) -> _TargetHealth:
        return self._by_target.setdefault(target, _TargetHealth())

    def add_success(self, target: str, latency_s: float) -> None:
        """Record a complete answer and its latency; it ends an ejection."""
        health = self._get_or_add(target)
        health.failures = 0
        health.ejections = 0
        health.ejected_until = 0.0
        old = health.latency_s or latency_s
        health.latency_s = old + LATENCY_WEIGHT * (latency_s - old)

    def add_failure(self, target: str, *, now: float) -> None:
        """Record a failure; `FAILURES_TO_EJECT` consecutive ones eject it, longer each time."""
        health = self._get_or_add(target)
        health.failures += 1
        if health.failures >= FAILURES_TO_EJECT:
            health.failures = 0
            eject_s = min(EJECT_LIMIT_S, EJECT_S * 2**health.ejections)
            health.ejections = min(health.ejections + 1, MAX_DOUBLINGS)
            health.ejected_until = now + eject_s

    def add_shed(self, target: str, *, now: float) -> None:
        """Record that the target shed a request: eject it briefly, as it is full but not broken."""
        health = self._get_or_add(target)
        health.ejected_until = max(health.ejected_until, now + 0.1)

    def add_report(
        self, target: str, *, now: float, is_healthy: bool, is_leaving: bool, load: float = 0.0
    ) -> None:
        """Record the result of a probe by this entry or a peer."""
        health = self._get_or_add(target)
        health.reported = load
        if is_leaving:
            health.leaving_until = now + LEAVING_MEMORY_S
        health.unhealthy_until = 0.0 if is_healthy else now + REPORT_MEMORY_S

    def mark_leaving(self, target: str, *, now: float) -> None:
        """Record that a target is leaving, from any source."""
        self._get_or_add(target).leaving_until = now + LEAVING_MEMORY_S

    def mark_cold(self, target: str, *, now: float) -> None:
        """Start the ramp-up of a target that is new or has restarted."""
        self._get_or_add(target).cold_since = now

    def is_leaving(self, target: str, now: float) -> bool:
        """Check whether a target is leaving and must get no new requests."""
        return self._get_or_add(target).leaving_until > now

    def is_healthy(self, target: str, now: float) -> bool:
        """Check whether a target is neither ejected nor reported as unhealthy."""
        health = self._get_or_add(target)
        return health.ejected_until <= now and health.unhealthy_until <= now

    def select_usable(self, targets: Sequence[str], now: float) -> list[str]:
        """Return the healthy targets that are not leaving.

        If most targets look broken, the measurements are more likely wrong than the targets: then
        all that are not leaving are returned, so that ejection never removes more than half of a
        set.
        """
        staying = [t for t in targets if not self.is_leaving(t, now)]
        healthy = [t for t in staying if self.is_healthy(t, now)]
        return healthy if len(healthy) * 2 >= len(staying) else staying

    def get_ramp(self, target: str, now: float) -> float:
        """Return the share of a target's slots to use, which rises to 1 while it is cold."""
        since = self._get_or_add(target).cold_since
        if since is None or now - since >= RAMP_S:
            return 1.0
        return RAMP_FLOOR + (1.0 - RAMP_FLOOR) * (now - since) / RAMP_S

    def view(self, target: str, *, in_flight: int, share: int, now: float) -> TargetView:
        """Build the view of a target for the routing policy."""
        health = self._get_or_add(target)
        ramp = self.get_ramp(target, now)
        return TargetView(target, in_flight, share, health.latency_s, ramp, health.reported)
