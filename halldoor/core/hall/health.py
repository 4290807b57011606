"""What an entry believes of the targets in its hall.

"Leaving" is believed from any source at once.  "Healthy" takes the agreement of
one's own contact: failures seen here eject a target for a while, and ejection is
bounded so that it never empties a set.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FAILURES_TO_EJECT = 3
EJECT_S = 2.0
EJECT_LIMIT_S = 30.0
LEAVING_MEMORY_S = 4.0
REPORT_MEMORY_S = 5.0
RAMP_S = 10.0
RAMP_FLOOR = 0.34
LATENCY_WEIGHT = 0.2


class TargetView(NamedTuple):
    """A target as the routing policy sees it.

    Attributes
    ----------
    in_flight : int
        Requests of this entry on it now.
    share : int
        Slots of it that this entry can count on.
    latency_s : float
        Moving average of its answers here; 0 where none was seen.
    ramp : float
        Share of its room to use while it is cold, from 0 to 1.
    reported : float
        Load that it reported last, from 0 to 1; it lags.
    """

    name: str
    in_flight: int
    share: int
    latency_s: float
    ramp: float
    reported: float


class _Contact:
    """What this entry itself saw of one target."""

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
    """Health of the targets of one hall."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def _get(self, target: str) -> _Contact:
        return self._contacts.setdefault(target, _Contact())

    def add_success(self, target: str, latency_s: float) -> None:
        """Count a whole answer and its time."""
        contact = self._get(target)
        contact.failures = 0
        contact.ejections = 0
        contact.ejected_until = 0.0
        old = contact.latency_s or latency_s
        contact.latency_s = old + LATENCY_WEIGHT * (latency_s - old)

    def add_failure(self, target: str, *, now: float) -> None:
        """Count a failure; several in a row eject the target, longer each time."""
        contact = self._get(target)
        contact.failures += 1
        if contact.failures >= FAILURES_TO_EJECT:
            contact.failures = 0
            pause_s = min(EJECT_LIMIT_S, EJECT_S * 2**contact.ejections)
            contact.ejections += 1
            contact.ejected_until = now + pause_s

    def add_shed(self, target: str, *, now: float) -> None:
        """Count a shed request: the target is full for a moment, not broken."""
        contact = self._get(target)
        contact.ejected_until = max(contact.ejected_until, now + 0.1)

    def add_report(
        self, target: str, *, now: float, is_healthy: bool, is_leaving: bool, load: float = 0.0
    ) -> None:
        """Take a probe's result, one's own or a peer's."""
        contact = self._get(target)
        contact.reported = load
        if is_leaving:
            contact.leaving_until = now + LEAVING_MEMORY_S
        contact.unhealthy_until = 0.0 if is_healthy else now + REPORT_MEMORY_S

    def mark_leaving(self, target: str, *, now: float) -> None:
        """Believe that a target leaves, whoever said so."""
        self._get(target).leaving_until = now + LEAVING_MEMORY_S

    def mark_cold(self, target: str, *, now: float) -> None:
        """Start the ramp of a target that is new or came back."""
        self._get(target).cold_since = now

    def is_leaving(self, target: str, now: float) -> bool:
        """Check whether a target takes no new work."""
        return self._get(target).leaving_until > now

    def has_room_to_try(self, target: str, now: float) -> bool:
        """Check whether neither probes nor failures speak against a target."""
        contact = self._get(target)
        return contact.ejected_until <= now and contact.unhealthy_until <= now

    def filter_usable(self, targets: Sequence[str], now: float) -> list[str]:
        """Keep the targets worth trying; leaving ones never are.

        Where most look broken the measurements are more likely wrong than the
        targets: then all that are not leaving stay in, so that ejection never
        takes more than half of a set.
        """
        staying = [t for t in targets if not self.is_leaving(t, now)]
        good = [t for t in staying if self.has_room_to_try(t, now)]
        return good if len(good) * 2 >= len(staying) else staying

    def get_ramp(self, target: str, now: float) -> float:
        """Return the share of room to use, rising while a target is cold."""
        since = self._get(target).cold_since
        if since is None or now - since >= RAMP_S:
            return 1.0
        return RAMP_FLOOR + (1.0 - RAMP_FLOOR) * (now - since) / RAMP_S

    def view(self, target: str, *, in_flight: int, share: int, now: float) -> TargetView:
        """Build what the policy sees."""
        contact = self._get(target)
        ramp = self.get_ramp(target, now)
        return TargetView(target, in_flight, share, contact.latency_s, ramp, contact.reported)
