"""Test fleet of gateways that share a store, with links that can be cut, and counting targets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.gateway.headers import find
from halldoor.gateway.httpclient import HttpCallError
from halldoor.gateway.store import MetadataStore, StoreError
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.scripted import ScriptedTarget
from halldoor.tests.fleetkit import Fleet
from halldoor.tests.gatewaykit import NAMES, GatewayKit

WORK_S = 0.03
KEYS = 50


class StoreLink(MetadataStore):
    """One gateway's link to the store, which can be cut."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    async def _call(self, name, *args, **options):
        call = asyncio.ensure_future(getattr(self.store, name)(*args, **options))
        try:
            while not call.done():
                await asyncio.wait([call], timeout=0.02)
                if self.is_cut:
                    raise StoreError("Cut off.", remedy="Wait.")
            self.era = self.store.era
            return call.result()
        finally:
            call.cancel()

    async def read_range(self, prefix, *, after=""):
        return await self._call("read_range", prefix, after=after)

    async def watch(self, prefix, *, after, wait_s):
        return await self._call("watch", prefix, after=after, wait_s=wait_s)

    async def write(self, key, value, *, lease):
        return await self._call("write", key, value, lease=lease)

    async def claim(self, key, *, lease):
        return await self._call("claim", key, lease=lease)

    async def create_lease(self, ttl_s):
        return await self._call("create_lease", ttl_s)

    async def renew_lease(self, lease):
        return await self._call("renew_lease", lease)

    async def end_lease(self, lease):
        return await self._call("end_lease", lease)


class SilentClient:
    """Client of an unreachable entry: every call times out."""

    def __init__(self, address):
        pass

    async def call(self, method, target, *, timeout_s, **options):
        await asyncio.sleep(timeout_s)
        raise HttpCallError("no answer in time")

    def close(self):
        pass


class Refusal(NamedTuple):
    """An answer with status 503: its times and ``Retry-After``, in seconds, entry and reason."""

    sent_at: float
    at: float
    entry: str
    retry_after_s: float
    reason: str


class CountingTarget(ScriptedTarget):
    """Target that records arrivals, and states in health answers how long it is cold.

    Attributes
    ----------
    arrivals : list of tuple
        Time and sending entry of each request.
    extra : list of tuple of bytes
        Additional header fields of its answers.
    checks : int
        Number of health checks.
    rejection : list of tuple of bytes or None
        Additional header fields of the answers that reject every request; None while it serves.
    rejected : list of tuple
        Time and sending entry of each rejected request.
    """

    def __init__(self, name):
        super().__init__(name, NAMES)
        self.script = self.work
        self.cold_until = 0.0
        self.arrivals = []
        self.checks = 0
        self.extra = []
        self.rejection = None
        self.rejected = []

    async def work(self, request, writer):
        now = asyncio.get_running_loop().time()
        if request.target == b"/health":
            self.checks += 1
            left_ms = max(0, round((self.cold_until - now) * 1000))
            fields = [
                (b"halldoor-target", self.incarnation.encode()),
                (b"halldoor-cold-ms", str(left_ms).encode()),
                *self.extra,
            ]
            writer.write(self.build(request, is_signed=False, extra=fields))
            return
        entry = find(request.headers, b"x-entry").decode()
        self.arrivals.append((now, entry))
        if self.rejection is not None:
            fields = [(NAMES.not_run, b"1"), *self.rejection]
            status = b"503 Service Unavailable"
            self.rejected.append((now, entry))
            writer.write(self.build(request, status=status, is_signed=False, extra=fields))
            return
        await asyncio.sleep(WORK_S)
        writer.write(self.build(request, extra=list(self.extra)))

    def count_peak(self, *, since, window_s):
        """Return the most arrivals in any window of `window_s` seconds after a time."""
        times = [at for at, _ in self.arrivals if at >= since]
        worst = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst


class RateFleet(Fleet):
    """Fleet of gateways that share a store, targets and callers.

    Attributes
    ----------
    statuses : list of tuple
        Time, entry and status of each answer.
    refusals : list of Refusal
        All answers with status 503.
    sent : list of float
        Time at which each request was sent.
    stated_at : dict of str to float
        Time at which each entry's callers first had an answer of a leaving target, by entry.
    """

    def __init__(self, *, entries, targets, seed=1, **service):
        self.entries = entries
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.service = {"name": "deck", "cold_start_s": 3.0, "cold_rate_per_s": 9.0} | service
        self.targets = [CountingTarget(f"t{i}") for i in range(targets)]
        self.kits = []
        self.links = []
        self.statuses = []
        self.refusals = []
        self.sent = []
        self.stated_at = {}
        self._tasks = set()
        self._stack = contextlib.AsyncExitStack()

    async def _start(self):
        for i, port in enumerate(find_ports(self.entries)):
            self.links.append(StoreLink(self.store))
            kit = GatewayKit.open(
                name=f"e{i}",
                relay=Address(IP, port),
                store=self.links[i],
                targets=0,
                is_configured=False,
                timings=CatalogTimings(young_s=0.0),
            )
            if not i:
                self._write_records()
                for target in self.targets:
                    await target.start()
                    self.write_target(target)
            self.kits.append(await self._stack.enter_async_context(kit))
        for kit in self.kits:
            catalog = kit.gateway.catalog
            await kit.wait(lambda catalog=catalog: len(catalog.members) == self.entries)

    def _write_records(self):
        kit = GatewayKit({}, self.store)
        kit.service = self.service
        kit.configure()

    def write_target(self, target, **changes):
        kit = GatewayKit({}, self.store)
        kit.targets = {target.incarnation: target}
        kit.write_target(target.incarnation, **changes)

    def turn_cold(self, target, *, for_s):
        """Make a target cold for some seconds, and write that to its record."""
        target.cold_until = self.now() + for_s
        self.write_target(target, cold_left_s=for_s)

    def cut(self, *entries, from_others=False):
        """Cut entries off from the store, and with `from_others` from all other entries too."""
        for i in entries:
            self.links[i].is_cut = True
            if from_others:
                port = self.kits[i].gateway.port
                port.send = lambda *_: None
                port.datagram_received = lambda *_: None
                self.kits[i].gateway.feed._substitute._open_client = SilentClient

    def now(self):
        return asyncio.get_running_loop().time()

    async def send_requests(self, *, per_s, for_s, entries=None):
        """Send requests with random keys to random entries, at a rate and for a time."""
        ends = self.now() + for_s
        while self.now() < ends:
            entry = self.random.choice(entries or range(self.entries))
            task = asyncio.ensure_future(self._call(entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.sleep(2 * WORK_S)

    async def finish_requests(self):
        """Wait until all requests of `send_requests` are answered."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def send_until_stated(self, leaving):
        """Send each entry requests until its callers have an answer of a leaving target.

        All entries send a key to the same target, so the first key suffices unless that target is
        busy.  Keys that the target served before come first.
        """
        served = Counter(find(r.headers, NAMES.affinity_key) for r in leaving.received)
        for key in sorted(map(str, range(KEYS)), key=lambda key: -served[key.encode()]):
            unaware = [i for i in range(self.entries) if f"e{i}" not in self.stated_at]
            if not unaware:
                return
            await asyncio.gather(*(self._call(i, key) for i in unaware))

    def list_sent_after_statement(self, target):
        """List the entries that sent a target requests which arrived at them after its statement.

        An entry has received the statement once its callers have the answer that carries it, so
        this doesn't depend on the rate of requests or on delays of the loop.
        """
        requests = [r for r in target.received if r.target != b"/health"]
        sent = [
            (find(r.headers, b"x-entry").decode(), float(find(r.headers, b"x-sent")))
            for r in requests
        ]
        return [entry for entry, at in sent if at > self.stated_at.get(entry, at)]

    async def _call(self, entry, key=None):
        key = str(self.random.randrange(KEYS)) if key is None else key
        sent_at = self.now()
        self.sent.append(sent_at)
        extra = [("x-entry", f"e{entry}"), ("x-sent", repr(sent_at))]
        with contextlib.suppress(OSError, TimeoutError):
            reply = await self.kits[entry].call(key=key, extra=extra)
            self.statuses.append((self.now(), entry, reply.status))
            if reply.find(NAMES.leaving) == b"1":
                self.stated_at.setdefault(f"e{entry}", self.now())
            if reply.status == 503:
                after_s, reason = float(reply.find(b"retry-after")), reply.body.decode()
                self.refusals.append(Refusal(sent_at, self.now(), f"e{entry}", after_s, reason))

    def find_served(self, entries, *, since):
        """Return the share of requests that some entries answered with 200 after a time."""
        statuses = [s for at, entry, s in self.statuses if entry in entries and at >= since]
        return statuses.count(200) / len(statuses)
