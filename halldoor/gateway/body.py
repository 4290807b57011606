"""Reading and identification of a caller's request before it is sent to a target."""

from __future__ import annotations

import asyncio

from halldoor.core.quarantine.identity import Identity, identify_request
from halldoor.gateway.attempt import RequestResult, RequestState
from halldoor.gateway.caller import BodyTooLongError, CallerConnection
from halldoor.gateway.exchange import BODY_BUFFER_BYTES, OutgoingRequest
from halldoor.gateway.headers import Headers, find

LEAST_BODY_BUFFER_BYTES = 16_384
"""Bytes of a body that are buffered even if the connection holds its share of all buffers."""
BODY_COPIES = 2
"""Copies of a buffered body: one to send again, one in the write buffer of a connection."""


async def read_request(
    caller: CallerConnection, state: RequestState, headers: Headers, expires_at: float
) -> OutgoingRequest | RequestResult:
    """Read the body up to `BODY_BUFFER_BYTES`, and identify the request for the quarantine.

    Parameters
    ----------
    headers : Headers
        Header fields that are sent to the target.
    expires_at : float
        Deadline for the answer, on the loop's clock.
    """
    if asyncio.get_running_loop().time() >= expires_at:
        # The bytes waited in this process, and the rest of them may be unread.
        return state.build_unanswered_result("time ran out", is_late=True)
    body = bytearray()
    rest: CallerConnection | None = caller
    try:
        async with asyncio.timeout_at(expires_at):
            while not _is_enough(len(body), caller, state):
                piece = await caller.read_body()
                if piece is None:
                    rest = None
                    break
                body += piece
                if state.body_buffer is not None:
                    state.body_buffer.add(BODY_COPIES * len(piece))
    except TimeoutError:
        if caller.is_body_too_long:
            return build_too_long_result(caller, state)
        return RequestResult(408, "body came too slowly")
    except BodyTooLongError:
        return build_too_long_result(caller, state)
    state.identity = _identify(state, bytes(body), is_whole=rest is None)
    return OutgoingRequest(
        state.head,
        headers,
        state.attempt_id.encode("latin-1"),
        bytes(body),
        rest,
        state.route.kind,
        expires_at,
        state.answer_buffer,
    )


def build_too_long_result(caller: CallerConnection, state: RequestState) -> RequestResult:
    """Build the result of a request whose body exceeds the limit: final only if operators set it.

    A target that received the beginning of a body may have run the request.
    """
    if not caller.sizes.may_be_wrong:
        return RequestResult(413, "body too long")
    return state.build_unanswered_result("body beyond limits that may be old")


def _is_enough(size: int, caller: CallerConnection, state: RequestState) -> bool:
    """Check whether no more of a body should be buffered before it is sent."""
    is_reserved = state.body_buffer is not None and state.body_buffer.has_reserve
    is_full = caller.account.is_full and size >= LEAST_BODY_BUFFER_BYTES and not is_reserved
    return is_full or size > BODY_BUFFER_BYTES


def _identify(state: RequestState, body: bytes, *, is_whole: bool) -> Identity:
    """Compute the identity of a request from its caller, head and buffered body."""
    head = state.head
    return identify_request(
        state.team,
        state.origin.address,
        method=head.method,
        host=find(head.headers, b"host"),
        target=head.target,
        body=body[:BODY_BUFFER_BYTES],
        length=b"" if is_whole else find(head.headers, b"content-length"),
    )
