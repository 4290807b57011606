"""Simulated fleet of entries that synchronize with one store in virtual time.

For tests and measurements: each entry runs the product's own tasks that read the store, follow a
reader and keep the entry registered.  Calls and messages have delays; there are no callers'
requests.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from random import Random
from typing import Any, Self

import msgspec

from halldoor.core.settings import Address
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.relay import RelaySettings, choose_readers
from halldoor.gateway.plain import TARGET_PREFIX, TargetModel
from halldoor.standins.memorystore import MemoryStore, StoreCopy
from halldoor.standins.modelentry import CountingLog, ModelClient, ModelEntry
from halldoor.standins.modelnetwork import Delays, Location, Network, Node, create_task
from halldoor.standins.storelink import StoreLink, StoreServer

__all__ = ["IP", "Address", "CountingLog", "ModelClient", "ModelEntry", "StoreFleet", "StoreLink"]

PAGE_ITEMS = 500
"""Items on a page of the store."""
BATCH_S = 0.6
"""Pause after changes of an entry that watches the store directly and only for itself, in s."""
IP = "10.0.0.1"
SERVICE = "deck"


class StoreFleet:
    """Entries in several halls, target records and a store.

    Parameters
    ----------
    entries : int or sequence of int
        Number of entries, or number of entries in each hall.
    halls, targets : int
        Number of halls and of target records.
    regions : int, optional
        Number of regions; halls are assigned to them in turn.  The store is in the first hall.
    page_items : int, optional
        Items on a page of the store.
    settings, batch_s : RelaySettings, float, optional
        Timing of the entries' reads; see `ChangeFeed`.
    delays, answer_s : Delays, float, optional
        One-way delays of messages, and the store's processing time for a call, in seconds.
    has_expiry : bool, optional
        Leases that are not renewed expire.
    links_mbps : dict of int to float, optional
        Bandwidth of entries' links by port, in Mbit/s; the other links are not limited.

    Attributes
    ----------
    targets : int
        Number of target records written at the start.
    server : StoreServer
        The store as a network node, with its faults.
    nodes : dict of int to Node
        Entries as network nodes by port, with their faults.
    answer_bytes : int
        Bytes of the answers that entries sent to each other.
    """

    def __init__(
        self,
        *,
        entries: int | Sequence[int],
        halls: int,
        targets: int,
        regions: int = 1,
        page_items: int = PAGE_ITEMS,
        seed: int = 1,
        settings: RelaySettings | None = None,
        batch_s: float = BATCH_S,
        delays: Delays | None = None,
        answer_s: float = 0.0,
        has_expiry: bool = False,
        links_mbps: Mapping[int, float] | None = None,
    ) -> None:
        self.store = MemoryStore(page_items=page_items, has_expiry=has_expiry)
        self.store.era = "0"
        self.settings = settings if settings is not None else RelaySettings()
        self.batch_s = batch_s
        self.answer_bytes = 0
        self.random = Random(seed)
        self.network = Network(delays if delays is not None else Delays(), Random(seed))
        self.nodes: dict[int, Node] = {}
        self.targets = targets
        self._halls, self._regions = halls, regions
        self._links_mbps = links_mbps or {}
        self.server = StoreServer(
            self.store,
            Location("h0", "r0"),
            self.network,
            answer_s=answer_s,
            random=Random(seed),
        )
        for i in range(targets):
            self.write_target(i, self.find_hall(i))
        self.entries: dict[int, ModelEntry] = {}
        entry_halls = (
            [port % halls for port in range(1, entries + 1)]
            if isinstance(entries, int)
            else [hall for hall, count in enumerate(entries) for _ in range(count)]
        )
        self._members = {port: self._build_member(port, h) for port, h in enumerate(entry_halls, 1)}

    def _build_member(self, port: int, hall: int) -> MemberRecord:
        """Build the member record of the entry with a port, in the hall with a number."""
        address = Address(IP, port)
        return MemberRecord(
            f"e{port}",
            address,
            f"h{hall}",
            f"r{hall % self._regions}",
            address,
            link_mbps=self._links_mbps.get(port),
        )

    @property
    def calls(self) -> list[tuple[float, str]]:
        """Calls to the store: time and kind of each."""
        return self.server.calls

    def configure(self, version: int, *, routes: int = 0) -> int:
        """Write a configuration to the store; return its size there, in bytes.

        Parameters
        ----------
        routes : int, optional
            Number of routes, about 180 bytes each.
        """
        source = Random(version)
        data = {
            "version": version,
            "routes": [build_route(number, source) for number in range(routes)],
            "services": [{"name": SERVICE, "cold_start_s": 0.0}] if routes else [],
        }
        value = msgspec.json.encode(data)
        self.store.put("routing", value)
        return 4 * len(value) // 3

    def find_hall(self, number: int) -> str:
        """Return the hall of a target that was written at the start."""
        return f"h{number % self._halls}"

    def write_target(
        self, number: int, hall: str, *, slots: int = 6, is_draining: bool = False
    ) -> None:
        """Write a target's record."""
        model = TargetModel(
            service=SERVICE, address=Address(IP, 9), hall=hall, slots=slots, is_draining=is_draining
        )
        self.store.put(f"{TARGET_PREFIX}{name_target(number)}", msgspec.json.encode(model))

    def remove_target(self, number: int) -> None:
        """Remove a target's record."""
        self.store.remove(f"{TARGET_PREFIX}{name_target(number)}")

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, *, within_s: float = 0.5, **options: Any) -> AsyncIterator[Self]:
        """Start a fleet that has a configuration of version 1, and stop it at exit.

        Entries that lost their reader during the start follow one again.

        Parameters
        ----------
        within_s : float, optional
            Period in which the entries start, in seconds.
        **options
            Parameters of the fleet.
        """
        fleet = cls(**options)
        fleet.configure(1)
        await fleet.start(within_s=within_s)
        await fleet.wait_until_synchronized(1)
        await asyncio.sleep(2 * fleet.settings.direct_s)
        try:
            yield fleet
        finally:
            fleet.stop()

    async def start(self, *, within_s: float) -> None:
        """Create and start every entry, each at a random moment within a period in seconds."""
        loop = asyncio.get_running_loop()
        loop.set_task_factory(create_task)
        for port, member in self._members.items():
            if port in self.entries:
                self.entries[port].stop()
            self.entries[port] = ModelEntry(self, member)
        for entry in self.entries.values():
            loop.call_later(self.random.uniform(0.0, within_s), entry.start)
        await asyncio.sleep(within_s)

    def list_readers(self) -> list[int]:
        """List the ports of the readers: entries that read the store for others."""
        halls = sorted({member.hall for member in self._members.values()})
        members = self._members.values()
        readers = [r for hall in halls for r in choose_readers(members, hall, self.settings)]
        return [reader.front.port for reader in readers]

    def deliver(self, data: bytes, sender: Address, *, to_port: int) -> None:
        """Deliver a datagram to an entry, if it is up."""
        entry = self.entries.get(to_port)
        if entry is not None and entry.tasks:
            entry.port.datagram_received(data, (sender.ip, sender.port))

    def restart_entry(self, port: int) -> ModelEntry:
        """Kill an entry and start a new one on its port."""
        self.entries[port].stop()
        entry = self.entries[port] = ModelEntry(self, self._members[port])
        entry.start()
        return entry

    def cut_off_from_store(self, port: int, for_s: float) -> None:
        """Refuse an entry's calls to the store for a time, in seconds."""
        link = self.entries[port].link
        link.is_cut = True
        asyncio.get_running_loop().call_later(for_s, setattr, link, "is_cut", False)

    async def restore(self, copy: StoreCopy, *, away_s: float = 0.5) -> None:
        """Restore the store from a copy, after an outage of ``away_s`` seconds."""
        self.store.take_down()
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        self.store.is_down = False

    def is_synchronized(self, version: int) -> bool:
        """Check whether every entry has applied a configuration version and is registered."""
        registered = len(self.store.list_keys("entries/")) == len(self.entries)
        return registered and all(
            entry.catalog.configuration_version == version for entry in self.entries.values()
        )

    async def wait_until_synchronized(self, version: int, *, limit_s: float = 20.0) -> float:
        """Wait until all entries have applied a version and are registered; return the seconds."""
        began = _now()
        async with asyncio.timeout(limit_s):
            while not self.is_synchronized(version):
                await asyncio.sleep(0.01)
        return _now() - began

    def count_calls(self, since: float, until: float) -> Counter[str]:
        """Count the calls to the store between two times, by kind."""
        return Counter(kind for at, kind in self.calls if since <= at < until)

    def stop(self) -> None:
        """Stop every entry."""
        for entry in self.entries.values():
            entry.stop()


def build_route(number: int, source: Random) -> dict[str, object]:
    """Build a route whose host and path are drawn at random."""
    return {
        "name": f"route-{number:05}",
        "host": f"{source.randbytes(4).hex()}.example",
        "path_prefix": f"/{source.randbytes(5).hex()}/",
        "kind": "repeatable",
        "service": SERVICE,
        "timeout_s": source.randint(2, 40) / 10,
        "aim_s": source.randint(20, 400) / 1000,
        "max_attempts": source.randint(1, 3),
    }


def name_target(number: int) -> str:
    """Return a target's name."""
    return f"t{number:05}"


def _now() -> float:
    """Return the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
