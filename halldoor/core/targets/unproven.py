"""Targets that have never answered: how many requests they get, and which of them are checked.

A record in the store doesn't prove that a target listens at its address.  Until it has answered, a
target gets few requests while others that have answered have room.  One that fails to answer is
checked, apart from callers' requests, until it answers.  Nothing here reads a clock: the time is
passed in as ``now``, in seconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Sequence
from itertools import islice

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.target import Target

TRIALS_PER_TARGET = 0.5
"""Requests that may wait for unproven targets of a service at a time, for each of its targets that
is proven, or was there at the first request and has not failed."""
MIN_TRIALS = 2
"""The same, however few are proven."""
CHECK_AFTER_S = 0.1
"""Time for which a target is withheld, or none is proven, before checks, in seconds: usually a
request proves it sooner."""
FIRST_CHECKS = 4
"""Targets of a service that are checked if none is proven after `CHECK_AFTER_S`; as many more
after each further one."""
CHECKS_PER_FAILURE = 2
"""Further targets that are checked then for each one that failed."""
PAUSE_S = 0.5
"""Pause after a failed check, in seconds; it doubles with each further one."""
PAUSE_LIMIT_S = 8.0
"""Longest such pause, in seconds: that of an ejection."""
START_S = 3.0
"""Time from the first request of a service in which targets that requests wait for are checked, in
seconds: an entry that has just started can't tell sound targets from others."""
MAX_DOUBLINGS = 8
"""Doublings of the pause that are counted; it has reached its limit long before."""


class _Check:
    """When an unproven target is checked next.

    Attributes
    ----------
    due_at : float
        Time of the next check.
    doublings : int
        How often the pause after a failed check was doubled.
    """

    def __init__(self, target: Target, due_at: float) -> None:
        self.target = target
        self.due_at = due_at
        self.doublings = 0


class _Service:
    """What is known of the targets of one service.

    Attributes
    ----------
    proven, failed : set of str
        Targets that have answered; those that never have, and failed to.
    trials : Counter of str
        Requests that wait for targets that have never answered.
    checks : dict of str to _Check
        Targets that are to be checked.
    asked_at : float
        Time of the first choice of a target.
    first : frozenset of str
        Targets that were there then.
    """

    def __init__(self) -> None:
        self.proven: set[str] = set()
        self.failed: set[str] = set()
        self.trials: Counter[str] = Counter()
        self.checks: dict[str, _Check] = {}
        self.asked_at = math.inf
        self.first: frozenset[str] = frozenset()
        self._credible: int | None = None

    def count_credible(self) -> int:
        """Return how many targets are proven, or were there first and have not failed."""
        if self._credible is None:
            self._credible = len(self.proven | (self.first - self.failed))
        return self._credible

    def invalidate(self) -> None:
        """Count again after a change of the sets of targets."""
        self._credible = None

    def is_starting(self, now: float) -> bool:
        """Check whether most targets had no occasion to answer yet."""
        return not self.failed and now - self.asked_at < START_S

    def request_check(self, target: Target, due_at: float) -> None:
        """Have a target checked, unless it is already to be."""
        if target.name not in self.checks:
            self.checks[target.name] = _Check(target, due_at)

    def request_first_checks(self, targets: Sequence[Target], now: float) -> None:
        """Have some targets checked if none is proven although requests were sent long enough ago.

        Cold ones are not: health answers are work, too.

        Parameters
        ----------
        targets : sequence of Target
            The service's targets.
        """
        periods = int((now - self.asked_at) / CHECK_AFTER_S)
        count = FIRST_CHECKS * periods + CHECKS_PER_FAILURE * len(self.failed)
        if not len(self.checks) < min(count, len(targets)):
            return
        others = (t for t in targets if t.name not in self.checks and not t.is_cold(now))
        for target in islice(others, count - len(self.checks)):
            self.request_check(target, now)


class UnprovenTargets:
    """Which targets have answered, and the trials and checks of those that have not.

    The requests that wait for unproven targets of a service, and its unproven targets that failed,
    are together at most `TRIALS_PER_TARGET` of the targets that are proven or were there at the
    first request and have not failed: an entry of a large fleet has no answer of most for long.
    Where none is proven, there is no limit.

    Parameters
    ----------
    catalog : Catalog
        The targets that this entry knows; nothing is kept of others.
    """

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._services: dict[str, _Service] = {}

    def is_proven(self, target: Target) -> bool:
        """Check whether a target has answered."""
        return target.name in self._get_service(target).proven

    def has_failed(self, target: Target) -> bool:
        """Check whether a target has never answered, and failed to."""
        return target.name in self._get_service(target).failed

    def list_most_reliable(self, targets: Collection[Target], least: int) -> list[Target]:
        """List the proven ones of some targets, and others up to a number that have not failed.

        If none is proven, all are returned.
        """
        proven = [target for target in targets if self.is_proven(target)]
        if not proven:
            return list(targets)
        others = (t for t in targets if not self.is_proven(t) and not self.has_failed(t))
        return [*proven, *islice(others, max(0, least - len(proven)))]

    def add_answer(self, target: Target) -> None:
        """Record that a target answered, whatever it answered."""
        service = self._get_service(target)
        if target.name in service.proven or not self._is_known(target):
            return
        service.proven.add(target.name)
        service.failed.discard(target.name)
        service.invalidate()
        service.trials.pop(target.name, None)
        service.checks.pop(target.name, None)

    def add_failure(self, target: Target, now: float) -> None:
        """Record that a target did not answer, and have it checked if it never has."""
        service = self._get_service(target)
        if target.name in service.proven or not self._is_known(target):
            return
        service.failed.add(target.name)
        service.invalidate()
        service.request_check(target, now + PAUSE_S)

    def start_trial(self, target: Target) -> None:
        """Record that a request is sent to a target."""
        service = self._get_service(target)
        if target.name not in service.proven:
            service.trials[target.name] += 1

    def end_trial(self, target: Target) -> None:
        """Record that a request no longer waits for a target."""
        trials = self._get_service(target).trials
        trials[target.name] -= 1
        if trials[target.name] <= 0:
            del trials[target.name]

    def is_withheld(self, target: Target, now: float) -> bool:
        """Check whether a target gets no request while a proven one has room.

        One that is withheld for long is checked.
        """
        service = self._get_service(target)
        if math.isinf(service.asked_at):
            service.asked_at = now
            known = self._catalog.list_usable(target.record.service)
            service.first = frozenset(t.name for t in known)
            service.invalidate()
        if target.name in service.proven or not service.proven:
            return False
        limit = max(MIN_TRIALS, TRIALS_PER_TARGET * service.count_credible())
        is_exhausted = service.trials.total() + len(service.failed) >= limit
        if is_exhausted:
            service.request_check(target, now + CHECK_AFTER_S)
        return is_exhausted or target.name in service.failed

    def pop_due_checks(self, now: float, most: int) -> list[Target]:
        """Return the targets whose check is due, the earliest first.

        Parameters
        ----------
        most : int
            Most targets to return.
        """
        for name, service in self._services.items():
            if not service.proven and math.isfinite(service.asked_at):
                service.request_first_checks(self._catalog.list_usable(name), now)
            elif service.is_starting(now):
                self._check_waited_for(service, now)
        checks = [
            check
            for service in self._services.values()
            for check in service.checks.values()
            if check.due_at <= now and self._catalog.can_send(check.target.name)
        ]
        checks.sort(key=lambda check: check.due_at)
        for check in checks[:most]:
            check.due_at = now + PAUSE_LIMIT_S
        return [check.target for check in checks[:most]]

    def _check_waited_for(self, service: _Service, now: float) -> None:
        """Have the targets checked that requests wait for, except cold ones."""
        for name in service.trials:
            target = self._catalog.find_target(name)
            if target is not None and not target.is_cold(now):
                service.request_check(target, now + CHECK_AFTER_S)

    def add_check_failure(self, target: Target, now: float) -> bool:
        """Record that a target did not answer a check, and have it checked again after a pause.

        Returns
        -------
        bool
            Whether it is the target's first failure.
        """
        service = self._get_service(target)
        check = service.checks.get(target.name)
        if check is None:
            return False  # It answered a request, or was removed meanwhile.
        is_first = target.name not in service.failed
        service.failed.add(target.name)
        service.invalidate()
        check.due_at = now + min(PAUSE_LIMIT_S, PAUSE_S * 2**check.doublings)
        check.doublings = min(MAX_DOUBLINGS, check.doublings + 1)
        return is_first

    def forget(self, name: str) -> None:
        """Drop the state of a target that was removed."""
        for service in self._services.values():
            service.proven.discard(name)
            service.failed.discard(name)
            service.first -= {name}
            service.invalidate()
            service.trials.pop(name, None)
            service.checks.pop(name, None)

    def _is_known(self, target: Target) -> bool:
        """Check whether a target's record is still there."""
        return self._catalog.find_target(target.name) is not None

    def _get_service(self, target: Target) -> _Service:
        """Return the state of a target's service, creating it if needed."""
        service = self._services.get(target.record.service)
        if service is None:
            service = self._services[target.record.service] = _Service()
        return service
