"""Run a second attempt of a request beside a slow first one, and keep the first success."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from halldoor.core.targets.choice import Choice, Chooser, NoTarget, name_kind
from halldoor.core.targets.hedging import HedgeDelays
from halldoor.core.targets.latency import LatencyModel
from halldoor.core.targets.target import Target
from halldoor.gateway.attempt import RequestState
from halldoor.gateway.exchange import OutgoingRequest
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import Outcome, PartialAnswer, is_success
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.retries import RetryGate

T = TypeVar("T")
Result = tuple[Outcome, Target]
"""Outcome of an attempt, and its target."""

MIN_HEDGED_ATTEMPTS = 2
"""Least number of attempts that a route must allow for its requests to be hedged."""

SUPERSEDED = "superseded"
"""Message of the cancellation of an attempt because the other one was answered."""


class RequestHedger:
    """Sends a request to a second target if the first attempt takes unusually long.

    Parameters
    ----------
    delays : HedgeDelays
        Decides how long the first attempt may take.
    chooser, latency : Chooser, LatencyModel
        Choose the second target, and know which keys a target has served.
    retries : RetryGate
        Limits second attempts.
    quarantine : RequestQuarantine
        Knows requests that crash targets, which are not sent twice.
    """

    def __init__(
        self,
        delays: HedgeDelays,
        *,
        chooser: Chooser,
        latency: LatencyModel,
        retries: RetryGate,
        quarantine: RequestQuarantine,
        metrics: GatewayMetrics,
    ) -> None:
        self._delays = delays
        self._chooser = chooser
        self._latency = latency
        self._retries = retries
        self._quarantine = quarantine
        self._metrics = metrics

    async def run(
        self,
        state: RequestState,
        outgoing: OutgoingRequest,
        choice: Choice,
        *,
        attempt: Callable[[Choice, bool], Coroutine[Any, Any, Outcome]],
    ) -> Result:
        """Send the request to the chosen target, and to a second one if that takes too long.

        Parameters
        ----------
        attempt : callable
            Sends the request to a target; its second argument tells whether it is the second one.
        """
        delay_s = self._find_delay(state, outgoing, choice)
        if delay_s is None:
            return await attempt(choice, False), choice.target

        async def run(choice: Choice, is_hedge: bool) -> Result:
            return await attempt(choice, is_hedge), choice.target

        def start_second() -> Coroutine[Any, Any, Result] | None:
            second = self._choose_second(state, outgoing, choice)
            if second is None:
                return None
            self._metrics.add_hedge("sent")
            return run(second, True)

        outcome, target = await race(
            run(choice, False),
            start_second,
            delay_s=delay_s,
            is_success=lambda result: is_success(result[0]),
            discard=lambda result: _discard(result[0]),
        )
        if target is not choice.target and is_success(outcome):
            self._metrics.add_hedge("won")
        return outcome, target

    def add_time(self, state: RequestState, choice: Choice, took_s: float) -> None:
        """Record how long an attempt ran, for the delays of later requests of its kind."""
        if state.route.is_hedged:
            kind = self._name_kind(state, choice.target)
            self._delays.add_time(kind, took_s=took_s, expected_s=choice.estimate.time_s)

    def _find_delay(
        self, state: RequestState, outgoing: OutgoingRequest, choice: Choice
    ) -> float | None:
        """Return the time after which the request is sent again, in seconds; None: never."""
        route = state.route
        if not (route.is_hedged and route.kind.is_repeatable):
            return None
        if state.attempts or outgoing.rest is not None or route.max_attempts < MIN_HEDGED_ATTEMPTS:
            return None
        kind = self._name_kind(state, choice.target)
        return self._delays.find_delay(kind, expected_s=choice.estimate.time_s)

    def _name_kind(self, state: RequestState, target: Target) -> str:
        """Return the kind of an attempt: times are predicted better for keys that are known."""
        is_known = self._latency.has_answered(target.name, state.key)
        return f"{name_kind(state.service, state.route)}/{'known' if is_known else 'new'}"

    def _choose_second(
        self, state: RequestState, outgoing: OutgoingRequest, first: Choice
    ) -> Choice | None:
        """Choose the target of a second attempt; None if there must be none.

        It needs a free slot, so that it delays no other request, time to answer, and a part of the
        retry budget.
        """
        now = asyncio.get_running_loop().time()
        if self._quarantine.is_blocked(state.identity):
            return None
        choice = self._chooser.choose(
            state.route, state.service, state.key, now, tried=[first.target.name]
        )
        if isinstance(choice, NoTarget) or choice.estimate.wait_s > 0:
            return None
        if now + choice.estimate.time_s >= outgoing.expires_at:
            return None
        return choice if self._retries.reserve_hedge(state, now) else None


async def race(
    first: Coroutine[Any, Any, T],
    start_second: Callable[[], Coroutine[Any, Any, T] | None],
    *,
    delay_s: float,
    is_success: Callable[[T], bool],
    discard: Callable[[T], None] = lambda _: None,
) -> T:
    """Return the result of the first attempt that succeeds, and cancel the other one.

    If the first attempt ends within the delay, its result is returned whatever it is.  If neither
    succeeds, the result of the attempt that ended last is returned.

    Parameters
    ----------
    first : coroutine
        The first attempt.
    start_second : callable
        Returns the second attempt, or None if there must be none; called after the delay.
    delay_s : float
        Time after which the second attempt starts, in seconds.
    is_success : callable
        Checks whether a result makes the other attempt unnecessary.
    discard : callable, optional
        Called with a result that is not returned, to release what it holds.
    """
    loop = asyncio.get_running_loop()
    tasks = {loop.create_task(first)}
    returned: asyncio.Task[T] | None = None
    try:
        done, _ = await asyncio.wait(tasks, timeout=delay_s)
        if not done:
            second = start_second()
            if second is not None:
                tasks.add(loop.create_task(second))
        running = set(tasks)
        while True:
            done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if is_success(task.result()) or not running:
                    returned = task
                    return task.result()
    finally:
        try:
            await _cancel(tasks)
        except asyncio.CancelledError:
            returned = None  # The caller left meanwhile.
            raise
        finally:
            for task in tasks:
                if task is not returned and not task.cancelled() and task.exception() is None:
                    discard(task.result())


def _discard(outcome: Outcome) -> None:
    """Close the connection of an answer that nobody forwards."""
    if isinstance(outcome, PartialAnswer):
        outcome.connection.close()


def is_superseded(exc: asyncio.CancelledError) -> bool:
    """Check whether an attempt was cancelled because the other one was answered."""
    return exc.args == (SUPERSEDED,)


async def _cancel(tasks: set[asyncio.Task[T]]) -> None:
    """Cancel the tasks that still run, and wait until they have ended.

    The caller of `race` was cancelled if it is being cancelled now: then no attempt was answered.
    """
    running = [task for task in tasks if not task.done()]
    current = asyncio.current_task()
    has_caller_left = current is not None and current.cancelling() > 0
    for task in running:
        task.cancel(None if has_caller_left else SUPERSEDED)
    if running:
        await asyncio.gather(*running, return_exceptions=True)
