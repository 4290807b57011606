"""Notifies other entries of urgent changes in the store, and applies their notices.

Urgent are changes that must take effect within a time bound: withdrawn targets, configurations and
evacuations.  Notices are a second path beside the entry's own watch, so that an entry that pauses,
reads all records again or follows a slow reader acts as soon as others have seen the change.
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
    WITHDRAWAL_NOTICE_S,
    WITHDRAWN_MAX,
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
SENDS = 2
"""Times that a notice is sent."""
LAG_S = 0.5
"""Time that an entry may lag behind others before it opens another watch, in seconds."""
WITHDRAWAL_LAG_S = 2.0
"""The same limit after a withdrawal, in seconds; it exceeds a pause between watches plus a call,
since a withdrawal does not end that pause."""
MAX_LAG_FACTOR = 8.0
"""Largest factor on these limits; the factor doubles each time that the limit passes."""
EXPIRY_CHECK_S = 1.0
"""Period of checking for withdrawals that no longer hold, in seconds."""


class _Pending(NamedTuple):
    """A notice that is still to be sent.

    Attributes
    ----------
    learned_at : float
        When the first entry applied the change, on the loop's clock.
    due_at : float
        When it is sent next, on the loop's clock.
    left : int
        Number of times that it is still to be sent.
    """

    view: StoreView
    learned_at: float
    due_at: float
    left: int = SENDS


class StoreNoticeExchange:
    """Task that notifies other entries of urgent changes in the store, and applies their notices.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Holds the targets and the other entries.
    port : DatagramPort
        The socket for messages of other entries.
    get_view : callable
        Returns the view of the store up to which this entry applied changes.
    skip_pause : callable
        Called to end the pause before the next watch.
    renew_watch : callable
        Called with a cause to open another watch.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        port: DatagramPort,
        *,
        get_view: Callable[[], StoreView],
        skip_pause: Callable[[], None],
        renew_watch: Callable[[str], None],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._port = port
        self._get_view = get_view
        self._skip_pause = skip_pause
        self._renew_watch = renew_watch
        self._log = log
        self._metrics = metrics
        self._random = Random()
        self._pending: dict[TargetStart | None, _Pending] = {}
        self._wake = asyncio.Event()
        self._newest = StoreView("", -1)
        self._ahead = StoreView("", -1)
        self._has_first_update = False
        self._lag_check: asyncio.TimerHandle | None = None
        self._lag_factor = 1.0
        port.register_receiver(MessageKind.STORE_NEWS, list[StoreNotice], self._receive)

    @property
    def is_behind(self) -> bool:
        """Whether another entry applied urgent changes that this entry has not read yet."""
        return self._get_view().is_behind(self._ahead)

    def reset(self) -> None:
        """Drop the notices that are still to be sent; the store tells other entries as well."""
        self._pending = {}
        self._wake.clear()

    def queue_notices(self, changes: Sequence[Change], view: StoreView) -> None:
        """Queue notices of the urgent changes in an update that was applied.

        Parameters
        ----------
        view : StoreView
            View that contains the changes; that of a single page may be ahead of the own view.
        """
        now = _now()
        self._release_withdrawn(now)
        if not self._has_first_update:
            # What an entry reads when it starts is not new to the others.
            self._has_first_update, self._newest = True, view
            return
        for start in self._catalog.pop_withdrawn():
            self._queue(start, view, learned_at=now)
        is_urgent = any(isinstance(c, RoutingSeen | EvacuationSet) for c in changes)
        if is_urgent and not self._newest.has_reached(view):
            self._newest = view
            self._queue(None, view, learned_at=now)

    def _release_withdrawn(self, now: float) -> None:
        """Return withdrawn targets to use where the withdrawal no longer holds."""
        for start in self._catalog.release_reached_withdrawals(self._get_view(), now):
            self._log.event("targets", "Withdrawal revoked.", target=start.target)

    def _queue(self, start: TargetStart | None, view: StoreView, *, learned_at: float) -> None:
        """Queue a notice for the next messages; without a target it is of a configuration."""
        self._pending[start] = _Pending(view, learned_at, due_at=learned_at)
        self._wake.set()

    async def run(self) -> None:
        """Send the queued notices until cancelled."""
        while True:
            try:
                async with asyncio.timeout(EXPIRY_CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                self._release_withdrawn(_now())
                continue
            self._send_due(_now())
            if not self._pending:
                self._wake.clear()
            await asyncio.sleep(PERIOD_S)

    def _send_due(self, now: float) -> None:
        """Send the notices that are due."""
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

    def _receive(self, notices: list[StoreNotice], sender: Address) -> None:
        """Apply the notices of another entry, and relay those that are new here."""
        now = _now()
        for notice in notices:
            if notice.is_valid and not notice.view.is_outdated_by(self._get_view()):
                self._apply(notice, now, source=str(sender))

    def _apply(self, notice: StoreNotice, now: float, *, source: str) -> None:
        """Apply a notice that is ahead of the own view, and check later that the view caught up."""
        own, view = self._get_view(), notice.view
        if own.has_reached(view):
            return
        for start in notice.withdrawn:
            if not self._catalog.apply_withdrawal_notice(
                start, view, until=now + WITHDRAWAL_NOTICE_S
            ):
                continue
            self._queue(start, view, learned_at=now - notice.age_s)
            self._log.event(
                "targets",
                "Withdrawn, as another entry says.",
                target=start.target,
                source=source,
                age_ms=round(notice.age_s * 1000),
                revision=view.revision,
            )
        if not own.is_behind(view):
            return
        self._ahead = view
        if notice.withdrawn:
            # The withdrawal is in force already; the next watch may wait for the pause to end.
            self._schedule_lag_check(view, WITHDRAWAL_LAG_S)
            return
        self._catalog.proof.record_announcement(view, now)
        self._skip_pause()
        self._schedule_lag_check(view, LAG_S)
        if not self._newest.has_reached(view):
            self._newest = view
            self._queue(None, view, learned_at=now - notice.age_s)

    def expect(self, view: StoreView) -> None:
        """Check later that the own view reached the one that the store named."""
        if self._get_view().is_behind(view):
            self._schedule_lag_check(view, WITHDRAWAL_LAG_S)

    def _schedule_lag_check(self, view: StoreView, limit_s: float) -> None:
        """Schedule a check, in about `limit_s` seconds, that the own view reached another one."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + limit_s * self._lag_factor
        if self._lag_check is not None:
            if self._lag_check.when() <= due_at:
                return
            self._lag_check.cancel()
        self._lag_check = loop.call_at(due_at, self._check_lag, view)

    def _check_lag(self, view: StoreView) -> None:
        """Open another watch if the own view is still behind.

        Each time the limit grows: a slow store never answers watches that are cancelled too early.
        """
        self._lag_check = None
        own = self._get_view()
        if not own.is_behind(view):
            self._lag_factor = max(1.0, self._lag_factor / 2)
            return
        self._lag_factor = min(MAX_LAG_FACTOR, self._lag_factor * 2)
        self._metrics.add_store_call("watch", "behind")
        self._log.event("store", "Behind other entries.", own=own.revision, other=view.revision)
        self._renew_watch("other entries are ahead")


def _build_notices(
    due: dict[TargetStart | None, _Pending], own: StoreView, now: float
) -> Iterable[StoreNotice]:
    """Build the messages for what is due, one for each view of the store."""
    by_view: dict[StoreView, list[TargetStart | None]] = {}
    for start, pending in due.items():
        # Withdrawals that the own view contains share that view, so that most fit one message.  A
        # configuration keeps the view that it is of: with the own one, which grows with each
        # change of any record, entries that have it already would end their pauses and relay it.
        can_share = start is not None and own.has_reached(pending.view)
        view = own if can_share else pending.view
        by_view.setdefault(view, []).append(start)
    for view, starts in by_view.items():
        age_s = max(now - due[start].learned_at for start in starts)
        targets = [start for start in starts if start is not None]
        if len(targets) < len(starts):
            # A separate notice: receivers can't apply a configuration, so each reads the store now.
            yield StoreNotice(view, age_s, [])
        for first in range(0, len(targets), WITHDRAWN_MAX):
            yield StoreNotice(view, age_s, targets[first : first + WITHDRAWN_MAX])


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()
