"""Reports the settings of a gateway that starts, and applies changed ones to a running gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from halldoor.core.fields import describe_fields
from halldoor.gateway import clock
from halldoor.gateway.ports import FRONT, RELAY
from halldoor.gateway.settings import LIVE_SETTINGS, GatewaySettings

if TYPE_CHECKING:
    from halldoor.gateway.process import Gateway

PORTS = (FRONT, "ready", "directory", "metrics", RELAY)
"""Names of the ports in the settings."""
UNREAD_AT_RELOAD = "Some settings can't be read; their previous values stay in force."


def report_start(gateway: Gateway) -> None:
    """Log the start, and what of the settings and the system it had to do without."""
    member = gateway.member
    gateway.log.event("process", "Started.", hall=member.hall, front=str(member.front))
    _report_unread(gateway, "Some settings can't be read; defaults are used.")
    if not clock.counts_suspensions():
        gateway.log.event("process", "This system's clock does not count suspensions.")


def apply_settings(gateway: Gateway, settings: GatewaySettings) -> None:
    """Apply the settings that need no restart, and log which of the changed ones do."""
    changed = gateway.settings.find_changes(settings)
    moved = _move_ports(gateway, settings)
    live = {n: getattr(settings, n) for n in changed if n in LIVE_SETTINGS or n in moved}
    gateway.settings = gateway.settings._replace(**live)
    gateway.catalog.timings = gateway.settings.timings
    gateway.chooser.orders.regions = gateway.settings.regions
    gateway.chooser.settings = gateway.settings.choice
    gateway.retries.apply_settings(gateway.settings.retries)
    gateway.access.settings = gateway.settings.access
    gateway.quarantine.apply_settings(gateway.settings.quarantine)
    gateway.buffers.limit_bytes = gateway.settings.memory.find_limit_bytes()
    gateway.feed.batch_s = gateway.settings.batch_s
    gateway.feed.settings = gateway.settings.relaying
    at_restart = [n for n in changed if n not in live and n != "unread"]
    gateway.settings = gateway.settings._replace(unread=settings.unread)
    if live or gateway.reloads.is_due((at_restart, settings.unread)):
        gateway.log.event("process", "Reloaded.", changed=sorted(live), at_next_start=at_restart)
        _report_unread(gateway, UNREAD_AT_RELOAD)


def _move_ports(gateway: Gateway, settings: GatewaySettings) -> set[str]:
    """Move the ports that are awaited to the addresses in changed settings; return their names."""
    moved = set()
    for name in PORTS:
        before, address = getattr(gateway.settings, name), getattr(settings, name)
        is_other = address is not None and address != before
        if is_other and gateway.ports.is_waiting(name):
            gateway.ports.move(name, address)
            moved.add(name)
    own = {name: getattr(settings, name) for name in moved & {FRONT, RELAY}}
    if own:
        gateway.member = gateway.member._replace(**own)
        gateway.registration.set_member(gateway.member)
    if RELAY in moved:
        gateway.registration.set_reachable(False)
        gateway.reach.forwarder.pool.local_ip = own[RELAY].ip
    return moved


def _report_unread(gateway: Gateway, text: str) -> None:
    """Log the settings that can't be read, if there are any."""
    if unread := gateway.settings.unread:
        gateway.log.event("process", text, settings=describe_fields(unread))
