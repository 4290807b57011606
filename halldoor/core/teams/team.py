"""Teams: their keys, limits, priorities and home regions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple

BEARER = b"bearer "
"""Scheme of the ``Authorization`` header that carries a caller's key (RFC 6750, 2.1), in lower
case."""


class TeamLimit(NamedTuple):
    """Limit on a team's requests over all entries together: a token bucket.

    Attributes
    ----------
    rate_per_s : float
        Requests per second in the long run.
    burst : float
        Requests that may come at once in addition.
    """

    rate_per_s: float
    burst: float


class Team(NamedTuple):
    """A team, as operators configure it.

    Attributes
    ----------
    name : str
        Name of the team, which is sent to targets instead of the key.
    key_digests : tuple of bytes
        Digests of its keys; the keys themselves are not kept.
    priority : int or None
        Priority of its requests, instead of the route's; None keeps the route's.
    limit : TeamLimit or None
        Limit on its requests; None for no limit.
    home_regions : tuple of str
        Regions that may serve it; empty for any region.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    limit: TeamLimit | None = None
    home_regions: tuple[str, ...] = ()


class SharedKeyError(ValueError):
    """A key that belongs to two teams of a configuration."""


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key.

    Teams are looked up by digest, so that neither the time of a look-up nor a memory dump reveals
    a key.
    """
    return sha256(key).digest()


def read_bearer(value: bytes) -> bytes:
    """Return the bearer key in the value of an ``Authorization`` header; empty if it has none."""
    if value[: len(BEARER)].lower() != BEARER:
        return b""
    return value[len(BEARER) :].strip()


class TeamTable:
    """Look-up of teams by key, in a time that does not depend on the number of teams.

    Parameters
    ----------
    teams : iterable of Team
        All teams of a configuration.

    Raises
    ------
    SharedKeyError
        If two teams have the same key.
    """

    def __init__(self, teams: Iterable[Team]) -> None:
        self.by_name: dict[str, Team] = {}
        self._by_digest: dict[bytes, Team] = {}
        for team in teams:
            self.by_name[team.name] = team
            for digest in team.key_digests:
                holder = self._by_digest.setdefault(digest, team)
                if holder.name != team.name:
                    raise SharedKeyError(f"teams {holder.name} and {team.name} hold one key")

    def __len__(self) -> int:
        """Return the number of teams."""
        return len(self.by_name)

    def find(self, key: bytes) -> Team | None:
        """Return the team that a key belongs to; None if there is none."""
        return self._by_digest.get(digest_key(key))

    def get_limits(self) -> Mapping[str, TeamLimit]:
        """Return the limits of the teams that have one, by name."""
        return {t.name: t.limit for t in self.by_name.values() if t.limit is not None}


def drop_shared_keys(teams: Iterable[Team]) -> tuple[Team, ...]:
    """Return teams without the keys that several of them hold, which belong to none."""
    teams = tuple(teams)
    holders = Counter(digest for team in teams for digest in set(team.key_digests))
    return tuple(
        team._replace(key_digests=tuple(d for d in team.key_digests if holders[d] == 1))
        for team in teams
    )


def intersect_home_regions(route: tuple[str, ...], team: tuple[str, ...]) -> tuple[str, ...] | None:
    """Return the home regions that both a route and a team allow.

    Returns
    -------
    tuple of str or None
        Empty (any region) if neither has home regions; None if both have and share none, so that
        no region may serve the request.
    """
    if not route or not team:
        return route or team
    common = tuple(region for region in route if region in team)
    return common or None
