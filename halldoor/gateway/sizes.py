"""Sizes of callers' requests, checked against the operators' limits.

A caller does not retry what is refused as too long.  So limits that may be old are confirmed first.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11

from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.callerrequest import BodyTooLongError
from halldoor.gateway.headers import Headers, is_too_long

READ_AHEAD = 65_536
"""Bytes of later requests or of an unread body that are buffered before reading pauses."""


async def skip_confirmation() -> None:
    """Do not wait: nothing confirms the configuration."""


class RequestSizes:
    """Sizes of a connection's requests.

    A body may have the size that is allowed at its head, or a greater one that is allowed since.

    Parameters
    ----------
    read_limits : callable
        Returns the current limits.
    confirm : callable
        Confirms them once something exceeds them; waits for a short time where they may be old.

    Attributes
    ----------
    is_body_too_long : bool
        Whether the last body exceeds the limit; true as well while that is confirmed.
    may_be_wrong : bool
        Whether operators may allow a longer body than the limit that the last one exceeded.
    """

    def __init__(
        self, read_limits: Callable[[], CallerLimits], confirm: Callable[[], Awaitable[None]]
    ) -> None:
        self._read_limits = read_limits
        self._confirm = confirm
        self._parser_head_bytes = 0
        self._body_limit = self._announced = self._body = 0
        self.is_body_too_long = self.may_be_wrong = False

    @property
    def head_limit(self) -> int:
        """Greatest size of a request's header fields, in bytes."""
        return self._read_limits().head_bytes

    def new_parser(self) -> h11.Connection:
        """Create a parser of callers' requests."""
        self._parser_head_bytes = self.head_limit
        bound = self._parser_head_bytes + READ_AHEAD
        return h11.Connection(h11.SERVER, max_incomplete_event_size=bound)

    async def find_head_status(self, headers: Headers) -> int | None:
        """Return the status that refuses a head that is too long; None if it is not."""
        if not is_too_long(headers, self.head_limit):
            return None
        await self._confirm()
        if not is_too_long(headers, self.head_limit):
            return None
        return 503 if self._read_limits().may_be_wrong else 431

    async def find_fault_status(self, fault: h11.RemoteProtocolError) -> int:
        """Return the status for a request that can't be parsed.

        It is 503 where the parser has a lower bound than one of the limits in force.
        """
        if fault.error_status_hint != 431:
            return fault.error_status_hint
        await self._confirm()
        is_old = self._read_limits().may_be_wrong or self.head_limit > self._parser_head_bytes
        return 503 if is_old else 431

    def start_body(self, announced: int) -> None:
        """Start a body whose head announces a number of bytes."""
        self._body_limit = self._read_limits().body_bytes
        self._announced, self._body = announced, 0
        self.is_body_too_long = False

    async def check_body(self, size: int) -> None:
        """Add bytes that were read; raise `BodyTooLongError` beyond the confirmed limit."""
        self._body += size
        self.is_body_too_long = self._is_beyond_limit()
        if self.is_body_too_long:
            self.may_be_wrong = True
            await self._confirm()
            self.may_be_wrong = self._read_limits().may_be_wrong
            self.is_body_too_long = self._is_beyond_limit()
        if self.is_body_too_long:
            raise BodyTooLongError

    def _is_beyond_limit(self) -> bool:
        """Check whether what was read of the body, or announced, is too long."""
        total = max(self._announced, self._body)
        return total > self._body_limit and total > self._read_limits().body_bytes
