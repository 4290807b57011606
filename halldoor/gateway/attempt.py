"""State of a request in the gateway: its attempts so far and its final result."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import quote, unquote

from halldoor.core.bounds import MAX_KEY
from halldoor.core.buffers import (
    REQUEST_BYTES,
    Buffer,
    BufferAccount,
    BufferBudget,
    BufferKind,
    ReservedBuffer,
)
from halldoor.core.decoding import DecodingError, parse_float
from halldoor.core.quarantine.identity import Identity
from halldoor.core.retry import RetryObstacle
from halldoor.core.targets.choice import Choice
from halldoor.core.targets.order import Distance
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.teams.admission import AdmittedRequest
from halldoor.gateway.caller import Answer, Head
from halldoor.gateway.headers import Headers
from halldoor.gateway.retryafter import MAX_RETRY_AFTER_S, RETRY_AFTER_S, build_retry_headers

MAX_DEADLINE_MS = 1e12
"""Greatest deadline that is read from a request, in milliseconds."""
DEFAULT_DEADLINE_S = 30.0
"""Time for a request whose caller sends no deadline, in seconds."""


class AttemptResult(StrEnum):
    """Result of one attempt at a target."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    NOT_REACHED = "not reached"
    ANSWER_LOST = "answer lost"
    TIMED_OUT = "no answer in time"
    BODY_FAILED = "the caller's body failed"
    SUPERSEDED = "another attempt was answered first"

    @property
    def was_sent(self) -> bool:
        """Check whether the target received the request."""
        return self is not AttemptResult.NOT_REACHED

    @property
    def may_have_run(self) -> bool:
        """Check whether the target may have run the request."""
        return self not in (AttemptResult.NOT_REACHED, AttemptResult.NOT_RUN)


class TargetView(NamedTuple):
    """This entry's data on a target when it chose it; part of the request's log line.

    Attributes
    ----------
    in_flight : int
        This entry's running requests on the target, without the new one.
    others : float
        Estimated running requests of other entries on the target.
    load : float
        Load last reported by the target, in multiples of its slots.
    load_age_ms : int or None
        Age of that report; None if there is none.
    load_old_ms : int
        Age from which a load report has little weight.
    pressure : float
        Recent load of the target, in multiples of its slots.
    is_cold : bool
        Whether this entry considered the target cold.
    limit_per_s : float or None
        Rate limit set by the target, or its recovering rate after one; None if unlimited.
    state_age_ms : int
        Age of the newest information on whether the target is cold.
    distance : Distance
        Whether the target is in this entry's hall, in its region or farther away.
    place : int
        Position of the target in the key's order, from 0; targets passed over are not counted.
    has_sent_key : bool
        Whether this entry received an answer for the key from the target before.
    expected_ms, expected_wait_ms : int
        Expected time to the answer, and the wait for a slot included in it.
    """

    in_flight: int
    others: float
    load: float
    load_age_ms: int | None
    load_old_ms: int
    pressure: float
    is_cold: bool
    limit_per_s: float | None
    state_age_ms: int
    distance: Distance
    place: int
    has_sent_key: bool
    expected_ms: int
    expected_wait_ms: int


class Attempt(NamedTuple):
    """One attempt at a target.

    Attributes
    ----------
    detail : str
        Status of the answer, or the cause of the failure.
    took_ms : int
        Duration of the attempt, in milliseconds.
    connect_ms : int
        Time to open the connection, in milliseconds, included in `took_ms`; 0 for a kept one.
    is_reused : bool
        Whether the connection was kept from an earlier exchange.
    statement : TargetStatement
        Limit, drain notice and retry time that the target reported in its answer.
    """

    target: str
    view: TargetView
    result: AttemptResult
    detail: str
    took_ms: int
    connect_ms: int
    is_reused: bool
    statement: TargetStatement = TargetStatement()

    def to_fields(self) -> dict[str, Any]:
        """Return the attempt's fields for the request's log line."""
        return {
            "target": self.target,
            "result": self.result.value,
            "detail": self.detail,
            "took_ms": self.took_ms,
            "connect_ms": self.connect_ms,
            "is_reused": self.is_reused,
            "stated": self.statement.to_fields(),
            **self.view._asdict(),
        }


class SentAttempt(NamedTuple):
    """One attempt: the chosen target and what was sent to it.

    Attributes
    ----------
    kind : str
        Kind of request; requests of one kind have similar latencies on all targets.
    key : str
        Affinity key of the request; empty if it has none.
    started_at : float
        When it began, on the loop's clock.
    stalled_s : float
        Sum of this process's stalls when it was sent, in seconds.
    wait : int
        Number of its wait for an answer; see `ReachMonitor.start_wait`.
    """

    choice: Choice
    kind: str
    key: str
    started_at: float
    stalled_s: float
    wait: int


class Origin(NamedTuple):
    """Where a request comes from.

    Attributes
    ----------
    address : str
        IP address of its caller; empty if it is unknown.
    forwarded_by : str
        Name of the entry that forwarded it; empty if its caller sent it here.
    service : str
        Service that the forwarding entry chose; empty if an earlier release forwarded it.
    """

    address: str
    forwarded_by: str = ""
    service: str = ""

    @classmethod
    def from_mark(cls, mark: str) -> Origin:
        """Parse the value of the field ``FORWARDED_BY``."""
        name, address, service = [*mark.split(" ", 2), "", ""][:3]
        return cls(address, name, unquote(service))

    def to_mark(self, entry: str, service: str) -> bytes:
        """Return the value of the field for a request that an entry forwards to a service."""
        return f"{entry} {self.address} {quote(service, safe='')}".encode("latin-1")


class RequestResult(NamedTuple):
    """Final result of a request: the answer's status and what is logged.

    Attributes
    ----------
    outcome : str
        Short description for the log and the body of the gateway's own answer.
    target : str
        The target whose answer was forwarded; empty if the gateway answered itself.
    peer : str
        The entry whose answer was forwarded; empty if there is none.
    retry_after_s : float
        Time after which the caller may retry, in seconds, if the request did not run.
    is_asked : bool
        Whether targets requested this time as a back-off, so that no retry succeeds earlier.
    """

    status: int
    outcome: str
    target: str = ""
    peer: str = ""
    retry_after_s: float = RETRY_AFTER_S
    is_asked: bool = False

    @property
    def is_forwarded(self) -> bool:
        """Whether the answer of a target or of another entry was forwarded."""
        return bool(self.target or self.peer)


class RequestState:
    """Route, team, affinity key and attempts of one running request.

    Attributes
    ----------
    identity : Identity
        Digest and caller that the quarantine recognizes it by; empty until its body is read.
    answer_buffer, body_buffer : ReservedBuffer or None
        Count what is buffered of its answer and of its body.
    """

    def __init__(
        self,
        head: Head,
        admitted: AdmittedRequest,
        service: str,
        key: str,
        attempt_id: str,
        *,
        origin: Origin,
    ) -> None:
        self.head = head
        self.origin = origin
        self.route = admitted.route
        self.team = admitted.team
        self.service = service
        self.key = key
        self.attempt_id = attempt_id
        self.identity = Identity("", "")
        self.attempts: list[Attempt] = []
        self.answer_buffer: ReservedBuffer | None = None
        self.body_buffer: ReservedBuffer | None = None
        self._fixed: Buffer | None = None

    def open_buffers(
        self, account: BufferAccount, budget: BufferBudget, *, answer: int, body: int
    ) -> None:
        """Count the request, and what is buffered of its answer and body of expected sizes."""
        self._fixed = budget.open(BufferKind.REQUEST)
        self._fixed.set(REQUEST_BYTES)
        self.answer_buffer = account.reserve(BufferKind.ANSWER, answer)
        self.body_buffer = account.reserve(BufferKind.BODY, body)

    def close_buffers(self) -> None:
        """Count nothing as buffered any longer."""
        for buffer in (self.answer_buffer, self.body_buffer, self._fixed):
            if buffer is not None:
                buffer.close()

    @property
    def tried_targets(self) -> list[str]:
        """Names of the targets of all attempts."""
        return [attempt.target for attempt in self.attempts]

    @property
    def sent_count(self) -> int:
        """Number of attempts that reached their target."""
        return sum(attempt.result.was_sent for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Check whether a target may have run the request."""
        return any(attempt.result.may_have_run for attempt in self.attempts)

    def build_unanswered_result(
        self,
        reason: str,
        *,
        is_late: bool = False,
        slot_free_after_s: float = 0.0,
        is_asked: bool = False,
    ) -> RequestResult:
        """Build the result of a request that no target answered.

        Parameters
        ----------
        is_late : bool, optional
            Whether its time ran out.
        slot_free_after_s : float, optional
            Expected time until a target has a free slot, in seconds; 0 if unknown.
        is_asked : bool, optional
            Whether targets requested this time as a back-off, so that no retry succeeds earlier.
        """
        if not self.may_have_run:
            if is_asked:
                return RequestResult(503, reason, retry_after_s=slot_free_after_s, is_asked=True)
            after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, slot_free_after_s))
            return RequestResult(503, reason, retry_after_s=after_s)
        return RequestResult(504 if is_late else 502, reason)

    def build_failed_result(
        self, obstacle: RetryObstacle, *, backoff_s: float = 0.0
    ) -> RequestResult:
        """Build the result of a request whose last attempt failed and may not be retried.

        Parameters
        ----------
        backoff_s : float, optional
            Time until the first target ends its back-off, in seconds; 0 if one has none.
        """
        last = self.attempts[-1]
        reason = f"{last.target}: {last.result}, {last.detail}; {obstacle}"
        return self.build_unanswered_result(
            reason,
            is_late=obstacle is RetryObstacle.NO_TIME,
            slot_free_after_s=backoff_s,
            is_asked=backoff_s > 0,
        )


def parse_deadline_s(value: bytes) -> float:
    """Parse a deadline header in milliseconds; return seconds, or the default if unreadable."""
    if not value:
        return DEFAULT_DEADLINE_S
    try:
        left_ms = parse_float(
            value, lowest=-MAX_DEADLINE_MS, highest=MAX_DEADLINE_MS, origin="deadline"
        )
    except DecodingError:
        return DEFAULT_DEADLINE_S
    return max(0.0, left_ms / 1000)


def parse_affinity_key(value: bytes) -> str:
    """Return an affinity key; a long one, which would fill caches and messages, as its digest."""
    if len(value) > MAX_KEY:
        return hashlib.sha256(value).hexdigest()
    return value.decode("latin-1")


def build_gateway_answer(
    status: int, reason: str, *, retry_after_s: float = RETRY_AFTER_S
) -> Answer:
    """Build an answer from the gateway itself, with ``Retry-After`` if the request did not run."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    headers += build_retry_headers(status, retry_after_s)
    return Answer(status, headers, f"halldoor: {reason}\n".encode())
