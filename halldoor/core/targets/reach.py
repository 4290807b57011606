"""Whether this entry can open connections to targets, by the results of those that it opens.

An entry that lost its way to all targets sees the same failures as one whose targets crashed.  The
two are told apart by probes of targets in different halls and services, since those rarely fail
together.  Nothing here reads a clock: the time is passed in as ``now``, in seconds.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from halldoor.core.targets.target import Target

SUSPECT_TARGETS = 2
"""Different targets that failed, without a connection to another one, from which probes start."""
PROBES = 4
"""Targets in a round of probes: a crash, a full target or a dark hall affects fewer."""
FEW_PROBES = 2
"""Targets in a round while none can be reached, or after mere silence, which is usual at times."""
SILENCE_S = 0.4
"""Time without any byte from a target, although a request waits, after which probes start."""
MANY_WAITING = 6
"""Waiting requests with which such silence is unusual, so that no pause holds probes back."""
SILENCE_PAUSE_S = 4.0
"""Shortest pause between two rounds after such silence, in seconds.  It doubles with each round
that reaches a target, since at a low rate of requests silence is usual."""
SILENCE_PAUSE_LIMIT_S = 30.0
"""Longest such pause, in seconds."""
BURST_S = 0.05
"""Time in which the connections to `BURST_TARGETS` targets break if their common way is cut."""
BURST_TARGETS = 3
"""Targets that rarely crash together within `BURST_S`."""
FAILURE_KEPT_S = 3.0
"""Time after the first failure in which others add to the same suspicion, in seconds."""
ROUND_PAUSE_S = 0.5
"""Pause between two rounds of probes, in seconds."""
FLAP_WINDOW_S = 10.0
"""Time after a return within which another loss doubles the time to the next return, in seconds."""
HOLD_S = 1.0
"""Time for which probes must succeed before a return that follows such a loss, in seconds."""
HOLD_LIMIT_S = 8.0
"""Longest such time, in seconds."""


class Loss(NamedTuple):
    """A period in which no connection to a target could be opened.

    Attributes
    ----------
    since : float
        Time of the first failure.
    probed_at : float
        Begin of the probes that confirmed it; connections that were answered later still work.
    causes : Mapping of str to str
        Cause of the failure by target.
    """

    since: float
    probed_at: float
    causes: Mapping[str, str]


class ReachMonitor:
    """Results of connections to targets, and the decision whether any can be reached.

    Attributes
    ----------
    loss : Loss or None
        The present period without connections; None while targets can be reached.
    last_answer_at : float
        Time of the last bytes from any target, over a new or a kept connection.
    """

    def __init__(self) -> None:
        self.loss: Loss | None = None
        self.last_answer_at = -math.inf
        self._failed: dict[str, str] = {}
        self._failed_since = math.inf
        self._broken_at: dict[str, float] = {}
        self._waiting: dict[int, float] = {}
        self._waits = 0
        self._rested_until = -math.inf
        self._silence_rested_until = -math.inf
        self._silence_pause_s = SILENCE_PAUSE_S
        self._returned_at = -math.inf
        self._reached_since = math.inf
        self._hold_s = 0.0

    def start_wait(self, now: float) -> int:
        """Record that a request was sent; return the number to end its wait with."""
        self._waits += 1
        self._waiting[self._waits] = now
        return self._waits

    def end_wait(self, number: int) -> None:
        """Record that a request no longer waits for an answer."""
        self._waiting.pop(number, None)

    def add_answer(self, now: float, *, opened_at: float = -math.inf) -> None:
        """Record bytes of a target.

        Parameters
        ----------
        opened_at : float, optional
            When the connection was opened; answers over older ones don't prove that new ones open.
        """
        self.last_answer_at = max(self.last_answer_at, now)
        if opened_at >= self._failed_since and self.loss is None:
            self._clear_failures()

    def add_failure(self, target: str, cause: str, now: float) -> None:
        """Record that no connection to a target could be opened, or that a new one broke."""
        if now - self._failed_since > FAILURE_KEPT_S and self.loss is None:
            self._clear_failures()
        if not self._failed:
            self._failed_since = now
        self._failed[target] = cause
        self._broken_at = {n: at for n, at in self._broken_at.items() if now - at <= BURST_S}
        self._broken_at[target] = now
        self._silence_pause_s = SILENCE_PAUSE_S

    def _clear_failures(self) -> None:
        """Forget the failures, since a target was reached after them."""
        self._failed = {}
        self._failed_since = math.inf

    def is_common_cause(self, now: float, *, started_at: float) -> bool:
        """Check whether a failure just now is more likely this entry's than a target's.

        Parameters
        ----------
        started_at : float
            When the failed attempt began: only those that broke during it broke together with it.
        """
        together = sum(now - at <= BURST_S and at >= started_at for at in self._broken_at.values())
        return together >= BURST_TARGETS

    @property
    def is_suspected(self) -> bool:
        """Whether enough targets failed to doubt that any can be reached."""
        return self.loss is not None or len(self._failed) >= SUSPECT_TARGETS

    def is_round_due(self, now: float) -> bool:
        """Check whether a round of probes is due."""
        if now < self._rested_until:
            return False
        return self.is_suspected or self._is_silent(now)

    def _is_silent(self, now: float) -> bool:
        """Check whether a request waits and no target has sent anything for `SILENCE_S`."""
        if not self._waiting:
            return False
        if now < self._silence_rested_until and len(self._waiting) < MANY_WAITING:
            return False
        oldest = next(iter(self._waiting.values()))
        return now - max(oldest, self.last_answer_at) >= SILENCE_S

    def choose_probes(self, targets: Collection[Target], source: random.Random) -> list[Target]:
        """Choose the targets of a round: of different halls and services, failed ones last.

        Parameters
        ----------
        targets : collection of Target
            The targets that this entry knows.
        source : random.Random
            Chooses among equal ones.
        """
        has_failures = self.is_suspected and self.loss is None
        count = PROBES if has_failures else FEW_PROBES
        # Enough for all halls and services; scanning thousands of targets would take too long.
        left = source.sample(list(targets), min(len(targets), 16 * PROBES))
        chosen: list[Target] = []
        halls: Counter[str] = Counter()
        services: Counter[str] = Counter()
        while left and len(chosen) < count:
            best = min(
                left,
                key=lambda t: (
                    halls[t.record.hall] + services[t.record.service],
                    t.name in self._failed,
                ),
            )
            left.remove(best)
            chosen.append(best)
            halls[best.record.hall] += 1
            services[best.record.service] += 1
        return chosen

    def add_round(self, causes: Mapping[str, str], now: float, *, began_at: float) -> bool:
        """Apply a round of probes; return whether `loss` began or ended with it.

        Parameters
        ----------
        causes : Mapping of str to str
            Cause of the failure by target; empty for a target that was reached.  If there are none,
            the round said nothing, and the next one is due at once.
        began_at : float
            When the round began.
        """
        if not causes:
            return False
        self._rested_until = now + ROUND_PAUSE_S
        failures = {name: cause for name, cause in causes.items() if cause}
        if self.loss is not None:
            return self._apply_return(is_reached=not failures, now=now)
        if len(failures) == len(causes):
            self._begin_loss(failures, now, began_at=began_at)
            return True
        self._clear_failures()
        self._silence_rested_until = now + self._silence_pause_s
        self._silence_pause_s = min(SILENCE_PAUSE_LIMIT_S, 2 * self._silence_pause_s)
        return False

    def _begin_loss(self, failures: Mapping[str, str], now: float, *, began_at: float) -> None:
        """Begin a period without connections."""
        since = min(self._failed_since, began_at, now)
        self.loss = Loss(since, began_at, {**self._failed, **failures})
        is_flapping = now - self._returned_at < FLAP_WINDOW_S
        self._hold_s = min(HOLD_LIMIT_S, max(HOLD_S, 2 * self._hold_s)) if is_flapping else 0.0
        self._reached_since = math.inf

    def _apply_return(self, *, is_reached: bool, now: float) -> bool:
        """Apply a round in a period without connections; return whether the period ended."""
        if not is_reached:
            self._reached_since = math.inf
            return False
        self._reached_since = min(self._reached_since, now)
        if now - self._reached_since < self._hold_s:
            return False
        self.loss = None
        self._returned_at = now
        self._clear_failures()
        return True
