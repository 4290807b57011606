"""A task that probes the hall's targets and reads the platform's host list."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import urllib3

from halldoor.core.errors import PlatformError
from halldoor.core.hall.membership import Member, TargetReport
from halldoor.core.placement import rank
from halldoor.core.steering.configuration import Target
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.hall import HallRoom
from halldoor.entry.task import Task
from halldoor.keyvalue.base import Platform

PROBE_TIMEOUT_S = 0.5
PROBERS = 2
"""Entries that probe one target; the others learn from their heartbeats."""
FAILURES_TO_BELIEVE = 2
HOST_LIST_S = 1.0
COLD_AGE_S = 5.0


class TargetHealth(msgspec.Struct):
    """A target's answer to a probe."""

    state: str = "ok"
    age_s: float = 1e9
    load: float = 0.0


class _Seen(NamedTuple):
    """What the last probes of a target gave."""

    failures: int
    is_leaving: bool
    age_s: float


class ProbeTask(Task[None]):
    """Owns the probes.

    Parameters
    ----------
    me : str
        Name of this entry.
    room : HallRoom
        Told what probes give.
    platform : Platform
        For the host list.
    list_alive : callable
        Lists the hall's live entries, for the choice of probers.
    is_relay : callable
        Tells whether this entry reads the host list for the hall.
    period_s : float
        Time between probes of a target.
    """

    def __init__(
        self,
        me: str,
        room: HallRoom,
        *,
        platform: Platform,
        list_alive: Callable[[], list[Member]],
        is_relay: Callable[[], bool],
        period_s: float,
    ) -> None:
        super().__init__("probe", period_s=period_s)
        self._me = me
        self._room = room
        self._platform = platform
        self._list_alive = list_alive
        self._is_relay = is_relay
        self._snapshot: Snapshot | None = None
        self._lock = threading.Lock()
        self._seen: dict[str, _Seen] = {}
        self._said_leaving: frozenset[str] = frozenset()
        self._host_list_at = 0.0
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=1, retries=False)
        self._workers = ThreadPoolExecutor(max_workers=4, thread_name_prefix="probe")
        self.probes = 0

    def adopt(self, snapshot: Snapshot) -> None:
        """Take over a new revision."""
        self._snapshot = snapshot

    def handle(self, messages: list[None]) -> None:
        """Nothing is sent to this task but the end."""

    def tick(self) -> None:
        """Probe the targets that fall to this entry."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        list(self._workers.map(self._probe, self._choose(snapshot)))
        self._read_host_list(snapshot)

    def _choose(self, snapshot: Snapshot) -> list[Target]:
        """Choose the targets that this entry probes."""
        names = [self._me, *(m.name for m in self._list_alive())]
        return [
            target
            for name, target in snapshot.hall_targets.items()
            if self._me in rank(f"probe\0{name}", names)[:PROBERS]
        ]

    def _probe(self, target: Target) -> None:
        """Probe one target."""
        self.probes += 1
        try:
            response = self._pool.request(
                "GET",
                f"http://{target.address}/health",
                timeout=PROBE_TIMEOUT_S,
                redirect=False,
            )
            health = msgspec.json.decode(response.data, type=TargetHealth)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError):
            health = TargetHealth(state="failing")
        self._note(target.name, health)

    def _note(self, name: str, health: TargetHealth) -> None:
        """Remember a probe's result and pass it on."""
        is_bad = health.state not in ("ok", "leaving")
        with self._lock:
            seen = self._seen.get(name, _Seen(0, False, 1e9))
            failures = seen.failures + 1 if is_bad else 0
            is_leaving = health.state == "leaving"
            self._seen[name] = _Seen(failures, is_leaving, health.age_s)
        if not is_bad and health.age_s < min(seen.age_s, COLD_AGE_S):
            # Younger than when it was last seen: it was restarted, so its caches are cold.
            self._room.mark_cold(name)
        self._room.mark(
            name,
            is_healthy=failures < FAILURES_TO_BELIEVE,
            is_leaving=is_leaving,
            load=health.load,
        )

    def _read_host_list(self, snapshot: Snapshot) -> None:
        """Read the platform's host list now and then; "leaving" is believed at once."""
        now = time.monotonic()
        if not self._is_relay():
            # A relay's reports say it now; what this entry read when it was one grows stale.
            self._said_leaving = frozenset()
            return
        if now - self._host_list_at >= HOST_LIST_S:
            self._host_list_at = now
            try:
                hosts = self._platform.list_hosts()
                self._said_leaving = frozenset(h.name for h in hosts if h.is_leaving)
            except PlatformError:
                # What it said last stays: a target that leaves does not come back by silence.
                pass
        for name in self._said_leaving & snapshot.hall_targets.keys():
            self._room.mark_leaving(name)

    def hear(self, member: Member) -> None:
        """Take a peer's reports.  "Leaving" is believed; "healthy" needs own contact too."""
        for report in member.reports:
            if report.is_leaving:
                self._room.mark_leaving(report.target)
            elif report.is_probed and report.target not in self._seen:
                self._room.mark(report.target, is_healthy=report.is_healthy, is_leaving=False)

    def build_reports(self) -> tuple[TargetReport, ...]:
        """Build what this entry's heartbeats say of the targets."""
        counts = self._room.count()
        with self._lock:
            seen = dict(self._seen)
        reports = []
        for name, count in counts.items():
            known = seen.get(name)
            is_leaving = name in self._said_leaving or (known is not None and known.is_leaving)
            is_healthy = known is None or known.failures < FAILURES_TO_BELIEVE
            reports.append(
                TargetReport(name, count.free, is_healthy, is_leaving, known is not None)
            )
        return tuple(reports)
