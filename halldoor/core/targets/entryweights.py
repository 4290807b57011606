"""Weights of the entries in look-up answers, by their capacity and their load.

Load pattern: a hall whose entries differ up to twentyfold in processor or link, with large answers
that fill the small ones' links.  Callers choose at random among the entries that an answer names,
and look up about once a second, so an entry that is named in a part of the answers gets about that
part of the callers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from halldoor.core.bounds import Rate
from halldoor.core.targets.changes import MemberRecord

FIGURE_MAX = 1e6
"""Capacities from this on (cores, Mbit/s) count as not set: no host has them."""
RUNNING_MAX = 1e6
"""Loads above this number of requests per core are ignored as invalid."""
GROUP_KEPT_S = 60.0
"""Time for which the weights of a group without look-ups are kept, in seconds: by then each weight
could have changed by more than its whole range."""
LEAST_NAMED = 2
"""Entries that an answer names at least, if there are as many: one may crash."""
STALLED_MAX = 1.0 + 1e-9
"""Largest valid share of time in which a process stalled; a measurement may round up."""


class EntryCapacity(NamedTuple):
    """Capacity of an entry's host, from its settings.

    Attributes
    ----------
    cores : float or None
        Processor, in cores of usual speed that the process may use; None: not set.
    link_mbps : float or None
        Network link, in Mbit/s; None: not set.
    """

    cores: float | None = None
    link_mbps: float | None = None

    def drop_invalid(self) -> EntryCapacity:
        """Return this capacity without figures that are 0, negative, huge or no numbers."""
        return EntryCapacity(read_figure(self.cores), read_figure(self.link_mbps))


class WeightSettings(NamedTuple):
    """How entries are weighted in look-up answers.

    Attributes
    ----------
    least : float
        Smallest weight; the largest is 1.
    most_step, step_s : float
        Largest change of a weight within a time, in seconds.  Callers follow an answer for about a
        second, so a faster change would act on loads that it caused itself.
    load_s : float
        Time for which an entry's load counts, in seconds: two messages, so that one may be lost.
    full_running : float
        Requests in progress per core above which an entry's weight falls: about what one core
        handles if each takes 0.2 s.
    free_stalls : float
        Part of the time in which a process may stall without losing weight: an idle host has some.
    """

    least: float = 0.05
    most_step: float = 0.15
    step_s: float = 2.0
    load_s: float = 2.0
    full_running: float = 64.0
    free_stalls: float = 0.1


class EntryLoad(NamedTuple):
    """What an entry observes of itself, as it sends it to other entries.

    Attributes
    ----------
    running_per_core : float
        Requests in progress per core.
    stalled : float
        Part of the last second in which its process did not run, from 0 to 1.
    """

    running_per_core: Rate
    stalled: Rate

    @property
    def is_valid(self) -> bool:
        """Whether both figures are numbers in their ranges."""
        return 0 <= self.running_per_core <= RUNNING_MAX and 0 <= self.stalled <= STALLED_MAX

    def find_factor(self, settings: WeightSettings) -> float:
        """Return the factor on the weight that this load leaves, from 0 to 1."""
        free = min(settings.free_stalls, 0.99)
        present = min(1.0, (1.0 - self.stalled) / (1.0 - free))
        uncrowded = min(1.0, settings.full_running / max(self.running_per_core, 1e-9))
        return max(0.0, present) * uncrowded


def read_figure(value: Any) -> float | None:
    """Return a capacity as a positive number; None if it is missing, invalid or huge."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except (ValueError, OverflowError):
        return None
    return number if 0 < number < FIGURE_MAX else None


def compute_base_weights(
    members: Sequence[MemberRecord], settings: WeightSettings
) -> dict[str, float]:
    """Compute the weights by capacity alone, by name of the entry.

    The weight is the smaller of processor and link, each relative to the largest among the entries.
    One without capacity, as of an older version, counts as the mean of the others.
    """
    most_cores = max((m.cores for m in members if m.cores is not None), default=1.0)
    most_mbps = max((m.link_mbps for m in members if m.link_mbps is not None), default=1.0)
    known: dict[str, float] = {}
    for member in members:
        parts = []
        if member.cores is not None:
            parts.append(member.cores / most_cores)
        if member.link_mbps is not None:
            parts.append(member.link_mbps / most_mbps)
        if parts:
            known[member.name] = max(settings.least, min(parts))
    mean = math.fsum(known.values()) / len(known) if known else 1.0
    return {member.name: known.get(member.name, mean) for member in members}


class _Weights(NamedTuple):
    """Weights of the entries of one group, and when they were computed."""

    at: float
    by_name: dict[str, float]


class _DatedLoad(NamedTuple):
    """An entry's load, and when it was received."""

    at: float
    load: EntryLoad


class WeightTable:
    """Weights of entries, which follow capacities and loads at a limited rate.

    Each group of entries, such as a hall or a region, has weights of its own, since capacities are
    relative to the largest of the group.
    """

    def __init__(self, settings: WeightSettings) -> None:
        self.settings = settings
        self._groups: dict[str, _Weights] = {}
        self._loads: dict[str, _DatedLoad] = {}

    def record_load(self, name: str, load: EntryLoad, now: float) -> None:
        """Record the load of an entry; an invalid one is ignored."""
        if load.is_valid:
            self._loads[name] = _DatedLoad(now, load)

    def clear(self) -> None:
        """Forget all weights and loads."""
        self._groups.clear()
        self._loads.clear()

    def drop_unused(self, now: float) -> None:
        """Drop the loads that don't count any more, and groups without a recent look-up."""
        self._loads = {n: d for n, d in self._loads.items() if now - d.at < self.settings.load_s}
        self._groups = {g: w for g, w in self._groups.items() if now - w.at < GROUP_KEPT_S}

    def compute(self, group: str, members: Sequence[MemberRecord], now: float) -> dict[str, float]:
        """Compute the weights of a group's entries, by name.

        A weight moves towards its present value at a limited rate; one of an entry that is new in
        the group starts at its value.
        """
        aims = self._compute_aims(members, now)
        last = self._groups.get(group)
        if last is not None:
            step = self.settings.most_step * max(0.0, now - last.at) / self.settings.step_s
            for name, aim in aims.items():
                old = last.by_name.get(name, aim)
                aims[name] = min(old + step, max(old - step, aim))
        self._groups[group] = _Weights(now, aims)
        return dict(aims)

    def _compute_aims(self, members: Sequence[MemberRecord], now: float) -> dict[str, float]:
        """Compute the values that the weights move towards."""
        aims = compute_base_weights(members, self.settings)
        for name in aims:
            dated = self._loads.get(name)
            if dated is not None and now - dated.at < self.settings.load_s:
                factor = dated.load.find_factor(self.settings)
                aims[name] = max(self.settings.least, aims[name] * factor)
        return aims


def draw_entries(
    members: Sequence[MemberRecord], weights: Mapping[str, float], generator: Random
) -> list[MemberRecord]:
    """Draw the entries that an answer names, each with a probability by its weight.

    Those with the largest weight are always drawn, and at least `LEAST_NAMED` entries.  Where all
    weights are equal, all entries are drawn, and no random number is used.
    """
    most = max((weights[m.name] for m in members), default=0.0)
    if most <= 0:
        return list(members)
    drawn: list[MemberRecord] = []
    passed: list[MemberRecord] = []
    for member in members:
        part = weights[member.name] / most
        (drawn if part >= 1 or generator.random() < part else passed).append(member)
    while passed and len(drawn) < LEAST_NAMED:
        chosen = generator.choices(passed, [weights[m.name] for m in passed])[0]
        passed.remove(chosen)
        drawn.append(chosen)
    return drawn
