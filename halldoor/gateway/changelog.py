"""Logs the changes of the store that were applied to the catalog."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    MemberRemoved,
    MemberSeen,
    RoutingRejected,
    RoutingSeen,
    TargetRemoved,
    TargetSeen,
    is_target_withdrawal,
)
from halldoor.gateway.eventlog import EventLog

MAX_LOGGED_WITHDRAWALS = 100
"""Draining or removed targets that are logged one by one after a full read; others are counted."""


class ChangeLog:
    """Log of the changes applied to a catalog.

    Parameters
    ----------
    catalog : Catalog
        Holds the state after the changes.
    """

    def __init__(self, catalog: Catalog, log: EventLog) -> None:
        self._catalog = catalog
        self._log = log

    def log_full_read(self, applied: Sequence[Change], revision: int) -> None:
        """Log the changes of a full read that explain later routing: configurations, withdrawals.

        Targets that were added are not logged: all are new to an entry that starts.
        """
        for change in applied:
            if isinstance(change, RoutingSeen | RoutingRejected):
                self.log(change, revision)
        self.log_withdrawals([c for c in applied if is_target_withdrawal(c)], revision)

    def log_withdrawals(self, withdrawn: Sequence[Change], revision: int) -> None:
        """Log the targets that a read took out of use, up to `MAX_LOGGED_WITHDRAWALS` of them."""
        for change in withdrawn[:MAX_LOGGED_WITHDRAWALS]:
            self.log(change, revision)
        if len(withdrawn) > MAX_LOGGED_WITHDRAWALS:
            left = len(withdrawn) - MAX_LOGGED_WITHDRAWALS
            self._log.event("targets", "More drain or are gone.", count=left, revision=revision)

    def log(self, change: Change, revision: int) -> None:
        """Log a change that was applied, with the revision of the store that contains it."""
        event = self._log.event
        match change:
            case RoutingSeen(routing):
                event("routing", "In force.", version=routing.version, revision=revision)
            case RoutingRejected(part):
                is_part = part is not None and part is self._catalog.routing
                version = self._catalog.configuration_version
                text = "The last one is rejected."
                if self._catalog.routing is None:
                    text = "Not ready: no configuration can be read."
                event("routing", text, in_force=version, is_part=is_part, revision=revision)
            case TargetSeen(record):
                text = "Draining." if record.is_draining else "Seen."
                event(
                    "targets",
                    text,
                    target=record.incarnation,
                    service=record.service,
                    hall=record.hall,
                    slots=record.slots,
                    cold_left_s=record.cold_left_s,
                    revision=revision,
                )
            case TargetRemoved(incarnation):
                is_lapsed = incarnation in self._catalog.lapsed
                event(
                    "targets",
                    "Record lapsed; used last." if is_lapsed else "Gone.",
                    target=incarnation,
                    store_away_ms=self.outage_ms,
                    revision=revision,
                )
            case EvacuationSet(hall, is_evacuated):
                text = "Hall evacuated." if is_evacuated else "Evacuation ended."
                event("targets", text, hall=hall, revision=revision)
            case MemberSeen(member):
                event("membership", "Entry seen.", member=member.name, revision=revision)
            case MemberRemoved(name):
                event("membership", "Entry gone.", member=name, revision=revision)

    @property
    def outage_ms(self) -> int:
        """Length of the store's outage as this entry knows it, in milliseconds; 0 without one."""
        now = asyncio.get_running_loop().time()
        return round(self._catalog.contact.find_outage(now).length_s * 1000)
