"""Which requests are let in, before anything is spent on them.

Checks go from what is cheapest and tells least to what takes from a budget: whether a
configuration is known (503), whether there is a route (404), whose the key is (401), whether any
region may serve both the route and the team (503), whether the team is within its quota (429).
The limit on a body comes last (413), once it is read.  A caller without a key learns nothing but
whether a route exists; and what is refused for another reason takes nothing from a quota.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from halldoor.core.targets.route import Route, RouteTable, Routing
from halldoor.core.teams.gate import Admission, QuotaGate
from halldoor.core.teams.team import Team, TeamTable, digest_key, join_homes, read_bearer


class RefusalReason(StrEnum):
    """Why a request is not let in; part of the answer and of the log line."""

    NO_CONFIGURATION = "no configuration yet"
    STOOD_STILL = "the entry stood still"
    NO_ROUTE = "no route"
    UNKNOWN_KEY = "key unknown"
    OLD_CONFIGURATION = "configuration may be old"
    NO_COMMON_REGION = "no region may serve both route and team"
    OVER_QUOTA = "team over its quota"


DIGEST_SHOWN = 12
"""Hexadecimal digits of a key's digest in a log: enough to compare, none to guess the key by."""

_STATUSES = {
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.STOOD_STILL: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.OLD_CONFIGURATION: 503,
    RefusalReason.NO_COMMON_REGION: 503,
    RefusalReason.OVER_QUOTA: 429,
}


class Refusal(NamedTuple):
    """A request that is not let in, and did not run.

    Attributes
    ----------
    team : str
        Whose it is, as far as that is known.
    key_digest : str
        Beginning of the digest of a key that no team holds, for operators to compare.
    quota : Admission or None
        What the quota's decision went by.
    """

    reason: RefusalReason
    team: str = ""
    key_digest: str = ""
    quota: Admission | None = None

    @property
    def status(self) -> int:
        """Return the status of the answer."""
        return _STATUSES[self.reason]


class Entrance(NamedTuple):
    """A request that is let in.

    Attributes
    ----------
    route : Route
        Its route, with the regions and the rank that hold for its team.
    team : str
        Whose it is; empty on a public route, or where there are no teams.
    """

    route: Route
    team: str


class AccessSettings(NamedTuple):
    """How old knowledge of routes and keys may be.

    Attributes
    ----------
    stale_s : float
        Age of the last contact with the store from which an unknown route or key may be a new one:
        then the request is refused as not run, and another entry may know better.
    is_strict : bool
        Whether a key must be known not to be taken away.
    revoked_s : float
        Time in which a key that was taken away must be out of use, in seconds; where `is_strict`,
        an entry whose knowledge is older refuses every key.
    """

    stale_s: float = 3.0
    is_strict: bool = False
    revoked_s: float = 5.0


class AccessTable:
    """The routes and teams of one configuration.

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
        """Check whether callers need keys."""
        return len(self._teams) > 0

    @property
    def teams(self) -> TeamTable:
        """Return the teams."""
        return self._teams

    def enter(
        self,
        host: str,
        path: str,
        credentials: bytes,
        *,
        gate: QuotaGate,
        now: float,
        age_s: float,
        entries: int,
        settings: AccessSettings,
    ) -> Entrance | Refusal:
        """Decide whether a request is let in; where it is, it counts against its team's quota.

        Parameters
        ----------
        credentials : bytes
            Its ``Authorization`` field.
        age_s : float
            Age of the last contact with the store, in seconds.
        entries : int
            Entries that share the quotas.
        """
        route = self._routes.find(host, path)
        is_stale = age_s > settings.stale_s
        if route is None:
            return Refusal(RefusalReason.OLD_CONFIGURATION if is_stale else RefusalReason.NO_ROUTE)
        if route.is_public or not self.has_teams:
            return Entrance(route, "")
        if settings.is_strict and age_s > settings.revoked_s:
            return Refusal(RefusalReason.OLD_CONFIGURATION)
        key = read_bearer(credentials)
        team = self._teams.find(key)
        if team is None:
            reason = RefusalReason.OLD_CONFIGURATION if is_stale else RefusalReason.UNKNOWN_KEY
            return Refusal(reason, key_digest=digest_key(key).hex()[:DIGEST_SHOWN] if key else "")
        effective = _apply_team(route, team)
        if effective is None:
            return Refusal(RefusalReason.NO_COMMON_REGION, team.name)
        quota = gate.admit(team.name, now, entries=entries)
        if not quota.is_admitted:
            return Refusal(RefusalReason.OVER_QUOTA, team.name, quota=quota)
        return Entrance(effective, team.name)


def _apply_team(route: Route, team: Team) -> Route | None:
    """Return a route as it holds for a team; None where no region may serve both."""
    if team.priority is None and not team.home_regions:
        return route
    homes = join_homes(route.home_regions, team.home_regions)
    if homes is None:
        return None
    priority = route.priority if team.priority is None else team.priority
    return route._replace(home_regions=homes, priority=priority)
