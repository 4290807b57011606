"""A task that probes the hall's targets and reads from the platform which ones leave."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, NamedTuple

import msgspec
import urllib3

from halldoor.client import PoolManager
from halldoor.core.decoding import DecodingError, decode_json
from halldoor.core.errors import PlatformError
from halldoor.core.hall.membership import Member, TargetReport
from halldoor.core.placement import rank
from halldoor.core.steering.configuration import Target
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.hall import AdmissionController
from halldoor.entry.task import Task
from halldoor.keyvalue.base import Platform

PROBE_TIMEOUT_S = 0.5
MAX_HEALTH_BYTES = 65_536
"""Longest answer to a probe, in bytes."""
PROBERS_PER_TARGET = 2
"""Number of entries that probe each target; the others use their reports in heartbeats."""
UNHEALTHY_AFTER_FAILURES = 2
"""Consecutive failed probes after which a target counts as unhealthy."""
HOST_LIST_PERIOD_S = 1.0
MAX_COLD_AGE_S = 5.0
"""Seconds of age below which a target can count as restarted, and so as cold."""


class TargetHealth(msgspec.Struct):
    """A target's answer to a probe: its state, its age in seconds and its load."""

    state: str = "ok"
    age_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e12)] = 1e9
    load: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0


class _StateOnly(msgspec.Struct):
    """A target's answer to a probe, without its figures."""

    state: str = "ok"


def decode_health(data: bytes) -> TargetHealth:
    """Decode a target's answer to a probe; its figures are ignored if one can't be used.

    Raises
    ------
    DecodingError
        If its state can't be decoded.
    """
    origin, limit = "a health answer", MAX_HEALTH_BYTES
    try:
        return decode_json(data, TargetHealth, origin=origin, max_bytes=limit)
    except DecodingError:
        return TargetHealth(decode_json(data, _StateOnly, origin=origin, max_bytes=limit).state)


class _ProbeHistory(NamedTuple):
    """Results of the last probes of a target: consecutive failures, leaving, age in seconds."""

    failures: int
    is_leaving: bool
    age_s: float


class ProbeTask(Task[None]):
    """Probes targets, and records their health for admission.

    Parameters
    ----------
    entry_name : str
        Name of this entry.
    controller : AdmissionController
        Receives the results of probes and of peers' reports.
    platform : Platform
        The key-value service, which keeps the host list.
    list_alive : callable
        Lists the hall's other live entries, to choose which entries probe a target.
    is_relay : callable
        Checks whether this entry reads the host list for the hall.
    period_s : float
        Seconds between probes of a target.
    """

    def __init__(
        self,
        entry_name: str,
        controller: AdmissionController,
        *,
        platform: Platform,
        list_alive: Callable[[], list[Member]],
        is_relay: Callable[[], bool],
        period_s: float,
    ) -> None:
        super().__init__("probe", period_s=period_s)
        self._entry_name = entry_name
        self._controller = controller
        self._platform = platform
        self._list_alive = list_alive
        self._is_relay = is_relay
        self._snapshot: Snapshot | None = None
        self._lock = threading.Lock()
        self._history: dict[str, _ProbeHistory] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._host_list_at = 0.0
        self._pool = PoolManager(64, maxsize=1)
        self._workers = ThreadPoolExecutor(max_workers=4, thread_name_prefix="probe")
        self.probes = 0

    def adopt(self, snapshot: Snapshot) -> None:
        """Use the targets of a new revision."""
        self._snapshot = snapshot

    def handle(self, messages: list[None]) -> None:
        """Do nothing: this task receives no messages."""

    def tick(self) -> None:
        """Probe the targets assigned to this entry, and read the host list."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        list(self._workers.map(self._probe, self._choose_targets(snapshot)))
        self._read_host_list(snapshot)

    def _choose_targets(self, snapshot: Snapshot) -> list[Target]:
        """List the targets that this entry is one of the `PROBERS_PER_TARGET` for."""
        names = [self._entry_name, *(m.name for m in self._list_alive())]
        return [
            target
            for name, target in snapshot.hall_targets.items()
            if self._entry_name in rank(f"probe\0{name}", names)[:PROBERS_PER_TARGET]
        ]

    def _probe(self, target: Target) -> None:
        """Send a health check to one target and record the result."""
        self.probes += 1
        try:
            answer = self._pool.fetch(
                "GET",
                f"http://{target.address}/health",
                max_bytes=MAX_HEALTH_BYTES,
                timeout=PROBE_TIMEOUT_S,
            )
            health = decode_health(answer.data)
        except (urllib3.exceptions.HTTPError, OSError, DecodingError):
            health = TargetHealth(state="failing")
        self._record_probe(target.name, health)

    def _record_probe(self, name: str, health: TargetHealth) -> None:
        """Record a probe's result here and in the hall's health table."""
        is_bad = health.state not in ("ok", "leaving")
        with self._lock:
            seen = self._history.get(name, _ProbeHistory(0, False, 1e9))
            failures = seen.failures + 1 if is_bad else 0
            is_leaving = health.state == "leaving"
            self._history[name] = _ProbeHistory(failures, is_leaving, health.age_s)
        if not is_bad and health.age_s < min(seen.age_s, MAX_COLD_AGE_S):
            # A lower age than at the last probe means that it restarted, so its caches are cold.
            self._controller.mark_cold(name)
        self._controller.record_health(
            name,
            is_healthy=failures < UNHEALTHY_AFTER_FAILURES,
            is_leaving=is_leaving,
            load=health.load,
        )

    def _read_host_list(self, snapshot: Snapshot) -> None:
        """If this entry is a relay, read the host list and mark the listed targets as leaving."""
        now = time.monotonic()
        if not self._is_relay():
            # The relays' reports are newer than what this entry read while it was a relay.
            self._listed_leaving = frozenset()
            return
        if now - self._host_list_at >= HOST_LIST_PERIOD_S:
            self._host_list_at = now
            try:
                hosts = self._platform.list_hosts()
                self._listed_leaving = frozenset(h.name for h in hosts if h.is_leaving)
            except PlatformError:
                # Keep the last list: a failed read doesn't mean that a leaving target came back.
                pass
        for name in self._listed_leaving & snapshot.hall_targets.keys():
            self._controller.mark_leaving(name)

    def apply_peer_reports(self, member: Member) -> None:
        """Apply a peer's target reports.

        "Leaving" always applies; health applies only to targets that this entry hasn't probed.
        """
        for report in member.reports:
            if report.is_leaving:
                self._controller.mark_leaving(report.target)
            elif report.is_probed and report.target not in self._history:
                self._controller.record_health(
                    report.target, is_healthy=report.is_healthy, is_leaving=False
                )

    def build_reports(self) -> tuple[TargetReport, ...]:
        """Build the target reports for this entry's heartbeats."""
        counts = self._controller.count_slots()
        with self._lock:
            seen = dict(self._history)
        reports = []
        for name, count in counts.items():
            known = seen.get(name)
            is_leaving = name in self._listed_leaving or (known is not None and known.is_leaving)
            is_healthy = known is None or known.failures < UNHEALTHY_AFTER_FAILURES
            reports.append(
                TargetReport(name, count.free, is_healthy, is_leaving, known is not None)
            )
        return tuple(reports)
