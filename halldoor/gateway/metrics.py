"""Prometheus metrics of the gateway."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from aioprometheus import Registry

from halldoor.core.buffers import BufferKind
from halldoor.core.targets.excluded import ExcludedTarget
from halldoor.gateway.collectors import Counter, Gauge, Histogram, render

BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0]
"""Upper bounds of histogram buckets, in seconds: from a nearby read to the longest deadline."""

TEAM_LABELS = 20
"""Number of teams with a label of their own, the first that are refused, to bound the metrics."""


class GatewayMetrics:
    """Counters and histograms updated by requests, and gauges set when the metrics are read."""

    def __init__(self) -> None:
        self.registry = registry = Registry()
        self._requests = Counter(
            "halldoor_requests", "Requests by service and status.", registry=registry
        )
        self._refusals = Counter(
            "halldoor_refusals", "Requests refused by this entry.", registry=registry
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
        self._wasted = Counter(
            "halldoor_wasted_bytes",
            "Bytes received of answers that did not arrive as a whole, by kind of call.",
            registry=registry,
        )
        self._relayed = Counter(
            "halldoor_relayed_changes", "Changes received from another entry.", registry=registry
        )
        self._relay_age = Histogram(
            "halldoor_relay_age_seconds",
            "Age of the proof that came with changes relayed by another entry.",
            buckets=BUCKETS,
            registry=registry,
        )
        self._relay_losses = Counter(
            "halldoor_relay_losses", "Relaying entries given up for the store.", registry=registry
        )
        self._bad_polls = Counter(
            "halldoor_bad_polls",
            "Polls of other entries that could not be decoded.",
            registry=registry,
        )
        self._evictions = Counter(
            "halldoor_evictions",
            "Connections closed while they waited for their clients, by what was scarce.",
            registry=registry,
        )
        self._pipelining = Counter(
            "halldoor_pipelining",
            "Pipelined requests, pauses at a limit, requests cancelled behind a closing answer, "
            "and bad heads.",
            registry=registry,
        )
        self._build_target_counters(registry)
        self._build_team_counters(registry)
        self._gauges = Gauge(
            "halldoor_state", "Current values of this entry, by name.", registry=registry
        )
        self._buffered = Gauge(
            "halldoor_buffered_bytes",
            "Bytes that are buffered or reserved for all connections together, by kind.",
            registry=registry,
        )
        self._targets_out = self._build_targets_out()
        self._entry_weights = self._build_entry_weights()

    def _build_target_counters(self, registry: Registry) -> None:
        """Build the counters of health checks and of targets' unreadable statements."""
        self._health_checks = Counter(
            "halldoor_health_checks",
            "Health checks of targets while the store can't be reached, by outcome.",
            registry=registry,
        )
        self._target_checks = Counter(
            "halldoor_target_checks",
            "Checks of targets that have never answered this entry, by outcome.",
            registry=registry,
        )
        self._reach_probes = Counter(
            "halldoor_reach_probes",
            "Probes of targets while this entry may reach none of them, by outcome.",
            registry=registry,
        )
        self._forwarded = Counter(
            "halldoor_forwarded_requests",
            "Requests forwarded to other entries and received from them, by outcome.",
            registry=registry,
        )
        self._bad_limits = Counter(
            "halldoor_bad_limits",
            "Answers of targets with a limit that could not be read.",
            registry=registry,
        )
        self._hedges = Counter(
            "halldoor_hedges",
            "Requests sent to a second target beside a slow first one, and those that it answered.",
            registry=registry,
        )
        self._retries = Counter(
            "halldoor_retries",
            "Attempts charged to the retry budget, and those that it refused, by service.",
            registry=registry,
        )
        self._bad_loads = Counter(
            "halldoor_bad_loads",
            "Answers of targets with a load that could not be read.",
            registry=registry,
        )
        self._bad_statements = Counter(
            "halldoor_bad_statements",
            "Answers with an unreadable field of the target's statement, by field.",
            registry=registry,
        )

    def _build_team_counters(self, registry: Registry) -> None:
        """Build the counters of quotas, messages, quarantine events and unreadable records."""
        self._over_quota = Counter(
            "halldoor_over_quota", "Requests refused by their team's quota.", registry=registry
        )
        self._quota_teams: set[str] = set()
        self._messages = Counter(
            "halldoor_messages", "Messages of other entries, by kind.", registry=registry
        )
        self._quarantine = Counter(
            "halldoor_quarantine",
            "Quarantine events: crashed targets; blocked, refused, tried and unblocked requests.",
            registry=registry,
        )
        self._unreadable = Counter(
            "halldoor_unreadable_records", "Records that could not be read.", registry=registry
        )
        self._task_failures = Counter(
            "halldoor_task_failures",
            "Unexpected exceptions outside of requests, by task or kind of receiver.",
            registry=registry,
        )

    def _build_targets_out(self) -> Gauge:
        """Build an empty gauge of targets that receive no or few requests."""
        text = "Targets that receive no or few requests, by reason."
        return Gauge("halldoor_target_out", text, registry=self.registry)

    def _build_entry_weights(self) -> Gauge:
        """Build an empty gauge of the weights of entries."""
        text = "Weights of the hall's entries in look-up answers, as this entry computes them."
        return Gauge("halldoor_entry_weight", text, registry=self.registry)

    def add_request(self, service: str, status: str, took_s: float) -> None:
        """Count a finished request and its duration."""
        self._requests.inc({"service": service, "status": status})
        self._latency.observe({"service": service}, took_s)

    def add_refusal(self, status: str, reason: str) -> None:
        """Count a request that this entry refused, by one of a bounded number of reasons."""
        self._refusals.inc({"status": status, "reason": reason})

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
        """Count one attempt at a target, and the parts of its duration.

        Parameters
        ----------
        travel_s : float
            Expected network round trip, in seconds; it can't be measured on a kept connection.
        distance : str
            Whether the target is in this entry's hall, in its region or farther away.
        is_known_key : bool
            Whether this entry sent the key to the target before.
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
        """Count a request that an entry of `region` sends to a target in region `to`."""
        self._region_requests.inc({"from": region, "to": to, "reason": reason})

    def add_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"kind": kind, "outcome": outcome})

    def add_wasted(self, kind: str, received_bytes: int) -> None:
        """Count the bytes of an answer that did not arrive as a whole."""
        self._wasted.add({"kind": kind}, received_bytes)

    def add_relayed(self, changes: int, age_s: float) -> None:
        """Count changes relayed by another entry, and record the age of their proof in seconds."""
        self._relayed.add({}, changes)
        self._relay_age.observe({}, age_s)

    def add_relay_loss(self) -> None:
        """Count that this entry stopped following a reader and used the store instead."""
        self._relay_losses.inc({})

    def add_bad_poll(self) -> None:
        """Count a poll of another entry that could not be decoded."""
        self._bad_polls.inc({})

    def add_health_check(self, outcome: str) -> None:
        """Count a health check of a target by its outcome."""
        self._health_checks.inc({"outcome": outcome})

    def add_target_check(self, outcome: str) -> None:
        """Count a check of a target that has never answered by its outcome."""
        self._target_checks.inc({"outcome": outcome})

    def add_reach_probe(self, outcome: str) -> None:
        """Count a probe of whether a target can be reached by its outcome."""
        self._reach_probes.inc({"outcome": outcome})

    def add_forwarded(self, direction: str, outcome: str) -> None:
        """Count a forwarded request: ``sent`` or ``received``, with its status or refusal."""
        self._forwarded.inc({"direction": direction, "outcome": outcome})

    def add_bad_limit(self) -> None:
        """Count an answer with an unreadable rate limit."""
        self._bad_limits.inc({})

    def add_hedge(self, outcome: str) -> None:
        """Count a hedge: ``sent``, or ``won`` if its answer was the first."""
        self._hedges.inc({"outcome": outcome})

    def add_retry(self, service: str, outcome: str) -> None:
        """Count an outcome of the retry budget: ``retry``, ``hedge``, ``permit`` or ``refused``."""
        self._retries.inc({"service": service, "outcome": outcome})

    def add_bad_load(self) -> None:
        """Count an answer with an unreadable load."""
        self._bad_loads.inc({})

    def add_bad_statement(self, field: str) -> None:
        """Count a field of a target's statement that could not be read."""
        self._bad_statements.inc({"field": field})

    def add_pipelining(self, what: str, count: int) -> None:
        """Count pipelined requests or events of pipelining."""
        self._pipelining.add({"what": what}, count)

    def add_evictions(self, cause: str, count: int) -> None:
        """Count connections that were evicted, by what was scarce."""
        self._evictions.add({"scarce": cause}, count)

    def add_over_quota(self, team: str) -> None:
        """Count a request refused by its team's quota; past `TEAM_LABELS` teams as "other"."""
        if len(self._quota_teams) < TEAM_LABELS:
            self._quota_teams.add(team)
        self._over_quota.inc({"team": team if team in self._quota_teams else "other"})

    def add_message(self, kind: str) -> None:
        """Count a message received from another entry."""
        self._messages.inc({"kind": kind})

    def add_quarantine(self, what: str) -> None:
        """Count an event of the quarantine."""
        self._quarantine.inc({"what": what})

    def add_unreadable_record(self) -> None:
        """Count a store record that could not be decoded."""
        self._unreadable.inc({})

    def add_task_failure(self, task: str) -> None:
        """Count an unexpected exception in a task or receiver."""
        self._task_failures.inc({"task": task})

    def set(self, name: str, value: float) -> None:
        """Set the gauge ``halldoor_state`` for a name."""
        self._gauges.set({"name": name}, value)

    def set_buffered(self, sizes: Mapping[BufferKind, int]) -> None:
        """Set the gauge of the bytes that are buffered, by kind."""
        for kind in BufferKind:
            self._buffered.set({"kind": kind.value}, sizes.get(kind, 0))

    def set_targets_out(self, targets: Iterable[ExcludedTarget]) -> None:
        """Replace the targets in the gauge of those that receive no or few requests."""
        self.registry.deregister(self._targets_out.name)
        self._targets_out = self._build_targets_out()
        for target, service, reason in targets:
            self._targets_out.set({"target": target, "service": service, "reason": reason}, 1)

    def set_entry_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights in the gauge of entries' weights, by name of the entry."""
        self.registry.deregister(self._entry_weights.name)
        self._entry_weights = self._build_entry_weights()
        for name, weight in weights.items():
            self._entry_weights.set({"entry": name}, weight)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self.registry)
