"""Dispatches changes of the catalog to the other components of an entry."""

from __future__ import annotations

from collections.abc import Callable

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import (
    Change,
    EvidenceRemoved,
    EvidenceSeen,
    MemberRemoved,
    MemberSeen,
    RoutingSeen,
    TargetRemoved,
    TargetSeen,
)
from halldoor.gateway.coldstate import ColdStateExchange
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.feedback import TargetFeedback
from halldoor.gateway.limits import LimitExchange
from halldoor.gateway.quarantine import RequestQuarantine
from halldoor.gateway.registration import Registration

FAULTS_LOGGED = 10
"""Greatest number of unreadable fields that are listed in one log line."""


class ChangeDispatcher:
    """Dispatcher of each change that was applied to the catalog.

    Parameters
    ----------
    own_name : str
        Name of this entry.
    catalog : Catalog
        Holds the state after the changes.
    feedback, quarantine, registration, cold_state, limits
        Components that are notified.
    is_stopping : callable
        Returns whether this entry is stopping, so that the removal of its own record is expected.
    notify : callable
        Calls a component with arguments; one that fails must not affect others.
    """

    def __init__(
        self,
        own_name: str,
        catalog: Catalog,
        *,
        feedback: TargetFeedback,
        quarantine: RequestQuarantine,
        registration: Registration,
        cold_state: ColdStateExchange,
        limits: LimitExchange,
        is_stopping: Callable[[], bool],
        notify: Callable[..., None],
        log: EventLog,
    ) -> None:
        self._notify = notify
        self._own_name = own_name
        self._catalog = catalog
        self._feedback = feedback
        self._quarantine = quarantine
        self._registration = registration
        self._cold_state = cold_state
        self._limits = limits
        self._is_stopping = is_stopping
        self._log = log

    def dispatch(self, change: Change) -> None:
        """Notify the components that a change concerns."""
        match change:
            case TargetSeen(record) if self._catalog.pop_restart(record.incarnation):
                self._dispatch_removal(record.incarnation)
            case TargetRemoved(incarnation) if self._catalog.find_target(incarnation) is None:
                self._dispatch_removal(incarnation)
            case RoutingSeen(routing) if routing.faults:
                self._log.event(
                    "configuration",
                    "Some fields can't be read.",
                    version=routing.version,
                    count=len(routing.faults),
                    faults=list(routing.faults[:FAULTS_LOGGED]),
                )
            case EvidenceSeen(evidence):
                self._notify(self._quarantine.apply_stored_record, evidence)
            case EvidenceRemoved(digest):
                self._notify(self._quarantine.remove_stored_record, digest)
            case MemberSeen():
                self._notify(self._quarantine.update_collectors)
            case MemberRemoved(name) if name == self._own_name and not self._is_stopping():
                self._registration.record_removal()
            case MemberRemoved():
                self._notify(self._quarantine.update_collectors)

    def _dispatch_removal(self, incarnation: str) -> None:
        """Notify the components that one incarnation of a target was removed."""
        self._notify(self._feedback.forget_target, incarnation)
        self._notify(self._quarantine.record_target_removed, incarnation)
        self._notify(self._cold_state.forget, incarnation)
        self._notify(self._limits.forget, incarnation)
