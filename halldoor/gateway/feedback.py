"""Update the records of targets by the results of attempts: failures, latencies and loads."""

from __future__ import annotations

import math
from collections.abc import Callable

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.choice import Choice, Chooser
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.load import LoadReport, LoadTable
from halldoor.core.targets.observation import Observation
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.reach import ReachMonitor
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.targets.target import Target
from halldoor.gateway.attempt import AttemptResult, SentAttempt
from halldoor.gateway.caller import Answer
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.failures import FailureReporter
from halldoor.gateway.headers import HeaderNames, Headers, find
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import (
    SERVER_ERROR,
    AnswerLost,
    BodyFailed,
    ConnectFailed,
    Connecting,
    NotSent,
    Outcome,
    PartialAnswer,
    Rejected,
    TimedOut,
    WholeAnswer,
    Withdrawn,
)
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.stalls import StallMeter

StatementReceiver = Callable[[Target, TargetStatement, float], None]

GATEWAY_TIMEOUT = 504
"""Status with which a target reports that the deadline passed."""
BAD_LOAD_LOG_INTERVAL_S = 1.0
"""Least time between two log lines on unreadable loads, in seconds."""
BAD_LOAD_BYTES_LOGGED = 40
"""Bytes of an unreadable load that are logged."""
STALLED_SHARE = 0.5
"""Share of an attempt in which this process was stalled from which its duration says nothing."""


class TargetFeedback:
    """Receiver of attempt outcomes that updates the models of the targets.

    Parameters
    ----------
    catalog, chooser, outliers, loads, latency
        Models to update: target records, selection, ejections, load reports and latencies.
    pool : TargetPool
        Connections to targets.
    names : HeaderNames
        Header names that targets use.
    stalls : StallMeter
        Measures the time in which this process did not run, which no target is ejected for.
    reach : ReachMonitor
        Receives whether the connection of each attempt opened and was answered.

    Attributes
    ----------
    on_observation : callable or None
        Called with the observation of each successful answer, to send it to other entries.
    on_statement : list of callable
        Called with target, `TargetStatement` and time for each answer to a request.
    on_any_statement : list of callable
        The same, also for health-check answers, which may lack the fields about requests.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        chooser: Chooser,
        outliers: OutlierTable,
        loads: LoadTable,
        latency: LatencyModel,
        pool: TargetPool,
        names: HeaderNames,
        stalls: StallMeter,
        reach: ReachMonitor,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._chooser = chooser
        self._outliers = outliers
        self._loads = loads
        self._latency = latency
        self._pool = pool
        self._names = names
        self._stalls = stalls
        self._reach = reach
        self._log = log
        self._metrics = metrics
        self._reporter = FailureReporter(log, metrics)
        self._bad_load_logged_at = -math.inf
        self.on_observation: Callable[[Observation], None] | None = None
        self.on_statement: list[StatementReceiver] = []
        self.on_any_statement: list[StatementReceiver] = []
        self._statement_fields = names.statement_fields

    def read_statement(
        self, target: Target, status: int, headers: Headers, now: float
    ) -> TargetStatement:
        """Parse the target's statement (limit, drain notice, retry time) and notify receivers.

        Parameters
        ----------
        status, headers : int, list
            Status and headers of its answer; an empty list if there was none.
        """
        if not headers:
            return TargetStatement()
        statement = TargetStatement.from_answer(status, headers, self._statement_fields)
        for apply_statement in [*self.on_any_statement, *self.on_statement]:
            self._reporter.call("statement", apply_statement, target, statement, now)
        return statement

    def read_health_statement(
        self, target: Target, status: int, headers: Headers, now: float
    ) -> None:
        """Parse the target's statement in a health-check answer and notify receivers."""
        statement = TargetStatement.from_answer(status, headers, self._statement_fields)
        for apply_statement in self.on_any_statement:
            self._reporter.call("statement", apply_statement, target, statement, now)

    def start_attempt(self, choice: Choice, kind: str, key: str, now: float) -> SentAttempt:
        """Record that an attempt begins; `add_outcome` or `cancel_attempt` ends it."""
        wait = self._reach.start_wait(now)
        return SentAttempt(choice, kind, key, now, self._stalls.measure(now), wait)

    def cancel_attempt(self, sent: SentAttempt) -> None:
        """Record that the caller left during an attempt."""
        self._reach.end_wait(sent.wait)

    def is_own_failure(self, sent: SentAttempt, outcome: Outcome, now: float) -> bool:
        """Check whether an attempt failed with those at other targets, through this entry's link.

        Such an outcome is no evidence against the target or the request.
        """
        has_failed = isinstance(outcome, AnswerLost | ConnectFailed)
        return has_failed and self._reach.is_common_cause(now, started_at=sent.started_at)

    def describe_reach(self, now: float) -> dict[str, int]:
        """Return the log field of a request in a period in which no target could be reached."""
        loss = self._reach.loss
        return {} if loss is None else {"unreached_ms": round((now - loss.since) * 1000)}

    def add_outcome(
        self, sent: SentAttempt, outcome: Outcome, connecting: Connecting, now: float
    ) -> tuple[AttemptResult, str]:
        """Update the models by one attempt; return its result and a detail for the log."""
        target, took_s = sent.choice.target, now - sent.started_at
        stalled_s = self._stalls.measure(now) - sent.stalled_s
        is_own_delay = stalled_s > STALLED_SHARE * took_s
        self._record_reach(sent, outcome, connecting, now, is_own_delay=is_own_delay)
        if connecting.took_s and not connecting.is_reused:
            self._latency.add_connect(target.record.hall, connecting.took_s)
        report = None
        if isinstance(outcome, WholeAnswer | PartialAnswer):
            report = self._read_load(target, outcome.answer, now)
            self._add_load(target, report, now)
        if isinstance(outcome, WholeAnswer) and outcome.answer.status < SERVER_ERROR:
            self._add_latency(sent, took_s - connecting.took_s, report)
            self._check_slowness(target, None if is_own_delay else took_s - stalled_s, now)
            self._report_observation(sent, report, took_s=took_s - connecting.took_s)
        is_late = is_own_delay or connecting.lacked_body
        had_time = not is_late and took_s >= sent.choice.estimate.time_s
        return self._record_failure(
            target, outcome, now, is_own_delay=is_own_delay, had_time=had_time
        )

    def _record_failure(
        self, target: Target, outcome: Outcome, now: float, *, is_own_delay: bool, had_time: bool
    ) -> tuple[AttemptResult, str]:
        """Count a failure of the target; return the attempt's result and a detail for the log.

        Parameters
        ----------
        is_own_delay : bool
            Whether this process was stalled for most of the attempt.
        had_time : bool
            Whether the target had the time that its answer was expected to take.
        """
        name = target.name
        match outcome:
            case WholeAnswer(answer) if answer.status < SERVER_ERROR:
                return AttemptResult.ANSWERED, str(answer.status)
            case WholeAnswer(answer):
                is_slow = answer.status == GATEWAY_TIMEOUT
                if had_time or not is_slow:
                    self.add_failure(name, now, f"answered {answer.status}", is_slow=is_slow)
                return AttemptResult.FAILED, str(answer.status)
            case PartialAnswer(answer):
                return AttemptResult.ANSWERED, f"{answer.status}, more to come"
            case Rejected(status, is_other_incarnation):
                if is_other_incarnation:
                    self._remove_replaced_target(name)
                else:
                    self._outliers.add_shed(name, now)
                return AttemptResult.NOT_RUN, str(status)
            case ConnectFailed(detail, is_refused):
                if is_refused or not is_own_delay:
                    self.add_failure(name, now, detail, is_unreachable=True)
                return AttemptResult.NOT_REACHED, detail
            case NotSent(cause):
                return AttemptResult.NOT_REACHED, cause
            case Withdrawn():
                return AttemptResult.NOT_REACHED, "withdrawn"
            case AnswerLost(detail):
                self.add_failure(name, now, detail)
                return AttemptResult.ANSWER_LOST, detail
            case TimedOut():
                if had_time:
                    self.add_failure(name, now, "no answer in time", is_slow=True)
                return AttemptResult.TIMED_OUT, ""
            case BodyFailed(detail):
                return AttemptResult.BODY_FAILED, detail

    def _record_reach(
        self,
        sent: SentAttempt,
        outcome: Outcome,
        connecting: Connecting,
        now: float,
        *,
        is_own_delay: bool,
    ) -> None:
        """Record whether the connection of an attempt opened and was answered."""
        self._reach.end_wait(sent.wait)
        target = sent.choice.target
        opened_at = sent.started_at + connecting.took_s
        match outcome:
            case WholeAnswer() | PartialAnswer() | Rejected():
                self._chooser.unproven.add_answer(target)
                if connecting.is_reused:
                    self._reach.add_answer(now)
                else:
                    self._reach.add_answer(now, opened_at=opened_at)
            case ConnectFailed(detail, is_refused) if is_refused or not is_own_delay:
                self._reach.add_failure(target.name, detail, now)
            case AnswerLost(detail, is_closed=True):
                self._reach.add_failure(target.name, detail, now)

    def _add_latency(self, sent: SentAttempt, took_s: float, report: LoadReport | None) -> None:
        """Update the latency model by the duration of a successful answer."""
        target = sent.choice.target
        self._latency.add_answer(
            sent.kind,
            target.name,
            target.record.hall,
            sent.key,
            took_s=took_s,
            has_waited=sent.choice.estimate.wait_s > 0,
            slowness=report.slowness if report is not None else 1.0,
        )

    def _check_slowness(self, target: Target, took_s: float | None, now: float) -> None:
        """Eject a target if its successful answers take much longer than its service's.

        Parameters
        ----------
        took_s : float or None
            Duration of an answer; None if it is unknown because this process was stalled.
        """
        if took_s is None:
            self._outliers.add_untimed_success(target.name)
        elif self._outliers.add_success(target.name, target.record.service, took_s, now):
            self._log.event("targets", "Ejected a slow target.", target=target.name)

    def _report_observation(
        self, sent: SentAttempt, report: LoadReport | None, *, took_s: float
    ) -> None:
        """Send the observation of a successful answer to other entries."""
        if self.on_observation is None:
            return
        load = report._asdict() if report is not None else {}
        self.on_observation(
            Observation(
                sent.choice.target.name,
                sent.kind,
                sent.key,
                took_ms=round(took_s * 1000),
                has_waited=sent.choice.estimate.wait_s > 0,
                **load,
            )
        )

    def add_observation(self, observation: Observation, now: float) -> None:
        """Update the models by an answer that another entry of the hall received."""
        target = self._catalog.find_target(observation.target)
        if target is None:
            return
        report = observation.report
        self._chooser.unproven.add_answer(target)
        self._add_load(target, report, now)
        self._latency.add_answer(
            observation.kind,
            target.name,
            target.record.hall,
            observation.key,
            took_s=observation.took_ms / 1000,
            has_waited=observation.has_waited,
            slowness=report.slowness if report is not None else 1.0,
        )

    def add_failure(
        self,
        name: str,
        now: float,
        detail: str,
        *,
        is_unreachable: bool = False,
        is_slow: bool = False,
    ) -> None:
        """Count a failure of a target, and log it if the target is ejected.

        One that has never answered is checked before it gets requests again.

        Parameters
        ----------
        is_unreachable : bool, optional
            Whether no connection could be opened.
        is_slow : bool, optional
            Whether the target was too slow instead of failing.
        """
        target = self._catalog.find_target(name)
        if target is not None:
            self._chooser.unproven.add_failure(target, now)
        if self._outliers.add_failure(name, now, is_unreachable=is_unreachable, is_slow=is_slow):
            self._log.event("targets", "Ejected a failing target.", target=name, cause=detail)

    def forget_target(self, name: str) -> None:
        """Close the connections to a removed target and delete its data from all models."""
        self._pool.close_target(name)
        self._outliers.forget(name)
        self._loads.forget(name)
        self._latency.forget(name)
        self._chooser.forget(name)

    def _read_load(self, target: Target, answer: Answer, now: float) -> LoadReport | None:
        """Return the load report in a target's answer; count and log one that can't be read."""
        text = find(answer.headers, self._names.load)
        report = LoadReport.from_text(text) if text else None
        if text and report is None:
            self._metrics.add_bad_load()
            if now - self._bad_load_logged_at >= BAD_LOAD_LOG_INTERVAL_S:
                self._bad_load_logged_at = now
                self._log.event(
                    "targets",
                    "A target sent an unreadable load.",
                    target=target.name,
                    load=text[:BAD_LOAD_BYTES_LOGGED].decode("latin-1"),
                )
        return report

    def _add_load(self, target: Target, report: LoadReport | None, now: float) -> None:
        """Apply a target's load report."""
        if report is not None and self._chooser.settings.uses_reports:
            own_in_flight = self._chooser.in_flight[target.name]
            self._loads.add(
                target.name, report, now, own=own_in_flight, service=target.record.service
            )

    def _remove_replaced_target(self, name: str) -> None:
        """Remove a target whose address is now used by another incarnation."""
        self._catalog.drop_target(name)
        self.forget_target(name)
        self._log.event(
            "targets", "Removed: another incarnation listens at its address.", target=name
        )
