"""Orders: requests that run at most once, identified by a ticket or by the caller's own id."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator

from returns.result import Failure, Result, Success

from halldoor.core.errors import (
    PeerError,
    Ran,
    Reason,
    Refusal,
    refuse,
    refuse_unknown,
)
from halldoor.core.invariant import Invariants
from halldoor.core.orders.claim import Claim, parse_time_ms
from halldoor.core.orders.ticket import Answer as KeptAnswer
from halldoor.core.orders.ticket import Ledger, State, Ticket, TicketRecord, decode_ticket
from halldoor.core.steering.configuration import EntryHost
from halldoor.entry.claims import ClaimTask
from halldoor.entry.dispatch import Refused, Served
from halldoor.entry.outcome import HallRefusal
from halldoor.entry.refusals import (
    refuse_dropped_outcome,
    refuse_platform_down,
    refuse_stopped_issuer,
    refuse_ticket,
    refuse_unreachable,
    refuse_with_ticket,
)
from halldoor.entry.remote import TO_ISSUER, RequestForwarder
from halldoor.entry.request import Answer, Body, Request, RequestError
from halldoor.wire.client import PeerPool
from halldoor.wire.convert import from_thrift_refusal

KEPT_BODY_BYTES = 65_536
"""Largest answer body, in bytes, that is stored for repeats of an order."""

Serve = Callable[[Request, Body], Result[Served, Refused]]
FindEntry = Callable[[str], EntryHost | None]
Outcome = Result[Served | Answer, Refused | Refusal]


class Orders:
    """Issues tickets and runs orders, each at most once.

    Parameters
    ----------
    ledger : Ledger
        Tickets of this process.
    claims : ClaimTask
        The claims task.
    serve : callable
        Routes a request.
    remote : RequestForwarder
        Forwards orders to the entries that issued their tickets.
    peers : PeerPool
        Connections for calls to issuers.
    find_entry : callable
        Finds an entry of the configuration by name.
    invariants : Invariants
        Counters of violated invariants.
    """

    def __init__(
        self,
        ledger: Ledger,
        *,
        claims: ClaimTask,
        serve: Serve,
        remote: RequestForwarder,
        peers: PeerPool,
        find_entry: FindEntry,
        invariants: Invariants,
    ) -> None:
        self._ledger = ledger
        self._lock = threading.Lock()
        self._claims = claims
        self._serve = serve
        self._remote = remote
        self._peers = peers
        self._find_entry = find_entry
        self._invariants = invariants
        self._sent: set[int] = set()
        claims.on_claimed = self._issue_claimed

    def _issue_claimed(self, operation: str) -> None:
        """Issue the ticket of an id that this process has just claimed."""
        with self._lock:
            self._ledger.issue(operation, now=time.monotonic())

    def get_ticket(self, operation: str) -> Result[str, Refusal]:
        """Issue a ticket; for a caller's own id always the same ticket.

        Without an id the platform isn't needed, so this works in a hall that is cut off from it.
        """
        if not operation:
            return self._issue("")
        held = self._claim_operation(operation, is_order=False)
        if isinstance(held, Failure):
            return held
        holder = held.unwrap()
        if self.is_own_claim(holder):
            return self._issue(operation)
        return self._fetch_ticket(holder, operation)

    def is_own_claim(self, holder: Claim) -> bool:
        """Check whether a claim is held by this process."""
        return holder == Claim(self._ledger.issuer, self._ledger.incarnation)

    def issue_claimed(self, operation: str, incarnation: str) -> Result[str, Refusal]:
        """Issue the ticket of an id on behalf of a peer that found it claimed by this process."""
        if incarnation != self._ledger.incarnation:
            return Failure(refuse_stopped_issuer())
        return self._issue(operation)

    def _issue(self, operation: str) -> Result[str, Refusal]:
        """Issue a ticket from this ledger; for an id, the one issued when it was claimed."""
        if operation and not self._has_ledger_entry(operation):
            return Failure(refuse_dropped_outcome())
        with self._lock:
            text = self._ledger.issue(operation, now=time.monotonic())
        if text is None:
            message = "Too many tickets are open at this entry. Use another entry, or retry later."
            return Failure(refuse(Reason.NO_ROOM, message))
        return Success(text)

    def _has_ledger_entry(self, operation: str) -> bool:
        """Check whether the ledger contains an id that this process has claimed.

        Other entries can see the claim shortly before its ledger entry exists.  The claims
        task handles requests in order, so a second claim request waits until it does.
        """
        if self._ledger.find(operation) is None:
            self._claims.request_claim(operation)
        return self._ledger.find(operation) is not None

    def _fetch_ticket(self, holder: Claim, operation: str) -> Result[str, Refusal]:
        """Fetch the ticket of an id from the process that holds its claim."""
        entry = self._find_entry(holder.issuer)
        if entry is None:
            return Failure(refuse_stopped_issuer())
        try:
            reply = self._peers.call(
                entry.wire,
                "get_ticket",
                timeout_s=1.0,
                operation_id=operation,
                incarnation=holder.incarnation,
            )
        except PeerError:
            return Failure(refuse_unreachable(holder.issuer))
        if reply.refusal is not None:
            return Failure(from_thrift_refusal(reply.refusal))
        return Success(reply.ticket)

    def _claim_operation(self, operation: str, *, is_order: bool) -> Result[Claim, Refusal]:
        """Claim an id for this process, and return the process that holds the claim."""
        if parse_time_ms(operation) is None:
            message = (
                f"Operation-Id {operation[:60]!r} is no version 7 UUID in lower case. "
                "Make one per operation, such as 01890a5d-ac96-774b-bcce-b302099a8057."
            )
            return Failure(refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0))
        claimed = self._claims.request_claim(operation)
        if isinstance(claimed, Failure):
            return Failure(refuse_platform_down(is_order=is_order))
        holder = claimed.unwrap()
        if holder is None:
            message = "This operation id is older than what is remembered. Look up whether it ran."
            return Failure(refuse_unknown(Reason.TICKET_USED, message))
        return Success(holder)

    def run(self, request: Request, body: Body, ticket: str) -> Outcome:
        """Run an order that a caller sent to this entry.

        Parameters
        ----------
        request : Request
            The order; `Request.operation_id` is the caller's own id or empty.
        body : Body
            Its body.
        ticket : str
            The ticket's text, or empty.
        """
        if ticket:
            return self._run_with_ticket(request, body, ticket)
        if not request.operation_id:
            message = (
                "This operation must not repeat. Get a ticket by POST /v1/tickets and send it as "
                "Halldoor-Ticket, or send your own Operation-Id."
            )
            return Failure(refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0))
        held = self._claim_operation(request.operation_id, is_order=True)
        if isinstance(held, Failure):
            return held
        holder = held.unwrap()
        if self.is_own_claim(holder):
            return self.run_claimed(request, body)
        return self._forward_claimed(holder, request, body)

    def _forward_claimed(self, holder: Claim, request: Request, body: Body) -> Outcome:
        """Forward an order with a caller's own id to the process that holds its claim."""
        entry = self._find_entry(holder.issuer)
        if entry is None:
            return Failure(refuse_stopped_issuer())
        # The incarnation is sent in the ticket field, so that a restarted entry refuses.
        return self._forward(entry, request, body, f"{_CLAIM_PREFIX}{holder.incarnation}")

    def _run_with_ticket(self, request: Request, body: Body, text: str) -> Outcome:
        """Run an order by its ticket: here, or at the entry that issued the ticket."""
        read = decode_ticket(text)
        if read is None:
            return Failure(refuse_ticket("It can't be read."))
        ticket, payload, mac = read
        if request.operation_id and request.operation_id != ticket.operation:
            return Failure(refuse_ticket("It was issued for another Operation-Id."))
        if ticket.issuer != self._ledger.issuer:
            entry = self._find_entry(ticket.issuer)
            if entry is None:
                return Failure(refuse_stopped_issuer())
            return self._forward(entry, request, body, text)
        if ticket.incarnation != self._ledger.incarnation:
            return Failure(refuse_stopped_issuer())
        if not self._ledger.is_genuine(ticket, payload, mac):
            return Failure(refuse_ticket("It is not genuine."))
        return self._run_once(ticket, request, body)

    def run_forwarded(self, request: Request, body: Body, text: str) -> Outcome:
        """Run an order that another entry forwarded to this issuer; never forward it again."""
        if text.startswith(_CLAIM_PREFIX):
            if text[len(_CLAIM_PREFIX) :] != self._ledger.incarnation:
                return Failure(refuse_stopped_issuer())
            return self.run_claimed(request, body)
        read = decode_ticket(text)
        if read is None or read[0].issuer != self._ledger.issuer:
            return Failure(refuse_ticket("It was passed to the wrong entry."))
        return self._run_with_ticket(request, body, text)

    def run_claimed(self, request: Request, body: Body) -> Outcome:
        """Run an order that has no ticket, and whose id this process has claimed.

        Only the first attempt can run without a ticket.  After a "not run" refusal, the next
        attempt needs the new ticket in that refusal: a late copy of the first call must
        not run after its caller received the refusal.
        """
        operation = request.operation_id
        if not self._has_ledger_entry(operation):
            return Failure(refuse_dropped_outcome())
        with self._lock:
            ledger_entry = self._ledger.find(operation)
            if ledger_entry is None:
                return Failure(refuse_dropped_outcome())
            is_later = ledger_entry.state == State.ISSUED and ledger_entry.attempt > 1
            if is_later or ledger_entry.state == State.NOT_RUN:
                fresh = self._ledger.issue(operation, now=time.monotonic())
                return Failure(refuse_with_ticket(fresh or ""))
        return self._run_once(ledger_entry.ticket, request, body)

    def _forward(self, entry: EntryHost, request: Request, body: Body, ticket: str) -> Outcome:
        """Forward an order to the entry that issued its ticket or holds its claim."""
        result = self._remote.send([entry], request, body, kind=TO_ISSUER, ticket=ticket)
        if isinstance(result, Success):
            return Success(result.unwrap())
        failure: HallRefusal = result.failure()
        refusal = failure.refusal
        if refusal.reason == Reason.BROKEN and refusal.ran == Ran.NOT_RUN:
            # This call reached no entry, but an earlier one with the ticket may have.
            return Failure(refuse_unreachable(entry.name))
        return Failure(refusal)

    def _run_once(self, ticket: Ticket, request: Request, body: Body) -> Outcome:
        """Mark the ticket as used and run the order, or return the outcome of its first run."""
        with self._lock:
            taken = self._ledger.mark_sent(ticket, now=time.monotonic())
            if isinstance(taken, Refusal):
                return Failure(self._attach_new_ticket(ticket, taken))
            if taken.state == State.SENT:
                self._invariants.check(
                    ticket.sequence not in self._sent, "sent-once", ticket.operation
                )
                self._sent.add(ticket.sequence)
        if taken.state != State.SENT:
            return Success(_replay_answer(taken))
        is_settled = False
        try:
            outcome = self._send(ticket, request._replace(operation_id=ticket.operation), body)
            is_settled = True
            return outcome
        finally:
            if not is_settled:
                message = "The entry failed while the order was under way. Look up its result."
                self._settle_refusal(ticket, refuse_unknown(Reason.BROKEN, message))

    def _send(self, ticket: Ticket, request: Request, body: Body) -> Outcome:
        """Route the order and record its outcome in the ledger."""
        result = self._serve(request, body)
        if isinstance(result, Failure):
            refused = result.failure()
            refusal = self._settle_refusal(ticket, refused.refusal)
            return Failure(Refused(refusal, refused.decision))
        served = result.unwrap()
        return Success(Served(self._store_for_repeats(ticket, served.answer), served.decision))

    def _settle_refusal(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Record a refusal as the ticket's outcome."""
        with self._lock:
            self._sent.discard(ticket.sequence)
            if refusal.ran == Ran.NOT_RUN:
                self._ledger.settle_not_run(ticket, refusal)
                return self._attach_new_ticket(ticket, refusal)
            return self._ledger.settle_unknown(ticket, refusal)

    def _attach_new_ticket(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Add a new ticket to a "not run" refusal, so that the caller can retry."""
        if refusal.ran != Ran.NOT_RUN:
            return refusal
        fresh = self._ledger.issue_retry(ticket.operation, now=time.monotonic())
        return refusal._replace(ticket=fresh)

    def _store_for_repeats(self, ticket: Ticket, answer: Answer) -> Answer:
        """Return a copy of the answer that also stores it, if small, for repeats of the call."""
        parts: list[bytes] = []

        def copy() -> Iterator[bytes]:
            size = 0
            try:
                for piece in answer:
                    size += len(piece)
                    if size <= KEPT_BODY_BYTES:
                        parts.append(piece)
                    else:
                        parts.clear()
                    yield piece
            finally:
                answer.close()

        def end(is_whole: bool) -> None:
            answer.close()
            body = b"".join(parts)
            is_kept = is_whole and (bool(body) or _has_no_body(answer))
            kept = KeptAnswer(answer.status, answer.headers, body) if is_kept else None
            with self._lock:
                self._sent.discard(ticket.sequence)
                self._ledger.settle_done(ticket, kept)

        copied = Answer(answer.status, answer.headers, copy(), target=answer.target, on_end=end)
        copied.attempts, copied.passed_over = answer.attempts, answer.passed_over
        # Read a small answer now: it is stored whole even if the caller disconnects.
        try:
            copied.prefetch(KEPT_BODY_BYTES)
        except RequestError as exc:
            raise RequestError(
                refuse_unknown(
                    Reason.BROKEN, "It ran, but its answer broke off. Look up its result."
                )
            ) from exc
        return copied

    def count_running(self) -> int:
        """Count the orders that are running."""
        with self._lock:
            return self._ledger.count_running()


_CLAIM_PREFIX = "claim:"


def _has_no_body(answer: Answer) -> bool:
    """Check whether the answer's status or length declares an empty body."""
    lengths = [v for k, v in answer.headers if k.lower() == "content-length"]
    return answer.status == 204 or lengths == ["0"]


def _replay_answer(ledger_entry: TicketRecord) -> Answer:
    """Build an answer from the stored one, marked as a repeat."""
    kept = ledger_entry.answer
    assert kept is not None
    headers = (*kept.headers, ("Halldoor-Repeated", "yes"))
    return Answer(kept.status, headers, iter([kept.body]), target="", on_end=lambda _: None)
