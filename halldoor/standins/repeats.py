"""Find the window in which requests were sent again most, compared with the retry budget."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from halldoor.core.targets.budget import RetrySettings


class Excess(NamedTuple):
    """Arrivals beyond the retry budget in one window.

    Attributes
    ----------
    by : float
        Arrivals beyond the first of their request, less those that the budget allows.
    retries, requests : int
        Arrivals beyond the first, and requests that they are compared with.
    ends_at : float
        End of the window, in seconds.
    """

    by: float
    retries: int
    requests: int
    ends_at: float


def list_repeats(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """List the times of arrivals beyond the first of their request.

    Parameters
    ----------
    arrivals : iterable of (float, str)
        Time, in seconds, and id of the request of each arrival.
    """
    seen: set[str] = set()
    repeats = []
    for at, attempt_id in sorted(arrivals):
        if attempt_id in seen:
            repeats.append(at)
        seen.add(attempt_id)
    return repeats


def find_excess(
    requests: Iterable[float], repeats: Iterable[float], budget: RetrySettings
) -> Excess:
    """Return the window with the largest excess over the retry budget.

    Requests are counted in the window, in the one before it or in the one half a window before it,
    whichever has the most.

    Parameters
    ----------
    requests, repeats : iterable of float
        Times at which callers sent requests, and of arrivals beyond the first, in seconds.
    """
    requests, repeats = sorted(requests), sorted(repeats)
    window_s = budget.window_s
    worst = Excess(-budget.slack, 0, 0, 0.0)
    for end in repeats:
        shifts = (0.0, window_s / 2, window_s)
        sent = max(_count_window(requests, end - shift, window_s) for shift in shifts)
        repeated = _count_window(repeats, end, window_s)
        excess = repeated - budget.ratio * sent - budget.slack
        worst = max(worst, Excess(excess, repeated, sent, end))
    return worst


def _count_window(times: Sequence[float], end: float, window_s: float) -> int:
    """Count the times in the window that ends at a time, the end included."""
    return bisect_right(times, end) - bisect_right(times, end - window_s)
