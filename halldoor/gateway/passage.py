"""One request on its way, and the answers that the gateway gives by itself."""

from __future__ import annotations

from halldoor.core.route import Route
from halldoor.gateway.caller import Answer, Head
from halldoor.gateway.headers import Headers

RETRY_AFTER_S = 0.1
"""When a refused caller may come back, in seconds: about the time of a quick request."""
DEFAULT_DEADLINE_S = 30.0
"""Time for a request whose caller names no deadline, in seconds."""
NOT_RUN_STATUSES = (429, 503)
"""Statuses that promise that the request did not run, and ask the caller to come back."""


class Passage:
    """One request on its way: what was decided so far.

    Attributes
    ----------
    may_have_run : bool
        A target got the request and did not say that it left it alone.
    """

    def __init__(self, head: Head, route: Route, service: str, key: str, attempt_id: str) -> None:
        self.head = head
        self.route = route
        self.service = service
        self.key = key
        self.attempt_id = attempt_id
        self.tried: list[str] = []
        self.attempts = 0
        self.unreached = 0
        self.may_have_run = False
        self.notes: list[str] = []


def read_ms(value: bytes) -> float:
    """Read milliseconds from a header; the default deadline where it has none."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return DEFAULT_DEADLINE_S


def build_own_answer(status: int, reason: str) -> Answer:
    """Build an answer of the gateway's own; one that did not run says when to come back."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if status in NOT_RUN_STATUSES:
        headers.append((b"Retry-After", str(RETRY_AFTER_S).encode()))
    return Answer(status, headers, f"halldoor: {reason}\n".encode())
