"""Descriptors of the process, and the part of them that stays free."""

from __future__ import annotations

import math
import resource

RESERVED_SHARE, FRONT_RESERVED_SHARE = 0.1, 0.25
"""Shares of the process's descriptors that connections leave free: at any port and to targets, for
the store and messages, and at that for callers also for connections to targets and for the other
ports."""


def find_descriptor_end(reserved_share: float) -> float:
    """Return the number from which a descriptor belongs to the reserve.

    The kernel gives the lowest free number, so a higher one tells how many are in use.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit * (1 - reserved_share) if limit >= 0 else math.inf
