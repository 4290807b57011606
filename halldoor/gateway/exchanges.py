"""Creates the exchanges of information about targets with other entries, and feeds them answers."""

from __future__ import annotations

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.choice import Chooser
from halldoor.gateway.checks import TargetChecks
from halldoor.gateway.coldstate import ColdStateExchange
from halldoor.gateway.datagrams import DatagramPort
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.headers import HeaderNames
from halldoor.gateway.leaving import LeavingExchange
from halldoor.gateway.limits import LimitExchange
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notices import NoticeSender
from halldoor.gateway.rests import BackoffReader
from halldoor.gateway.settings import GatewaySettings
from halldoor.gateway.sharing import ObservationSharing
from halldoor.gateway.tasks import Part


class TargetExchanges:
    """Exchanges of observations, cold states, limits and leaving targets between entries.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog, chooser : Catalog, Chooser
        Hold and choose the targets.
    feedback : TargetFeedback
        Reads targets' answers, and passes the statements in them to the exchanges.
    port : DatagramPort
        The socket for messages of other entries.
    names : HeaderNames
        Header names that targets use.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        chooser: Chooser,
        feedback: TargetFeedback,
        port: DatagramPort,
        *,
        names: HeaderNames,
        settings: GatewaySettings,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        sender = NoticeSender(own, catalog, port)
        self.sharing = ObservationSharing(own, catalog, feedback, port, settings=settings.sharing)
        self.cold_state = ColdStateExchange(
            catalog,
            chooser,
            sender,
            port,
            names=names,
            read_statement=feedback.read_health_statement,
            contact_limit_s=settings.relaying.contact_limit_s,
            log=log,
            metrics=metrics,
        )
        self.checks = TargetChecks(catalog, chooser.unproven, names=names, log=log, metrics=metrics)
        self.limits = LimitExchange(catalog, chooser.limits, sender, port, log=log, metrics=metrics)
        self.leaving = LeavingExchange(catalog, sender, port, log=log, metrics=metrics)
        backoffs = BackoffReader(chooser.backoffs, log=log, metrics=metrics)
        feedback.on_statement.append(self.limits.apply_statement)
        feedback.on_any_statement += [self.leaving.apply_statement, backoffs.apply_statement]

    def list_parts(self) -> list[Part]:
        """Return the exchanges as tasks to be run until cancelled."""
        return [
            Part("observations", self.sharing.run, self.sharing.reset),
            Part("cold state", self.cold_state.run, self.cold_state.reset),
            Part("target checks", self.checks.run, self.checks.reset),
            Part("limits", self.limits.run, self.limits.reset),
            Part("leaving", self.leaving.run, self.leaving.reset),
        ]
