"""Routes: which service a request belongs to, and how it may be handled."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.teams.team import Team, TeamTable


class RequestKind(StrEnum):
    """Whether a request may be run again."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"


class SplitPart(NamedTuple):
    """A service and its weight in a split."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host name and path prefix are handled.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    parts : tuple of SplitPart
        The services that share the requests; one for a plain route.
    timeout_s : float
        Longest time that a request may be held, in seconds.
    aim_s : float
        Time within which an answer is of full use to the caller, in seconds.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Targets that one request may be sent to.
    has_affinity : bool
        Targets that lately saw the same affinity key answer faster.
    home_regions : tuple of str
        Regions that may serve the route; any where empty.
    is_public : bool
        Callers need no key, and their requests belong to no team.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    parts: tuple[SplitPart, ...]
    timeout_s: float
    aim_s: float
    priority: int
    max_attempts: int
    has_affinity: bool
    home_regions: tuple[str, ...] = ()
    is_public: bool = False


class TargetService(NamedTuple):
    """What holds for all targets of a service.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_start_s : float
        Time that a target stays cold after a start, in seconds.
    cold_rate_per_s : float
        Requests a second that a cold target bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate_per_s: float


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Routing(NamedTuple):
    """One version of everything that operators set for the request path.

    Attributes
    ----------
    teams : tuple of Team
        Who may call; anyone where there are none.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, TargetService]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()


def check_routing(routing: Routing) -> None:
    """Check that the parts of a configuration fit together.

    A wrong one is refused whole, so that a part of it never takes effect without the rest.

    Raises
    ------
    ValueError
        Naming the part that is wrong.
    """
    for route in routing.routes:
        _check_route(route, routing.services)
    TeamTable(routing.teams)


def _check_route(route: Route, services: Mapping[str, TargetService]) -> None:
    """Check one route."""
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"route {route.name}: prefix {prefix!r} must begin and end with a slash")
    for part in route.parts:
        if part.service not in services:
            raise ValueError(f"route {route.name}: service {part.service!r} is not configured")
        if part.weight < 0:
            raise ValueError(f"route {route.name}: the weight of {part.service} is below 0")
    if sum(part.weight for part in route.parts) <= 0:
        raise ValueError(f"route {route.name}: no part has a weight above 0")


class RouteTable:
    """Find routes by host name and longest path prefix.

    Parameters
    ----------
    routing : Routing
        The version to serve.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routing.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of ``path``; None where there is none.

        Parameters
        ----------
        host : str
            The ``Host`` header; a port in it is ignored.
        path : str
            Path of the request, with or without its query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
