"""Lists the tasks of a gateway, with how each is reset when it failed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from halldoor.gateway.tasks import GIVE_UP_S, Part

if TYPE_CHECKING:
    from halldoor.gateway.process import Gateway

MAINTENANCE_RESTART_LIMIT_S = 0.5
"""Longest pause before the housekeeping is restarted, in seconds: without its ticks the process
counts as suspended."""


def list_parts(gateway: Gateway) -> list[Part]:
    """Return the tasks that run until the process stops, without the registration."""
    sync, maintenance, stalls = gateway.sync, gateway.maintenance, gateway.stalls
    weighing, quotas, notices = gateway.weighing, gateway.quotas, gateway.store_notices
    return [
        Part("sync", sync.run, sync.reset, is_hopeless=lambda: _is_outdated(gateway)),
        Part("maintenance", maintenance.run, limit_s=MAINTENANCE_RESTART_LIMIT_S),
        Part("stalls", stalls.run, stalls.reset),
        Part("weighing", weighing.run, weighing.reset),
        Part("reach", gateway.reach.probe.run),
        Part("crash review", gateway.reach.review.run),
        Part("travel", gateway.travel.run),
        Part("quotas", quotas.run, quotas.reset),
        *gateway.exchanges.list_parts(),
        Part("store notices", notices.run, notices.reset),
        Part("confirmer", gateway.confirmer.run, gateway.confirmer.reset),
        Part("quarantine", gateway.quarantine.run, gateway.quarantine.reset),
        Part("datagrams", gateway.port.run),
    ]


def build_registration(gateway: Gateway) -> Part:
    """Return the task that registers a gateway, which ends before the others."""
    return Part("registration", gateway.registration.run, gateway.registration.reset)


def _is_outdated(gateway: Gateway) -> bool:
    """Check whether a gateway lacks changes that other entries apply, and makes no progress.

    Where no entry can read the store's changes, all serve from what they know.
    """
    sync = gateway.sync
    is_stuck = asyncio.get_running_loop().time() - sync.updated_at >= GIVE_UP_S
    return is_stuck and sync.is_loaded.is_set() and gateway.store_notices.is_behind
