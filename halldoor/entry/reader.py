"""Parse a caller's HTTP request: head, deadline, client block and body."""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator
from typing import Any
from uuid import uuid4

from halldoor.chunked import BodyTooLongError
from halldoor.core.decoding import DecodingError, parse_int
from halldoor.core.errors import Ran, Reason, Refusal, refuse
from halldoor.core.steering.block import parse_address
from halldoor.core.steering.configuration import Operation
from halldoor.core.steering.snapshot import ServiceView, Snapshot
from halldoor.entry.request import (
    SMALL_BODY_BYTES,
    Body,
    Cancellation,
    Request,
    find_header,
    keep_end_to_end,
)
from halldoor.serverconnection import Connection

PIECE_BYTES = 65_536
MAX_DEADLINE_MS = 10**15
"""Longest deadline that a caller may state, in milliseconds; that of the operation applies too."""
MAX_LENGTH_BYTES = 1 << 62
"""Longest body that a caller may announce, in bytes; the server's limit applies too."""

_URI = re.compile(r"/[!-~]*")
_HEADER_NAMES = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]*")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def read_request(
    environ: dict[str, Any],
    snapshot: Snapshot | None,
    *,
    is_outdated: Callable[[], bool] = lambda: False,
) -> tuple[Request, Body] | Refusal:
    """Parse a request's head, and read its body if it is small.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    snapshot : Snapshot or None
        The revision in force.
    is_outdated : callable, optional
        Returns whether there may be a newer revision: what that may allow is refused as not run.

    Returns
    -------
    tuple of Request and Body, or Refusal
        The request, or why it is refused.
    """
    if snapshot is None:
        return refuse(Reason.STARTING, "This entry is starting. Use another entry, or retry later.")
    _, _, service, *rest = environ["PATH_INFO"].split("/", 3)
    path = "/" + (rest[0] if rest else "")
    view = snapshot.services.get(service)
    if view is None:
        return refuse_service(service, is_outdated=is_outdated())
    method = environ["REQUEST_METHOD"]
    operation = view.find_operation(method, path)
    if operation is None:
        if is_outdated():
            return _refuse_as_outdated()
        return _refuse_operation(view, method, path)
    headers = _read_headers(environ)
    sent_path = _find_sent_path(environ)
    if sent_path is None or not _are_valid_headers(headers):
        message = "Its path, or a header, has characters that HTTP doesn't allow. Escape them."
        return refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0)
    deadline_s = _read_deadline(headers, operation)
    length = _read_length(environ)
    if deadline_s is None or length is None:
        message = "Halldoor-Deadline-Ms and Content-Length take whole numbers above 0."
        return refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0)
    request = Request(
        id=uuid4().hex[:20],
        service=service,
        operation=operation.name,
        method=method,
        path=sent_path,
        headers=headers,
        deadline=time.monotonic() + deadline_s,
        length=length,
        client=_find_client(environ, headers, snapshot),
        is_repeatable=operation.repeatable,
        operation_id="" if operation.repeatable else find_header(headers, "operation-id"),
        cancellation=Cancellation(),
    )
    return _read_body(environ["wsgi.input"], request, environ.get("halldoor.connection"))


def _find_sent_path(environ: dict[str, Any]) -> str | None:
    """Return path and query below the service as the caller sent them, with their escapes.

    Returns None if they have characters that must be escaped.
    """
    uri = environ["REQUEST_URI"]
    if not _URI.fullmatch(uri):
        return None
    path, mark, query = uri.partition("?")
    below = path.split("/", 3)[3:]
    return "/" + (below[0] if below else "") + (mark + query if query else "")


def _are_valid_headers(headers: tuple[tuple[str, str], ...]) -> bool:
    """Check whether the headers can be sent to a target."""
    return not _CONTROL.search("".join([v for _, v in headers])) and bool(
        _HEADER_NAMES.fullmatch("".join([k for k, _ in headers]))
    )


def refuse_service(service: str, *, is_outdated: bool) -> Refusal:
    """Refuse an unknown service; as not run where a newer revision may have it."""
    if is_outdated:
        return _refuse_as_outdated()
    message = f"There is no service {service[:60]!r}. Check the name, or ask its operators."
    return refuse(Reason.UNKNOWN_SERVICE, message, retry_after_s=0.0)


def _refuse_as_outdated() -> Refusal:
    """Refuse what a newer revision may allow."""
    message = "This entry may lack the newest configuration. Use another entry, or retry later."
    return refuse(Reason.OLD_CONFIGURATION, message)


def _refuse_operation(view: ServiceView, method: str, path: str) -> Refusal:
    """Refuse a request whose method and path match no operation of the service."""
    known = ", ".join(f"{'|'.join(o.methods)} {o.path}" for o in view.service.operations)
    message = f"No operation takes {method} {path[:60]}. There are: {known}."
    return refuse(Reason.BAD_REQUEST, message, retry_after_s=0.0)


def mark_outcome_unknown(refusal: Refusal, environ: dict[str, Any]) -> Refusal:
    """Change an order's "not run" refusal to "unknown", since its ticket or id was not checked."""
    is_order = "HTTP_HALLDOOR_TICKET" in environ or "HTTP_OPERATION_ID" in environ
    if not is_order or refusal.ran == Ran.UNKNOWN:
        return refusal
    message = (
        f"{refusal.message} This call was sent nowhere, "
        "but another call of the same operation may have run."
    )
    return refusal._replace(ran=Ran.UNKNOWN, message=message)


def _read_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of a WSGI environment."""
    found = [
        (key[5:].replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        found.append(("Content-Type", environ["CONTENT_TYPE"]))
    return keep_end_to_end(found)


_HALLDOOR_HEADERS = frozenset({"halldoor-ticket", "halldoor-deadline-ms", "halldoor-client"})


def drop_halldoor_headers(headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
    """Drop the headers that only halldoor uses, so that targets never receive a ticket."""
    return tuple((k, v) for k, v in headers if k.lower() not in _HALLDOOR_HEADERS)


def _read_deadline(headers: tuple[tuple[str, str], ...], operation: Operation) -> float | None:
    """Return the seconds allowed for a request; None if the header is invalid."""
    text = find_header(headers, "halldoor-deadline-ms")
    if not text:
        return operation.deadline_s
    try:
        wanted_ms = parse_int(text, lowest=1, highest=MAX_DEADLINE_MS, origin="the deadline")
    except DecodingError:
        return None
    return min(operation.deadline_s, wanted_ms / 1000)


def _read_length(environ: dict[str, Any]) -> int | None:
    """Return the body's length in bytes; -1 for chunks, None if the header is invalid."""
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
        return -1
    text = environ.get("CONTENT_LENGTH") or "0"
    try:
        return parse_int(text, lowest=0, highest=MAX_LENGTH_BYTES, origin="the length")
    except DecodingError:
        return None


def _find_client(
    environ: dict[str, Any], headers: tuple[tuple[str, str], ...], snapshot: Snapshot
) -> str:
    """Return the name of a caller's client block; without one, that of its /24 network."""
    text = find_header(headers, "halldoor-client") or environ.get("REMOTE_ADDR", "")
    address = parse_address(text)
    if address is None:
        return text[:64]
    match = snapshot.blocks.find(address)
    return f"block {match.start:08x}" if match else f"net {address >> 8:06x}"


def _read_body(
    source: Any, request: Request, connection: Connection | None
) -> tuple[Request, Body] | Refusal:
    """Read a small body into memory; leave a larger one to be streamed."""
    if request.length == 0:
        return request, Body()
    if connection is not None and not connection.begin_body(request.length):
        return refuse(Reason.NO_ROOM, "Too many bodies are still arriving. Retry in a second.")
    end_body = connection.end_body if connection is not None else lambda: None
    wanted = SMALL_BODY_BYTES if request.length < 0 else min(request.length, SMALL_BODY_BYTES)
    try:
        first = _read_exactly(source, wanted)
    except BodyTooLongError:
        return refuse(Reason.BAD_REQUEST, "The request's body is too long.", retry_after_s=0.0)
    except (OSError, ValueError) as exc:
        return _refuse_incomplete_body(type(exc).__name__)
    is_short = len(first) < wanted
    if request.length < 0 and is_short:
        end_body()
        return request._replace(length=len(first)), Body(first)
    if is_short:
        return _refuse_incomplete_body("it ended early")
    if request.length == len(first):
        end_body()
        return request, Body(first)
    missing = request.length - len(first)
    return request, Body(first, _read_rest(source, missing, request.length < 0, end_body))


def _refuse_incomplete_body(why: str) -> Refusal:
    """Refuse a request whose body is incomplete; none of it was sent to a target."""
    message = f"The request's body did not arrive: {why}. Send it again."
    return refuse(Reason.BAD_REQUEST, message)


def _read_exactly(source: Any, size: int) -> bytes:
    """Read ``size`` bytes; return fewer only if the body is shorter."""
    parts, missing = [], size
    while missing:
        part = source.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def _read_rest(
    source: Any, missing: int, is_chunked: bool, end_body: Callable[[], None]
) -> Iterator[bytes]:
    """Yield the rest of a streamed body; raise if the caller stops before its length."""
    while missing > 0 or is_chunked:
        piece = source.read(PIECE_BYTES if is_chunked else min(PIECE_BYTES, missing))
        if not piece:
            if is_chunked:
                break
            raise ConnectionAbortedError("the caller's body ended early")
        missing -= len(piece)
        if not missing:
            end_body()
        yield piece
    end_body()
