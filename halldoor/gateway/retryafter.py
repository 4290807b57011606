"""``Retry-After`` of the gateway's own answers."""

from __future__ import annotations

from random import Random

from halldoor.gateway.headers import Headers

RETRY_AFTER_S = 0.1
"""Least ``Retry-After`` for a refused caller, in seconds: the duration of a quick request."""
RETRY_SPREAD = 0.25
"""Fraction by which ``Retry-After`` is randomized, so that callers don't return all at once."""
BACKOFF_SPREAD = 0.5
"""Fraction by which ``Retry-After`` may grow when all targets requested a back-off; it never
shrinks, since no target serves earlier."""
RETRY_AFTER_ROUNDING_S = 0.01
"""Time added because ``Retry-After`` is written with two decimals, in seconds."""
MAX_RETRY_AFTER_S = 0.8
"""Greatest ``Retry-After`` unless targets requested a back-off, in seconds: a third of what callers
have left of 2.5 s, after which they return in any case."""
NOT_RUN_STATUSES = (429, 503)
"""Statuses that promise that the request did not run and carry ``Retry-After``."""


def randomize_retry_after(after_s: float, generator: Random) -> float:
    """Randomize a retry time in both directions, so that callers don't return together."""
    return after_s * generator.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)


def randomize_requested_backoff(after_s: float, generator: Random) -> float:
    """Randomize a requested back-off upwards only, since no target serves earlier."""
    return after_s * generator.uniform(1.0, 1.0 + BACKOFF_SPREAD) + RETRY_AFTER_ROUNDING_S


def build_retry_headers(status: int, after_s: float) -> Headers:
    """Build ``Retry-After`` for an answer of the gateway itself, if the request did not run."""
    if status not in NOT_RUN_STATUSES:
        return []
    return [(b"Retry-After", f"{after_s:.2f}".encode())]
