"""Test fleet of gateways that share targets with slots and queues, and callers that return."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from typing import NamedTuple

import msgspec

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.gateway.headers import find
from halldoor.gateway.plain import TargetModel
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.scripted import ScriptedTarget
from halldoor.tests.gatewaykit import NAMES, GatewayKit
from halldoor.tests.reachkit import build_settings

SLOTS = 6
QUEUE = 18
HALL, REGION = "ams-a", "ams"


class SlotTarget(ScriptedTarget):
    """Target with a number of slots and a queue; it refuses requests beyond its queue.

    Attributes
    ----------
    work_s : float
        Time that a request occupies a slot, in seconds.
    work_percent : int or None
        Fourth figure of its load reports; None: it reports three figures.
    refused : int
        Number of requests that it refused as not run.
    """

    def __init__(self, name, work_s):
        super().__init__(name, NAMES)
        self.script = self.work
        self.work_s = work_s
        self.work_percent = None
        self.refused = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._running = 0
        self._waiting = 0

    @property
    def load(self):
        figures = [self._running, self._waiting, SLOTS]
        if self.work_percent is not None:
            figures.append(self.work_percent)
        return [(NAMES.load, ",".join(map(str, figures)).encode())]

    async def work(self, request, writer):
        if request.target == b"/health":
            writer.write(self.build(request, is_signed=False, extra=self.load))
            return
        if self._waiting >= QUEUE:
            self.refused += 1
            extra = [(NAMES.not_run, b"1"), *self.load]
            writer.write(self.build(request, status=b"503 Full", is_signed=False, extra=extra))
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self.work_s * (self.work_percent or 100) / 100)
            writer.write(self.build(request, extra=self.load))
        finally:
            self._running -= 1
            self._slots.release()


class Call(NamedTuple):
    """A caller's try; ``tries`` is 1 for its first one, and status 0 a broken connection."""

    sent_at: float
    route: str
    tries: int
    status: int
    took_s: float
    retry_after_s: float | None
    attempt_id: str


class OverloadFleet:
    """Gateways of one hall, a service whose targets they share, and a route for each priority.

    Attributes
    ----------
    calls : list of Call
        All finished tries.
    """

    def __init__(self, *, seed=1, priorities=(0, 5), aim_s=0.9, timeout_s=2.5, policy=None):
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.settings = build_settings(policy or {})
        self.routes = {f"p{priority}": priority for priority in priorities}
        self.aim_s, self.timeout_s = aim_s, timeout_s
        self.targets, self.kits, self.calls = {}, [], []
        self._ids = itertools.count(1)
        self._tasks = set()
        self._stack = contextlib.AsyncExitStack()

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, *, entries=6, targets=3, work_s=0.3, is_queued=True, **options):
        fleet = cls(**options)
        try:
            await fleet._start(entries, targets, work_s, is_queued)
            yield fleet
        finally:
            for task in fleet._tasks:
                task.cancel()
            await fleet._stack.aclose()
            for target in fleet.targets.values():
                await target.stop()

    async def _start(self, entries, targets, work_s, is_queued):
        routes = [
            {
                "name": name,
                "host": "decks.example",
                "path_prefix": f"/{name}/",
                "kind": "repeatable",
                "service": "deck",
                "timeout_s": self.timeout_s,
                "aim_s": self.aim_s,
                "priority": priority,
            }
            for name, priority in self.routes.items()
        ]
        services = [{"name": "deck", "is_queued": is_queued}]
        data = {"version": 1, "routes": routes, "services": services}
        self.store.put("routing", msgspec.json.encode(data))
        for i in range(targets):
            target = self.targets[f"t{i}"] = SlotTarget(f"t{i}", work_s)
            await target.start()
            model = TargetModel(service="deck", address=target.address, hall=HALL, slots=SLOTS)
            self.store.put(f"targets/t{i}", msgspec.json.encode(model))
        for i, port in enumerate(find_ports(entries)):
            kit = GatewayKit.open(
                name=f"e{i}",
                hall=HALL,
                region=REGION,
                regions={HALL: REGION},
                relay=Address(IP, port),
                store=self.store,
                targets=0,
                is_configured=False,
                timings=CatalogTimings(young_s=0.0),
                **self.settings,
            )
            self.kits.append(await self._stack.enter_async_context(kit))
        for kit in self.kits:
            catalog = kit.gateway.catalog
            await kit.wait(lambda catalog=catalog: len(catalog.members) == entries)

    def now(self):
        return asyncio.get_running_loop().time()

    async def offer(self, *, per_s, for_s, routes=None, returns=False, deadline_s=8.0):
        """Send requests to random entries at a rate and for a time.

        Parameters
        ----------
        returns : bool
            Whether a refused caller comes back once, after the time that it was told, or a third
            of what it has left.
        """
        ends = self.now() + for_s
        while self.now() < ends:
            route = self.random.choice(list(routes or self.routes))
            task = asyncio.ensure_future(self._call(route, returns, deadline_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(per_s))

    async def finish(self):
        """Wait until all calls have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _call(self, route, returns, deadline_s):
        key = str(self.random.randrange(50))
        first = await self._try(route, key, 1, deadline_s)
        if not returns or first.status != 503 or first.retry_after_s is None:
            return
        left_s = deadline_s - first.took_s
        pause_s = min(first.retry_after_s, left_s / 3)
        await asyncio.sleep(pause_s)
        await self._try(route, key, 2, left_s - pause_s)

    async def _try(self, route, key, tries, deadline_s):
        sent_at, attempt_id = self.now(), f"a{next(self._ids)}"
        kit = self.random.choice(self.kits)
        status, retry_after_s = 0, None
        with contextlib.suppress(OSError, TimeoutError):
            reply = await kit.call(
                path=f"/{route}/1",
                key=key,
                attempt_id=attempt_id,
                deadline_ms=round(deadline_s * 1000),
            )
            status = reply.status
            text = reply.find(b"retry-after")
            retry_after_s = float(text) if text else None
        took_s = self.now() - sent_at
        call = Call(sent_at, route, tries, status, took_s, retry_after_s, attempt_id)
        self.calls.append(call)
        return call

    def select(self, route=None, *, tries=None, since=0.0, until=float("inf")):
        """Return the calls of a route and try that were sent in a time."""
        return [
            c
            for c in self.calls
            if (route is None or c.route == route)
            and (tries is None or c.tries == tries)
            and since <= c.sent_at < until
        ]

    def count_in_time(self, calls):
        """Count the calls that were answered with success within the aim."""
        return sum(c.status == 200 and c.took_s <= self.aim_s for c in calls)

    def assert_refusals_are_true(self):
        """Assert that no target has run a request that was refused as not run."""
        ran = {
            find(r.headers, NAMES.attempt_id).decode()
            for target in self.targets.values()
            for r in target.received
        }
        # A target that refuses a request has received it, too.
        received = sum(t.refused for t in self.targets.values())
        refused = {c.attempt_id for c in self.calls if c.status in (429, 503)}
        assert len(refused & ran) <= received
