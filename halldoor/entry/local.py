"""Serve requests at the targets of this entry's own hall, with retries at other targets."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from halldoor.core.errors import Ran, Reason, Refusal, refuse, refuse_unknown
from halldoor.core.explaining.decision import PassedOver
from halldoor.core.hall.retry import RetryBudget
from halldoor.core.retry import RetryFacts, RetryObstacle, find_retry_obstacle
from halldoor.entry.hall import Admission, AdmissionController
from halldoor.entry.outcome import HallRefusal
from halldoor.entry.request import Answer, Body, Request, RequestError
from halldoor.entry.targets import PREFETCH_BYTES, Fault, TargetClient, TargetFault

MAX_ATTEMPTS = 3
"""Most sends of one request to targets of this hall."""


class LocalHall:
    """Admits requests to the hall's targets, and sends them.

    Parameters
    ----------
    controller : AdmissionController
        Admits requests by slots, health and policy.
    client : TargetClient
        Connections to targets.
    queue_s : float, optional
        Seconds that a request of this entry's own callers may wait for a slot, before the first
        attempt and before each retry.
    """

    def __init__(
        self, controller: AdmissionController, client: TargetClient, *, queue_s: float = 0.0
    ) -> None:
        self._controller = controller
        self._queue_s = queue_s
        self._client = client
        self._budget = RetryBudget()
        self._budget_lock = threading.Lock()

    def serve(
        self, targets: Sequence[str], request: Request, body: Body, *, is_spill: bool
    ) -> Result[Answer, HallRefusal]:
        """Admit and send a request; retry at other targets where that is safe."""
        admitted = self.admit(targets, request, is_spill=is_spill, wait_s=self._queue_s)
        if isinstance(admitted, Failure):
            return admitted
        return self.send_admitted(
            admitted.unwrap(), targets, request, body, is_spill=is_spill, wait_s=self._queue_s
        )

    def admit(
        self, targets: Sequence[str], request: Request, *, is_spill: bool, wait_s: float = 0.0
    ) -> Result[Admission, HallRefusal]:
        """Reserve a target's slot, before any of the body is sent over a link between halls."""
        with self._budget_lock:
            self._budget.add_request()
        result = self._controller.admit(
            targets, until=request.deadline, is_spill=is_spill, wait_s=wait_s
        )
        return result.alt(lambda no: HallRefusal(no.refusal, no.passed_over))

    def cancel_admission(self, admission: Admission) -> None:
        """Release the slot of an admitted request that is not sent."""
        self._controller.release(admission)

    def send_admitted(
        self,
        admission: Admission,
        targets: Sequence[str],
        request: Request,
        body: Body,
        *,
        is_spill: bool,
        wait_s: float = 0.0,
    ) -> Result[Answer, HallRefusal]:
        """Send an admitted request; retry it at other targets where that is safe."""
        passed_over: list[PassedOver] = []
        tried: set[str] = set()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            name = admission.target.name
            try:
                answer = self._send(admission, request, body)
                answer.attempts, answer.passed_over = attempt, passed_over
                return Success(answer)
            except RequestError as exc:
                refusal = exc.refusal
            tried.add(name)
            passed_over.append(PassedOver(name, refusal.message))
            obstacle = self._find_obstacle(request, body, refusal, attempt)
            if obstacle is not None:
                passed_over.append(PassedOver("another attempt", obstacle.value))
                return Failure(HallRefusal(refusal, passed_over, name, attempt))
            result = self._controller.admit(
                targets,
                until=request.deadline,
                excluded=frozenset(tried),
                is_spill=is_spill,
                wait_s=wait_s,
            )
            if isinstance(result, Failure):
                passed_over += result.failure().passed_over
                return Failure(HallRefusal(refusal, passed_over, name, attempt))
            admission = result.unwrap()
        raise AssertionError("unreachable")

    def _find_obstacle(
        self, request: Request, body: Body, refusal: Refusal, attempts: int
    ) -> RetryObstacle | None:
        """Return what forbids a retry; if nothing does, spend one retry of the budget."""
        obstacle = find_retry_obstacle(
            RetryFacts(
                is_repeatable=request.is_repeatable,
                may_have_run=refusal.ran != Ran.NOT_RUN,
                can_resend=body.can_resend,
                attempts=attempts,
                attempt_limit=MAX_ATTEMPTS,
                left_s=0.0 if request.cancellation.is_cancelled else request.get_remaining_s(),
            )
        )
        if obstacle is not None:
            return obstacle
        with self._budget_lock:
            return None if self._budget.reserve_retry() else RetryObstacle.BUDGET

    def _send(self, admission: Admission, request: Request, body: Body) -> Answer:
        """Send to one target; release its slot and record its health from the result."""
        name = admission.target.name
        controller = self._controller

        def may_send() -> bool:
            return controller.may_send(admission) and not request.cancellation.is_cancelled

        try:
            answer, latency_s = self._client.send(
                admission.target, request, body, may_send=may_send
            )
        except TargetFault as exc:
            may_be_busy = exc.fault in (Fault.MAYBE_RAN, Fault.BODY)
            controller.release(admission, busy_until=request.deadline if may_be_busy else 0.0)
            self._record_fault(name, exc.fault, request)
            raise RequestError(_to_refusal(exc, request)) from exc
        except BaseException:
            controller.release(admission, busy_until=request.deadline)
            raise
        deadline = request.deadline
        answer.add_end_callback(
            lambda is_whole: controller.release(admission, busy_until=0.0 if is_whole else deadline)
        )
        if request.is_repeatable:
            self._prefetch(name, answer, request)
        controller.record_result(name, is_good=answer.status < 500, latency_s=latency_s)
        return answer

    def _prefetch(self, name: str, answer: Answer, request: Request) -> None:
        """Read the start of an answer, so that a break in it can be retried."""
        try:
            answer.prefetch(PREFETCH_BYTES)
        except RequestError:
            self._record_fault(name, Fault.MAYBE_RAN, request)
            raise

    def _record_fault(self, name: str, fault: Fault, request: Request) -> None:
        """Record a fault in the target's health, unless its caller caused it."""
        if fault is Fault.SHED:
            self._controller.record_shed(name)
        elif fault is not Fault.BODY and not request.cancellation.is_cancelled:
            self._controller.record_result(name, is_good=False)


def _to_refusal(fault: TargetFault, request: Request) -> Refusal:
    """Build the caller's refusal for a target's fault."""
    if fault.fault is Fault.SHED:
        return refuse(Reason.SHED, "The target is full and did not run it. Retry in a second.")
    if fault.fault is Fault.NOT_SENT:
        return refuse(Reason.BROKEN, f"Not sent: {fault}. Retry in a second.")
    if request.cancellation.is_cancelled:
        return refuse_unknown(Reason.CANCELLED, "The caller disconnected.")
    if request.has_expired():
        return refuse_unknown(
            Reason.DEADLINE,
            "The target did not answer in time. Allow more time with Halldoor-Deadline-Ms.",
            retry_after_s=1.0 if request.is_repeatable else 0.0,
        )
    if fault.fault is Fault.BODY:
        return refuse_unknown(
            Reason.BAD_REQUEST, f"The request's body broke off: {fault}. Send it again."
        )
    return refuse_unknown(
        Reason.BROKEN,
        f"The target broke off: {fault}.",
        retry_after_s=1.0 if request.is_repeatable else 0.0,
    )
