"""Builds the components that a request passes from its admission to its answer."""

from __future__ import annotations

from halldoor.core.buffers import BufferBudget
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.choice import Chooser
from halldoor.core.targets.hedging import HedgeDelays
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.load import LoadTable
from halldoor.core.targets.split import Splitter
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.eviction import ConnectionEvictor
from halldoor.gateway.exchange import TargetExchanger
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.flows import RegionFlowCounter
from halldoor.gateway.forwarding import PeerForwarder
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.hedging import RequestHedger
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.permits import RetryPermits
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.request import RequestHandler
from halldoor.gateway.retries import RetryGate
from halldoor.gateway.room import RequestRoom
from halldoor.gateway.sender import RequestSender
from halldoor.gateway.settings import GatewaySettings
from halldoor.gateway.streams import BodyStreams


def build_request_handler(
    settings: GatewaySettings,
    *,
    catalog: Catalog,
    chooser: Chooser,
    loads: LoadTable,
    latency: LatencyModel,
    feedback: TargetFeedback,
    pool: TargetPool,
    forwarder: PeerForwarder,
    retries: RetryGate,
    permits: RetryPermits,
    flows: RegionFlowCounter,
    access: CallerAccess,
    splitter: Splitter,
    quarantine: RequestQuarantine,
    names: HeaderNames,
    buffers: BufferBudget,
    evictor: ConnectionEvictor,
    log: EventLog,
    metrics: GatewayMetrics,
) -> RequestHandler:
    """Build the handler of callers' requests; for the parameters see `RequestSender`."""
    exchanger = TargetExchanger(pool, names, can_send=catalog.can_send)
    hedger = RequestHedger(
        HedgeDelays(settings.hedging),
        chooser=chooser,
        latency=latency,
        retries=retries,
        quarantine=quarantine,
        metrics=metrics,
    )
    sender = RequestSender(
        catalog=catalog,
        chooser=chooser,
        loads=loads,
        latency=latency,
        feedback=feedback,
        pool=pool,
        exchanger=exchanger,
        log=log,
        metrics=metrics,
        retries=retries,
        permits=permits,
        flows=flows,
        quarantine=quarantine,
        forwarder=forwarder,
        hedger=hedger,
    )
    return RequestHandler(
        catalog=catalog,
        sender=sender,
        exchanger=exchanger,
        feedback=feedback,
        names=names,
        log=log,
        metrics=metrics,
        access=access,
        splitter=splitter,
        quarantine=quarantine,
        room=RequestRoom(buffers, evictor, metrics),
        streams=BodyStreams(catalog, evictor),
    )
