"""Weighted splits of a route's requests between services."""

from __future__ import annotations

from halldoor.core.placement import hash_to_unit
from halldoor.core.targets.route import Route, SplitPart

DRIFT_LIMIT = 1.5
"""Requests by which a part may exceed its weight before a key is sent to another part.

Small, so that the shares match the weights after a few dozen requests; above 1, so that keys
mostly stay with the part that is warm for them.
"""


class Splitter:
    """Splits each route's requests between its parts in proportion to the weights.

    Each key prefers one part, so that targets stay warm; counts keep the proportions exact.
    """

    def __init__(self) -> None:
        # By route and weights: requests by which each part exceeds its weight.
        self._excess: dict[tuple[str, tuple[SplitPart, ...]], dict[str, float]] = {}

    def choose(self, route: Route, key: str) -> str:
        """Choose the service for one request and count it."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        excess = self._excess.setdefault((route.name, route.parts), {})
        chosen = _find_preferred_service(route, key, total)
        if excess.get(chosen, 0.0) > DRIFT_LIMIT - 1.0:
            chosen = min(
                (p.service for p in route.parts if p.weight > 0),
                key=lambda service: (excess.get(service, 0.0), service),
            )
        for part in route.parts:
            excess[part.service] = excess.get(part.service, 0.0) - part.weight / total
        excess[chosen] += 1.0
        return chosen

    def forget_except(self, routes: tuple[Route, ...]) -> None:
        """Drop the counts of routes that were removed or have other weights now."""
        kept = {(route.name, route.parts) for route in routes}
        self._excess = {key: value for key, value in self._excess.items() if key in kept}


def _find_preferred_service(route: Route, key: str, total: float) -> str:
    """Return the service that a key prefers; keys are spread in proportion to the weights."""
    point = hash_to_unit(f"{route.name}\0{key}") * total
    for part in route.parts:
        point -= part.weight
        if point < 0:
            return part.service
    return route.parts[-1].service
