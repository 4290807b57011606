"""The order of the store's configurations: the one that the store holds last is in force.

Versions order configurations only where the store's revisions can't: between two copies of the
store, and while the events since a full read, whose pages are no snapshot, are repeated.  So a
version that is too large by mistake yields to the next configuration that operators write.
"""

from __future__ import annotations

from collections.abc import Sequence

from halldoor.core.targets.changes import Change, RoutingRejected, RoutingSeen
from halldoor.core.targets.route import Routing
from halldoor.core.targets.withdrawal import StoreView


class RoutingSequence:
    """Marks the configurations that are the newest of the store, whatever their versions."""

    def __init__(self) -> None:
        self._view = StoreView("", -1)
        self._repeats_until = 0
        self._repeated: RoutingSeen | None = None
        self._outdated: Routing | None = None

    @property
    def is_repeating(self) -> bool:
        """Whether events may be repeated, so that a replaced configuration may be in force."""
        return self._view.revision < self._repeats_until

    def mark_read(
        self, changes: Sequence[Change], view: StoreView, *, newest: int, in_force: Routing | None
    ) -> list[Change]:
        """Mark the configuration of a full read if it is the newest one.

        That of another copy of the store may be older than the one in force, until operators write
        one to that copy.

        Parameters
        ----------
        view : StoreView
            Era of the read, and the revision up to which it contains every change.
        newest : int
            Revision up to which it may contain changes.
        in_force : Routing or None
            Configuration in force before the read.
        """
        last = _find_last(changes)
        if not view.has_reached(self._view):
            self._outdated = None
            if last is not None and in_force is not None:
                is_older = last.routing.version < in_force.version
                self._outdated = last.routing if is_older else None
        is_newest = last is not None and last.routing != self._outdated
        self._view, self._repeats_until, self._repeated = view, newest, None
        return _replace_routings(changes, last, is_newest=is_newest)

    def mark_events(self, changes: Sequence[Change], revision: int) -> list[Change]:
        """Mark the newest configuration of the events up to a revision, and leave out others."""
        self._view = StoreView(self._view.era, max(self._view.revision, revision))
        last = _find_last(changes)
        if last is not None:
            self._outdated = None
        if _ends_rejected(changes):
            # What was repeated before is not the newest.
            self._repeated = None
            return _replace_routings(changes, last, is_newest=revision >= self._repeats_until)
        last = last or self._repeated
        if revision < self._repeats_until:
            self._repeated = last
            return _replace_routings(changes, last, is_newest=False)
        self._repeated = None
        return _replace_routings(changes, last, is_newest=True)


def _find_last(changes: Sequence[Change]) -> RoutingSeen | None:
    """Return the last configuration; None if there is none."""
    return next((c for c in reversed(changes) if isinstance(c, RoutingSeen)), None)


def _ends_rejected(changes: Sequence[Change]) -> bool:
    """Check whether the last configuration of some changes is one that was rejected."""
    kinds = (RoutingSeen, RoutingRejected)
    last = next((c for c in reversed(changes) if isinstance(c, kinds)), None)
    return isinstance(last, RoutingRejected)


def _replace_routings(
    changes: Sequence[Change], last: RoutingSeen | None, *, is_newest: bool
) -> list[Change]:
    """Return the changes with the last configuration as the only one."""
    kept = [c for c in changes if not isinstance(c, RoutingSeen) or c is last]
    if last is None:
        return kept
    marked = last._replace(is_newest=is_newest)
    if not any(c is last for c in kept):
        return [marked, *kept]
    return [marked if c is last else c for c in kept]
