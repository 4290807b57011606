"""Forwards answers of targets and of other entries to callers."""

from __future__ import annotations

import asyncio

import h11

from halldoor.gateway.caller import Answer, CallerConnection
from halldoor.gateway.connection import ConnectionBrokenError
from halldoor.gateway.headers import drop_hop_by_hop, find
from halldoor.gateway.outcomes import PartialAnswer


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
    answer, connection = partial
    headers = drop_hop_by_hop(answer.headers)
    if not find(headers, b"content-length"):
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
    try:
        async with asyncio.timeout_at(expires_at):
            caller.send_head(answer.status, headers, answer.reason)
            await caller.send_data(answer.body)
            while not isinstance(event := await connection.receive(), h11.EndOfMessage):
                await caller.send_data(bytes(event.data))
            caller.finish_answer()
    except (ConnectionBrokenError, TimeoutError) as exc:
        caller.abort()
        return exc
    return None
