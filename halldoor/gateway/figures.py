"""Collects the current figures of a gateway for its metrics page."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from halldoor.core.targets.catalog import Catalog
from halldoor.gateway.pages import GatewayFigures

if TYPE_CHECKING:
    from halldoor.gateway.process import Gateway


def collect_figures(gateway: Gateway, *, callers: int) -> GatewayFigures:
    """Collect the current figures of a gateway with a number of callers' connections."""
    now = asyncio.get_running_loop().time()
    catalog = gateway.catalog
    gauges = {
        "running": gateway.requests.running,
        "callers": callers,
        "members": len(catalog.members),
        "targets": len(catalog.list_targets()),
        "watches_store": int(gateway.feed.watches_store),
        "connections_opened": gateway.pool.opened,
        "connections_kept": gateway.pool.count_idle(),
        "configuration_version": catalog.configuration_version,
        **_describe_configuration(catalog, now),
        "store_age_seconds": now - catalog.store_contact_at,
        "store_era": gateway.sync.era_number,
        "unread_settings": len(gateway.settings.unread),
        "buffered_bytes_limit": gateway.buffers.limit_bytes,
        "buffered_bytes_peak": gateway.buffers.peak_bytes,
        **gateway.quarantine.get_figures(),
        **gateway.reach.probe.get_figures(now),
    }
    return GatewayFigures(
        gauges,
        gateway.chooser.list_excluded(now),
        gateway.weighing.list_weights(),
        gateway.buffers.by_kind,
    )


def _describe_configuration(catalog: Catalog, now: float) -> dict[str, float]:
    """Return the figures of the configuration in force: its size, faults, age and proof."""
    routing, provenance = catalog.routing, catalog.provenance
    proof_age_s = catalog.find_proof_age_s(now)
    return {
        "proven_age_seconds": math.inf if proof_age_s is None else proof_age_s,
        "is_behind": int(catalog.proof.is_behind),
        "configuration_age_seconds": 0.0 if provenance is None else now - provenance.at,
        "routes": 0 if routing is None else len(routing.routes),
        "configuration_faults": 0 if routing is None else len(routing.faults),
    }
