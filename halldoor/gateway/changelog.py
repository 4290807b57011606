"""Logs the changes of the store that were applied to the catalog."""

from __future__ import annotations

import asyncio
import time
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
from halldoor.core.targets.era import find_era_problem
from halldoor.core.targets.provenance import Provenance
from halldoor.core.targets.route import Routing
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.eventlog import EventLog

MAX_LOGGED_WITHDRAWALS = 100
"""Draining or removed targets that are logged one by one after a full read; others are counted."""
FAULTS_LOGGED, FAULT_LENGTH = 10, 160
"""Greatest number of a configuration's faults that are listed in a line, and the greatest length of
each, in characters."""


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
        self._version = 0

    def log_full_read(
        self, changes: Sequence[Change], applied: Sequence[Change], provenance: Provenance
    ) -> None:
        """Log the changes of a full read that explain later routing: configurations, withdrawals.

        Targets that were added are not logged: all are new to an entry that starts.
        """
        for change in applied:
            if isinstance(change, RoutingSeen | RoutingRejected):
                self.log(change, provenance)
        for change in changes:
            self.log_ignored(change, provenance)
        self.log_withdrawals([c for c in applied if is_target_withdrawal(c)], provenance.revision)

    def _log_routing(self, change: RoutingSeen, provenance: Provenance) -> None:
        """Log and record how a configuration arrived that is in force now, and what it holds."""
        routing, before = change.routing, self._version
        self._version, self._catalog.provenance = routing.version, provenance
        took_s = provenance.took_s
        self._log.event(
            "routing",
            "In force.",
            version=routing.version,
            revision=provenance.revision,
            era=provenance.era,
            version_before=before,
            source=provenance.source,
            routes=len(routing.routes),
            services=len(routing.services),
            teams=len(routing.teams),
            faults=len(routing.faults),
            faulty=[fault[:FAULT_LENGTH] for fault in routing.faults[:FAULTS_LOGGED]],
            bytes=change.size_bytes,
            took_ms=None if took_s is None else round(took_s * 1000),
            unix_s=round(time.time(), 3),
        )

    def log_ignored(self, change: Change, provenance: Provenance) -> None:
        """Log a configuration that is not applied, since a later one is in force."""
        in_force = self._catalog.configuration_version
        if not isinstance(change, RoutingSeen) or change.routing.version >= in_force:
            return
        self._log.event(
            "routing",
            "Not applied: outdated.",
            version=change.routing.version,
            revision=provenance.revision,
            era=provenance.era,
            version_in_force=in_force,
            source=provenance.source,
        )

    def log_withdrawals(self, withdrawn: Sequence[Change], revision: int) -> None:
        """Log the targets that a read took out of use, up to `MAX_LOGGED_WITHDRAWALS` of them."""
        for change in withdrawn[:MAX_LOGGED_WITHDRAWALS]:
            self._log_change(change, revision)
        if len(withdrawn) > MAX_LOGGED_WITHDRAWALS:
            left = len(withdrawn) - MAX_LOGGED_WITHDRAWALS
            self._log.event("targets", "More drain or are gone.", count=left, revision=revision)

    def log_restore(self, before: StoreView, after: StoreView) -> None:
        """Log that the store was restored from a copy, and its eras and revisions."""
        self._log.event(
            "store",
            "Came back from a copy; read all again.",
            era_before=before.era,
            era=after.era,
            problem=find_era_problem(before.era, after.era),
            revision_before=before.revision,
            revision=after.revision,
        )

    def log(self, change: Change, provenance: Provenance) -> None:
        """Log a change that was applied, with its provenance if it is a configuration."""
        if isinstance(change, RoutingSeen):
            self._log_routing(change, provenance)
            return
        self._log_change(change, provenance.revision)
        if isinstance(change, RoutingRejected) and self._is_in_force(change.part):
            assert change.part is not None
            self._log_routing(RoutingSeen(change.part), provenance)

    def _is_in_force(self, part: Routing | None) -> bool:
        """Check whether a part of a rejected configuration is in force."""
        return part is not None and part is self._catalog.routing

    def _log_change(self, change: Change, revision: int) -> None:
        """Log a change of anything else, with the revision of the store that contains it."""
        event = self._log.event
        match change:
            case RoutingRejected(part):
                is_part = self._is_in_force(part)
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
