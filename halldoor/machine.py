"""Memory of the machine, descriptors of the process, and the part of them that stays free."""

from __future__ import annotations

import math
import os
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


def find_memory_bytes(limit_mb: float = 0.0) -> float:
    """Return the memory that a process may use: a limit, or all of the machine's if it is 0."""
    if limit_mb > 0:
        return limit_mb * 1024 * 1024
    return float(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"))
