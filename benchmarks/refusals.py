"""Ways to decide whether an unknown route is refused for good, by faults, in virtual time.

Each entry is asked for routes of the newest configuration, which it may not have read yet, and for
routes that no configuration has.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from itertools import product
from random import Random
from types import SimpleNamespace
from typing import NamedTuple, cast
from unittest import mock

from benchmarks.common import format_table, write_result
from benchmarks.storecalls import DELAYS, change_targets, compute_price
from halldoor.core.settings import Address
from halldoor.core.targets import relay
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.withdrawal import StoreView
from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.confirming import StateConfirmer
from halldoor.gateway.handover import ReaderLostError
from halldoor.gateway.httpclient import HttpClient
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import OtherEraError, Poll, Update, send_poll
from halldoor.gateway.store import MetadataStore, StoreError
from halldoor.gateway.storenotices import StoreNoticeExchange
from halldoor.standins.modelentry import ModelClient, ModelEntry
from halldoor.standins.storefleet import IP, StoreFleet
from halldoor.standins.storelink import StoreLink
from halldoor.standins.virtualtime import run

FLEETS = ((5, 6, 6, 6, 6, 6), (2,) * 6)
BOUND_S = 3.0
LENGTH_S = 40.0
"""Time over which requests are counted, in seconds."""
FAULT_S = 10.0
"""Length of a fault, which begins just before each second configuration, in seconds."""
CONFIGURED_S = 10.0
"""Time between two configurations, in seconds."""
NEW_S, UNKNOWN_S = 0.25, 5.0
"""Mean times between requests for new and for unknown routes at each entry, in seconds."""
RETRY_S, TRIES = 0.1, 20
"""Pause before a caller that got 503 for an unknown route retries, in seconds; most tries."""
TRANSFER_S = 6.0
"""Time of a configuration on a slow link, in seconds."""
ACCESS = AccessSettings(stale_s=BOUND_S)
HEADER = [
    "entries in halls",
    "fault",
    "way",
    "new routes asked",
    "404, wrong",
    "503",
    "unknown routes asked",
    "first answer 503",
    "never 404",
    "longest way to 404, s",
    "price of calls a second",
]


class Way(NamedTuple):
    """A way to decide on a refusal.

    Attributes
    ----------
    age : str
        The age that decides: of the last "contact", or of the "proof".
    heeds_notices : bool
        Whether other entries' notices of a newer configuration decide, too.
    asks : str
        Whom an entry asks where its proof is old: the "store", a "neighbour" or nobody.
    watch_s : float
        Longest wait of a watch by an entry without followers, in seconds.
    """

    age: str
    heeds_notices: bool
    asks: str = ""
    watch_s: float = relay.WATCH_S


WAYS = {
    "contact (before)": Way("contact", False),
    "signs": Way("contact", True),
    "proof alone": Way("proof", False),
    "proof, short watches": Way("proof", False, watch_s=ACCESS.confirmed_s / 2),
    "proof, asks the store": Way("proof", False, asks="store"),
    "proof and signs, asks the store": Way("proof", True, asks="store"),
    "proof and signs, asks a neighbour": Way("proof", True, asks="neighbour"),
}


Disturb = Callable[["Trial"], None]
Wait = Callable[[int], Awaitable[Update]]


class Trial:
    """One fleet with one way and one fault."""

    def __init__(self, entries: Sequence[int], way: Way) -> None:
        settings = RelaySettings(bound_s=BOUND_S)
        self.fleet = StoreFleet(
            entries=entries,
            halls=len(entries),
            regions=3,
            targets=200,
            settings=settings,
            batch_s=settings.own_pause_s,
            delays=DELAYS,
            has_expiry=True,
        )
        self.way = way
        self.random = Random(1)
        self.counts: Counter[str] = Counter()
        self.longest_s = 0.0
        self.written = [(-math.inf, 1)]
        self._access: dict[ModelEntry, SimpleNamespace] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def find_required(self) -> int:
        """Return the version that every entry must have in force."""
        now = _now()
        return max(version for at, version in self.written if at <= now - BOUND_S)

    async def refuse(self, entry: ModelEntry) -> int:
        """Return the status with which an entry refuses a route that it does not know.

        Where its state may be old, the request waits for the answer of whom the entry asks.
        """
        status = self._decide(entry)
        if self.way.asks:
            access = self._find_access(entry)
            if status == 404:
                access.confirm()
            else:
                await access.wait_for_confirmation()
                status = self._decide(entry)
        return status

    def _decide(self, entry: ModelEntry) -> int:
        """Return the status by what is known now."""
        proof = entry.catalog.proof
        is_proof = self.way.age == "proof"
        since = proof.proven_at if is_proof else entry.catalog.store_contact_at
        is_behind = self.way.heeds_notices and proof.is_behind
        return 503 if is_behind or _now() - since > BOUND_S else 404

    def _find_access(self, entry: ModelEntry) -> SimpleNamespace:
        """Return what confirms an entry's state; it is created at the first call."""
        if entry not in self._access:
            access = self._access[entry] = SimpleNamespace(settings=ACCESS, is_strict=False)
            store = cast(MetadataStore, self._build_neighbour(entry))
            confirmer = StateConfirmer(
                entry.link if self.way.asks == "store" else store,
                entry.catalog.proof,
                cast(CallerAccess, access),
                GatewayMetrics(),
            )
            if self.way.asks == "store":
                confirmer.on_behind = cast(StoreNoticeExchange, entry.exchanges[0]).expect
            self._tasks.append(asyncio.ensure_future(confirmer.run()))
        return self._access[entry]

    def _build_neighbour(self, entry: ModelEntry) -> SimpleNamespace:
        """Return a source of the revision that a neighbour holds, and records its proof."""

        async def read_revision() -> int:
            ports = [p for p, e in self.fleet.entries.items() if e is not entry]
            address = Address(IP, self.random.choice(ports))
            client = ModelClient(self.fleet, address, entry.node)
            poll = Poll(entry.sync.view.revision, 0.0, entry.sync.view.era)
            try:
                update = await send_poll(
                    cast(HttpClient, client),
                    poll,
                    entry.catalog.contact,
                    sent_at=_now(),
                    answer_s=0.3,
                )
            except (ReaderLostError, OtherEraError) as exc:
                raise StoreError(str(exc), remedy="") from exc
            view = StoreView(poll.era, update.events.revision)
            entry.catalog.proof.record_revision(view, update.proven_at)
            raise StoreError("The neighbour's proof is older than its answer.", remedy="")

        return SimpleNamespace(read_revision=read_revision, era="")

    async def ask_new(self, port: int, until: float) -> None:
        """Request routes of the newest configuration at an entry."""
        random = Random(port)
        while _now() < until:
            await asyncio.sleep(random.expovariate(1 / NEW_S))
            entry = self.fleet.entries[port]
            held = entry.catalog.configuration_version
            if not held:
                continue
            self.counts["new"] += 1
            newest = max(version for _, version in self.written)
            if held >= newest:
                continue
            status = await self.refuse(entry)
            held = entry.catalog.configuration_version
            if held >= newest:
                continue  # It came into force while the request waited.
            if status == 503:
                self.counts["new 503"] += 1
            elif held < self.find_required():
                self.counts["new 404"] += 1

    async def ask_unknown(self, port: int, until: float) -> None:
        """Request unknown routes at an entry, and retry those that get 503."""
        random = Random(port)
        while _now() < until:
            await asyncio.sleep(random.expovariate(1 / UNKNOWN_S))
            if not self.fleet.entries[port].catalog.configuration_version:
                continue
            self.counts["unknown"] += 1
            asked_at = _now()
            for number in range(TRIES):
                if await self.refuse(self.fleet.entries[port]) == 404:
                    self.longest_s = max(self.longest_s, _now() - asked_at)
                    break
                self.counts["unknown 503"] += number == 0
                await asyncio.sleep(RETRY_S)
            else:
                self.counts["unknown never"] += 1

    async def configure(self, until: float, disturb: Disturb) -> None:
        """Write configurations until a time, each second one under a fault."""
        version = 1
        while _now() + CONFIGURED_S <= until:
            version += 1
            if version % 2 == 0:
                disturb(self)
                await asyncio.sleep(0.1)
            self.fleet.configure(version)
            self.written.append((_now(), version))
            await asyncio.sleep(CONFIGURED_S)

    async def measure(self, disturb: Disturb, changes_per_s: float) -> Counter[str]:
        """Run the fleet; return the calls to the store."""
        with mock.patch.object(relay, "WATCH_S", self.way.watch_s):
            self.fleet.configure(1)
            await self.fleet.start(within_s=0.5)
            await self.fleet.wait_until_synchronized(1)
            began = _now() + 2 * self.fleet.settings.direct_s
            until = began + LENGTH_S
            if changes_per_s:
                changes = change_targets(self.fleet, until, Random(1), changes_per_s)
                self._tasks.append(asyncio.ensure_future(changes))
            await asyncio.sleep(began - _now())
            asking = [
                ask(port, until)
                for port in self.fleet.entries
                for ask in (self.ask_new, self.ask_unknown)
            ]
            await asyncio.gather(self.configure(until, disturb), *asking)
            for task in self._tasks:
                task.cancel()
            self.fleet.stop()
            return self.fleet.count_calls(began, until)


def leave_alone(trial: Trial) -> None:
    """Do nothing."""


def cut_off(trial: Trial) -> None:
    """Refuse the store's calls of a quarter of the entries."""
    for port in list(trial.fleet.entries)[::4]:
        trial.fleet.cut_off_from_store(port, FAULT_S)


def hold_answers(trial: Trial) -> None:
    """Let new configurations take long to a half of the entries, while renewals get through."""
    for entry in list(trial.fleet.entries.values())[::2]:
        feed, loop = entry.feed, asyncio.get_running_loop()
        wait = feed.wait

        async def wait_longer(
            revision: int, wait: Wait = wait, link: StoreLink = entry.link
        ) -> Update:
            update = await wait(revision)
            if any(item.key == "routing" for item in update.events.items):
                link.watch_arrival = Arrival()
                link.watch_arrival.begin(_now())
                await asyncio.sleep(TRANSFER_S)
                link.watch_arrival = None
            return update

        setattr(feed, "wait", wait_longer)  # noqa: B010
        entry.sync.renew_watch("slow link")
        loop.call_later(FAULT_S, setattr, feed, "wait", wait)


def stop_watches(trial: Trial) -> None:
    """Let watches of half of the entries hear nothing, and no notices arrive there."""
    for entry in list(trial.fleet.entries.values())[::2]:
        entry.link.silence_watch()
        receive = entry.port.datagram_received
        setattr(entry.port, "datagram_received", lambda *_: None)  # noqa: B010
        asyncio.get_running_loop().call_later(
            FAULT_S, setattr, entry.port, "datagram_received", receive
        )


def restart_entries(trial: Trial) -> None:
    """Restart half of the entries, one after the other."""
    for number, port in enumerate(list(trial.fleet.entries)[::2]):
        asyncio.get_running_loop().call_later(0.3 * number, trial.fleet.restart_entry, port)


FAULTS: dict[str, tuple[Disturb, float]] = {
    "none, records change": (leave_alone, 10.0),
    "none, quiet": (leave_alone, 0.0),
    "a quarter cut off": (cut_off, 0.0),
    "answers late at half": (hold_answers, 0.0),
    "watches stuck at half": (stop_watches, 0.0),
    "half restarted": (restart_entries, 0.0),
}


def main() -> None:
    """Run all measurements and write the table."""
    rows: list[list[object]] = []

    async def measure_all() -> None:
        """Measure every fleet with each fault and each way."""
        for entries, fault, way in product(FLEETS, FAULTS, WAYS):
            trial = Trial(entries, WAYS[way])
            calls = await trial.measure(*FAULTS[fault])
            counts = trial.counts
            rows.append(
                [
                    f"{sum(entries)} in {len(entries)}",
                    fault,
                    way,
                    counts["new"],
                    counts["new 404"],
                    counts["new 503"],
                    counts["unknown"],
                    counts["unknown 503"],
                    counts["unknown never"],
                    f"{trial.longest_s:.2f}",
                    f"{compute_price(calls, LENGTH_S):.1f}",
                ]
            )

    run(measure_all())
    write_result("refusals", __doc__ or "", format_table(HEADER, rows))


def _now() -> float:
    """Return the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()


if __name__ == "__main__":
    main()
