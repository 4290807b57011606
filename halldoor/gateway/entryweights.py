"""Weighs the entries in look-up answers, and shares this entry's load with others of its hall."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.entryweights import (
    EntryLoad,
    WeightSettings,
    WeightTable,
    compute_base_weights,
)
from halldoor.core.targets.observation import SharingSettings, choose_peers
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.lookup import MAX_ENTRIES, Candidates
from halldoor.gateway.stalls import StallMeter

PERIOD_S = 1.0
"""Time between two messages with the own load, in seconds: callers look up about as often."""
SUSPENDED_S = 3.0
"""Time between two measurements from which the process counts as suspended, in seconds."""
LOW_SHARE = 0.5
"""Part of the weight by capacity below which an own weight is logged."""


class EntryWeighing:
    """Task that shares this entry's load; weighs entries where the configuration has downloads.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Holds the configuration and the other entries.
    port : DatagramPort
        The socket for messages of other entries.
    stalls : StallMeter
        Measures the time in which this process did not run.
    count_running : callable
        Returns the number of requests in progress.
    is_paused : callable
        Returns whether this entry is stopping, or was suspended and is not confirmed yet.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        port: DatagramPort,
        *,
        stalls: StallMeter,
        count_running: Callable[[], int],
        is_paused: Callable[[], bool],
        settings: WeightSettings,
        sharing: SharingSettings,
        log: EventLog,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._port = port
        self._stalls = stalls
        self._count_running = count_running
        self._is_paused = is_paused
        self._sharing = sharing
        self._log = log
        self._table = WeightTable(settings)
        self._members_version = -1
        self._peers: list[Address | None] = []
        self._names: dict[Address, str] = {}
        self._measured_at = self._stalled_s = 0.0
        self._was_paused = True
        self._is_low = False
        port.register_receiver(MessageKind.LOAD, EntryLoad, self._receive)

    @property
    def is_active(self) -> bool:
        """Whether look-up answers are weighted."""
        routing = self._catalog.routing
        return routing is not None and routing.has_downloads and not self._is_paused()

    def weigh(self, candidates: Candidates) -> Mapping[str, float] | None:
        """Return the weights of some entries by name; None where they are not weighted."""
        if not self.is_active:
            return None
        return self._table.compute(candidates.group, candidates.members, _now())

    def reset(self) -> None:
        """Drop the loads of other entries and of this one; they are measured again."""
        self._table.clear()
        self._members_version = -1
        self._was_paused = True

    async def run(self) -> None:
        """Share the own load once in each period, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self._update(_now())

    def _update(self, now: float) -> None:
        """Measure the own load, send it to the peers, and check the own weight."""
        stalled_s = self._stalls.measure(now)
        took_s, stalls_s = now - self._measured_at, stalled_s - self._stalled_s
        self._measured_at, self._stalled_s = now, stalled_s
        was_paused, self._was_paused = self._was_paused, not self.is_active
        self._table.drop_unused(now)
        if self._was_paused:
            self._table.clear()
            return
        self._update_members()
        if was_paused or not 0 < took_s < SUSPENDED_S:
            return  # A suspension counts as a stall, and is none of this host's load.
        running = self._count_running() / (self._own.cores or 1.0)
        load = EntryLoad(running, min(1.0, stalls_s / took_s))
        self._table.record_load(self._own.name, load, now)
        self._port.send(MessageKind.LOAD, load, *self._peers)
        self._check_own_weight(load)

    def _update_members(self) -> None:
        """Update the peers and the entries' addresses when entries come or go."""
        if self._members_version == self._catalog.members_version:
            return
        self._members_version = self._catalog.members_version
        members = list(self._catalog.members.values())
        self._peers = [m.relay for m in choose_peers(members, self._own, self._sharing)]
        self._names = {m.relay: m.name for m in members if m.relay is not None}

    def _receive(self, load: EntryLoad, sender: Address) -> None:
        """Record the load of another entry."""
        name = self._names.get(sender)
        if name is not None and self.is_active:
            self._table.record_load(name, load, _now())

    def list_weights(self) -> dict[str, float]:
        """Return the weights of the hall's entries, a bounded number of them."""
        weights = self.weigh(Candidates.from_hall(self._list_hall(), self._own.hall))
        if weights is None:
            return {}
        # The own weight comes first, so that the limit does not drop it.
        names = sorted(weights, key=lambda name: (name != self._own.name, name))
        return {name: weights[name] for name in names[:MAX_ENTRIES]}

    def _list_hall(self) -> list[MemberRecord]:
        """Return the entries of this entry's hall, with this one."""
        members = {m.name: m for m in self._catalog.members.values() if m.hall == self._own.hall}
        return [*(members | {self._own.name: self._own}).values()]

    def _check_own_weight(self, load: EntryLoad) -> None:
        """Log when the own weight falls below half of the one by capacity."""
        base = compute_base_weights(self._list_hall(), self._table.settings)[self._own.name]
        weight = self.list_weights().get(self._own.name, base)
        was_low, self._is_low = self._is_low, weight < LOW_SHARE * base
        if self._is_low and not was_low:
            self._log.event(
                "lookup",
                "The own weight is low.",
                weight=round(weight, 3),
                by_capacity=round(base, 3),
                running_per_core=round(load.running_per_core, 1),
                stalled=round(load.stalled, 2),
            )


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()
