"""Budgets of requests and bytes in flight on the links between halls."""

from __future__ import annotations

from typing import NamedTuple


class LinkLimit(NamedTuple):
    """What a link may carry at once, as the operators set it.

    Attributes
    ----------
    requests : int
        Requests in flight.
    bytes : int
        Body bytes in flight.
    """

    requests: int
    bytes: int


class LinkShare:
    """This entry's even share of a link.

    The limit is divided evenly over the entries of the sending hall, so that the
    sum of the shares never exceeds the limit, whoever is cut off from whom.

    Parameters
    ----------
    limit : LinkLimit
        Limit of the whole link.
    entries : int
        Entries of the hall that share it.
    index : int
        Place of this entry in the roster; the first ones get the remainder.
    """

    def __init__(self, limit: LinkLimit, *, entries: int, index: int) -> None:
        self.requests = 0
        self.bytes = 0
        self.set_limit(limit, entries=entries, index=index)

    def set_limit(self, limit: LinkLimit, *, entries: int, index: int) -> None:
        """Take a new limit; what is in flight stays counted."""
        self.requests_limit = _divide(limit.requests, entries, index)
        self.bytes_limit = _divide(limit.bytes, entries, index)

    def reserve(self, size: int) -> bool:
        """Reserve room for one request with ``size`` body bytes in flight."""
        if self.requests + 1 > self.requests_limit or self.bytes + size > self.bytes_limit:
            return False
        self.requests += 1
        self.bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back what `reserve` took."""
        self.requests -= 1
        self.bytes -= size


def _divide(limit: int, entries: int, index: int) -> int:
    """Divide a limit evenly; the first places get the remainder."""
    whole, rest = divmod(limit, max(1, entries))
    return whole + (1 if index < rest else 0)
