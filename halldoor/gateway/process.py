"""The gateway process: its parts, their wiring, and how it stops."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, NamedTuple

from halldoor.core.budget import RetrySettings
from halldoor.core.catalog import (
    Catalog,
    CatalogTimings,
    Change,
    MemberGone,
    MemberRecord,
    TargetGone,
)
from halldoor.core.choice import ChoiceSettings, Chooser
from halldoor.core.load import LoadTable
from halldoor.core.outlier import OutlierTable
from halldoor.core.route import CallerLimits
from halldoor.core.settings import Address
from halldoor.gateway.caller import Answer, CallerConnection, Head, listen
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.lookup import LookupFormat, choose_entries
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.registration import Registration
from halldoor.gateway.request import RequestHandler
from halldoor.gateway.store import MetadataStore, RecordCodec
from halldoor.gateway.sync import BATCH_S, StoreSync, stop_task

TICK_S = 0.1
"""Period of housekeeping, in seconds."""
STALL_S = 1.0
"""A tick that comes so late means that the process stood still, in seconds."""
SWEEP_TICKS = 10
"""Ticks between two sweeps of idle connections."""
QUIET_S = 0.3
"""Time without a request after which a stopping process may end, in seconds."""
STOP_MARGIN_S = 0.3
"""Time before the end of the grace period at which the process ends by itself, in seconds."""


LIVE_SETTINGS = (
    "regions",
    "lookup_ttl_s",
    "grace_s",
    "batch_s",
    "timings",
    "choice",
    "retries",
)
"""Settings that a running process takes up; addresses and names need a restart."""


class GatewaySettings(NamedTuple):
    """Settings of a gateway.

    Attributes
    ----------
    front, ready, directory : Address
        Where it serves callers, readiness questions and look-ups.
    metrics : Address or None
        Where it serves its own figures.
    regions : dict of str to str
        Region of each hall.
    lookup_ttl_s : float
        How long callers may keep a look-up's answer, in seconds.
    batch_s : float
        Pause between a change in the store and the next watch, in seconds.
    grace_s : float
        Time between the request to stop and the kill, in seconds.
    """

    name: str
    hall: str
    region: str
    front: Address
    ready: Address
    directory: Address
    regions: dict[str, str]
    metrics: Address | None = None
    lookup_ttl_s: float = 1.0
    grace_s: float = 6.0
    batch_s: float = BATCH_S
    timings: CatalogTimings = CatalogTimings()
    choice: ChoiceSettings = ChoiceSettings()
    retries: RetrySettings = RetrySettings()


class Gateway:
    """One gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        Its settings.
    store, codec : MetadataStore, RecordCodec
        The store and the meaning of its records.
    lookups : LookupFormat
        How look-ups are written.
    names : HeaderNames
        Header names of callers and targets.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        store: MetadataStore,
        codec: RecordCodec,
        lookups: LookupFormat,
        names: HeaderNames,
    ) -> None:
        self.settings = settings
        self.log = EventLog(settings.name)
        self.metrics = GatewayMetrics()
        self.catalog = Catalog(settings.timings)
        self.outliers = OutlierTable()
        self.loads = LoadTable()
        self.pool = TargetPool()
        self.chooser = self._build_chooser()
        self._lookups = lookups
        self._random = random.Random()
        self.feedback = TargetFeedback(
            catalog=self.catalog,
            chooser=self.chooser,
            outliers=self.outliers,
            loads=self.loads,
            pool=self.pool,
            names=names,
            log=self.log,
        )
        self.requests = RequestHandler(
            catalog=self.catalog,
            chooser=self.chooser,
            loads=self.loads,
            feedback=self.feedback,
            pool=self.pool,
            names=names,
            log=self.log,
            metrics=self.metrics,
            retries=settings.retries,
        )
        self.member = MemberRecord(settings.name, settings.front, settings.hall, settings.region)
        self.sync = StoreSync(
            store,
            codec,
            self.catalog,
            log=self.log,
            metrics=self.metrics,
            on_change=self._note_change,
            batch_s=settings.batch_s,
        )
        self.registration = Registration(
            store,
            codec,
            self.member,
            log=self.log,
            metrics=self.metrics,
            on_contact=self._note_contact,
            on_return=self.sync.restart,
        )
        self._callers: set[CallerConnection] = set()
        self._others: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._front: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.is_stopping = False

    def _build_chooser(self) -> Chooser:
        """Build what chooses targets."""
        settings = self.settings
        return Chooser(
            self.catalog,
            self.outliers,
            self.loads,
            own_name=settings.name,
            own_region=settings.region,
            regions=settings.regions,
            settings=settings.choice,
        )

    # Life

    async def start(self) -> None:
        """Open the ports and start every task."""
        settings = self.settings
        self._front = await listen(
            settings.front.ip,
            settings.front.port,
            self.requests.handle,
            read_limits=self.requests.read_limits,
            connections=self._callers,
            is_closing=lambda: self.is_stopping,
        )
        for address, handler in (
            (settings.ready, self._answer_ready),
            (settings.directory, self._answer_lookup),
            (settings.metrics, self._answer_metrics),
        ):
            if address is None:
                continue
            server = await listen(
                address.ip,
                address.port,
                handler,
                read_limits=CallerLimits,
                connections=self._others,
            )
            self._servers.append(server)
        for part in (self.sync.run(), self._run_maintenance()):
            self._start_task(part)
        self._registering = self._start_task(self.registration.run())
        self.log.event("process", "Started.", hall=settings.hall, front=str(settings.front))

    def _start_task(self, part: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that must not end."""
        task = asyncio.get_running_loop().create_task(part)
        task.add_done_callback(self._note_task_end)
        self._tasks.append(task)
        return task

    def _note_task_end(self, task: asyncio.Task[None]) -> None:
        """Log a task that failed; the process then can't be trusted and ends."""
        if task.cancelled():
            return
        self.log.event("process", "A task failed.", cause=repr(task.exception()))
        asyncio.get_running_loop().stop()

    def reload(self, settings: GatewaySettings) -> None:
        """Take up changed settings; requests under way are not touched."""
        names = GatewaySettings._fields
        changed = [n for n in names if getattr(settings, n) != getattr(self.settings, n)]
        live = {n: getattr(settings, n) for n in changed if n in LIVE_SETTINGS}
        self.settings = self.settings._replace(**live)
        self.catalog.timings = self.settings.timings
        self.chooser.regions = self.settings.regions
        self.chooser.settings = self.settings.choice
        self.requests.use_retries(self.settings.retries)
        self.sync.batch_s = self.settings.batch_s
        at_restart = [n for n in changed if n not in LIVE_SETTINGS]
        self.log.event("process", "Reloaded.", changed=sorted(live), at_next_start=at_restart)

    async def stop(self) -> None:
        """Stop without cutting off a request.

        Not ready and out of the look-ups at once; callers that hold an old answer are served
        until those have run out; then what is being answered is waited for.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        ends = began + self.settings.grace_s - STOP_MARGIN_S
        self.log.event("process", "Stopping.", running=self.requests.running)
        await stop_task(self._registering)
        for caller in list(self._callers):
            caller.is_closing = True
        leaving = loop.create_task(self.registration.leave())
        # Some callers keep an answer for three times its lifetime.
        await asyncio.sleep(min(3 * self.settings.lookup_ttl_s, self.settings.grace_s / 2))
        if self._front is not None:
            self._front.close()
        quiet_since = loop.time()
        while loop.time() < ends and loop.time() - quiet_since < QUIET_S:
            for caller in list(self._callers):
                caller.close_if_idle()
            if self.requests.running or self._callers:
                quiet_since = loop.time()
            await asyncio.sleep(0.02)
        await stop_task(leaving)
        await self._end()

    async def _end(self) -> None:
        """Close the ports and end the tasks."""
        self.log.event("process", "Stopped.", running=self.requests.running)
        for server in self._servers:
            server.close()
        for task in self._tasks:
            await stop_task(task)
        self.pool.close()
        self.log.close()

    async def _run_maintenance(self) -> None:
        """Drop what has run out, and notice when the process stood still."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        tick = 0
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if now - last > STALL_S:
                self.log.event("process", "Stood still.", for_s=round(now - last, 2))
                self.sync.restart("the process stood still")
            last = now
            for name in self.catalog.drop_lapsed(now):
                self._note_change(TargetGone(name))
            tick += 1
            if tick % SWEEP_TICKS == 0:
                self.pool.sweep()

    def _note_contact(self) -> None:
        """Note that the store answered."""
        self.catalog.note_contact(asyncio.get_running_loop().time())

    def _note_change(self, change: Change) -> None:
        """Let the other parts follow a change of the catalog."""
        match change:
            case TargetGone(incarnation) if self.catalog.find_target(incarnation) is None:
                self.feedback.forget_target(incarnation)
            case MemberGone(name) if name == self.settings.name and not self.is_stopping:
                self.log.event("membership", "Own record is gone; writing it again.")
                self.registration.note_gone()

    # Small servers

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.catalog.routing is not None and not self.is_stopping

    async def _answer_ready(self, caller: CallerConnection, head: Head) -> None:
        """Answer a readiness question."""
        is_known = head.target.decode("latin-1").partition("?")[0] == self._lookups.ready_path
        if not is_known:
            caller.send(Answer(404, []))
            return
        caller.send(Answer(200 if self.is_ready else 503, []))

    async def _answer_lookup(self, caller: CallerConnection, head: Head) -> None:
        """Answer a look-up."""
        query = self._lookups.parse(head.target.decode("latin-1"))
        if query is None:
            caller.send(Answer(404, []))
            return
        members = {m.name: m for m in self.catalog.members.values()}
        if self.is_ready:
            members[self.member.name] = self.member
        else:
            members.pop(self.member.name, None)
        if not members:
            caller.send(Answer(503, [(b"Retry-After", b"0.2")]))
            return
        chosen = choose_entries(
            members.values(), hall=query.hall, region=query.region, source=self._random
        )
        body = self._lookups.render(chosen, ttl_s=self.settings.lookup_ttl_s)
        caller.send(Answer(200, [(b"Content-Type", b"application/json")], body))

    async def _answer_metrics(self, caller: CallerConnection, head: Head) -> None:
        """Answer with this process's figures."""
        self.metrics.set("running", self.requests.running)
        self.metrics.set("callers", len(self._callers))
        self.metrics.set("members", len(self.catalog.members))
        self.metrics.set("connections_opened", self.pool.opened)
        routing = self.catalog.routing
        self.metrics.set("configuration_version", routing.version if routing else 0)
        body = self.metrics.render()
        caller.send(Answer(200, [(b"Content-Type", b"text/plain; version=0.0.4")], body))
