"""The gateway process: creates and connects its components, starts them and stops them."""

from __future__ import annotations

import asyncio
import secrets
from random import Random

from halldoor.core.buffers import BufferBudget
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import Change, MemberRecord
from halldoor.core.targets.choice import Chooser
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.load import LoadTable
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.split import Splitter
from halldoor.core.teams.gate import QuotaGate
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.caller import CallerConnection
from halldoor.gateway.confirming import StateConfirmer
from halldoor.gateway.datagrams import DatagramPort
from halldoor.gateway.entryweights import EntryWeighing
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.eviction import ConnectionEvictor
from halldoor.gateway.exchanges import TargetExchanges
from halldoor.gateway.failures import FailureReporter
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.figures import collect_figures
from halldoor.gateway.flows import RegionFlowCounter
from halldoor.gateway.following import ChangeDispatcher
from halldoor.gateway.forwarded import ForwardedRequests
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.lookup import LookupFormat
from halldoor.gateway.maintenance import Maintenance
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.pages import GatewayState, StatusPages
from halldoor.gateway.parts import build_registration, list_parts
from halldoor.gateway.permits import RetryPermits
from halldoor.gateway.pipeline import Pipelining
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.ports import FrontPort, ServicePort, ServicePorts
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.quotas import QuotaExchange
from halldoor.gateway.reloading import apply_settings, report_start
from halldoor.gateway.requestpath import build_request_handler
from halldoor.gateway.resources import SharedResources
from halldoor.gateway.retries import RetryGate
from halldoor.gateway.settings import GatewaySettings
from halldoor.gateway.stalls import StallMeter
from halldoor.gateway.stopping import wait_until_finished
from halldoor.gateway.store import MetadataStore, RecordCodec
from halldoor.gateway.storetasks import StoreTasks
from halldoor.gateway.targetreach import TargetReach
from halldoor.gateway.tasks import TaskSet, stop_task
from halldoor.gateway.travel import RoundTripProbe
from halldoor.startup import ReportLimit


class Gateway:
    """A gateway process.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the gateway.
    store, codec : MetadataStore, RecordCodec
        The store, and the decoder of its records.
    lookups : LookupFormat
        Format of look-ups and their answers.
    names : HeaderNames
        Header names used by callers and targets.
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
        self.reloads = ReportLimit()
        self.metrics = GatewayMetrics()
        self.buffers = BufferBudget(settings.memory.find_limit_bytes())
        self.evictor = ConnectionEvictor(self.buffers, log=self.log, metrics=self.metrics)
        self.catalog = Catalog(settings.timings)
        self.member = MemberRecord(
            settings.name,
            settings.front,
            settings.hall,
            settings.region,
            settings.relay,
            *settings.capacity.drop_invalid(),
        )
        self.pool = TargetPool(settings.connections)
        self._reporter = FailureReporter(self.log, self.metrics)
        self.port = DatagramPort(
            settings.relay,
            is_entry=self.catalog.sharers.has_address,
            metrics=self.metrics,
            reporter=self._reporter,
        )
        self.quarantine = RequestQuarantine(
            self.member,
            self.catalog,
            self.port,
            store,
            settings=settings.quarantine,
            log=self.log,
            metrics=self.metrics,
        )
        self._build_requests(store, names)
        self.reach.connect(self.chooser, self.quarantine)
        self._build_store_tasks(store, codec)
        self.weighing = EntryWeighing(
            self.member,
            self.catalog,
            self.port,
            stalls=self.stalls,
            count_running=lambda: self.requests.running,
            is_paused=lambda: self.is_stopping or self.is_unconfirmed,
            settings=settings.weights,
            sharing=settings.sharing,
            log=self.log,
        )
        self.maintenance = Maintenance(
            self.catalog,
            (self.pool, self.reach.forwarder.pool),
            on_change=self._dispatch_change,
            on_suspension=self._handle_suspension,
            log=self.log,
        )
        self._callers: set[CallerConnection] = set()
        self._build_ports(lookups, names)
        self.tasks = TaskSet(self.log, self.metrics)
        self._registering: asyncio.Task[None] | None = None
        self.is_stopping = False

    def _build_requests(self, store: MetadataStore, names: HeaderNames) -> None:
        """Create the components that choose targets and handle callers' requests."""
        settings = self.settings
        outliers = OutlierTable(settings.outliers)
        loads, latency = LoadTable(), LatencyModel()
        self.stalls = StallMeter()
        self.reach = TargetReach.from_config(
            settings.forwarding,
            own=self.member,
            catalog=self.catalog,
            pool=self.pool,
            outliers=outliers,
            names=names,
            stalls=self.stalls,
            log=self.log,
            metrics=self.metrics,
        )
        self.travel = RoundTripProbe(self.member, self.catalog, latency, log=self.log)
        self.chooser = Chooser(
            self.catalog,
            outliers,
            loads,
            latency,
            own_name=settings.name,
            own_hall=settings.hall,
            own_region=settings.region,
            regions=settings.regions,
            settings=settings.choice,
        )
        self.feedback = TargetFeedback(
            catalog=self.catalog,
            chooser=self.chooser,
            outliers=outliers,
            loads=loads,
            latency=latency,
            pool=self.pool,
            names=names,
            stalls=self.stalls,
            reach=self.reach.monitor,
            log=self.log,
            metrics=self.metrics,
        )
        flows = RegionFlowCounter(
            settings.region, self.chooser.orders, self.catalog, log=self.log, metrics=self.metrics
        )
        splitter = Splitter()
        self._build_access(splitter, names)
        self.exchanges = TargetExchanges(
            self.member,
            self.catalog,
            self.chooser,
            self.feedback,
            self.port,
            names=names,
            settings=settings,
            log=self.log,
            metrics=self.metrics,
        )
        self.requests = build_request_handler(
            settings,
            catalog=self.catalog,
            chooser=self.chooser,
            loads=loads,
            latency=latency,
            feedback=self.feedback,
            pool=self.pool,
            forwarder=self.reach.forwarder,
            retries=self.retries,
            permits=RetryPermits(store, log=self.log, metrics=self.metrics),
            flows=flows,
            access=self.access,
            splitter=splitter,
            quarantine=self.quarantine,
            names=names,
            buffers=self.buffers,
            evictor=self.evictor,
            log=self.log,
            metrics=self.metrics,
        )

    def _build_access(self, splitter: Splitter, names: HeaderNames) -> None:
        """Create the components that admit requests (routes, teams, quotas) and allow retries."""
        settings = self.settings
        self.retries = RetryGate(self.catalog, settings.retries, log=self.log, metrics=self.metrics)
        gate = QuotaGate(settings.name, secrets.randbits(32), Random().random)
        self.access = CallerAccess(
            self.catalog,
            gate,
            splitter,
            names=names,
            settings=settings.access,
            is_confirming=lambda: self.is_unconfirmed,
        )
        self.quotas = QuotaExchange(self.member, self.catalog, self.access, self.port, log=self.log)

    def _build_store_tasks(self, store: MetadataStore, codec: RecordCodec) -> None:
        """Create the components that follow the store and register this entry in it."""
        self.feed, self.sync, self.store_notices, self.registration = StoreTasks.from_config(
            self.settings,
            store=store,
            codec=codec,
            member=self.member,
            catalog=self.catalog,
            port=self.port,
            on_change=self._dispatch_change,
            log=self.log,
            metrics=self.metrics,
        )
        self.confirmer = StateConfirmer(store, self.catalog.proof, self.access, self.metrics)
        self.confirmer.on_behind = self.store_notices.expect
        self._dispatcher = ChangeDispatcher(
            self.settings.name,
            self.catalog,
            feedback=self.feedback,
            quarantine=self.quarantine,
            registration=self.registration,
            cold_state=self.exchanges.cold_state,
            limits=self.exchanges.limits,
            is_stopping=lambda: self.is_stopping,
            notify=self.sync.notifier.notify,
            log=self.log,
        )

    def _build_ports(self, lookups: LookupFormat, names: HeaderNames) -> None:
        """Create the ports for callers, readiness, look-ups, metrics and other entries."""
        settings = self.settings
        resources = SharedResources(
            self.buffers, settings.memory.find_unread_bytes(), self.pool.spare, self.evictor
        )
        self._front = FrontPort(
            settings.front,
            self.requests,
            self._callers,
            is_closing=lambda: self.is_stopping,
            pipelining=Pipelining(
                self.access.is_repeatable,
                lambda: self.settings.pipelining,
                self.metrics.add_pipelining,
            ),
            resources=resources,
        )
        self.registration.is_open = self._front.opened
        forwarded = ForwardedRequests(
            self.requests,
            self.feed.answer,
            self.reach.monitor,
            self.catalog,
            names=names,
            settings=settings.forwarding,
            stalls=self.stalls,
            is_ready=lambda: self.is_ready,
            metrics=self.metrics,
        )
        pages = StatusPages(
            self._read_state,
            lambda: collect_figures(self, callers=len(self._callers)),
            lookups,
            self.metrics,
        )
        self.ports = ServicePorts(
            self._front,
            (
                ServicePort("ready", settings.ready, pages.answer_ready),
                ServicePort("directory", settings.directory, pages.answer_lookup),
                ServicePort("metrics", settings.metrics, pages.answer_metrics),
                forwarded.build_port(settings.relay),
            ),
            datagrams=self.port,
            on_reachable=self.registration.set_reachable,
            log=self.log,
            resources=resources,
        )

    @property
    def is_ready(self) -> bool:
        """Check whether callers should be sent here."""
        is_leaving = self.settings.forwarding.leaves_lookups and self.reach.monitor.loss is not None
        is_closed = self.is_stopping or not self._front.opened.is_set()
        is_out = self.is_unconfirmed or is_closed or is_leaving
        return self.catalog.routing is not None and not is_out

    @property
    def is_unconfirmed(self) -> bool:
        """Check whether cached state or received data may be outdated after a suspension."""
        return self.sync.is_unconfirmed or self.maintenance.was_suspended()

    def _read_state(self) -> GatewayState:
        """Return the state that readiness checks and look-ups answer from."""
        return GatewayState(
            is_ready=self.is_ready,
            own=self.member,
            members=() if self.is_unconfirmed else self.catalog.members.values(),
            lookup_ttl_s=self.settings.lookup_ttl_s,
            weigh=self.weighing.weigh,
        )

    async def start(self) -> None:
        """Open the ports, or wait for those that are held, and start every task."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._reporter.handle_loop_exception)
        # Shares of fleet-wide bounds count from now on.
        for part in (self.chooser, self.retries, self.access.gate):
            part.start(loop.time())
        await self.ports.start()
        for task in list_parts(self):
            self.tasks.start(task)
        self._registering = self.tasks.start(build_registration(self))
        report_start(self)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings, or none of them; requests in progress are not affected."""
        previous = self.settings
        try:
            apply_settings(self, settings)
        except Exception:
            apply_settings(self, previous)
            raise

    async def stop(self) -> None:
        """Stop without aborting a request.

        The entry leaves the look-ups at once.  Callers that use an earlier look-up are served until
        it expires, and requests in progress until the end of the grace time.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        self._reporter.call("stop", self.ports.stop_waiting)
        deadline = asyncio.get_running_loop().time() + self.settings.grace_s
        self.log.event("process", "Stopping.", running=self.requests.running)
        if self._registering is None:
            await self._shut_down()  # It was still starting, so no caller was directed here.
            return
        await stop_task(self._registering)
        for caller in list(self._callers):
            caller.is_closing = True
        leaving = asyncio.create_task(self.registration.leave())
        if self._front.opened.is_set():
            # Some callers keep a look-up's answer for three times its lifetime.
            await asyncio.sleep(min(3 * self.settings.lookup_ttl_s, self.settings.grace_s / 2))
        self._reporter.call("stop", self._front.close)
        await wait_until_finished(
            self._callers,
            deadline=deadline,
            count_running=lambda: self.requests.running,
            count_undelivered=self.ports.count_undelivered,
            log=self.log,
            reporter=self._reporter,
        )
        await stop_task(leaving)
        await self._shut_down()

    async def _shut_down(self) -> None:
        """Close the ports and stop the tasks."""
        self.log.event("process", "Stopped.", running=self.requests.running)
        self._reporter.call("stop", self.ports.close)
        await self.tasks.stop()
        for part in (self.pool, self.reach.forwarder.pool, self.feed, self.port, self.log):
            self._reporter.call("stop", part.close)

    def _handle_suspension(self) -> None:
        """Read the store again and drop pooled connections: both may be outdated."""
        self.pool.close()
        self.reach.forwarder.pool.close()
        self.sync.invalidate("the process stood still")

    def _dispatch_change(self, change: Change) -> None:
        """Dispatch a change of the catalog."""
        self._dispatcher.dispatch(change)
