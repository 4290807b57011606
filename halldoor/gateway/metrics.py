"""Counters and latency histograms of the gateway, as Prometheus text."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry, render

BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0]
"""Upper bounds in seconds: from a read nearby to the longest deadline."""


class GatewayMetrics:
    """Counters that requests add to, and gauges set when they are read."""

    def __init__(self) -> None:
        self.registry = Registry()
        # The library's own collectors register themselves globally; halldoor keeps its own.
        REGISTRY.clear()
        self._requests = Counter("halldoor_requests", "Requests by service and status.")
        self._latency = Histogram(
            "halldoor_request_seconds", "Time to the answer.", buckets=BUCKETS
        )
        self._attempts = Counter("halldoor_attempts", "Sendings by service and outcome.")
        self._attempt_latency = Histogram(
            "halldoor_attempt_seconds", "Time of one sending.", buckets=BUCKETS
        )
        self._store_calls = Counter("halldoor_store_calls", "Store calls by kind and outcome.")
        self._gauges = Gauge("halldoor_state", "What this entry holds now, by name.")
        for collector in (
            self._requests,
            self._latency,
            self._attempts,
            self._attempt_latency,
            self._store_calls,
            self._gauges,
        ):
            self.registry.register(collector)

    def add_request(self, service: str, status: str, took_s: float) -> None:
        """Count a request's end."""
        self._requests.inc({"service": service, "status": status})
        self._latency.observe({"service": service}, took_s)

    def add_attempt(self, service: str, outcome: str, took_s: float) -> None:
        """Count one sending to a target."""
        self._attempts.inc({"service": service, "outcome": outcome})
        self._attempt_latency.observe({"service": service}, took_s)

    def add_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"kind": kind, "outcome": outcome})

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.set({"name": name}, value)

    def render(self) -> bytes:
        """Write all of it as text."""
        content, _ = render(self.registry, ["text/plain"])
        return content
