"""Forwards requests to another entry while this one can open no connection to any target.

The other entry handles a forwarded request as one of its own callers: it admits it, chooses the
target and keeps the bounds on targets, teams and retries.  A request travels one hop at most.  One
that the other entry does not admit is offered to the next: its configuration may be older.
"""

from __future__ import annotations

import asyncio
import random

import h11

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.choice import Choice, NoTarget
from halldoor.core.targets.peers import ForwardingSettings, PeerTable
from halldoor.core.targets.reach import ReachMonitor
from halldoor.gateway.answers import forward_answer, is_unadmitted, stream_answer
from halldoor.gateway.attempt import RequestResult, RequestState
from halldoor.gateway.caller import CallerConnection
from halldoor.gateway.connection import HttpConnection
from halldoor.gateway.exchange import OutgoingRequest, TargetExchanger
from halldoor.gateway.headers import FORWARDED_BY, UNADMITTED, HeaderNames, Headers, find
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import (
    AnswerLost,
    BodyFailed,
    ConnectFailed,
    NotSent,
    Outcome,
    PartialAnswer,
    Rejected,
    TimedOut,
    WholeAnswer,
    Withdrawn,
)
from halldoor.gateway.pool import TargetPool

MAX_ENTRIES = 5
"""Entries that a request is offered to; those that also reach no target refuse at once."""


class PeerExchanger(TargetExchanger):
    """Sender of requests to other entries, whose own answers carry neither id nor signature."""

    def _find_answer_fault(self, status: int, headers: Headers, outgoing: OutgoingRequest) -> str:
        """Accept every answer: the other entry has checked the target's."""
        return ""

    async def _read_head(
        self, connection: HttpConnection, outgoing: OutgoingRequest
    ) -> h11.Response:
        """Read the head of the answer; entries send no surplus ones."""
        return await connection.receive_head()


class PeerForwarder:
    """Sender of this entry's requests to other entries.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Lists the other entries.
    reach : ReachMonitor
        Knows whether this entry reaches any target.
    pool : TargetPool
        Connections to targets; those that were answered since the loss of all targets still work.
    names : HeaderNames
        Header names of callers and targets.

    Attributes
    ----------
    pool : TargetPool
        Connections to other entries.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        reach: ReachMonitor,
        pool: TargetPool,
        *,
        names: HeaderNames,
        settings: ForwardingSettings,
        metrics: GatewayMetrics,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._reach = reach
        self._target_pool = pool
        self._names = names
        self._settings = settings
        self._metrics = metrics
        self._peers = PeerTable(own)
        # Other entries take requests from entries' addresses only.
        self.pool = TargetPool(local_ip="" if own.relay is None else own.relay.ip)
        self._exchanger = PeerExchanger(self.pool, names, can_send=lambda _: True)
        self._random = random.Random()

    def is_needed(self, state: RequestState, choice: Choice | NoTarget) -> bool:
        """Check whether a request should be forwarded rather than sent to the chosen target."""
        loss = self._reach.loss
        if loss is None or not self._settings.forwards or state.origin.forwarded_by:
            return False
        if state.sent_count:
            return False  # The other entry would count its attempts from 0.
        if isinstance(choice, NoTarget):
            return True
        return not self._target_pool.has_answered_since(
            choice.target.name, state.route.kind, loss.probed_at
        )

    async def forward(
        self, caller: CallerConnection, state: RequestState, outgoing: OutgoingRequest
    ) -> RequestResult | None:
        """Forward a request and its answer; return None if no other entry takes it.

        After None no entry has run it, and all of it is still buffered or unread.
        """
        tried: list[str] = []
        while len(tried) < MAX_ENTRIES:
            peer = self._peers.choose(
                self._catalog.members.values(),
                asyncio.get_running_loop().time(),
                homes=state.route.home_regions,
                tried=tried,
                source=self._random,
            )
            if peer is None:
                return None
            tried.append(peer.name)
            result = await self._send(caller, state, outgoing, peer)
            if result is not None:
                return result
        return None

    async def _send(
        self,
        caller: CallerConnection,
        state: RequestState,
        outgoing: OutgoingRequest,
        peer: MemberRecord,
    ) -> RequestResult | None:
        """Forward a request to one entry; return None if that did not take it."""
        assert peer.relay is not None
        mark = state.origin.to_mark(self._own.name, state.service)
        headers = [*outgoing.headers, (FORWARDED_BY, mark)]
        credentials = find(state.head.headers, self._names.credentials)
        if credentials and not find(headers, self._names.credentials):
            headers.append((self._names.credentials, credentials))
        outcome, _ = await self._exchanger.send(
            outgoing._replace(headers=headers), peer.name, peer.relay
        )
        if isinstance(outcome, WholeAnswer) and is_unadmitted(
            outcome.answer, self._names, state.head.method, state.route.kind
        ):
            outcome = Rejected(outcome.answer.status, False, [(UNADMITTED, b"1")])
        result = await self._finish(caller, state, outgoing, outcome, peer)
        self._metrics.add_forwarded("sent", "refused" if result is None else str(result.status))
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, Rejected) and find(outcome.headers, UNADMITTED):
            return result  # It takes requests of other routes.
        if isinstance(outcome, WholeAnswer | PartialAnswer):
            self._peers.add_answer(peer.name)
        elif not isinstance(outcome, NotSent | BodyFailed):
            self._peers.add_refusal(peer.name, now)
        return result

    async def _finish(
        self,
        caller: CallerConnection,
        state: RequestState,
        outgoing: OutgoingRequest,
        outcome: Outcome,
        peer: MemberRecord,
    ) -> RequestResult | None:
        """Forward the answer of another entry; return None if it did not take the request."""
        match outcome:
            case WholeAnswer(answer):
                forward_answer(caller, state.head.method, answer)
                return RequestResult(answer.status, "forwarded", peer=peer.name)
            case PartialAnswer(answer):
                try:
                    failure = await stream_answer(caller, outcome, expires_at=outgoing.expires_at)
                finally:
                    self.pool.release(peer.name, outcome.connection)
                text = "forwarded" if failure is None else f"broke off: {failure or 'too late'}"
                return RequestResult(answer.status, text, peer=peer.name)
            case Rejected() if outgoing.rest is not None:
                return RequestResult(503, f"{peer.name} refused it while its body was sent")
            case Rejected() | ConnectFailed():
                return None
            case NotSent(cause):
                return RequestResult(503, f"not forwarded: {cause}")
            case BodyFailed(detail):
                return RequestResult(502, f"the caller's body failed: {detail}")
            case TimedOut():
                return RequestResult(504, f"no answer of {peer.name} in time")
            case AnswerLost(detail):
                return RequestResult(502, f"lost the answer of {peer.name}: {detail}")
            case Withdrawn():
                return None
