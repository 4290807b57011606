"""Notify other entries of changes of the store that bear a bound, and apply their notices.

A second way for news beside the entry's own watch: whichever comes first counts, so that an entry
that pauses, reads all again or follows a slow reader acts as soon as others know.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    MemberRecord,
    RoutingSeen,
    TargetStart,
)
from halldoor.core.targets.withdrawal import (
    HOLD_S,
    WITHDRAWN_MOST,
    StoreNotice,
    StoreView,
    choose_peers,
)
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics

PERIOD_S = 0.05
"""Shortest time between two messages, in seconds."""
REPEAT_S = 0.2
"""Time after which a notice is sent once more, to other entries, in seconds."""
ROUNDS = 2
"""Times that a notice is sent."""
BEHIND_S = 0.5
"""Time after which an entry that has ended its pause, and is still behind, opens another watch, in
seconds."""
PAUSED_BEHIND_S = 1.5
"""The same for one that may pause, in seconds: withdrawn targets are known by the notice."""
CHECK_S = 1.0
"""Period of looking for notices that no longer hold, in seconds."""


class _Pending(NamedTuple):
    """A notice that is still to be sent.

    Attributes
    ----------
    learned_at : float
        When an entry first applied the change.
    due_at : float
        When it is sent next.
    left : int
        Times that it is still to be sent.
    """

    view: StoreView
    learned_at: float
    due_at: float
    left: int = ROUNDS


class StoreNoticeExchange:
    """The task that notifies other entries of what the store says, and applies their notices.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Targets and other entries.
    port : DatagramPort
        The socket for messages of other entries.
    get_view : callable
        Returns how far this entry has followed the store.
    hurry : callable
        Ends the pause before the next watch.
    renew_watch : callable
        Opens another watch, for the cause given.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        port: DatagramPort,
        *,
        get_view: Callable[[], StoreView],
        hurry: Callable[[], None],
        renew_watch: Callable[[str], None],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._port = port
        self._get_view = get_view
        self._hurry = hurry
        self._renew_watch = renew_watch
        self._log = log
        self._metrics = metrics
        self._random = Random()
        self._pending: dict[TargetStart | None, _Pending] = {}
        self._wake = asyncio.Event()
        self._newest = StoreView("", -1)
        self._ahead = StoreView("", -1)
        self._has_read = False
        self._check: asyncio.TimerHandle | None = None
        port.receive(MessageKind.STORE_NEWS, list[StoreNotice], self._receive)

    # The own view of the store

    def note_update(self, changes: Sequence[Change], view: StoreView) -> None:
        """Record that an update of the store was applied, and announce what bears a bound.

        Parameters
        ----------
        view : StoreView
            What the changes are of; part of a reading may be ahead of the own view.
        """
        now = _now()
        self._release(now)
        if not self._has_read:
            # Others know at least as much as an entry that starts.
            self._has_read, self._newest = True, view
            return
        for start in self._catalog.take_withdrawn():
            self._add(start, view, learned_at=now)
        is_news = any(isinstance(c, RoutingSeen | EvacuationSet) for c in changes)
        if is_news and not self._newest.has_reached(view):
            self._newest = view
            self._add(None, view, learned_at=now)

    def _release(self, now: float) -> None:
        """Drop notices that no longer hold."""
        for start in self._catalog.release_withdrawn(self._get_view(), now):
            self._log.event("targets", "Not withdrawn after all.", target=start.target)

    def _add(self, start: TargetStart | None, view: StoreView, *, learned_at: float) -> None:
        """Send a notice with the next messages."""
        self._pending[start] = _Pending(view, learned_at, due_at=learned_at)
        self._wake.set()

    # Sending

    async def run(self) -> None:
        """Send notices until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                self._release(_now())
                continue
            self._send_due(_now())
            if not self._pending:
                self._wake.clear()
            await asyncio.sleep(PERIOD_S)

    def _send_due(self, now: float) -> None:
        """Send what is due."""
        due = {start: p for start, p in self._pending.items() if p.due_at <= now}
        if not due:
            return
        for start, pending in due.items():
            if pending.left > 1:
                next_at = now + REPEAT_S
                self._pending[start] = pending._replace(due_at=next_at, left=pending.left - 1)
            else:
                del self._pending[start]
        members = choose_peers(self._catalog.members.values(), self._own, self._random)
        peers = [member.relay for member in members]
        for notice in _build_notices(due, self._get_view(), now):
            self._port.send(MessageKind.STORE_NEWS, [notice], *peers)

    # Receiving

    def _receive(self, notices: list[StoreNotice], sender: Address) -> None:
        """Apply the notices of another entry, and pass on what is news."""
        now = _now()
        for notice in notices:
            if notice.is_valid and not notice.view.is_outdated_by(self._get_view()):
                self._apply(notice, now, source=str(sender))

    def _apply(self, notice: StoreNotice, now: float, *, source: str) -> None:
        """Apply one notice."""
        own, view = self._get_view(), notice.view
        if own.has_reached(view):
            return
        for start in notice.withdrawn:
            if not self._catalog.withdraw(start, view, until=now + HOLD_S):
                continue
            self._add(start, view, learned_at=now - notice.age_s)
            self._log.event(
                "targets",
                "Withdrawn, as another entry says.",
                target=start.target,
                source=source,
                age_ms=round(notice.age_s * 1000),
                revision=view.revision,
            )
        if own.is_behind(view):
            self._catch_up(notice, now)

    def _catch_up(self, notice: StoreNotice, now: float) -> None:
        """Follow the store up to the view of another entry."""
        view = notice.view
        if not self._ahead.has_reached(view):
            self._ahead = view
        if not notice.has_more:
            self._watch_lag(view, PAUSED_BEHIND_S)
            return
        self._hurry()
        self._watch_lag(view, BEHIND_S)
        if not self._newest.has_reached(view):
            self._newest = view
            self._add(None, view, learned_at=now - notice.age_s)

    def _watch_lag(self, view: StoreView, after_s: float) -> None:
        """Open another watch if the present one does not bring a view in time."""
        loop = asyncio.get_running_loop()
        if self._check is not None:
            if self._check.when() <= loop.time() + after_s:
                return
            self._check.cancel()
        self._check = loop.call_later(after_s, self._check_lag, view)

    def _check_lag(self, view: StoreView) -> None:
        """Open another watch if the own view is still behind."""
        self._check = None
        own = self._get_view()
        if own.is_behind(view):
            self._metrics.add_store_call("watch", "behind")
            self._log.event("store", "Behind other entries.", own=own.revision, other=view.revision)
            self._renew_watch("other entries are ahead")
        elif own.is_behind(self._ahead):
            self._watch_lag(self._ahead, PAUSED_BEHIND_S)


def _build_notices(
    due: dict[TargetStart | None, _Pending], own: StoreView, now: float
) -> Iterable[StoreNotice]:
    """Build the messages for what is due, one for each view of the store."""
    by_view: dict[StoreView, list[TargetStart | None]] = {}
    for start, pending in due.items():
        # What the own view includes is told as of now, so that most fit one message.
        view = own if own.has_reached(pending.view) else pending.view
        by_view.setdefault(view, []).append(start)
    for view, starts in by_view.items():
        age_s = max(now - due[start].learned_at for start in starts)
        targets = [start for start in starts if start is not None]
        for first in range(0, max(1, len(targets)), WITHDRAWN_MOST):
            part = targets[first : first + WITHDRAWN_MOST]
            yield StoreNotice(view, age_s, part, has_more=None in starts)


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()
