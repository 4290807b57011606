"""Measurement of the round trip to other regions, before the first request needs it."""

from __future__ import annotations

import asyncio
import random

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.latency import LatencyModel
from halldoor.gateway.connection import ConnectionFailedError, HttpConnection
from halldoor.gateway.eventlog import EventLog

PROBES_PER_REGION = 3
"""Connections per region; the shortest time counts, since load at startup lengthens others."""
PROBE_INTERVAL_S = 0.3
"""Pause between rounds of probes, in seconds: three rounds finish before callers arrive."""
RECHECK_INTERVAL_S = 5.0
"""Interval of checks for new regions once all are measured, in seconds."""
CONNECT_S = 1.0
"""Connect timeout, in seconds; one lost packet costs about one second."""


class RoundTripProbe:
    """Task that times a few connections to entries of other regions.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Provides the other entries.
    latency : LatencyModel
        Receives the measured times.
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
        """Probe unmeasured regions until cancelled."""
        while True:
            missing = self._choose_unmeasured()
            await asyncio.gather(*(self._probe(member) for member in missing))
            await asyncio.sleep(
                PROBE_INTERVAL_S
                if missing
                else RECHECK_INTERVAL_S
                if self._counts
                else PROBE_INTERVAL_S
            )

    def _choose_unmeasured(self) -> list[MemberRecord]:
        """Return a random entry of each other region that needs more probes."""
        by_region: dict[str, list[MemberRecord]] = {}
        for member in self._catalog.members.values():
            is_wanted = member.region != self._own.region and member.relay is not None
            if is_wanted and self._counts.get(member.region, 0) < PROBES_PER_REGION:
                by_region.setdefault(member.region, []).append(member)
        return [random.choice(members) for members in by_region.values()]

    async def _probe(self, member: MemberRecord) -> None:
        """Open a connection to an entry, record its time and close it."""
        assert member.relay is not None
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            connection = await HttpConnection.open(
                member.relay, timeout_s=CONNECT_S, user_timeout_s=CONNECT_S
            )
        except ConnectionFailedError as exc:
            self._log.event(
                "travel", "The probe could not connect.", member=member.name, cause=str(exc)
            )
            return
        took_s = loop.time() - began_at
        connection.close()
        self._latency.add_connect(member.hall, took_s)
        count = self._counts[member.region] = self._counts.get(member.region, 0) + 1
        if count == PROBES_PER_REGION:
            self._log.event(
                "travel",
                "Measured.",
                region=member.region,
                round_trip_ms=round(self._latency.get_shortest_travel(member.hall) * 1000, 1),
            )
