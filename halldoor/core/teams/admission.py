"""Admission of requests: check route, key, regions and quota before a target is chosen.

The order of the checks is: a configuration is loaded (503), a route matches (404; 503 if it may
be one that can't be read) and is usable (503), the key belongs to a team (401; 503 if it may be one
that can't be read), some region may serve both the route and the team (503), the team is within its
quota (429).  The limit on the body is checked last (413), once it is read.  In this order a caller
without a valid key learns only whether a route exists, and a request that is refused for another
reason doesn't count against a quota.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from halldoor.core.targets.route import Route, RouteTable, Routing
from halldoor.core.teams.gate import Admission, QuotaGate
from halldoor.core.teams.team import (
    Team,
    TeamTable,
    digest_key,
    intersect_home_regions,
    read_bearer,
)


class RefusalReason(StrEnum):
    """Reason why a request is not admitted; part of the answer and of the log line."""

    NO_CONFIGURATION = "no configuration yet"
    STOOD_STILL = "the entry stood still"
    NO_TUNNEL = "CONNECT is not supported"
    NO_ROUTE = "no route"
    UNREAD_ROUTE = "no route among those that can be read"
    UNUSABLE_ROUTE = "the route's configuration can't be read"
    UNKNOWN_KEY = "key unknown"
    UNREAD_KEY = "no key among those that can be read"
    OLD_CONFIGURATION = "configuration may be old"
    OTHER_SERVICE = "another configuration has another service"
    NO_COMMON_REGION = "no region may serve both route and team"
    OVER_QUOTA = "team over its quota"

    @property
    def depends_on_age(self) -> bool:
        """Whether the status depends on the age of the configuration."""
        return self in (self.NO_ROUTE, self.UNKNOWN_KEY, self.OLD_CONFIGURATION)


CONFIRMED_SHARE = 0.75
"""Part of the greatest age of a configuration from which it is confirmed, so that the answer
arrives before that age."""
DIGEST_DIGITS_LOGGED = 12
"""Hexadecimal digits of a key's digest in a log: enough to compare, too few to guess the key."""

_STATUSES = {
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.STOOD_STILL: 503,
    RefusalReason.NO_TUNNEL: 501,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNREAD_ROUTE: 503,
    RefusalReason.UNUSABLE_ROUTE: 503,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNREAD_KEY: 503,
    RefusalReason.OLD_CONFIGURATION: 503,
    RefusalReason.OTHER_SERVICE: 503,
    RefusalReason.NO_COMMON_REGION: 503,
    RefusalReason.OVER_QUOTA: 429,
}


class Refusal(NamedTuple):
    """The refusal of a request that is not admitted, and so did not run.

    Attributes
    ----------
    reason : RefusalReason
        Why it is refused.
    team : str
        Name of the caller's team, empty if unknown.
    key_digest : str
        Beginning of the digest of a key that no team holds, for operators to compare.
    quota : Admission or None
        Decision of the quota gate; None if the request was refused before.
    """

    reason: RefusalReason
    team: str = ""
    key_digest: str = ""
    quota: Admission | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer."""
        return _STATUSES[self.reason]


class AdmittedRequest(NamedTuple):
    """An admitted request.

    Attributes
    ----------
    route : Route
        Its route, with the home regions and the priority that apply to its team.
    team : str
        Name of its team; empty on a public route, or if no teams are configured.
    """

    route: Route
    team: str


class AccessSettings(NamedTuple):
    """Limits on the age of the routes and keys by which an entry admits requests.

    Attributes
    ----------
    stale_s : float
        Age of the configuration, in seconds, from which an unknown route or key may be one that
        was added since: the request is then refused with 503 as not run, so that the caller
        retries at another entry.
    is_strict : bool
        Whether keys are refused once they may have been revoked without this entry knowing.
    revoked_s : float
        Time in which a revoked key must stop working, in seconds.  With `is_strict`, an entry
        whose configuration is older refuses every key.
    """

    stale_s: float = 3.0
    is_strict: bool = False
    revoked_s: float = 5.0

    @property
    def confirmed_s(self) -> float:
        """Age from which the configuration is confirmed before it gets too old, in seconds."""
        limit_s = min(self.stale_s, self.revoked_s) if self.is_strict else self.stale_s
        return CONFIRMED_SHARE * limit_s


class ConfigurationAge(NamedTuple):
    """What is known about the age of a configuration.

    Attributes
    ----------
    age_s : float
        Time since the moment up to which it is proven to be the newest, in seconds.
    is_behind : bool
        Whether a newer one is known to exist: other entries have read it, or it was rejected.
    """

    age_s: float
    is_behind: bool = False

    def is_stale(self, limit_s: float) -> bool:
        """Check whether a route or key may have been added too long ago to be unknown."""
        return self.is_behind or self.age_s > limit_s


class AccessTable:
    """Admission by the routes and teams of one configuration.

    Parameters
    ----------
    routing : Routing
        The configuration.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._routes = RouteTable(routing)
        self._teams = TeamTable(routing.teams)

    @property
    def has_teams(self) -> bool:
        """Check whether any teams are configured, so that callers need keys."""
        return len(self._teams) > 0

    @property
    def teams(self) -> TeamTable:
        """Return the configured teams."""
        return self._teams

    def is_repeatable(self, host: str, path: str) -> bool:
        """Check whether a host and path belong to a usable route of repeatable requests."""
        route = self._routes.find(host, path)
        return route is not None and not route.fault and route.kind.is_repeatable

    def admit_request(
        self,
        host: str,
        path: str,
        credentials: bytes,
        *,
        gate: QuotaGate,
        now: float,
        age: ConfigurationAge,
        entries: int,
        settings: AccessSettings,
    ) -> AdmittedRequest | Refusal:
        """Decide whether a request is admitted, and count it against its team's quota if it is.

        Parameters
        ----------
        host, path, credentials : str, str, bytes
            Host and path that the request asks for, and its ``Authorization`` header's value.
        gate : QuotaGate
            Quotas at this entry.
        now : float
            Monotonic time, in seconds.
        age : ConfigurationAge
            Age of this configuration.
        entries : int
            Number of entries that share the quotas.
        settings : AccessSettings
            Limits on the age.
        """
        route = self._routes.find(host, path)
        is_stale = age.is_stale(settings.stale_s)
        if route is None:
            if self.routing.unread.may_have_route(host):
                return Refusal(RefusalReason.UNREAD_ROUTE)
            return Refusal(RefusalReason.OLD_CONFIGURATION if is_stale else RefusalReason.NO_ROUTE)
        if route.fault:
            return Refusal(RefusalReason.UNUSABLE_ROUTE)
        if route.is_public or not self.has_teams:
            return AdmittedRequest(route, "")
        if settings.is_strict and age.age_s > settings.revoked_s:
            return Refusal(RefusalReason.OLD_CONFIGURATION)
        key = read_bearer(credentials)
        team = self._teams.find(key)
        if team is None:
            reason = RefusalReason.OLD_CONFIGURATION if is_stale else RefusalReason.UNKNOWN_KEY
            if route.may_be_public or (key and self.routing.unread.has_keys):
                reason = RefusalReason.UNREAD_KEY
            return Refusal(
                reason, key_digest=digest_key(key).hex()[:DIGEST_DIGITS_LOGGED] if key else ""
            )
        effective = _apply_team(route, team)
        if effective is None:
            return Refusal(RefusalReason.NO_COMMON_REGION, team.name)
        quota = gate.admit(team.name, now, entries=entries)
        if not quota.is_admitted:
            return Refusal(RefusalReason.OVER_QUOTA, team.name, quota=quota)
        return AdmittedRequest(effective, team.name)


def _apply_team(route: Route, team: Team) -> Route | None:
    """Return a route with a team's priority and home regions; None if they share no region."""
    if team.priority is None and not team.home_regions:
        return route
    homes = intersect_home_regions(route.home_regions, team.home_regions)
    if homes is None:
        return None
    priority = route.priority if team.priority is None else team.priority
    return route._replace(home_regions=homes, priority=priority)
