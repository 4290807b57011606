"""Counters and latency histograms of the gateway, as Prometheus text."""

from __future__ import annotations

from collections.abc import Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from halldoor.core.targets.choice import TargetOut

BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0]
"""Upper bounds in seconds: from a read nearby to the longest deadline."""

TEAM_LABELS = 20
"""Teams that are counted apart, the first that are refused; so that pages stay short."""


class GatewayMetrics:
    """Counters that requests add to, and gauges set when they are read."""

    def __init__(self) -> None:
        self.registry = registry = Registry()
        self._requests = Counter(
            "halldoor_requests", "Requests by service and status.", registry=registry
        )
        self._latency = Histogram(
            "halldoor_request_seconds", "Time to the answer.", buckets=BUCKETS, registry=registry
        )
        self._attempts = Counter(
            "halldoor_attempts",
            "Attempts by service, result, distance of the target, and whether it knew the key.",
            registry=registry,
        )
        self._attempt_parts = Histogram(
            "halldoor_attempt_part_seconds",
            "Time of one attempt by part: connecting, travelling, and waiting and work.",
            buckets=BUCKETS,
            registry=registry,
        )
        self._region_requests = Counter(
            "halldoor_region_requests",
            "Requests sent to targets, by region of this entry, region of the target, and reason.",
            registry=registry,
        )
        self._store_calls = Counter(
            "halldoor_store_calls", "Store calls by kind and outcome.", registry=registry
        )
        self._relayed = Counter(
            "halldoor_relayed_changes", "Changes taken from another entry.", registry=registry
        )
        self._relay_age = Histogram(
            "halldoor_relay_age_seconds",
            "Age of the proof that came with what another entry passed on.",
            buckets=BUCKETS,
            registry=registry,
        )
        self._relay_losses = Counter(
            "halldoor_relay_losses", "Readers left for the store.", registry=registry
        )
        self._bad_polls = Counter(
            "halldoor_bad_polls",
            "Polls of other entries that were not readable.",
            registry=registry,
        )
        self._build_target_counters(registry)
        self._build_team_counters(registry)
        self._gauges = Gauge(
            "halldoor_state", "What this entry holds now, by name.", registry=registry
        )
        self._targets_out = self._build_targets_out()

    def _build_target_counters(self, registry: Registry) -> None:
        """Build the counters of what is learnt of single targets."""
        self._health_checks = Counter(
            "halldoor_health_checks",
            "Health checks of targets while the store can't be reached, by outcome.",
            registry=registry,
        )
        self._bad_limits = Counter(
            "halldoor_bad_limits",
            "Answers of targets with a limit that could not be read.",
            registry=registry,
        )
        self._bad_statements = Counter(
            "halldoor_bad_statements",
            "Answers in which what a target says of itself could not be read, by field.",
            registry=registry,
        )

    def _build_team_counters(self, registry: Registry) -> None:
        """Build the counters of teams, of other entries' messages and of records."""
        self._over_quota = Counter(
            "halldoor_over_quota", "Requests refused by their team's quota.", registry=registry
        )
        self._quota_teams: set[str] = set()
        self._messages = Counter(
            "halldoor_messages", "Messages of other entries, by kind.", registry=registry
        )
        self._quarantine = Counter(
            "halldoor_quarantine",
            "Targets that ended under a request, and what became of such requests.",
            registry=registry,
        )
        self._unreadable = Counter(
            "halldoor_unreadable_records", "Records that could not be read.", registry=registry
        )

    def _build_targets_out(self) -> Gauge:
        """Build the gauge of targets that are out, without any yet."""
        text = "Targets that get no requests, or few, and why."
        return Gauge("halldoor_target_out", text, registry=self.registry)

    def add_request(self, service: str, status: str, took_s: float) -> None:
        """Count a request's end."""
        self._requests.inc({"service": service, "status": status})
        self._latency.observe({"service": service}, took_s)

    def add_attempt(
        self,
        service: str,
        result: str,
        *,
        took_s: float,
        connect_s: float,
        travel_s: float,
        distance: str,
        is_known_key: bool,
    ) -> None:
        """Count one sending to a target, and the parts of its time.

        Parameters
        ----------
        travel_s : float
            Time of a round trip as expected; a kept connection shows no time of its own.
        distance : str
            How far the target is.
        is_known_key : bool
            The target had the key from this entry before.
        """
        self._attempts.inc(
            {
                "service": service,
                "result": result,
                "distance": distance,
                "key": "known" if is_known_key else "new",
            }
        )
        at_target_s = max(0.0, took_s - connect_s - travel_s)
        parts = {"connecting": connect_s, "travelling": travel_s, "at target": at_target_s}
        for part, part_s in parts.items():
            self._attempt_parts.observe({"service": service, "part": part}, part_s)

    def add_region_request(self, region: str, to: str, reason: str) -> None:
        """Count a request from one region that is sent to a target in a region."""
        self._region_requests.inc({"from": region, "to": to, "reason": reason})

    def add_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"kind": kind, "outcome": outcome})

    def add_relayed(self, changes: int, age_s: float) -> None:
        """Count changes that another entry passed on, and the age of their proof."""
        self._relayed.add({}, changes)
        self._relay_age.observe({}, age_s)

    def add_relay_loss(self) -> None:
        """Count a reader that was left for the store."""
        self._relay_losses.inc({})

    def add_bad_poll(self) -> None:
        """Count a poll that was not readable."""
        self._bad_polls.inc({})

    def add_health_check(self, outcome: str) -> None:
        """Count a health check of a target."""
        self._health_checks.inc({"outcome": outcome})

    def add_bad_limit(self) -> None:
        """Count a limit that could not be read."""
        self._bad_limits.inc({})

    def add_bad_statement(self, field: str) -> None:
        """Count a field of a target's statement that could not be read."""
        self._bad_statements.inc({"field": field})

    def add_over_quota(self, team: str) -> None:
        """Count a request refused by its team's quota; past `TEAM_LABELS` teams as "other"."""
        if len(self._quota_teams) < TEAM_LABELS:
            self._quota_teams.add(team)
        self._over_quota.inc({"team": team if team in self._quota_teams else "other"})

    def add_message(self, kind: str) -> None:
        """Count a message of another entry."""
        self._messages.inc({"kind": kind})

    def add_quarantine(self, what: str) -> None:
        """Count an event of the quarantine."""
        self._quarantine.inc({"what": what})

    def add_unreadable_record(self) -> None:
        """Count a record that could not be read."""
        self._unreadable.inc({})

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.set({"name": name}, value)

    def set_targets_out(self, targets: Iterable[TargetOut]) -> None:
        """Show the targets that get no requests, or few; those of the call before are dropped."""
        self.registry.deregister(self._targets_out.name)
        self._targets_out = self._build_targets_out()
        for target, service, reason in targets:
            self._targets_out.set({"target": target, "service": service, "reason": reason}, 1)

    def render(self) -> bytes:
        """Write all of it as text."""
        content, _ = render(self.registry, ["text/plain"])
        return content
