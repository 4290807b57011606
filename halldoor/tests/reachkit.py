"""Test fleet of gateways whose links to all targets can be cut, and nothing else."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from typing import NamedTuple

import msgspec

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.gateway.headers import find
from halldoor.gateway.plain import TargetModel
from halldoor.gateway.settings import GatewaySettings
from halldoor.standins.memorystore import MemoryStore
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.targetlink import LinkedCodec, TargetLink
from halldoor.tests.delaykit import read_processor_delay
from halldoor.tests.fleetkit import Fleet
from halldoor.tests.gatewaykit import NAMES, GatewayKit
from halldoor.tests.ratekit import CountingTarget

REGIONS = {"ams-a": "ams", "ams-b": "ams", "grq-a": "grq"}
HALLS = tuple(REGIONS)
SERVICES = {"deck": "repeatable", "order": "at-most-once"}
"""Services with the kind of their requests."""
KEYS = 50
DEADLINE_MS = 1500
ROUTE_TIMEOUT_S = 2.0


class Call(NamedTuple):
    """A caller's first try at an entry; status 0 where its connection failed.

    Attributes
    ----------
    took_s : float
        Time to its answer, in seconds.
    delayed_s : float
        Part of it in which the process of the test waited for a processor, in seconds.
    """

    sent_at: float
    entry: int
    status: int
    attempt_id: str
    took_s: float
    outcome: bytes
    delayed_s: float


def build_settings(policy):
    """Return the changed sections of settings as a policy file would set them."""
    defaults = GatewaySettings._field_defaults
    return {name: defaults[name]._replace(**values) for name, values in policy.items()}


class ReachFleet(Fleet):
    """Fleet of gateways in three halls, with targets of two services in each hall.

    Attributes
    ----------
    calls : list of Call
        All finished calls.
    """

    def __init__(self, *, entries, seed=1, policy=None):
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.settings = build_settings(policy or {})
        self.halls = [HALLS[i % len(HALLS)] for i in range(entries)]
        self.targets = {}
        self.kits = []
        self.links = [{} for _ in range(entries)]
        self.calls = []
        self._ids = itertools.count(1)
        self._tasks = set()
        self._stack = contextlib.AsyncExitStack()

    async def _stop_gateways(self):
        await super()._stop_gateways()
        for links in self.links:
            for link in links.values():
                await link.stop()

    async def _start(self):
        self._configure()
        for service, hall in itertools.product(SERVICES, HALLS):
            for number in range(2):
                await self._add_target(f"{service}-{hall}-{number}", service, hall)
        for i, port in enumerate(find_ports(len(self.halls))):
            kit = GatewayKit.open(
                name=f"e{i}",
                hall=self.halls[i],
                region=REGIONS[self.halls[i]],
                regions=REGIONS,
                relay=Address(IP, port),
                store=self.store,
                codec=LinkedCodec(self.links[i]),
                targets=0,
                is_configured=False,
                timings=CatalogTimings(young_s=0.0),
                **self.settings,
            )
            self.kits.append(await self._stack.enter_async_context(kit))
        for kit in self.kits:
            catalog = kit.gateway.catalog
            await kit.wait(lambda catalog=catalog: len(catalog.members) == len(self.kits))

    def _configure(self):
        routes = [
            {
                "name": service,
                "host": "decks.example",
                "path_prefix": f"/{service}/",
                "kind": kind,
                "service": service,
                "timeout_s": ROUTE_TIMEOUT_S,
            }
            for service, kind in SERVICES.items()
        ]
        services = [{"name": service} for service in SERVICES]
        data = {"version": 1, "routes": routes, "services": services}
        self.store.put("routing", msgspec.json.encode(data))

    async def _add_target(self, name, service, hall):
        target = self.targets[name] = CountingTarget(name)
        await target.start()
        for links in self.links:
            link = links[name] = TargetLink(target.address)
            await link.start()
        model = TargetModel(service=service, address=target.address, hall=hall, slots=6)
        self.store.put(f"targets/{name}", msgspec.json.encode(model))

    def now(self):
        return asyncio.get_running_loop().time()

    def make_slow(self, work_s):
        """Make all targets need some time for each request, health checks included."""

        async def work(target, request, writer):
            await asyncio.sleep(work_s)
            writer.write(target.build(request))

        for target in self.targets.values():
            target.script = lambda r, w, target=target: work(target, r, w)

    async def set_cut(self, cut, entries, *, to=""):
        """Cut entries off from all targets whose name contains `to`; None ends the cut."""
        for i in entries:
            for name, link in self.links[i].items():
                if to in name:
                    await link.set_cut(cut)

    async def send_requests(self, *, per_s, for_s, entries=None):
        """Send requests of both services to random entries, at a rate and for a time."""
        ends = self.now() + for_s
        while self.now() < ends:
            entry = self.random.choice(entries or range(len(self.kits)))
            task = asyncio.ensure_future(self.call(entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(per_s))

    async def finish(self):
        """Wait until all requests are answered."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def call(self, entry, *, service="", **request):
        """Send one request over a new connection, and record how it ended."""
        service = service or self.random.choice(list(SERVICES))
        attempt_id = request.pop("attempt_id", "") or f"a{next(self._ids)}"
        sent_at, delay_before = self.now(), read_processor_delay()
        options = {
            "key": str(self.random.randrange(KEYS)),
            "path": f"/{service}/1",
            "deadline_ms": DEADLINE_MS,
            "attempt_id": attempt_id,
        }
        status, outcome = 0, b""
        with contextlib.suppress(OSError, TimeoutError):
            reply = await self.kits[entry].call(**options | request)
            status, outcome = reply.status, reply.body
        took_s = self.now() - sent_at
        delayed_s = read_processor_delay() - delay_before
        self.calls.append(Call(sent_at, entry, status, attempt_id, took_s, outcome, delayed_s))
        return status

    def list_calls(self, entries, *, since, until=float("inf")):
        """List the calls that were sent to some entries in a time."""
        return [c for c in self.calls if c.entry in entries and since <= c.sent_at < until]

    def find_served(self, entries, *, since, until=float("inf")):
        """Return the share of such calls that were answered with 200."""
        calls = self.list_calls(entries, since=since, until=until)
        return sum(call.status == 200 for call in calls) / len(calls)

    def count_runs(self):
        """Count how often targets ran each request, by its id."""
        requests = itertools.chain(*(t.received for t in self.targets.values()))
        return Counter(
            find(r.headers, NAMES.attempt_id).decode() for r in requests if r.target != b"/health"
        )

    def assert_rules_held(self):
        """Assert that no order ran twice and nothing that was refused as not run has run."""
        runs = self.count_runs()
        twice = [
            find(r.headers, NAMES.attempt_id)
            for t in self.targets.values()
            for r in t.received
            if r.target.startswith(b"/order/")
            and runs[find(r.headers, NAMES.attempt_id).decode()] > 1
        ]
        assert twice == []
        refused = {c.attempt_id for c in self.calls if c.status in (429, 503)}
        assert sorted(refused & set(runs)) == []
