"""Measure how far other regions are, before the first request has to know."""

from __future__ import annotations

import asyncio
import random

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.latency import LatencyModel
from halldoor.gateway.connection import ConnectionFailedError, HttpConnection
from halldoor.gateway.eventlog import EventLog

PROBES = 3
"""Connections by which a region is measured; the shortest counts, since a busy start adds to it."""
PAUSE_S = 0.3
"""Pause between two rounds of probes, in seconds: three of them end before callers come."""
CHECK_S = 5.0
"""Pause once every region known is measured, in seconds; a new one may appear."""
CONNECT_S = 1.0
"""Longest wait for a connection, in seconds: a lost packet costs about one."""


class TravelProbe:
    """The task that opens a few connections to entries of other regions and times them.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
    latency : LatencyModel
        Where the times go.
    """

    def __init__(
        self, own: MemberRecord, catalog: Catalog, latency: LatencyModel, *, log: EventLog
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._latency = latency
        self._log = log
        self._counts: dict[str, int] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            missing = self._list_missing()
            await asyncio.gather(*(self._probe(member) for member in missing))
            await asyncio.sleep(PAUSE_S if missing else CHECK_S if self._counts else PAUSE_S)

    def _list_missing(self) -> list[MemberRecord]:
        """List an entry of each other region that needs more probes."""
        by_region: dict[str, list[MemberRecord]] = {}
        for member in self._catalog.members.values():
            is_wanted = member.region != self._own.region and member.relay is not None
            if is_wanted and self._counts.get(member.region, 0) < PROBES:
                by_region.setdefault(member.region, []).append(member)
        return [random.choice(members) for members in by_region.values()]

    async def _probe(self, member: MemberRecord) -> None:
        """Time one connection."""
        assert member.relay is not None
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            connection = await HttpConnection.open(
                member.relay, timeout_s=CONNECT_S, user_timeout_s=CONNECT_S
            )
        except ConnectionFailedError as exc:
            self._log.event("travel", "No probe.", member=member.name, cause=str(exc))
            return
        took_s = loop.time() - began_at
        connection.close()
        self._latency.add_connect(member.hall, took_s)
        count = self._counts[member.region] = self._counts.get(member.region, 0) + 1
        if count == PROBES:
            self._log.event(
                "travel",
                "Measured.",
                region=member.region,
                round_trip_ms=round(self._latency.get_shortest_travel(member.hall) * 1000, 1),
            )
