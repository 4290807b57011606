"""A request on its way through the gateway: its attempts so far, and how it ended."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from halldoor.core.quarantine.identity import Identity
from halldoor.core.retry import RetryObstacle
from halldoor.core.targets.order import Distance
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.teams.admission import Entrance
from halldoor.gateway.caller import Answer, Head
from halldoor.gateway.headers import Headers

RETRY_AFTER_S = 0.1
"""When a refused caller may come back at the soonest, in seconds: the time of a quick request."""
RETRY_SPREAD = 0.25
"""Part by which these times differ, so that refused callers don't return all at once."""
REST_SPREAD = 0.5
"""The same, of the time until the first target wants requests again."""
ROUNDING_S = 0.01
"""Time that is lost where a time to come back is written, in seconds."""
RETRY_AFTER_MOST_S = 0.8
"""Latest such time, in seconds: a third of what callers have left of 2.5 s, past which they return
all the same."""
DEFAULT_DEADLINE_S = 30.0
"""Time for a request whose caller names no deadline, in seconds."""
NOT_RUN_STATUSES = (429, 503)
"""Statuses that promise that the request did not run, and ask the caller to come back."""


class AttemptResult(StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    NOT_REACHED = "not reached"
    ANSWER_LOST = "answer lost"
    TIMED_OUT = "no answer in time"
    BODY_FAILED = "the caller's body failed"

    @property
    def was_sent(self) -> bool:
        """Check whether the target received the request."""
        return self is not AttemptResult.NOT_REACHED

    @property
    def may_have_run(self) -> bool:
        """Check whether the target may have run the request."""
        return self not in (AttemptResult.NOT_REACHED, AttemptResult.NOT_RUN)


class TargetView(NamedTuple):
    """What the entry believed of a target when it chose it; part of the log line.

    Attributes
    ----------
    in_flight : int
        This entry's own requests on it, the new one not counted.
    others : float
        Estimate of other entries' requests on it.
    load : float
        Load that it reported last, in multiples of its slots.
    load_age_ms : int or None
        Age of that report; None where there is none.
    load_old_ms : int
        Age from which such a report hardly counts.
    pressure : float
        Load that it had lately, in multiples of its slots.
    is_cold : bool
        The entry held it for cold.
    limit_per_s : float or None
        Limit that the target names, or the rate to which it returns after one; None without.
    state_age_ms : int
        Age of the newest information on whether it is cold.
    distance : Distance
        Whether it stands in this entry's hall, its region or farther away.
    place : int
        Its place in the key's order, from 0; targets not worth trying don't count.
    has_sent_key : bool
        This entry had an answer for the key from it.
    expected_ms, expected_wait_ms : int
        Expected time to the answer, and the wait for a slot in it.
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
        Status of the answer, or what went wrong.
    took_ms : int
        Time of all of it, in milliseconds.
    connect_ms : int
        Part of that until the connection was there; 0 for a kept one.
    is_reused : bool
        The connection was kept from an earlier exchange.
    statement : TargetStatement
        What the target said of itself in its answer.
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
        """Return the fields of the log line."""
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


class Ending(NamedTuple):
    """How a request ended.

    Attributes
    ----------
    outcome : str
        A few words for the log and, in an answer of the gateway's own, for the caller.
    target : str
        The target whose answer was passed on; empty for an answer of the gateway's own.
    retry_after_s : float
        When the caller may come back, in seconds, where the request did not run.
    is_asked : bool
        Targets asked for this time: nothing is served before.
    """

    status: int
    outcome: str
    target: str = ""
    retry_after_s: float = RETRY_AFTER_S
    is_asked: bool = False


class RequestState:
    """One request on its way: its route, and its attempts so far.

    Attributes
    ----------
    identity : Identity
        What makes it the same as others; empty until its body is read.
    """

    def __init__(
        self, head: Head, entrance: Entrance, service: str, key: str, attempt_id: str
    ) -> None:
        self.head = head
        self.route = entrance.route
        self.team = entrance.team
        self.service = service
        self.key = key
        self.attempt_id = attempt_id
        self.identity = Identity("", "")
        self.attempts: list[Attempt] = []

    @property
    def tried(self) -> list[str]:
        """Targets that had an attempt."""
        return [attempt.target for attempt in self.attempts]

    @property
    def sent_count(self) -> int:
        """Attempts that reached their target."""
        return sum(attempt.result.was_sent for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Check whether a target may have run the request."""
        return any(attempt.result.may_have_run for attempt in self.attempts)

    def build_give_up(
        self,
        reason: str,
        *,
        is_late: bool = False,
        room_after_s: float = 0.0,
        is_asked: bool = False,
    ) -> Ending:
        """Build the ending of a request that no target answered.

        Parameters
        ----------
        is_late : bool, optional
            The time ran out.
        room_after_s : float, optional
            When there should be room for it, in seconds, where that is known.
        is_asked : bool, optional
            Targets asked for this time: nothing is served before.
        """
        if not self.may_have_run:
            if is_asked:
                return Ending(503, reason, retry_after_s=room_after_s, is_asked=True)
            after_s = min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_S, room_after_s))
            return Ending(503, reason, retry_after_s=after_s)
        return Ending(504 if is_late else 502, reason)

    def build_last_failure(self, obstacle: RetryObstacle, *, rest_s: float = 0.0) -> Ending:
        """Build the ending of a request whose last attempt failed and is not repeated.

        Parameters
        ----------
        rest_s : float, optional
            How much longer all targets want no requests, in seconds; 0 where one does.
        """
        last = self.attempts[-1]
        reason = f"{last.target}: {last.result}, {last.detail}; {obstacle}"
        return self.build_give_up(
            reason,
            is_late=obstacle is RetryObstacle.NO_TIME,
            room_after_s=rest_s,
            is_asked=rest_s > 0,
        )


def read_ms(value: bytes) -> float:
    """Read milliseconds from a header, as seconds; the default deadline where it has none."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_S


def spread(after_s: float, source: Random) -> float:
    """Spread a time to come back."""
    return after_s * source.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)


def spread_later(after_s: float, source: Random) -> float:
    """Spread a time to come back before which nothing is served."""
    return after_s * source.uniform(1.0, 1.0 + REST_SPREAD) + ROUNDING_S


def build_own_answer(status: int, reason: str, *, retry_after_s: float = RETRY_AFTER_S) -> Answer:
    """Build an answer of the gateway's own; one that did not run says when to come back."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if status in NOT_RUN_STATUSES:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return Answer(status, headers, f"halldoor: {reason}\n".encode())
