"""Budgets of requests and bytes in flight on the links between halls."""

from __future__ import annotations

from typing import NamedTuple


class LinkLimit(NamedTuple):
    """Limits on what is in flight on a link, as the operators set them.

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
    """This entry's even share of a link's limit, and what is in flight of it.

    The limit is divided evenly over the entries of the sending hall, so that the sum of the shares
    never exceeds the limit, even while entries can't reach each other.

    Parameters
    ----------
    limit : LinkLimit
        Limit of the whole link.
    entries : int
        Number of entries of the hall that share the link.
    index : int
        Index of this entry in the roster; the first ones get the remainder.
    """

    def __init__(self, limit: LinkLimit, *, entries: int, index: int) -> None:
        self.requests = 0
        self.bytes = 0
        self.set_limit(limit, entries=entries, index=index)

    def set_limit(self, limit: LinkLimit, *, entries: int, index: int) -> None:
        """Set another limit; requests in flight stay counted."""
        self.requests_limit = _divide_evenly(limit.requests, entries, index)
        self.bytes_limit = _divide_evenly(limit.bytes, entries, index)

    def reserve(self, size: int) -> bool:
        """Reserve the link for a request with ``size`` body bytes; return False if it is full."""
        if self.requests + 1 > self.requests_limit or self.bytes + size > self.bytes_limit:
            return False
        self.requests += 1
        self.bytes += size
        return True

    def release(self, size: int) -> None:
        """Release what `reserve` reserved for a request with ``size`` body bytes."""
        self.requests -= 1
        self.bytes -= size


def _divide_evenly(limit: int, entries: int, index: int) -> int:
    """Return one entry's part of an evenly divided limit; the first entries get the remainder."""
    whole, remainder = divmod(limit, max(1, entries))
    return whole + (1 if index < remainder else 0)
