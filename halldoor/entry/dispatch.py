"""Try the routing steps of a request in order, and record the decision."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from halldoor.core.errors import Ran, Reason, Refusal, refuse
from halldoor.core.explaining.decision import Decision, PassedOver
from halldoor.core.hall.link import LinkShare
from halldoor.core.invariant import Invariants
from halldoor.core.placement import rank
from halldoor.core.steering.configuration import EntryHost
from halldoor.core.steering.routing import RoutingStep, ServiceMeters, list_routing_steps
from halldoor.core.steering.snapshot import ServiceView, Snapshot
from halldoor.entry.local import LocalHall
from halldoor.entry.outcome import HallRefusal
from halldoor.entry.remote import TO_TARGET, RequestForwarder, is_final
from halldoor.entry.request import Answer, Body, Request

MAX_REMOTE_HALLS = 3
"""Most other halls that are tried for one request."""
STREAM_RESERVE_BYTES = 1_000_000
"""Link bytes reserved for a body of unknown length."""


class Served(NamedTuple):
    """An answer with the decision that led to it."""

    answer: Answer
    decision: Decision


class Refused(NamedTuple):
    """A refusal with the decision that led to it."""

    refusal: Refusal
    decision: Decision


class _RoutingProgress:
    """Progress of one request through its routing steps: failures, target, caps charged."""

    def __init__(self) -> None:
        self.passed_over: list[PassedOver] = []
        self.refusal = refuse(Reason.NO_TARGET, "No hall has a target for this request.")
        self.step: RoutingStep | None = None
        self.target = ""
        self.attempts = 0
        self.cap = ""
        self.remote_halls = 0
        self.charged: set[tuple[str, ...]] = set()

    def add_failure(self, step: RoutingStep, failure: HallRefusal) -> None:
        """Record why a step failed."""
        self.step = step
        self.passed_over += failure.passed_over
        self.passed_over.append(PassedOver(f"hall {step.hall}", failure.refusal.message))
        self.attempts += failure.attempts
        self.target = failure.target or self.target
        # "No target" is the least informative reason, so it never replaces another one.
        if failure.refusal.reason != Reason.NO_TARGET or self.refusal.reason == Reason.NO_TARGET:
            self.refusal = failure.refusal


class Dispatcher:
    """Routes requests for one entry.

    Parameters
    ----------
    entry_name : str
        Name of this entry.
    local : LocalHall
        Serves requests at the own hall's targets.
    remote : RequestForwarder
        Forwards requests to entries of other halls.
    invariants : Invariants
        Counters of violated invariants.
    is_avoided : callable
        Checks by name whether an entry is known to be leaving or not alive.
    """

    def __init__(
        self,
        entry_name: str,
        *,
        local: LocalHall,
        remote: RequestForwarder,
        invariants: Invariants,
        is_avoided: Callable[[str], bool],
    ) -> None:
        self._entry_name = entry_name
        self._local = local
        self._remote = remote
        self._invariants = invariants
        self._is_avoided = is_avoided
        self._lock = threading.Lock()
        self._meters: dict[str, ServiceMeters] = {}
        self._links: dict[str, LinkShare] = {}
        self.snapshot: Snapshot | None = None

    def adopt(self, snapshot: Snapshot) -> None:
        """Apply a new configuration revision to caps and link limits."""
        roster = [e.name for e in snapshot.hall.entries]
        index = roster.index(self._entry_name) if self._entry_name in roster else len(roster)
        with self._lock:
            for name, view in snapshot.services.items():
                self._meters.setdefault(name, ServiceMeters()).set_caps(view)
            for hall, limit in snapshot.links.items():
                if hall in self._links:
                    self._links[hall].set_limit(limit, entries=len(roster), index=index)
                else:
                    self._links[hall] = LinkShare(limit, entries=len(roster), index=index)
            self.snapshot = snapshot

    def serve(self, request: Request, body: Body) -> Result[Served, Refused]:
        """Try the steps of a request until one answers, or return the final refusal."""
        snapshot = self.snapshot
        progress = _RoutingProgress()
        view = snapshot.services.get(request.service) if snapshot else None
        if snapshot is None or view is None:
            # The request was read under another revision, or by an entry that has another one.
            refusal = refuse(
                Reason.OLD_CONFIGURATION, "The service is not known here now. Retry later."
            )
            decision = self._build_decision(request, progress, snapshot, refusal.reason.value)
            return Failure(Refused(refusal, decision))
        with self._lock:
            meters = self._meters[request.service]
            meters.add_request()
        for step in list_routing_steps(view, request.client):
            if not self._may_try_step(step, progress, meters, snapshot):
                continue
            result = self._try_step(step, request, body, snapshot, view)
            if isinstance(result, Success):
                answer = result.unwrap()
                progress.step, progress.target = step, answer.target
                progress.passed_over += answer.passed_over
                progress.attempts += answer.attempts
                return Success(
                    Served(answer, self._build_decision(request, progress, snapshot, "served"))
                )
            failure = result.failure()
            progress.add_failure(step, failure)
            if not _may_try_next(failure.refusal, request, body):
                break
        refusal = progress.refusal
        return Failure(
            Refused(
                refusal, self._build_decision(request, progress, snapshot, refusal.reason.value)
            )
        )

    def _may_try_step(
        self,
        step: RoutingStep,
        progress: _RoutingProgress,
        meters: ServiceMeters,
        snapshot: Snapshot,
    ) -> bool:
        """Check whether the caps and `MAX_REMOTE_HALLS` allow a step, and charge its caps."""
        is_remote = step.hall != snapshot.hall.name
        if is_remote and progress.remote_halls >= MAX_REMOTE_HALLS:
            return False
        if step.charges and step.charges not in progress.charged:
            with self._lock:
                denied = meters.charge_move(step.charges)
                self._invariants.check(meters.is_within_caps(), "moved-within-cap", denied)
            if denied:
                progress.cap = f"the cap of '{denied}' forbade a move to hall {step.hall}"
                progress.passed_over.append(PassedOver(f"hall {step.hall}", f"cap of '{denied}'"))
                if progress.step is None or progress.refusal.ran == Ran.NOT_RUN:
                    progress.refusal = _refuse_by_cap(denied)
                return False
            progress.charged.add(step.charges)
            progress.cap = f"the move was counted against {', '.join(step.charges)}"
        progress.remote_halls += is_remote
        return True

    def _try_step(
        self, step: RoutingStep, request: Request, body: Body, snapshot: Snapshot, view: ServiceView
    ) -> Result[Answer, HallRefusal]:
        """Send a request to the hall of one step."""
        is_spill = step.hall not in view.home_halls
        if step.hall == snapshot.hall.name:
            return self._local.serve(step.targets, request, body, is_spill=is_spill)
        size = len(body.data) if body.is_whole else max(request.length, STREAM_RESERVE_BYTES)
        share = self._links.get(step.hall)
        if share is not None:
            with self._lock:
                if not share.reserve(size):
                    message = f"The link to hall {step.hall} is full. Retry in a second."
                    return Failure(HallRefusal(refuse(Reason.LINK_FULL, message), []))
        try:
            result = self._remote.send(
                self._list_entries(step.hall, request, snapshot),
                request,
                body,
                kind=TO_TARGET,
                selector=step.selector,
                is_spill=is_spill,
            )
        except BaseException:
            self._release_link(share, size)
            raise
        if isinstance(result, Success):
            result.unwrap().add_end_callback(lambda _: self._release_link(share, size))
        else:
            self._release_link(share, size)
        return result

    def _release_link(self, share: LinkShare | None, size: int) -> None:
        """Release reserved link capacity; do nothing if the link has no limit."""
        if share is None:
            return
        with self._lock:
            share.release(size)

    def _list_entries(self, hall: str, request: Request, snapshot: Snapshot) -> list[EntryHost]:
        """List the entries of a hall ranked by request id to spread load, avoided ones last."""
        known = snapshot.configuration.find_hall(hall)
        entries = {e.name: e for e in known.entries} if known else {}
        names = sorted(rank(request.id, entries), key=self._is_avoided)
        return [entries[name] for name in names]

    def _build_decision(
        self, request: Request, progress: _RoutingProgress, snapshot: Snapshot | None, outcome: str
    ) -> Decision:
        """Build the decision record of a request."""
        step = progress.step
        return Decision(
            id=request.id,
            entry=self._entry_name,
            revision=snapshot.revision if snapshot else 0,
            service=request.service,
            operation=request.operation,
            client=request.client,
            selector=step.selector if step else "",
            because=step.because if step else "no hall was tried",
            cap=progress.cap,
            hall=step.hall if step else "",
            target=progress.target,
            outcome=outcome,
            attempts=progress.attempts,
            passed_over=progress.passed_over,
        )

    def count_moves(self) -> dict[tuple[str, str], tuple[int, int, float]]:
        """Return total requests, moved requests and the cap, by service and meter."""
        with self._lock:
            return {
                (service, name): (meter.count.total, meter.count.moved, meter.cap)
                for service, meters in self._meters.items()
                for name, meter in meters.meters.items()
            }


def _may_try_next(refusal: Refusal, request: Request, body: Body) -> bool:
    """Check whether the next step may be tried after a refusal."""
    if is_final(refusal, request) or not body.can_resend:
        return False
    return request.get_remaining_s() > 0 and not request.cancellation.is_cancelled


def _refuse_by_cap(cap: str) -> Refusal:
    """Build the refusal of a request that a cap keeps from another hall."""
    return refuse(
        Reason.SHIFT_CAP,
        f"No home slot is free, and the cap of '{cap}' allows no move now. Retry in a second.",
    )
