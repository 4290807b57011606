"""Calls for changes that go on beside others, since their answers arrive slowly."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.handover import ReaderLostError
from halldoor.gateway.polls import ContactLostError, OtherEraError, Update

SLOW_S = 0.1
"""Time after the head of an answer from which it counts as slow, in seconds."""
HELP_S = 0.3
"""Time for which a poll of another entry waits for changes meanwhile, in seconds."""
HELP_PAUSE_S = 0.1
"""Pause after a poll that nobody answered, in seconds."""
CHECK_S = 0.1
"""Period of checking a call, in seconds."""


class KeptCall:
    """A call whose answer is arriving.

    Parameters
    ----------
    arrival : Arrival
        Progress of the answer.
    is_watch : bool
        Whether the store answers; otherwise another entry does.
    """

    def __init__(self, task: asyncio.Task[Update], arrival: Arrival, *, is_watch: bool) -> None:
        self.task = task
        self.is_watch = is_watch
        self.arrival = arrival

    def takes_longer_than(self, limit_s: float) -> bool:
        """Check whether the store's answer will take longer than a time, in seconds."""
        now = asyncio.get_running_loop().time()
        return self.is_watch and self.arrival.estimate_left_s(now) > limit_s

    def find_update(self, revision: int) -> Update | None:
        """Return the call's changes after a revision; None if it has none, or failed.

        Raises
        ------
        StoreError
            If the store's answer did not arrive.
        """
        try:
            update = self.task.result()
        except (ReaderLostError, OtherEraError):
            return None  # The reader was left before.
        return update if update.events.revision > revision else None

    def is_superseded_by(self, update: Update) -> bool:
        """Check whether an update has all changes of the answer, which was sent before its head."""
        head_at = self.arrival.head_at
        return head_at is not None and update.proven_at >= head_at


def discard(task: asyncio.Task[Any]) -> None:
    """Cancel a task whose result is not needed; an error that it raised is not reported."""
    task.cancel()
    task.add_done_callback(lambda done: done.cancelled() or done.exception())


class CallKeeper:
    """Runs calls for changes, and keeps one whose answer arrives slowly.

    Attributes
    ----------
    kept : KeptCall or None
        The kept call.
    """

    def __init__(self) -> None:
        self.kept: KeptCall | None = None

    async def run(
        self,
        call: Coroutine[Any, Any, Update],
        get_arrival: Callable[[], Arrival | None],
        *,
        is_watch: bool = False,
        not_before: float = -math.inf,
        is_cut: Callable[[], bool] = lambda: False,
    ) -> Update | None:
        """Run a call; if its answer arrives slowly, and no other is kept, keep it and return None.

        Parameters
        ----------
        get_arrival : callable
            Returns the progress of the answer.
        not_before : float, optional
            Time until which the call is awaited in any case, on the loop's clock.
        is_cut : callable, optional
            Returns whether an answer that has not begun is not to be awaited any longer.

        Raises
        ------
        ContactLostError
            If `is_cut` became true.
        """
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                await asyncio.wait([task], timeout=CHECK_S)
                arrival, now = get_arrival(), asyncio.get_running_loop().time()
                if task.done():
                    break
                if arrival is None or arrival.head_at is None:
                    if is_cut():
                        raise ContactLostError
                elif now >= max(arrival.head_at + SLOW_S, not_before) and self.kept is None:
                    self.kept = KeptCall(task, arrival, is_watch=is_watch)
                    return None
            return task.result()
        finally:
            if self.kept is None or self.kept.task is not task:
                task.cancel()

    def drop(self) -> None:
        """Cancel the kept call, if any."""
        if self.kept is not None:
            discard(self.kept.task)
            self.kept = None
