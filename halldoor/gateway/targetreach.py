"""Composition of the parts that notice and bridge the loss of all targets."""

from __future__ import annotations

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.choice import Chooser
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.peers import ForwardingSettings
from halldoor.core.targets.reach import PROBES, Loss, ReachMonitor
from halldoor.gateway.crashreview import CrashReview
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.forwarding import PeerForwarder
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.reach import ReachProbe
from halldoor.gateway.stalls import StallMeter


class TargetReach:
    """Monitor, probes and forwarder of a gateway.

    Attributes
    ----------
    monitor : ReachMonitor
        Decides whether any target can be reached.
    probe : ReachProbe
        Probes targets for it.
    forwarder : PeerForwarder
        Forwards requests to other entries while none can be reached.
    review : CrashReview
        Asks targets that seemed to crash whether they run; once connected.
    """

    def __init__(self, monitor: ReachMonitor, probe: ReachProbe, forwarder: PeerForwarder) -> None:
        self.monitor = monitor
        self.probe = probe
        self.forwarder = forwarder

    @classmethod
    def from_config(
        cls,
        settings: ForwardingSettings,
        *,
        own: MemberRecord,
        catalog: Catalog,
        pool: TargetPool,
        outliers: OutlierTable,
        names: HeaderNames,
        stalls: StallMeter,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> TargetReach:
        """Create and connect the parts."""
        monitor = ReachMonitor()
        probe = ReachProbe(monitor, catalog, names=names, stalls=stalls, log=log, metrics=metrics)

        def revoke_ejections(loss: Loss) -> None:
            """Revoke the ejections that the loss caused: the targets did not fail."""
            outliers.revoke_since(loss.since)

        probe.on_loss.append(revoke_ejections)
        probe.on_return.append(revoke_ejections)
        forwarder = PeerForwarder(
            own, catalog, monitor, pool, names=names, settings=settings, metrics=metrics
        )
        return cls(monitor, probe, forwarder)

    def connect(self, chooser: Chooser, quarantine: RequestQuarantine) -> None:
        """Connect the probes with what is known of targets and of those that seemed to crash."""
        unproven = chooser.unproven
        self.probe.list_reliable = lambda targets: unproven.list_most_reliable(targets, PROBES)
        self.probe.list_blamed_since = quarantine.list_blamed_since
        self.probe.on_running = quarantine.refute_crashes
        self.review = CrashReview(quarantine, self.monitor, self.probe)
