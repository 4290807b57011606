"""Test kit: several gateways on one store, and targets that crash while running some requests."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.scripted import ScriptedTarget
from halldoor.tests.fleetkit import Fleet
from halldoor.tests.gatewaykit import NAMES, GatewayKit

BAD = b"/bad"
POPULAR = b"/popular"
WORK_S = 0.075
"""Time for which a request runs before it is answered or crashes its target, in seconds."""
RESTART_AFTER_S = (1.5, 3.0)
"""Shortest and longest time until a crashed target restarts under a new name, in seconds."""


class CrashingTarget(ScriptedTarget):
    """A target that crashes when it runs the path `BAD`, or when the fleet crashes it."""

    def __init__(self, name, fleet):
        super().__init__(name, NAMES)
        self.fleet = fleet
        self.script = self.work
        self.running = []

    async def work(self, request, writer):
        """Run a request: crash if its path is `BAD`, answer it otherwise."""
        self.fleet.sent[request.target].append(self.fleet.now())
        self.running.append(request.target)
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.running.remove(request.target)
        if request.target == BAD:
            self.fleet.crash(self)
        if self.incarnation in self.fleet.targets:
            await self.answer(request, writer)


class CrashFleet(Fleet):
    """Gateways on one store, crashing targets and callers.

    Attributes
    ----------
    sent : dict of bytes to list of float
        Times at which targets received each path, on the loop's clock.
    crashed_at : list of float
        Times at which targets crashed, on the loop's clock.
    statuses : dict of bytes to list of int
        Statuses that callers received, by path.
    """

    def __init__(self, *, kind, seed=1, entries=6, addresses=1):
        self.kind = kind
        self.addresses = addresses
        self.entries = entries
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.targets = {}
        self.kits = []
        self.sent = defaultdict(list)
        self.crashed_at = []
        self.statuses = defaultdict(list)
        self._stack = contextlib.AsyncExitStack()
        self._tasks = set()
        self._names = 0

    async def _start(self):
        for _ in range(12):
            await self.start_target()
        await self.start_entries()

    def now(self):
        """Return the time of the loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        """Run a coroutine as a task that is cancelled at exit."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_entries(self):
        """Start all entries and wait until each has all others in its local view."""
        for i, port in enumerate(find_ports(self.entries)):
            kit = GatewayKit.open(
                name=f"e{i}",
                relay=Address(IP, port),
                store=self.store,
                targets=0,
                is_configured=False,
                timings=CatalogTimings(young_s=0.0),
            )
            self.kits.append(await self._stack.enter_async_context(kit))
            if not i and not self.store.list_keys("routing"):
                self.kits[0].configure(kind=self.kind)
        for kit in self.kits:
            members = kit.gateway.catalog.members
            await kit.wait(lambda members=members: len(members) == self.entries)

    async def restart_entries(self):
        """Stop all entries and start them again without any state."""
        self.kits.clear()
        await self._stack.aclose()
        await self.start_entries()

    async def start_target(self):
        """Start a target under a new name and write its record."""
        self._names += 1
        target = CrashingTarget(f"t{self._names}", self)
        await target.start()
        self.targets[target.incarnation] = target
        kit = GatewayKit({}, self.store)
        kit.targets = self.targets
        kit.write_target(target.incarnation)

    def crash(self, target):
        """Crash a target together with all requests that it runs, and restart it later."""
        if self.targets.pop(target.incarnation, None) is None:
            return
        self.crashed_at.append(self.now())
        self.spawn(self._restart(target))

    async def _restart(self, target):
        """Stop a crashed target, and start a new one after a random time."""
        await target.stop()
        await asyncio.sleep(self.random.uniform(*RESTART_AFTER_S))
        self.store.remove(f"targets/{target.incarnation}")
        await self.start_target()

    async def crash_targets_running(self, path, *, every_s, for_s):
        """Repeatedly crash a target that is running a request for a path."""
        ends = self.now() + for_s
        while self.now() < ends:
            await asyncio.sleep(every_s)
            running = [t for t in self.targets.values() if path in t.running]
            while not running and self.now() < ends:
                await asyncio.sleep(0.005)
                running = [t for t in self.targets.values() if path in t.running]
            if running:
                self.crash(self.random.choice(running))

    async def send_request(self, path, key=""):
        """Send one request to a random entry from a random address, and record its status."""
        kit = self.random.choice(self.kits)
        source = f"127.0.0.{self.random.randrange(2, 2 + self.addresses)}"
        method, body = ("POST", b"x") if self.kind != "repeatable" else ("GET", b"")
        with contextlib.suppress(OSError, TimeoutError):
            reply = await kit.call(
                path=path.decode(),
                key=key,
                method=method,
                body=body,
                deadline_ms=2000,
                source=source,
            )
            self.statuses[path].append(reply.status)

    async def send_requests(self, path, *, per_s, for_s, key=""):
        """Send requests at a mean rate for a path, or for 40 other paths if it is empty."""
        ends = self.now() + for_s
        while self.now() < ends:
            if path:
                self.spawn(self.send_request(path, key))
            else:
                other = f"/{self.random.randrange(40)}"
                self.spawn(self.send_request(other.encode(), other))
            await asyncio.sleep(self.random.expovariate(per_s))

    def compute_served_share(self):
        """Return the fraction of requests other than `BAD` that were answered with 200."""
        statuses = [s for path, all_ in self.statuses.items() if path != BAD for s in all_]
        return statuses.count(200) / len(statuses)

    def count_late_sends(self, path, *, after_s):
        """Count how often a path was sent later than `after_s` after the third crash."""
        third_at = sorted(self.crashed_at)[2]
        return sum(at > third_at + after_s for at in self.sent[path])
