"""The HTTP interface of an entry: look-ups, tickets, requests, explanations, status."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec
import structlog
from returns.result import Failure

from halldoor.core.errors import Ran, Reason, Refusal, refuse, refuse_unknown
from halldoor.core.explaining.decision import (
    Decision,
    DecisionError,
    DecisionLog,
    explain,
    read_decision,
    sign_decision,
)
from halldoor.entry.activity import RunningRequests
from halldoor.entry.cancel import CallerWatcher
from halldoor.entry.dispatch import Dispatcher, Refused, Served
from halldoor.entry.lookups import LookupTable
from halldoor.entry.metrics import Metrics
from halldoor.entry.orders import Orders
from halldoor.entry.reader import (
    drop_halldoor_headers,
    mark_outcome_unknown,
    read_request,
    refuse_service,
)
from halldoor.entry.request import (
    Answer,
    Body,
    Request,
    RequestError,
    find_header,
)

log = structlog.get_logger(part="web")

MAX_RECORD_CHARS = 8_000
"""Most characters of a decision record sent in a header; longer records are not sent."""


class WebComponents(NamedTuple):
    """Components and functions that the HTTP interface uses."""

    dispatcher: Dispatcher
    orders: Orders
    decisions: DecisionLog
    metrics: Metrics
    watcher: CallerWatcher
    activity: RunningRequests
    get_lookups: Callable[[], LookupTable | None]
    get_status: Callable[[], dict[str, Any]]
    find_decision: Callable[[str], Decision | None]
    is_outdated: Callable[[], bool]
    decision_key: bytes


class Reply(NamedTuple):
    """A short answer of the entry itself, not of a target."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class WebApp:
    """The WSGI application of an entry."""

    def __init__(self, components: WebComponents) -> None:
        self._components = components

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one HTTP request."""
        path: str = environ["PATH_INFO"]
        try:
            if path.startswith("/s/"):
                return self._serve(environ, start_response)
            is_lookup = path == "/v1/lookup"
            reply = self._look_up(environ) if is_lookup else self._answer_control(path, environ)
        except Exception:
            log.exception("An HTTP request failed with an unexpected error.", path=path[:200])
            message = "The entry failed. Ask another entry; its log says more."
            reply = to_reply(refuse_unknown(Reason.BROKEN, message))
        return _send(start_response, reply)

    def _look_up(self, environ: dict[str, Any]) -> Reply:
        """Answer a look-up from the table of cached answers."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        service = query.get("service", [""])[0]
        table = self._components.get_lookups()
        if table is None:
            return to_reply(refuse(Reason.STARTING, "This entry is starting. Retry later."))
        client = query.get("client", [environ.get("REMOTE_ADDR", "")])[0]
        body = table.find(service, client)
        if body is None:
            is_outdated = self._components.is_outdated()
            return to_reply(refuse_service(service, is_outdated=is_outdated))
        self._components.metrics.add_lookup(service)
        return Reply(200, body)

    def _answer_control(self, path: str, environ: dict[str, Any]) -> Reply:
        """Answer tickets, metrics, status, explanations and health checks."""
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        if path == "/v1/tickets":
            return self._get_ticket(environ, query)
        if path == "/metrics":
            return Reply(
                200, self._components.metrics.render(), content_type="text/plain; version=0.0.4"
            )
        if path == "/v1/status":
            return Reply(200, msgspec.json.encode(self._components.get_status()))
        if path == "/v1/explain":
            return self._explain(query)
        if path == "/health":
            state = self._components.get_status()["state"]
            return Reply(200 if state == "serving" else 503, msgspec.json.encode({"state": state}))
        return to_reply(
            refuse(
                Reason.UNKNOWN_SERVICE,
                f"There is nothing at {path[:100]}. See docs/http.md for what there is.",
                retry_after_s=0.0,
            )
        )

    def _get_ticket(self, environ: dict[str, Any], query: dict[str, str]) -> Reply:
        """Issue a ticket; only by POST and marked not to be cached."""
        if environ["REQUEST_METHOD"] != "POST":
            message = "Tickets are issued by POST, so that no cache keeps one."
            return to_reply(refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0))
        issued = self._components.orders.get_ticket(query.get("operation_id", ""))
        if isinstance(issued, Failure):
            return to_reply(issued.failure())
        body = msgspec.json.encode({"ticket": issued.unwrap()})
        return Reply(200, body, (("Cache-Control", "no-store"),))

    def _explain(self, query: dict[str, str]) -> Reply:
        """Explain a decision, given its signed record, or its id while an entry still keeps it."""
        try:
            if "record" in query:
                found: Decision | None = read_decision(
                    query["record"], self._components.decision_key
                )
            else:
                found = self._components.find_decision(query.get("id", ""))
        except DecisionError as exc:
            return to_reply(refuse(Reason.BAD_REQUEST, str(exc), retry_after_s=0.0))
        if found is None:
            message = (
                "No entry that can be reached keeps this decision. "
                "Ask with the Halldoor-Decision-Record header instead."
            )
            return to_reply(refuse(Reason.UNKNOWN_SERVICE, message, retry_after_s=0.0))
        body = {"decision": msgspec.to_builtins(_to_fields(found)), "sentences": explain(found)}
        return Reply(200, msgspec.json.encode(body))

    def _serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Serve a request for a service, and count it as running until its answer is sent."""
        activity = self._components.activity
        activity.add()
        is_streaming = False
        try:
            pieces = self._serve_uncounted(environ, start)
            is_streaming = isinstance(pieces, _AnswerBody)
            return pieces
        finally:
            if not is_streaming:
                activity.remove()

    def _serve_uncounted(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Read a request for a service, run it, and start its answer."""
        started = time.monotonic()
        snapshot = self._components.dispatcher.snapshot
        read = read_request(environ, snapshot, is_outdated=self._components.is_outdated)
        if isinstance(read, Refusal):
            return _send(start, to_reply(mark_outcome_unknown(read, environ), close=True))
        request, body = read
        ticket = find_header(request.headers, "halldoor-ticket")
        request = request._replace(headers=drop_halldoor_headers(request.headers))
        with self._components.watcher.watch(
            environ.get("halldoor.socket"), request.cancellation.cancel
        ):
            outcome = self._run(request, body, ticket)
        latency_s = time.monotonic() - started
        return self._reply(outcome, request, body, start, latency_s)

    def _run(
        self, request: Request, body: Body, ticket: str
    ) -> Served | Answer | Refused | Refusal:
        """Dispatch a repeatable request directly, and any other one as an order."""
        try:
            if request.is_repeatable:
                result: Any = self._components.dispatcher.serve(request, body)
            else:
                result = self._components.orders.run(request, body, ticket)
        except RequestError as exc:
            return exc.refusal
        value: Served | Answer | Refused | Refusal
        value = result.failure() if isinstance(result, Failure) else result.unwrap()
        return value

    def _reply(
        self,
        outcome: Served | Answer | Refused | Refusal,
        request: Request,
        body: Body,
        start: Any,
        latency_s: float,
    ) -> Iterable[bytes]:
        """Start the HTTP answer of an outcome, and return its body."""
        extra = self._store_decision(outcome, request)
        if isinstance(outcome, Served | Answer):
            answer = outcome.answer if isinstance(outcome, Served) else outcome
            self._components.metrics.add_request(request.service, "served", latency_s)
            # A target that answers with a server error may or may not have run the request.
            ran = "ran" if answer.status < 500 else Ran.UNKNOWN.value
            headers = [*answer.headers, *extra, ("Halldoor-Ran", ran)]
            start(f"{answer.status} {_get_phrase(answer.status)}", headers)
            return _AnswerBody(answer, request, self._components.activity)
        refusal = outcome.refusal if isinstance(outcome, Refused) else outcome
        self._components.metrics.add_request(request.service, refusal.reason.value, latency_s)
        # Only at debug level: overload causes thousands of refusals, which metrics count and
        # decisions explain.
        log.debug(
            "A request was refused.",
            decision=request.id,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            detail=refusal.message,
        )
        reply = to_reply(refusal, decision=request.id, close=not body.is_whole)
        return _send(start, reply._replace(headers=(*reply.headers, *extra)))

    def _store_decision(
        self, outcome: Served | Answer | Refused | Refusal, request: Request
    ) -> list[tuple[str, str]]:
        """Store the decision, and return the headers with its id and signed record."""
        headers = [("Halldoor-Decision", request.id)]
        if isinstance(outcome, Served | Refused):
            self._components.decisions.add(outcome.decision)
            record = sign_decision(outcome.decision, self._components.decision_key)
            if len(record) <= MAX_RECORD_CHARS:
                headers.append(("Halldoor-Decision-Record", record))
        return headers


class _AnswerBody:
    """The body of an answer, as the WSGI server iterates over it.

    If the body breaks off, the error reaches the server, which closes the connection without
    the terminator or length that HTTP requires, so the caller detects a truncated answer.
    """

    def __init__(self, answer: Answer, request: Request, activity: RunningRequests) -> None:
        self._answer = answer
        self._request = request
        self._activity: RunningRequests | None = activity

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._answer
        except RequestError as exc:
            log.warning(
                "An answer broke off while it was sent to the caller.",
                decision=self._request.id,
                error=str(exc),
            )
            raise

    def close(self) -> None:
        """Discard the unread body and stop counting the request; the server always calls this."""
        self._answer.close()
        activity, self._activity = self._activity, None
        if activity is not None:
            activity.remove()


def to_reply(refusal: Refusal, *, decision: str = "", close: bool = False) -> Reply:
    """Build the HTTP answer of a refusal."""
    headers = [("Halldoor-Ran", refusal.ran.value), ("Cache-Control", "no-store")]
    if refusal.retry_after_s > 0:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
    if refusal.ticket:
        headers.append(("Halldoor-Ticket", refusal.ticket))
    if close:
        headers.append(("Connection", "close"))
    body = {
        "refused": refusal.reason.value,
        "ran": refusal.ran.value,
        "message": refusal.message,
        "retry_after_s": refusal.retry_after_s,
        "decision": decision,
    }
    return Reply(refusal.status, msgspec.json.encode(body), tuple(headers))


def _send(start: Any, reply: Reply) -> Iterable[bytes]:
    """Start a short HTTP answer and return its body."""
    headers = [
        ("Content-Type", reply.content_type),
        ("Content-Length", str(len(reply.body))),
        *reply.headers,
    ]
    start(f"{reply.status} {_get_phrase(reply.status)}", headers)
    return [reply.body]


_PHRASES = {200: "OK", 201: "Created", 204: "No Content", 400: "Bad Request", 404: "Not Found"}


def _get_phrase(status: int) -> str:
    """Return the HTTP reason phrase of a status."""
    return _PHRASES.get(status, "Answer" if status < 400 else "Refused")


def _to_fields(decision: Decision) -> dict[str, Any]:
    """Return a decision as a dict of its fields, with names for the parts of passed_over."""
    fields = {name: getattr(decision, name) for name in decision.__struct_fields__}
    fields["passed_over"] = [{"name": p.name, "why": p.why} for p in decision.passed_over]
    return fields
