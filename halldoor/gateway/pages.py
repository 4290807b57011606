"""Answers readiness checks, look-ups of entries, and requests for metrics."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from halldoor.core.buffers import BufferKind
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.excluded import ExcludedTarget
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.lookup import LookupFormat, Weigher, choose_entries
from halldoor.gateway.metrics import GatewayMetrics

NO_ENTRY_RETRY_S = 0.2
"""Retry-After where no entry is known, in seconds: a starting entry reads the store within it."""


class GatewayState(NamedTuple):
    """State that readiness checks and look-ups answer from.

    Attributes
    ----------
    is_ready : bool
        Whether callers should be sent to this entry.
    own : MemberRecord
        This entry.
    members : iterable of MemberRecord
        The registered entries, with or without this one.
    lookup_ttl_s : float
        How long callers may keep a look-up's answer, in seconds.
    weigh : callable, optional
        Returns the weights of entries in answers; by default all entries are named.
    """

    is_ready: bool
    own: MemberRecord
    members: Iterable[MemberRecord]
    lookup_ttl_s: float
    weigh: Weigher = lambda _: None


class GatewayFigures(NamedTuple):
    """Current figures of a gateway, for the metrics page.

    Attributes
    ----------
    gauges : dict of str to float
        Current values, by metric name.
    targets_out : iterable of ExcludedTarget
        Targets that get no requests, or only a few, with the reason.
    entry_weights : mapping of str to float
        Weights of the hall's entries in look-up answers; empty where they are not weighted.
    buffered : mapping of BufferKind to int
        Bytes that are buffered, by kind.
    """

    gauges: dict[str, float]
    targets_out: Iterable[ExcludedTarget]
    entry_weights: Mapping[str, float] = {}
    buffered: Mapping[BufferKind, int] = {}


class StatusPages:
    """Handlers of the ports for readiness, look-ups and metrics.

    Parameters
    ----------
    read_state, read_figures : callable
        Return the state and the figures to answer with.
    lookups : LookupFormat
        Format of look-ups and their answers.
    metrics : GatewayMetrics
        Counters and histograms.
    """

    def __init__(
        self,
        read_state: Callable[[], GatewayState],
        read_figures: Callable[[], GatewayFigures],
        lookups: LookupFormat,
        metrics: GatewayMetrics,
    ) -> None:
        self._read_state = read_state
        self._read_figures = read_figures
        self._lookups = lookups
        self._metrics = metrics
        self._random = random.Random()

    async def answer_ready(self, caller: CallerConnection, head: Head) -> None:
        """Answer a readiness check: 200 where callers should be sent here, else 503."""
        if head.target.decode("latin-1").partition("?")[0] != self._lookups.ready_path:
            caller.send(Answer(404, []))
            return
        caller.send(Answer(200 if self._read_state().is_ready else 503, []))

    async def answer_lookup(self, caller: CallerConnection, head: Head) -> None:
        """Answer a look-up with entries that callers may use."""
        query = self._lookups.parse(head.target.decode("latin-1"))
        if query is None:
            caller.send(Answer(404, []))
            return
        state = self._read_state()
        members = {m.name: m for m in state.members}
        if state.is_ready:
            members[state.own.name] = state.own
        else:
            members.pop(state.own.name, None)
        if not members:
            caller.send(Answer(503, [(b"Retry-After", str(NO_ENTRY_RETRY_S).encode())]))
            return
        chosen = choose_entries(
            members.values(),
            hall=query.hall,
            region=query.region,
            generator=self._random,
            weigh=state.weigh,
        )
        body = self._lookups.render(chosen, ttl_s=state.lookup_ttl_s)
        caller.send(Answer(200, [(b"Content-Type", b"application/json")], body))

    async def answer_metrics(self, caller: CallerConnection, head: Head) -> None:
        """Answer with this process's metrics."""
        figures, metrics = self._read_figures(), self._metrics
        for name, value in figures.gauges.items():
            metrics.set(name, value)
        metrics.set_targets_out(figures.targets_out)
        metrics.set_entry_weights(figures.entry_weights)
        metrics.set_buffered(figures.buffered)
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        caller.send(Answer(200, [content_type], metrics.render()))
