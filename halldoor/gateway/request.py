"""Decide and carry out what happens to one caller's request."""

from __future__ import annotations

import asyncio

import h11

from halldoor.core.budget import RetrySettings, RetryShare
from halldoor.core.catalog import Catalog, Target
from halldoor.core.choice import Chooser, NoTarget
from halldoor.core.load import LoadReport, LoadTable
from halldoor.core.outlier import OutlierTable
from halldoor.core.route import CallerLimits, RequestKind, RouteTable, Routing
from halldoor.core.split import Splitter
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.connection import ConnectionBrokenError
from halldoor.gateway.exchange import (
    BODY_BUFFER,
    Exchanger,
    Expired,
    Lost,
    Outcome,
    Sending,
    Streaming,
    TurnedAway,
    Unreached,
    Whole,
)
from halldoor.gateway.headers import HeaderNames, drop_hop_by_hop, find
from halldoor.gateway.logbook import Logbook
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.passage import Passage, build_own_answer, read_ms
from halldoor.gateway.pool import TargetPool

UNREACHED_LIMIT = 3
"""Targets in a row that may fail to connect before a request is refused."""
SERVER_ERROR = 500
TIMED_OUT = 504


class RequestHandler:
    """Handle callers' requests.

    Parameters
    ----------
    catalog, chooser, outliers, loads
        What is known of targets, and the choice between them.
    pool : TargetPool
        Connections to targets.
    names : HeaderNames
        Header names of callers and targets.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        chooser: Chooser,
        outliers: OutlierTable,
        loads: LoadTable,
        pool: TargetPool,
        names: HeaderNames,
        logbook: Logbook,
        metrics: GatewayMetrics,
        retries: RetrySettings,
    ) -> None:
        self._catalog = catalog
        self._chooser = chooser
        self._outliers = outliers
        self._loads = loads
        self._pool = pool
        self._names = names
        self._exchanger = Exchanger(pool, names)
        self._logbook = logbook
        self._metrics = metrics
        self._retries = retries
        self._splitter = Splitter()
        self._table: RouteTable | None = None
        self._shares: dict[str, RetryShare] = {}
        self.running = 0

    def read_limits(self) -> CallerLimits:
        """Give the limits on callers that are in force."""
        routing = self._catalog.routing
        return routing.limits if routing is not None else CallerLimits()

    async def handle(self, caller: CallerConnection, head: Head) -> None:
        """Answer one request."""
        self.running += 1
        try:
            await self._route(caller, head)
        except h11.RemoteProtocolError:
            raise  # The caller's own fault; its connection answers it.
        except Exception as exc:
            attempt_id = find(head.headers, self._names.attempt_id).decode("latin-1")
            self._logbook.event("request", "Failed inside.", id=attempt_id, cause=repr(exc))
            if caller.has_answered:
                caller.abort()
            else:
                caller.send(build_own_answer(502, "failed inside"))
        finally:
            self.running -= 1

    async def _route(self, caller: CallerConnection, head: Head) -> None:
        """Find the route and the time limit of a request."""
        table = self._find_table()
        attempt_id = find(head.headers, self._names.attempt_id).decode("latin-1")
        if table is None:
            self._refuse_early(caller, attempt_id, 503, "no configuration yet")
            return
        host = find(head.headers, b"host").decode("latin-1")
        route = table.find(host, head.target.decode("latin-1"))
        if route is None:
            self._refuse_early(caller, attempt_id, 404, "no route")
            return
        key = find(head.headers, self._names.affinity_key).decode("latin-1")
        service = self._splitter.choose(route, key or attempt_id)
        passage = Passage(head, route, service, key if route.has_affinity else "", attempt_id)
        caller_s = read_ms(find(head.headers, self._names.deadline_ms))
        expires_at = head.received_at + min(caller_s, route.timeout_s)
        sending = await self._read_body(caller, passage, expires_at, table.routing.limits)
        if sending is not None:
            await self._carry(caller, passage, sending)

    def _find_table(self) -> RouteTable | None:
        """Give the routes in force; None where no configuration is known."""
        routing = self._catalog.routing
        if routing is None:
            return None
        if self._table is None or self._table.routing is not routing:
            self._table = RouteTable(routing)
            self._splitter.forget_except(routing.routes)
        return self._table

    async def _read_body(
        self, caller: CallerConnection, passage: Passage, expires_at: float, limits: CallerLimits
    ) -> Sending | None:
        """Read the body up to the limit of the buffer; None where it was refused."""
        head = passage.head
        announced = find(head.headers, b"content-length")
        if announced and int(announced) > limits.body_bytes:
            self._finish(caller, passage, 413, "body too long")
            return None
        body = bytearray()
        rest: CallerConnection | None = caller
        try:
            async with asyncio.timeout_at(expires_at):
                while len(body) <= BODY_BUFFER:
                    piece = await caller.read_body()
                    if piece is None:
                        rest = None
                        break
                    body += piece
        except TimeoutError:
            self._finish(caller, passage, 408, "body came too slowly")
            return None
        return Sending(
            head,
            self._exchanger.build_headers(head),
            passage.attempt_id.encode("latin-1"),
            bytes(body),
            rest,
            passage.route.kind,
            expires_at,
        )

    async def _carry(self, caller: CallerConnection, passage: Passage, sending: Sending) -> None:
        """Send the request to targets until there is an answer or a reason to give up."""
        loop = asyncio.get_running_loop()
        share = self._share(passage.service)
        share.add_request(loop.time())
        while True:
            now = loop.time()
            if now >= sending.expires_at:
                self._give_up(caller, passage, "time ran out")
                return
            target = self._chooser.choose(
                passage.route, passage.service, passage.key, now, tried=passage.tried
            )
            if isinstance(target, NoTarget):
                passed = ",".join(f"{k}={v}" for k, v in target.passed_over.items())
                self._give_up(caller, passage, f"{target.reason} {passed}".strip())
                return
            outcome = await self._try(passage, sending, target)
            if isinstance(outcome, Whole):
                if not _is_worth_retry(passage, outcome):
                    self._deliver(caller, passage, outcome.answer, target)
                    return
            elif isinstance(outcome, Streaming):
                await self._stream(caller, passage, outcome, target)
                return
            elif isinstance(outcome, Expired):
                self._give_up(caller, passage, "no answer in time")
                return
            if not self._may_go_on(passage, sending, outcome, share):
                if isinstance(outcome, Whole):
                    self._deliver(caller, passage, outcome.answer, target)
                else:
                    self._give_up(caller, passage, passage.notes[-1])
                return

    async def _try(self, passage: Passage, sending: Sending, target: Target) -> Outcome:
        """Send the request to one target and take note of the result."""
        name = target.name
        started = asyncio.get_running_loop().time()
        passage.tried.append(name)
        self._chooser.in_flight[name] += 1
        try:
            outcome = await self._exchanger.send(sending, name, target.record.address)
        except asyncio.CancelledError:
            self._logbook.event(
                "request", "Caller left.", id=passage.attempt_id, target=name, sent=passage.attempts
            )
            raise
        finally:
            self._chooser.in_flight[name] -= 1
            if self._chooser.in_flight[name] <= 0:
                del self._chooser.in_flight[name]
        now = asyncio.get_running_loop().time()
        self._note(passage, target, outcome, now, took_s=now - started)
        self._metrics.add_attempt(passage.service, type(outcome).__name__, now - started)
        return outcome

    def _note(
        self, passage: Passage, target: Target, outcome: Outcome, now: float, *, took_s: float
    ) -> None:
        """Learn from the result of one attempt."""
        name = target.name
        if isinstance(outcome, Whole | Streaming):
            report = LoadReport.from_text(find(outcome.answer.headers, self._names.load))
            if report is not None:
                self._loads.add(name, report, now)
        if isinstance(outcome, Unreached):
            passage.unreached += 1
        else:
            passage.attempts += 1
        match outcome:
            case Whole(answer) if answer.status < SERVER_ERROR:
                if self._outliers.add_success(name, passage.service, took_s, now):
                    self._logbook.event("targets", "Ejected a slow target.", target=name)
                passage.may_have_run = True
                passage.notes.append(f"{name}: {answer.status}")
            case Whole(answer):
                passage.may_have_run = True
                passage.notes.append(f"{name}: failed with {answer.status}")
                self._eject(name, now, passage.notes[-1], is_slow=answer.status == TIMED_OUT)
            case Streaming():
                passage.may_have_run = True
            case TurnedAway(status, is_other):
                passage.notes.append(f"{name}: not run, {status}")
                if is_other:
                    self._drop(name)
                else:
                    self._outliers.add_shed(name, now)
            case Unreached(detail):
                passage.notes.append(f"{name}: not reached, {detail}")
                self._eject(name, now, detail, is_dead=True)
            case Lost(detail):
                passage.may_have_run = True
                passage.notes.append(f"{name}: answer lost, {detail}")
                self._eject(name, now, detail)
            case Expired():
                passage.may_have_run = True
                passage.notes.append(f"{name}: no answer in time")
                self._eject(name, now, "no answer in time", is_slow=True)

    def _eject(
        self, name: str, now: float, detail: str, *, is_dead: bool = False, is_slow: bool = False
    ) -> None:
        """Count a failure of a target."""
        if self._outliers.add_failure(name, now, is_dead=is_dead, is_slow=is_slow):
            self._logbook.event("targets", "Ejected a failing target.", target=name, cause=detail)

    def forget_target(self, name: str) -> None:
        """Drop the connections to a target that is gone, and what was learnt of it."""
        self._pool.forget(name)
        self._outliers.forget(name)
        self._loads.forget(name)
        self._chooser.forget(name)

    def _drop(self, name: str) -> None:
        """Forget a target whose address now belongs to another."""
        self._catalog.drop_target(name)
        self.forget_target(name)
        self._logbook.event("targets", "Dropped: its address answers for another.", target=name)

    def _may_go_on(
        self, passage: Passage, sending: Sending, outcome: Outcome, share: RetryShare
    ) -> bool:
        """Tell whether another target may be tried."""
        if passage.unreached >= UNREACHED_LIMIT or sending.rest is not None:
            return False
        if passage.may_have_run and passage.route.kind is not RequestKind.REPEATABLE:
            return False
        if passage.attempts == 0:
            return True
        if passage.attempts >= passage.route.max_attempts:
            return False
        if isinstance(outcome, Unreached):
            return True
        now = asyncio.get_running_loop().time()
        return share.take_retry(now, entries=self._catalog.count_sharers(now))

    def _share(self, service: str) -> RetryShare:
        """Give this entry's share of a service's retry budget."""
        share = self._shares.get(service)
        if share is None:
            share = RetryShare(**self._retries._asdict())
            self._shares[service] = share
        return share

    # Answers

    def _deliver(
        self, caller: CallerConnection, passage: Passage, answer: Answer, target: Target
    ) -> None:
        """Pass a target's whole answer on."""
        headers = drop_hop_by_hop(answer.headers)
        if passage.head.method == b"HEAD":
            caller.send_head(answer.status, headers, answer.reason)
            caller.end()
        else:
            caller.send(answer._replace(headers=headers))
        self._record(passage, answer.status, "answered", target.name)

    async def _stream(
        self, caller: CallerConnection, passage: Passage, outcome: Streaming, target: Target
    ) -> None:
        """Pass a long answer on as it comes; break off where it breaks off."""
        answer, connection = outcome
        headers = drop_hop_by_hop(answer.headers)
        if not find(headers, b"content-length"):
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        try:
            caller.send_head(answer.status, headers, answer.reason)
            await caller.send_data(answer.body)
            while not isinstance(event := await connection.receive(), h11.EndOfMessage):
                await caller.send_data(bytes(event.data))
            caller.end()
        except ConnectionBrokenError as exc:
            self._eject(target.name, asyncio.get_running_loop().time(), str(exc))
            self._record(passage, answer.status, f"broke off: {exc}", target.name)
            caller.abort()
        else:
            self._record(passage, answer.status, "answered in pieces", target.name)
        finally:
            # It closes the connection where the exchange did not end cleanly.
            self._pool.give_back(target.name, connection)

    def _give_up(self, caller: CallerConnection, passage: Passage, reason: str) -> None:
        """Answer a request that no target answered: truly "not run", or outcome unknown."""
        if not passage.may_have_run:
            self._finish(caller, passage, 503, reason)
        else:
            self._finish(caller, passage, 504 if "time" in reason else 502, reason)

    def _finish(self, caller: CallerConnection, passage: Passage, status: int, reason: str) -> None:
        """Send an answer of the gateway's own."""
        caller.send(build_own_answer(status, reason))
        self._record(passage, status, reason, "")

    def _refuse_early(
        self, caller: CallerConnection, attempt_id: str, status: int, reason: str
    ) -> None:
        """Refuse a request that has no route."""
        caller.send(build_own_answer(status, reason))
        self._metrics.add_request("", str(status), 0.0)
        self._logbook.request(attempt_id, status, reason, version=self._version())

    def _record(self, passage: Passage, status: int, outcome: str, target: str) -> None:
        """Log and count the end of a request."""
        took_s = asyncio.get_running_loop().time() - passage.head.received_at
        self._metrics.add_request(passage.service, str(status), took_s)
        self._logbook.request(
            passage.attempt_id,
            status,
            outcome,
            route=passage.route.name,
            service=passage.service,
            key=passage.key,
            target=target,
            took_ms=round(took_s * 1000),
            attempts=passage.attempts,
            notes=passage.notes,
            version=self._version(),
        )

    def _version(self) -> int:
        """Give the version of the configuration in force; 0 where there is none."""
        routing: Routing | None = self._catalog.routing
        return routing.version if routing is not None else 0


def _is_worth_retry(passage: Passage, outcome: Whole) -> bool:
    """Tell whether a target's failure may be answered better by another target."""
    return (
        passage.route.kind is RequestKind.REPEATABLE
        and outcome.answer.status >= SERVER_ERROR
        and outcome.answer.status != TIMED_OUT
    )
