"""Routes: the service that a request belongs to, and how it may be handled."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.teams.team import Team, TeamTable, drop_shared_keys


class RequestKind(StrEnum):
    """Whether a request may be run more than once, and whether its body or its answer is large."""

    REPEATABLE = "repeatable"
    DOWNLOAD = "download"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self in (RequestKind.REPEATABLE, RequestKind.DOWNLOAD)


class SplitPart(NamedTuple):
    """A service and its weight in a split."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host name and path prefix are handled.

    Attributes
    ----------
    path_prefix : str
        Prefix of the paths; it begins and ends with a slash.
    parts : tuple of SplitPart
        The services that share the requests; one for a plain route.
    timeout_s : float
        Longest time that a request may be held, in seconds.
    aim_s : float
        Response time within which an answer is of full use to the caller, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Most targets that one request may be sent to.
    has_affinity : bool
        Whether targets that recently served the same affinity key answer faster.
    home_regions : tuple of str
        Regions that may serve the route; any region if empty.
    is_public : bool
        Whether callers need no API key; their requests then belong to no team.
    may_be_public : bool
        Whether it can't be read if callers need a key: those without one are refused as not run.
    is_hedged : bool
        Whether a repeatable request that runs far longer than usual is sent to a second target.
    fault : str
        Why its requests can't be served, if its configuration could not be read; else empty.
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
    is_hedged: bool = False
    fault: str = ""
    may_be_public: bool = False

    def has_service(self, name: str) -> bool:
        """Check whether requests may go to a service."""
        return any(part.service == name and part.weight > 0 for part in self.parts)


class TargetService(NamedTuple):
    """Settings of all targets of a service.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all callers together.
    cold_start_s : float
        Time that a target stays cold after a start, in seconds.
    cold_rate_per_s : float
        Requests a second that a cold target can handle.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate_per_s: float


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's request, in bytes, and on its times, in seconds.

    Attributes
    ----------
    may_be_wrong : bool
        Whether operators may allow more, so that a request beyond them is refused as not run.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    may_be_wrong: bool = False


class Unread(NamedTuple):
    """What could not be read in a configuration that is in force nevertheless.

    It is a property of the configuration, not of the entry: all entries refuse the same requests.

    Attributes
    ----------
    hosts : frozenset of str
        Hosts, in lower case, of routes whose path prefix can't be read.
    has_routes : bool
        Whether there may be routes whose host can't be read.
    has_keys : bool
        Whether teams may have keys that can't be read.
    """

    hosts: frozenset[str] = frozenset()
    has_routes: bool = False
    has_keys: bool = False

    def may_have_route(self, host: str) -> bool:
        """Check whether a request for a host may belong to a route that can't be read."""
        return self.has_routes or _fold_host(host) in self.hosts


class Routing(NamedTuple):
    """One version of the operators' configuration of the request path.

    Attributes
    ----------
    teams : tuple of Team
        Teams that may call; if empty, anyone may.
    faults : tuple of str
        What could not be read in its resources, for the log.
    unread : Unread
        Routes and keys that are not in `routes` and `teams` because they can't be read.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, TargetService]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()
    faults: tuple[str, ...] = ()
    unread: Unread = Unread()

    @property
    def has_downloads(self) -> bool:
        """Whether a route has large answers."""
        return any(route.kind is RequestKind.DOWNLOAD for route in self.routes)


def check_routing(routing: Routing) -> None:
    """Check that the parts of a configuration are valid and consistent.

    An inconsistent configuration is rejected as a whole by an entry that holds another one, so that
    it never takes effect in part: see `keep_consistent_part`.
    Routes with a fault are not checked: their requests are refused, and all others are served.

    Raises
    ------
    ValueError
        If a part is invalid; the message names it.
    """
    for route in routing.routes:
        if not route.fault:
            _check_route(route, routing.services)
    TeamTable(routing.teams)


def keep_consistent_part(routing: Routing) -> Routing:
    """Return a configuration whose inconsistent parts refuse their requests as not run.

    It is for an entry that holds no other configuration.  Routes get a fault, or are left out if
    their prefix is invalid, and teams that share a key lose it.
    """
    routes: list[Route] = []
    hosts = set(routing.unread.hosts)
    for route in routing.routes:
        try:
            check_routing(routing._replace(routes=(route,), teams=()))
            routes.append(route)
        except ValueError as exc:
            if _is_prefix(route.path_prefix):
                routes.append(route._replace(fault=str(exc)))
            else:
                hosts.add(_fold_host(route.host))
    return routing._replace(
        routes=tuple(routes),
        teams=drop_shared_keys(routing.teams),
        unread=routing.unread._replace(hosts=frozenset(hosts)),
    )


def _is_prefix(prefix: str) -> bool:
    """Check whether a path prefix begins and ends with a slash."""
    return prefix.startswith("/") and prefix.endswith("/")


def _check_route(route: Route, services: Mapping[str, TargetService]) -> None:
    """Check one route's prefix and services; raise ValueError if one is invalid."""
    prefix = route.path_prefix
    if not _is_prefix(prefix):
        raise ValueError(f"route {route.name}: prefix {prefix!r} must begin and end with a slash")
    for part in route.parts:
        if part.service not in services:
            raise ValueError(f"route {route.name}: service {part.service!r} is not configured")
        if part.weight < 0:
            raise ValueError(f"route {route.name}: the weight of {part.service} is below 0")
    if sum(part.weight for part in route.parts) <= 0:
        raise ValueError(f"route {route.name}: no part has a weight above 0")


class RouteTable:
    """Routes by host name and longest path prefix.

    Parameters
    ----------
    routing : Routing
        The version of the configuration to use.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routing.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``; None if there is none.

        Parameters
        ----------
        host : str
            The ``Host`` header; a port in it is ignored.
        path : str
            Path of the request, with or without its query.
        """
        prefixes = self._by_host.get(_fold_host(host))
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


def _fold_host(host: str) -> str:
    """Return the name in a ``Host`` header, without its port and in lower case."""
    return host.partition(":")[0].lower()
