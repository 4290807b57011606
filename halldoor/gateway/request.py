"""Admit a caller's request, have it sent to targets, and answer the caller."""

from __future__ import annotations

import asyncio
from random import Random

import h11

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.route import CallerLimits
from halldoor.core.targets.split import Splitter
from halldoor.core.teams.admission import AdmittedRequest, Refusal, RefusalReason
from halldoor.gateway.access import CallerAccess
from halldoor.gateway.answers import build_not_run_answer
from halldoor.gateway.attempt import (
    Origin,
    RequestResult,
    RequestState,
    build_gateway_answer,
    parse_affinity_key,
    parse_deadline_s,
)
from halldoor.gateway.body import build_too_long_result, read_request
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.exchange import OutgoingRequest, TargetExchanger
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.headers import HeaderNames, find
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.refusals import RefusalLog
from halldoor.gateway.retryafter import randomize_requested_backoff, randomize_retry_after
from halldoor.gateway.room import RequestRoom
from halldoor.gateway.sender import RequestSender
from halldoor.gateway.streams import BodyStreams

TOO_MANY_STREAMS = "too many bodies are still arriving"
"""Reason of a refusal."""


class RequestHandler:
    """Handler that admits and answers callers' requests.

    Parameters
    ----------
    catalog : Catalog
        The configuration, and the time of the last contact with the store.
    sender : RequestSender
        Sends admitted requests to targets.
    exchanger : TargetExchanger
        Builds the header fields that targets get.
    feedback : TargetFeedback
        Knows whether any target can be reached, for the log.
    names : HeaderNames
        Header names of callers and targets.
    access : CallerAccess
        Authorizes requests against routes, teams and quotas.
    splitter : Splitter
        Splits a route's requests between its services.
    quarantine : RequestQuarantine
        Blocks requests that crash targets.
    room : RequestRoom
        Reserves room in the buffers.
    streams : BodyStreams
        Bounds the requests whose bodies are still arriving when they are sent.

    Attributes
    ----------
    refusals : RefusalLog
        Logs and counts the requests that are refused here.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        sender: RequestSender,
        exchanger: TargetExchanger,
        feedback: TargetFeedback,
        names: HeaderNames,
        log: EventLog,
        metrics: GatewayMetrics,
        access: CallerAccess,
        splitter: Splitter,
        quarantine: RequestQuarantine,
        room: RequestRoom,
        streams: BodyStreams,
    ) -> None:
        self._catalog = catalog
        self._sender = sender
        self._exchanger = exchanger
        self._feedback = feedback
        self._names = names
        self._log = log
        self._metrics = metrics
        self._access = access
        self._splitter = splitter
        self._quarantine = quarantine
        self._room = room
        self._streams = streams
        self.refusals = RefusalLog(
            catalog, names, read_settings=lambda: access.settings, log=log, metrics=metrics
        )
        self._random = Random()
        self.running = 0

    def read_limits(self) -> CallerLimits:
        """Return the limits on callers in the current configuration, or the defaults."""
        routing = self._catalog.routing
        limits = routing.limits if routing is not None else CallerLimits()
        return limits._replace(may_be_wrong=True) if self._access.may_be_outdated() else limits

    async def confirm_limits(self) -> None:
        """Confirm the limits that a request exceeds; wait a short time where they may be old."""
        await self._access.confirm_limits()

    def count_in_flight(self, target: str) -> int:
        """Count this entry's requests on a target."""
        return self._sender.count_in_flight(target)

    async def handle(self, caller: CallerConnection, head: Head) -> None:
        """Process one request; answer 502 if the gateway itself fails."""
        await self.handle_forwarded(caller, head, Origin(caller.address))

    async def handle_forwarded(self, caller: CallerConnection, head: Head, origin: Origin) -> None:
        """Process a request that another entry may have forwarded."""
        self.running += 1
        try:
            await self._admit_and_send(caller, head, origin)
        except h11.RemoteProtocolError:
            raise  # The caller violated HTTP; its connection sends the error.
        except Exception as exc:
            attempt_id = find(head.headers, self._names.attempt_id).decode("latin-1")
            self._log.event(
                "request", "Request failed with an internal error.", id=attempt_id, cause=repr(exc)
            )
            if caller.has_answered:
                caller.abort()
            else:
                caller.send(build_gateway_answer(502, "failed inside"))
        finally:
            self.running -= 1

    async def _admit_and_send(self, caller: CallerConnection, head: Head, origin: Origin) -> None:
        """Admit a request, choose its service and deadline, send it and finish it."""
        admission = await self._admit(head)
        if isinstance(admission, Refusal):
            self._refuse_unadmitted(caller, head, origin, admission)
            return
        attempt_id = find(head.headers, self._names.attempt_id).decode("latin-1")
        route = admission.route
        key = parse_affinity_key(find(head.headers, self._names.affinity_key))
        if origin.service and not route.has_service(origin.service):
            self._access.gate.uncount(admission.team)
            refusal = Refusal(RefusalReason.OTHER_SERVICE, admission.team)
            self._refuse_unadmitted(caller, head, origin, refusal)
            return
        service = origin.service or self._splitter.choose(route, key or attempt_id)
        affinity = key if route.has_affinity else ""
        state = RequestState(head, admission, service, affinity, attempt_id, origin=origin)
        try:
            result = await self._room.reserve(caller.account, state)
            if result is None:
                result = await self._send(caller, state)
            self._finish(caller, state, result)
        finally:
            state.close_buffers()

    async def _send(self, caller: CallerConnection, state: RequestState) -> RequestResult:
        """Read an admitted request, and send it to targets."""
        head, route = state.head, state.route
        caller_s = parse_deadline_s(find(head.headers, self._names.deadline_ms))
        expires_at = head.received_at + min(caller_s, route.timeout_s)
        headers = self._exchanger.build_headers(
            head, team=state.team, has_teams=self._access.has_teams
        )
        outgoing = await read_request(caller, state, headers, expires_at)
        if isinstance(outgoing, RequestResult):
            return outgoing
        result = await self._quarantine.admit(state.identity)
        if result is None and outgoing.rest is None:
            result = await self._sender.send_until_answered(caller, state, outgoing)
        elif result is None:
            result = await self._stream(caller, state, outgoing)
        if caller.is_body_too_long and not result.is_forwarded:
            result = build_too_long_result(caller, state)
        return result

    async def _stream(
        self, caller: CallerConnection, state: RequestState, outgoing: OutgoingRequest
    ) -> RequestResult:
        """Send a request whose body is still arriving, unless too many such are under way."""
        async with self._streams.enter(caller, state.service) as may_begin:
            if may_begin:
                return await self._sender.send_until_answered(caller, state, outgoing)
        self._metrics.add_refusal("503", TOO_MANY_STREAMS)
        return RequestResult(503, TOO_MANY_STREAMS)

    async def _admit(self, head: Head) -> AdmittedRequest | Refusal:
        """Admit a request by the configuration in force now.

        It may have waited behind others since its head was read.  Where the configuration may be
        old, the store is asked first.
        """
        loop = asyncio.get_running_loop()
        admission = self._access.admit(head, loop.time())
        if not isinstance(admission, Refusal) or not admission.reason.depends_on_age:
            return admission
        if admission.reason is not RefusalReason.OLD_CONFIGURATION:
            self._access.confirm()
            return admission
        await self._access.wait_for_confirmation()
        return self._access.admit(head, loop.time())

    def record_error(self, status: int, head: Head | None, caller: str) -> None:
        """Record an error that a connection answers outside of a request."""
        self.refusals.record_error(status, head, caller)

    def _finish(self, caller: CallerConnection, state: RequestState, result: RequestResult) -> None:
        """Send the gateway's own answer unless a target's was forwarded; log and count."""
        if not result.is_forwarded:
            randomize = randomize_requested_backoff if result.is_asked else randomize_retry_after
            after_s = randomize(result.retry_after_s, self._random)
            caller.send(build_gateway_answer(result.status, result.outcome, retry_after_s=after_s))
        self._room.record_answer(state, result)
        if not state.may_have_run:
            self._access.gate.uncount(state.team)
        now = asyncio.get_running_loop().time()
        took_s = now - state.head.received_at
        self._metrics.add_request(state.service, str(result.status), took_s)
        fields = {
            "route": state.route.name,
            "service": state.service,
            "team": state.team,
            "key": state.key,
            "digest": state.identity.digest,
            "caller": state.identity.caller,
            "target": result.target,
            "peer": result.peer,
            "forwarded_by": state.origin.forwarded_by,
            **({"requests_ahead": caller.requests_ahead} if caller.requests_ahead else {}),
            "took_ms": round(took_s * 1000),
            "aim_ms": round(state.route.aim_s * 1000),
            "attempts": [attempt.to_fields() for attempt in state.attempts],
            "version": self._catalog.configuration_version,
            "store_age_ms": round((now - self._catalog.store_contact_at) * 1000),
            **self._feedback.describe_reach(now),
        }
        if result.is_forwarded or result.status >= 500:
            self._log.request(state.attempt_id, result.status, result.outcome, **fields)
            return
        self.refusals.record(
            result.status,
            result.outcome,
            head=state.head,
            caller=state.origin.address,
            build_fields=lambda: fields,
        )

    def _refuse_unadmitted(
        self, caller: CallerConnection, head: Head, origin: Origin, refusal: Refusal
    ) -> None:
        """Answer, log and count a request that was not admitted."""
        caller.send(self._build_refusal(refusal, head, origin))
        self._metrics.add_request("", str(refusal.status), 0.0)
        quota = refusal.quota._asdict() if refusal.quota is not None else {}
        if quota:
            self._metrics.add_over_quota(refusal.team)
        self.refusals.record(
            refusal.status,
            refusal.reason.value,
            head=head,
            caller=origin.address,
            build_fields=lambda: {
                "team": refusal.team,
                "key_digest": refusal.key_digest,
                "forwarded_by": origin.forwarded_by,
                **{f"quota_{name}": value for name, value in quota.items()},
            },
        )

    def _build_refusal(self, refusal: Refusal, head: Head, origin: Origin) -> Answer:
        """Build the answer to a request that is not admitted.

        A forwarded one was admitted by the other entry, whose configuration may be newer.
        """
        if origin.forwarded_by:
            attempt_id = find(head.headers, self._names.attempt_id)
            return build_not_run_answer(attempt_id, refusal.reason, self._names, is_unadmitted=True)
        return self._access.build_answer(refusal)
