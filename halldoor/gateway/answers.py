"""Forwards answers of targets and of other entries to callers."""

from __future__ import annotations

import asyncio

import h11

from halldoor.core.targets.route import RequestKind
from halldoor.core.teams.admission import RefusalReason
from halldoor.gateway.caller import Answer, CallerConnection
from halldoor.gateway.connection import ConnectionBrokenError, HttpConnection
from halldoor.gateway.headers import UNADMITTED, HeaderNames, Headers, drop_hop_by_hop, find
from halldoor.gateway.outcomes import PartialAnswer

_REFUSED_STATUSES = (401, 404, 429)
"""Statuses of an entry's own answers, other than 503, that only the admission gives."""
_REFUSED_BODIES = frozenset(f"halldoor: {reason}\n".encode() for reason in RefusalReason)


def forward_answer(caller: CallerConnection, method: bytes, answer: Answer) -> None:
    """Forward a complete answer to a request with a method."""
    headers = drop_hop_by_hop(answer.headers)
    if method == b"HEAD":
        caller.send_head(answer.status, headers, answer.reason)
        caller.finish_answer()
    else:
        caller.send(answer._replace(headers=headers))


async def stream_answer(
    caller: CallerConnection, partial: PartialAnswer, *, expires_at: float
) -> Exception | None:
    """Forward a long answer piece by piece; abort it, and return the cause, if it breaks off.

    Parameters
    ----------
    expires_at : float
        Deadline for the whole answer, on the loop's clock.
    """
    answer, connection, beginning = partial
    headers = drop_hop_by_hop(answer.headers)
    if not find(headers, b"content-length"):
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
    try:
        async with asyncio.timeout_at(expires_at):
            caller.send_head(answer.status, headers, answer.reason)
            while beginning:
                await _forward_data(caller, connection, beginning.pop(0))
            while not isinstance(event := await connection.receive(), h11.EndOfMessage):
                await _forward_data(caller, connection, event.data)
            caller.finish_answer()
    except (ConnectionBrokenError, TimeoutError) as exc:
        caller.abort()
        return exc
    return None


async def _forward_data(caller: CallerConnection, connection: HttpConnection, data: bytes) -> None:
    """Forward a part of an answer's body, and wait until more of it may be sent."""
    caller.write_data(data)
    connection.pass_on(data)
    del data  # It is buffered in the connection now.
    await caller.wait_for_room()


def build_not_run_answer(
    attempt_id: bytes, reason: str, names: HeaderNames, *, is_unadmitted: bool = False
) -> Answer:
    """Build the answer to another entry's request that this one does not take.

    Parameters
    ----------
    is_unadmitted : bool, optional
        Whether only the configuration of this entry refuses the request, so that it takes others.
    """
    headers: Headers = [(names.attempt_id, attempt_id), (names.not_run, b"1")]
    if is_unadmitted:
        headers.append((UNADMITTED, b"1"))
    return Answer(503, headers, f"halldoor: {reason}\n".encode())


def is_unadmitted(answer: Answer, names: HeaderNames, method: bytes, kind: RequestKind) -> bool:
    """Check whether an entry's answer is its own refusal to admit a request, which did not run.

    Entries of earlier releases answer forwarded requests as those of callers: with a text of their
    own, and without the request's id.  The answer to HEAD has no text, and a target's answer may
    lack the id as well, so that it counts as a refusal only where the request is repeatable.
    """
    if find(answer.headers, names.attempt_id) or find(answer.headers, names.signature):
        return False
    if answer.body in _REFUSED_BODIES:
        return answer.status in (*_REFUSED_STATUSES, 503)
    is_head = method == b"HEAD" and kind.is_repeatable
    return is_head and answer.status in _REFUSED_STATUSES
