"""Shares of budgets for retries and requests that all entries together must not exceed."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

EARNED_PART = 0.8
"""Part of the ratio that requests earn; the rest covers `SAVED_PART` and late arrivals."""
SAVED_PART = 0.1
"""Part of the ratio, for the requests of the last window, that may be saved up."""
SAVED_SLACK_PART = 0.36
"""Part of the slack that may be saved up."""
REFILL_PART = 0.36
"""Part of the slack that is added over a window.

Both parts together may be exceeded by a quarter, since others may not know a fifth of the entries.
"""
PERMIT_PART = 0.1
"""Part of the slack that entries which have just started share as permits."""


class SlidingCount:
    """Number of events in a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)
        self._trim(now)

    def cancel(self) -> None:
        """Remove the latest event."""
        if self._times:
            self._times.pop()

    def count(self, now: float) -> int:
        """Return the number of events in the last ``window_s`` seconds."""
        self._trim(now)
        return len(self._times)

    def find_wait(self, now: float) -> float:
        """Return the time until the oldest event leaves the window, in seconds; 0 without any."""
        self._trim(now)
        return self._times[0] + self._window_s - now if self._times else 0.0

    def _trim(self, now: float) -> None:
        """Drop the events before the window."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()


class RetrySettings(NamedTuple):
    """The retry budget of all entries together; for the fields see `RetryShare`."""

    ratio: float = 0.2
    slack: float = 64.0
    window_s: float = 10.0


def count_permits(budget: RetrySettings) -> int:
    """Return the number of retries in a window for which all entries share permits."""
    return int(PERMIT_PART * budget.slack)


class RetryShare:
    """One entry's share of the retries that a service may get from all entries.

    In any window, all entries together send at most ``ratio`` times the requests plus ``slack``
    retries.  The share is a token bucket: requests and time add tokens, and a retry takes one.  It
    starts empty and its capacity is small, so that the processes of an entry send at most what was
    saved before the window and what is added within it.  So the sum holds without messages, also
    if entries restart and lose their counts at any moment.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Further retries per window that all entries together may send.
    window_s : float
        Length of the sliding window, in seconds.
    began_at : float
        Start of this process, in seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float, began_at: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._began_at = began_at
        self._refilled_at = began_at
        self._requests = SlidingCount(window_s)
        self._retries = SlidingCount(window_s)
        self._tokens = 0.0

    def add_request(self, now: float) -> None:
        """Count a caller's request, which earns a part of a token."""
        self._requests.add(now)
        self._tokens += EARNED_PART * self.ratio

    def cancel_request(self) -> None:
        """Uncount a request that another entry counts, and return what it earned."""
        self._requests.cancel()
        self._tokens -= EARNED_PART * self.ratio

    def reserve_retry(self, now: float, *, entries: int) -> bool:
        """Reserve one retry; False if there is no token for it.

        Parameters
        ----------
        entries : int
            Live entries that share the slack.
        """
        slack_part = self.slack / max(1, entries)
        refill_per_s = REFILL_PART * slack_part / self._window_s
        added = max(0.0, now - self._refilled_at) * refill_per_s
        self._refilled_at = now
        self._tokens = min(self._tokens + added, self._find_capacity(now, slack_part))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._retries.add(now)
        return True

    def describe(self, now: float) -> dict[str, float]:
        """Return the counts in the window and for how long this entry counts, for the log."""
        return {
            "requests": self._requests.count(now),
            "retries": self._retries.count(now),
            "counted_for_s": round(now - self._began_at, 2),
        }

    def _find_capacity(self, now: float, slack_part: float) -> float:
        """Return the number of tokens that may be saved up; below 1, no retry is possible."""
        requests_part = self.ratio * self._requests.count(now)
        saved_slack = SAVED_SLACK_PART * slack_part
        # A whole token may be saved if all that is neither earned nor refilled covers it.
        remainder = saved_slack + (1.0 - EARNED_PART) * requests_part
        return max(saved_slack + SAVED_PART * requests_part, min(1.0, remainder))


class RateShare:
    """One entry's share of the requests that targets may get from all entries.

    Of ``limit`` requests in a window, at most ``limit`` entries, chosen by rank for each target,
    send any; each sends a fixed whole number.  So the sum holds in any window without messages.

    Parameters
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    began_at : float, optional
        Start of this entry.  Nothing is sent in the first window, since the entry doesn't know
        what it sent before a restart.
    """

    def __init__(self, *, window_s: float, began_at: float = -math.inf) -> None:
        self._window_s = window_s
        self._opens_at = began_at + window_s
        self._sent: dict[str, SlidingCount] = {}

    def add(self, target: str, now: float) -> None:
        """Count a request that was sent."""
        sent = self._sent.get(target)
        if sent is None:
            sent = self._sent[target] = SlidingCount(self._window_s)
        sent.add(now)

    def reserve_request(
        self, target: str, now: float, *, limit: int, entries: int, rank: int
    ) -> bool:
        """Count one request to a target; False if this entry may not send to it now.

        The parameters are those of `has_capacity`.
        """
        if not self.has_capacity(target, now, limit=limit, entries=entries, rank=rank):
            return False
        self.add(target, now)
        return True

    def has_capacity(self, target: str, now: float, *, limit: int, entries: int, rank: int) -> bool:
        """Check whether this entry may send a target a request now.

        Parameters
        ----------
        limit : int
            Requests in a window that all entries together may send.
        entries : int
            Entries that share the limit.
        rank : int
            Rank of this entry in the target's order of entries, from 0.
        """
        if rank >= limit or now < self._opens_at:
            return False
        sent = self._sent.get(target)
        return sent is None or sent.count(now) < max(1, limit // max(1, entries))

    def find_wait(self, target: str, now: float) -> float:
        """Return the time until the oldest request leaves the window, in seconds; 0 without any."""
        sent = self._sent.get(target)
        return sent.find_wait(now) if sent is not None else 0.0

    def forget(self, target: str) -> None:
        """Drop the counts of a target that was removed."""
        self._sent.pop(target, None)
