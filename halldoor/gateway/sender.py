"""Send an admitted request to targets until one answers or a retry is forbidden."""

from __future__ import annotations

import asyncio

from halldoor.core.retry import RetryObstacle
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.choice import Choice, Chooser, NoTarget, name_kind
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.load import LoadTable
from halldoor.core.targets.target import Target
from halldoor.gateway.answers import forward_answer, stream_answer
from halldoor.gateway.attempt import (
    Attempt,
    AttemptResult,
    RequestResult,
    RequestState,
    TargetView,
)
from halldoor.gateway.caller import Answer, CallerConnection
from halldoor.gateway.connection import PeerClosedError
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.exchange import OutgoingRequest, TargetExchanger
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.flows import RegionFlowCounter
from halldoor.gateway.forwarding import PeerForwarder
from halldoor.gateway.hedging import RequestHedger, is_superseded
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import (
    NotSent,
    Outcome,
    PartialAnswer,
    TimedOut,
    WholeAnswer,
    get_answer_head,
    is_success,
)
from halldoor.gateway.permits import RetryPermits
from halldoor.gateway.pool import TargetPool
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.retries import RetryGate, is_worth_retry


class RequestSender:
    """Sender of admitted requests to targets.

    Parameters
    ----------
    catalog, chooser, loads, latency
        Target records, target selection, load reports and latency estimates.
    feedback : TargetFeedback
        Updates loads, latencies and outlier counts by the results of attempts.
    pool : TargetPool
        Connections to targets.
    exchanger : TargetExchanger
        Sends one request to one target.
    retries : RetryGate
        Decides whether a failed request may be retried.
    permits : RetryPermits
        Permits of all entries for retries of an entry that has just started.
    flows : RegionFlowCounter
        Counts requests by the region in which they run.
    quarantine : RequestQuarantine
        Blocks requests that crash targets.
    forwarder : PeerForwarder
        Forwards requests to other entries while no target can be reached.
    hedger : RequestHedger
        Sends a slow request to a second target.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        chooser: Chooser,
        loads: LoadTable,
        latency: LatencyModel,
        feedback: TargetFeedback,
        pool: TargetPool,
        exchanger: TargetExchanger,
        log: EventLog,
        metrics: GatewayMetrics,
        retries: RetryGate,
        permits: RetryPermits,
        flows: RegionFlowCounter,
        quarantine: RequestQuarantine,
        forwarder: PeerForwarder,
        hedger: RequestHedger,
    ) -> None:
        self._catalog = catalog
        self._chooser = chooser
        self._loads = loads
        self._latency = latency
        self._feedback = feedback
        self._pool = pool
        self._exchanger = exchanger
        self._log = log
        self._metrics = metrics
        self._retries = retries
        self._permits = permits
        self._flows = flows
        self._quarantine = quarantine
        self._forwarder = forwarder
        self._hedger = hedger

    def count_in_flight(self, target: str) -> int:
        """Count this entry's requests on a target."""
        return self._chooser.in_flight[target]

    async def send_until_answered(
        self, caller: CallerConnection, state: RequestState, outgoing: OutgoingRequest
    ) -> RequestResult:
        """Send the request to targets in turn until one answers or a retry is forbidden."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            if now >= outgoing.expires_at:
                return state.build_unanswered_result("time ran out", is_late=True)
            choice = self._chooser.choose(
                state.route, state.service, state.key, now, tried=state.tried_targets
            )
            if self._forwarder.is_needed(state, choice):
                result = await self._forwarder.forward(caller, state, outgoing)
                if result is not None:
                    if state.attempts:
                        self._retries.cancel_request(state.service)
                    return result
            if not state.attempts:
                # The entry that a request is forwarded to counts it for the retry budget.
                self._retries.add_request(state.service, now)
            if isinstance(choice, NoTarget):
                return state.build_unanswered_result(
                    str(choice), slot_free_after_s=choice.room_after_s, is_asked=choice.is_asked
                )
            outcome, target = await self._hedger.run(
                state,
                outgoing,
                choice,
                attempt=lambda choice, is_hedge: self._attempt(
                    state, outgoing, choice, is_hedge=is_hedge
                ),
            )
            if isinstance(outcome, PartialAnswer):
                return await self._stream_answer(caller, state, outgoing, outcome, target)
            if isinstance(outcome, WholeAnswer) and not is_worth_retry(state, outcome):
                return self._forward_answer(caller, state, outcome.answer, target)
            if isinstance(outcome, NotSent):
                return state.build_unanswered_result(outcome.cause, is_late=True)
            if isinstance(outcome, TimedOut):
                return state.build_unanswered_result("no answer in time", is_late=True)
            obstacle = await self._find_obstacle(state, outgoing)
            if obstacle is not None:
                if isinstance(outcome, WholeAnswer):
                    return self._forward_answer(caller, state, outcome.answer, target)
                backoff_s = self._chooser.find_backoff(
                    self._catalog.list_usable(state.service), now
                )
                return state.build_failed_result(obstacle, backoff_s=backoff_s)

    async def _find_obstacle(
        self, state: RequestState, outgoing: OutgoingRequest
    ) -> RetryObstacle | None:
        """Return what forbids another attempt; None if nothing does."""
        if self._quarantine.is_blocked(state.identity):
            return RetryObstacle.QUARANTINED
        now = asyncio.get_running_loop().time()
        obstacle = self._retries.find_obstacle(
            state, now, can_resend=outgoing.rest is None, expires_at=outgoing.expires_at
        )
        if obstacle is not RetryObstacle.BUDGET or not self._retries.is_new(now):
            return obstacle
        # The share of an entry that has just started holds no retries yet.
        is_permitted = await self._permits.acquire(
            state.service, self._retries.settings, left_s=outgoing.expires_at - now
        )
        if is_permitted and self._quarantine.is_blocked(state.identity):
            return RetryObstacle.QUARANTINED
        return None if is_permitted else obstacle

    async def _attempt(
        self,
        state: RequestState,
        outgoing: OutgoingRequest,
        choice: Choice,
        *,
        is_hedge: bool = False,
    ) -> Outcome:
        """Send the request to one target and record the result in state, models and metrics."""
        with self._chooser.count_in_flight(choice.target.name):
            return await self._attempt_counted(state, outgoing, choice, is_hedge=is_hedge)

    async def _attempt_counted(
        self, state: RequestState, outgoing: OutgoingRequest, choice: Choice, *, is_hedge: bool
    ) -> Outcome:
        """Send the request to one target, whose requests in flight include it already."""
        loop = asyncio.get_running_loop()
        target, name = choice.target, choice.target.name
        started = loop.time()
        view = self._build_target_view(choice, state.key, started)
        kind = name_kind(state.service, state.route)
        sent = self._feedback.start_attempt(choice, kind, state.key, started)
        self._flows.add(state.route, choice, started, is_retry=is_hedge or bool(state.attempts))
        try:
            outcome, connecting = await self._exchanger.send(outgoing, name, target.record.address)
        except asyncio.CancelledError as exc:
            self._feedback.cancel_attempt(sent)
            if is_superseded(exc):
                self._record_superseded(state, choice, view, loop.time() - started)
                raise
            self._quarantine.record_unanswered(state.identity, target)
            self._log.event(
                "request", "Caller left.", id=state.attempt_id, target=name, sent=state.sent_count
            )
            raise
        now = loop.time()
        took_s = now - started
        if is_success(outcome):
            self._hedger.add_time(state, choice, took_s)
        statement = self._feedback.read_statement(target, *get_answer_head(outcome), now)
        result, detail = self._feedback.add_outcome(sent, outcome, connecting, now)
        if not self._feedback.is_own_failure(sent, outcome, now):
            self._quarantine.add_outcome(state.identity, target, outcome)
        state.attempts.append(
            Attempt(
                name,
                view,
                result,
                detail,
                took_ms=round(took_s * 1000),
                connect_ms=round(connecting.took_s * 1000),
                is_reused=connecting.is_reused,
                statement=statement,
            )
        )
        self._metrics.add_attempt(
            state.service,
            result.value,
            took_s=took_s,
            connect_s=connecting.took_s,
            travel_s=choice.estimate.travel_s,
            distance=view.distance,
            is_known_key=view.has_sent_key,
        )
        return outcome

    def _record_superseded(
        self, state: RequestState, choice: Choice, view: TargetView, took_s: float
    ) -> None:
        """Record an attempt that was cancelled because another one was answered first."""
        self._hedger.add_time(state, choice, took_s)
        took_ms = round(took_s * 1000)
        name = choice.target.name
        state.attempts.append(
            Attempt(name, view, AttemptResult.SUPERSEDED, "", took_ms, 0, is_reused=False)
        )

    def _build_target_view(self, choice: Choice, key: str, now: float) -> TargetView:
        """Return this entry's current data on a target, for the log."""
        target = choice.target
        age_s = self._loads.get_report_age(target.name, now)
        return TargetView(
            # The count already includes this request.
            in_flight=self._chooser.in_flight[target.name] - 1,
            others=round(self._loads.estimate_others(target.name, now), 1),
            load=round(self._loads.get_load(target.name), 2),
            load_age_ms=None if age_s is None else round(age_s * 1000),
            load_old_ms=round(self._loads.get_stale_after_s(target.name) * 1000),
            pressure=round(self._loads.get_pressure(target.name), 2),
            is_cold=target.is_cold(now),
            limit_per_s=self._chooser.limits.get_limit(target.name, now),
            state_age_ms=round((now - max(self._catalog.last_update_at, target.stated_at)) * 1000),
            distance=self._chooser.orders.find_distance(target),
            place=choice.place,
            has_sent_key=self._latency.has_answered(target.name, key),
            expected_ms=round(choice.estimate.time_s * 1000),
            expected_wait_ms=round(choice.estimate.wait_s * 1000),
        )

    def _forward_answer(
        self, caller: CallerConnection, state: RequestState, answer: Answer, target: Target
    ) -> RequestResult:
        """Forward a target's complete answer to the caller."""
        forward_answer(caller, state.head.method, answer)
        return RequestResult(answer.status, "answered", target.name)

    async def _stream_answer(
        self,
        caller: CallerConnection,
        state: RequestState,
        outgoing: OutgoingRequest,
        partial: PartialAnswer,
        target: Target,
    ) -> RequestResult:
        """Forward a long answer piece by piece; abort it if the target fails or time runs out."""
        status = partial.answer.status
        try:
            with self._chooser.count_in_flight(target.name):
                failure = await stream_answer(caller, partial, expires_at=outgoing.expires_at)
        finally:
            # Closes the connection if the exchange did not complete.
            self._pool.release(target.name, partial.connection)
        if failure is not None:
            reason = str(failure) or "time ran out"
            self._feedback.add_failure(target.name, asyncio.get_running_loop().time(), reason)
            if isinstance(failure, PeerClosedError):
                self._quarantine.record_crash(state.identity, target)
            return RequestResult(status, f"broke off: {reason}", target.name)
        self._quarantine.record_successful_answer(state.identity)
        return RequestResult(status, "answered in pieces", target.name)
