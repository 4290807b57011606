"""Applies changed settings to a running gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from halldoor.gateway.settings import LIVE_SETTINGS, GatewaySettings

if TYPE_CHECKING:
    from halldoor.gateway.process import Gateway


def apply_settings(gateway: Gateway, settings: GatewaySettings) -> None:
    """Apply the settings that need no restart, and log which of the changed ones do."""
    changed = gateway.settings.find_changes(settings)
    live = {n: getattr(settings, n) for n in changed if n in LIVE_SETTINGS}
    gateway.settings = gateway.settings._replace(**live)
    gateway.catalog.timings = gateway.settings.timings
    gateway.chooser.orders.regions = gateway.settings.regions
    gateway.chooser.settings = gateway.settings.choice
    gateway.retries.apply_settings(gateway.settings.retries)
    gateway.access.settings = gateway.settings.access
    gateway.quarantine.apply_settings(gateway.settings.quarantine)
    gateway.feed.batch_s = gateway.settings.batch_s
    gateway.feed.settings = gateway.settings.relaying
    at_restart = [n for n in changed if n not in LIVE_SETTINGS]
    gateway.log.event("process", "Reloaded.", changed=sorted(live), at_next_start=at_restart)
