"""Policies that order the usable targets of a hall; the first with a slot is taken."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, Protocol

from halldoor.core.errors import SettingsError
from halldoor.core.hall.health import TargetView


class RandomSource(Protocol):
    """What a policy needs of a source of randomness, such as `random.Random`."""

    def shuffle(self, x: Any) -> None:
        """Shuffle a list in place."""


class Policy(ABC):
    """Order candidates, best first.

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
            Where there is no such policy.
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
    """Compare two random candidates by own load and recent latency."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Order by repeated comparison of two random candidates."""
        rest = list(views)
        self._random.shuffle(rest)
        if len(rest) >= 2 and _cost(rest[1]) < _cost(rest[0]):
            rest[0], rest[1] = rest[1], rest[0]
        # The others are spares for when the first has no slot: by cost.
        return [v.name for v in [*rest[:1], *sorted(rest[1:], key=_cost)]]


class RandomOrder(Policy):
    """Take any."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Shuffle."""
        names = [v.name for v in views]
        self._random.shuffle(names)
        return names


class RoundRobin(Policy):
    """Take each in turn."""

    def __init__(self, random: RandomSource) -> None:
        super().__init__(random)
        self._turn = 0

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Rotate by one."""
        names = sorted(v.name for v in views)
        self._turn += 1
        start = self._turn % len(names) if names else 0
        return names[start:] + names[:start]


class LeastReported(Policy):
    """Believe the load that targets report."""

    def order(self, views: Sequence[TargetView]) -> list[str]:
        """Sort by reported load."""
        return [v.name for v in sorted(views, key=lambda v: (v.reported, v.name))]


def _cost(view: TargetView) -> float:
    """Estimate the cost of one more request on a target.

    Own counts lead, since reports lag; a cold target counts as smaller.
    """
    room = max(1, view.share) * view.ramp
    fill = (view.in_flight + 1) / room
    return fill * max(view.latency_s, 0.001)
