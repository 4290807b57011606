"""Metrics of the entry process, in the Prometheus text format."""

from __future__ import annotations

import time
from collections.abc import Callable

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry, render

from halldoor.core.invariant import Invariants
from halldoor.entry.configuration import ConfigurationTask
from halldoor.entry.dispatch import Dispatcher
from halldoor.entry.hall import AdmissionController
from halldoor.threads import failures

BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]


class Metrics:
    """Counters updated by requests, and gauges updated when the metrics are rendered.

    Attributes
    ----------
    read_gauges : callable
        Sets the gauges just before they are rendered.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        # Drop the collectors that the library registers globally; halldoor uses its own registry.
        REGISTRY.clear()
        self._requests = Counter("halldoor_requests", "Requests by service, outcome and reason.")
        self._latency = Histogram(
            "halldoor_request_seconds", "Time to the head of the answer.", buckets=BUCKETS
        )
        self._lookups = Counter("halldoor_lookups", "Look-ups by service.")
        self._gauges = {
            name: Gauge(f"halldoor_{name}", text)
            for name, text in {
                "slots": "Own slots by target and state.",
                "in_flight": "Requests of this entry on a target.",
                "moved_share": "Moved requests over all requests, by service and cap.",
                "shift_cap": "Cap on the moved share, by service and cap.",
                "revision": "Revision in force.",
                "revision_age_seconds": "Time since the revision in force was adopted.",
                "draining_in_flight": "Requests that a leaving target still has from here.",
                "invariant_violations": "Violated invariants by name; must be 0.",
                "thread_failures": "Unexpected exceptions by thread; must be 0.",
                "odd_items": "Items from outside that were left out, by kind.",
            }.items()
        }
        for collector in [self._requests, self._latency, self._lookups, *self._gauges.values()]:
            self.registry.register(collector)
        self.read_gauges: Callable[[], None] = lambda: None

    def add_request(self, service: str, outcome: str, latency_s: float) -> None:
        """Count a request, and record the seconds until the head of its answer."""
        self._requests.inc({"service": service, "outcome": outcome})
        self._latency.observe({"service": service}, latency_s)

    def add_lookup(self, service: str) -> None:
        """Count a look-up of a service."""
        self._lookups.inc({"service": service})

    def set(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set the value of the gauge ``halldoor_<name>``."""
        self._gauges[name].set(labels, value)

    def render(self) -> bytes:
        """Update the gauges and return all metrics as text."""
        self.read_gauges()
        content, _ = render(self.registry, ["text/plain"])
        return content


def read_gauges(
    metrics: Metrics,
    *,
    controller: AdmissionController,
    dispatcher: Dispatcher,
    configuration: ConfigurationTask,
    invariants: Invariants,
    count_odd_items: Callable[[], dict[str, int]],
) -> None:
    """Set every gauge from the state of the process's components."""
    for target, count in controller.count_slots().items():
        for state, value in (("free", count.free), ("busy", count.busy), ("lent", count.lent)):
            metrics.set("slots", {"target": target, "state": state}, value)
        metrics.set("in_flight", {"target": target}, count.in_flight)
        if controller.is_leaving(target):
            metrics.set("draining_in_flight", {"target": target}, count.in_flight)
    for (service, cap), (total, moved, limit) in dispatcher.count_moves().items():
        labels = {"service": service, "cap": cap}
        metrics.set("moved_share", labels, moved / total if total else 0.0)
        metrics.set("shift_cap", labels, limit)
    metrics.set("revision", {}, configuration.revision)
    if configuration.adopted_at:
        metrics.set("revision_age_seconds", {}, time.time() - configuration.adopted_at)
    metrics.set("invariant_violations", {"name": "any"}, sum(invariants.violations.values()))
    for thread, count_ in failures.items():
        metrics.set("thread_failures", {"thread": thread}, count_)
    for kind, count_ in count_odd_items().items():
        metrics.set("odd_items", {"kind": kind}, count_)
    for name, count_ in invariants.violations.items():
        metrics.set("invariant_violations", {"name": name}, count_)
