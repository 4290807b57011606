"""Outcomes of sending one request to a target or to another entry."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.gateway.caller import Answer
from halldoor.gateway.connection import HttpConnection
from halldoor.gateway.headers import Headers

SERVER_ERROR = 500
"""Lowest status that counts as a failure of the target."""


class Connecting(NamedTuple):
    """How the connection for a request was obtained and used.

    Attributes
    ----------
    took_s : float
        Time to obtain it, in seconds.
    is_reused : bool
        Whether it was kept from an earlier exchange.
    lacked_body : bool
        Whether the target had taken all that had come of the caller's body, and some was missing.
    """

    took_s: float = 0.0
    is_reused: bool = False
    lacked_body: bool = False


class WholeAnswer(NamedTuple):
    """The target's complete answer."""

    answer: Answer


class PartialAnswer(NamedTuple):
    """The beginning of a long answer; the rest is read from the connection.

    Attributes
    ----------
    answer : Answer
        The answer without its body.
    beginning : list of bytes
        The beginning of the body, from which is removed what is forwarded.
    """

    answer: Answer
    connection: HttpConnection
    beginning: list[bytes]


class Rejected(NamedTuple):
    """The target rejected the request, or another incarnation did: it was not run."""

    status: int
    is_other_incarnation: bool
    headers: Headers = []


class ConnectFailed(NamedTuple):
    """The connection could not be opened, so the request was not sent.

    Attributes
    ----------
    is_refused : bool
        Whether no process listens at the address any more.
    """

    detail: str
    is_refused: bool = False


class AnswerLost(NamedTuple):
    """The request was sent but no valid answer arrived; it may have run.

    Attributes
    ----------
    is_closed : bool
        Whether the connection closed during the request: the target may have crashed.
    """

    detail: str
    is_closed: bool = False


class TimedOut(NamedTuple):
    """The deadline passed after the request was sent; it may have run."""


class NotSent(NamedTuple):
    """The request was not sent, for a reason that lies with this process or the deadline.

    Attributes
    ----------
    cause : str
        What prevented it.
    """

    cause: str = "no time left"


class Withdrawn(NamedTuple):
    """The target was withdrawn before the request was sent."""


class BodyFailed(NamedTuple):
    """The caller's body was incomplete or too long; the target's connection was closed."""

    detail: str


Outcome = (
    WholeAnswer
    | PartialAnswer
    | Rejected
    | ConnectFailed
    | NotSent
    | AnswerLost
    | TimedOut
    | Withdrawn
    | BodyFailed
)


def is_success(outcome: Outcome) -> bool:
    """Check whether a target answered the request, and not with an error of its own."""
    return isinstance(outcome, WholeAnswer | PartialAnswer) and outcome.answer.status < SERVER_ERROR


def get_answer_head(outcome: Outcome) -> tuple[int, Headers]:
    """Return status and headers of the target's answer; 0 and no headers if there was none."""
    match outcome:
        case WholeAnswer(answer) | PartialAnswer(answer):
            return answer.status, answer.headers
        case Rejected(status, False, headers):
            return status, headers
    return 0, []
