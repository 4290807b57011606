"""Routing policies: orders of a hall's usable targets, of which the first with a slot is used."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, Protocol

from halldoor.core.errors import SettingsError
from halldoor.core.hall.health import TargetView


class RandomSource(Protocol):
    """Interface of a source of randomness, such as `random.Random`."""

    def shuffle(self, x: Any) -> None:
        """Shuffle a list in place."""


class Policy(ABC):
    """Base class of policies that order candidate targets, best first.

    Parameters
    ----------
    random : RandomSource
        Source of randomness, seeded by the caller.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    @abstractmethod
    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Order the targets by name, best first."""

    @classmethod
    def from_name(cls, name: str, random: RandomSource) -> Policy:
        """Build a policy by its name in the settings.

        Raises
        ------
        SettingsError
            If there is no such policy.
        """
        kinds: dict[str, type[Policy]] = {
            "two-choices": TwoChoices,
            "random": RandomOrder,
            "round-robin": RoundRobin,
            "least-reported": LeastReported,
        }
        if name not in kinds:
            raise SettingsError(
                f"There is no policy {name!r}.", remedy=f"Use one of: {', '.join(kinds)}."
            )
        return kinds[name](random)


class TwoChoices(Policy):
    """Policy that takes the better of two random targets, by this entry's load and latency."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Order the better of two random targets first, and the others by cost."""
        remaining = list(views)
        self._random.shuffle(remaining)
        if len(remaining) >= 2 and _estimate_cost(remaining[1]) < _estimate_cost(remaining[0]):
            remaining[0], remaining[1] = remaining[1], remaining[0]
        # The others are used only if the first has no free slot.
        return [v.name for v in [*remaining[:1], *sorted(remaining[1:], key=_estimate_cost)]]


class RandomOrder(Policy):
    """Policy that orders targets at random."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Return the targets in random order."""
        names = [v.name for v in views]
        self._random.shuffle(names)
        return names


class RoundRobin(Policy):
    """Policy that starts with the next target each time."""

    def __init__(self, random: RandomSource) -> None:
        super().__init__(random)
        self._turn = 0

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Return the targets sorted by name, starting one target later than in the last call."""
        names = sorted(v.name for v in views)
        self._turn += 1
        start = self._turn % len(names) if names else 0
        return names[start:] + names[:start]


class LeastReported(Policy):
    """Policy that prefers the target with the lowest reported load."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Return the targets by reported load, lowest first."""
        return [v.name for v in sorted(views, key=lambda v: (v.reported, v.name))]


def _estimate_cost(view: TargetView) -> float:
    """Estimate the cost of one more request on a target.

    The cost uses this entry's own counts, since reports lag.  A cold target counts as smaller.
    """
    room = max(1, view.share) * view.ramp
    utilization = (view.in_flight + 1) / room
    return utilization * max(view.latency_s, 0.001)
