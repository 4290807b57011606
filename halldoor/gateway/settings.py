"""Settings of a gateway, and which of them a running process takes up."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.budget import RetrySettings
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.core.targets.choice import ChoiceSettings
from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.sync import BATCH_S

LIVE_SETTINGS = (
    "regions",
    "lookup_ttl_s",
    "grace_s",
    "batch_s",
    "timings",
    "choice",
    "retries",
)
"""Settings that a running process takes up; addresses and names need a restart."""


class GatewaySettings(NamedTuple):
    """Settings of a gateway.

    Attributes
    ----------
    front, ready, directory : Address
        Where it serves callers, readiness questions and look-ups.
    metrics : Address or None
        Where it serves its own figures.
    relay : Address or None
        Where it passes changes of the store on to other entries; None: it does not.
    regions : dict of str to str
        Region of each hall.
    lookup_ttl_s : float
        How long callers may keep a look-up's answer, in seconds.
    batch_s : float
        Pause between a change in the store and the next watch, in seconds.
    grace_s : float
        Time between the request to stop and the kill, in seconds.
    """

    name: str
    hall: str
    region: str
    front: Address
    ready: Address
    directory: Address
    regions: dict[str, str]
    metrics: Address | None = None
    relay: Address | None = None
    lookup_ttl_s: float = 1.0
    grace_s: float = 6.0
    batch_s: float = BATCH_S
    timings: CatalogTimings = CatalogTimings()
    choice: ChoiceSettings = ChoiceSettings()
    retries: RetrySettings = RetrySettings()
    relaying: RelaySettings = RelaySettings()

    def find_changes(self, other: GatewaySettings) -> list[str]:
        """Name the settings that differ in another set of them."""
        return [n for n in self._fields if getattr(self, n) != getattr(other, n)]
