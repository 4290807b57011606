"""Teams and their keys: whose request it is, what is allowed to it, and where it may run."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple

BEARER = b"bearer "
"""Scheme of the field that carries a caller's key (RFC 6750, 2.1), in lower case."""


class TeamLimit(NamedTuple):
    """Requests that a team may make over all entries together: a token bucket.

    Attributes
    ----------
    rate_per_s : float
        Requests a second over time.
    burst : float
        Requests on top at once.
    """

    rate_per_s: float
    burst: float


class Team(NamedTuple):
    """A team, as operators set it.

    Attributes
    ----------
    name : str
        What targets are told in place of the key.
    key_digests : tuple of bytes
        Digests of its keys; the keys themselves are not kept.
    priority : int or None
        Takes the place of the route's rank; None leaves that.
    limit : TeamLimit or None
        None where the team may ask without bound.
    home_regions : tuple of str
        Regions that may serve it; any where empty.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    limit: TeamLimit | None = None
    home_regions: tuple[str, ...] = ()


class SharedKeyError(ValueError):
    """One key is held by two teams."""


def digest_key(key: bytes) -> bytes:
    """Digest a key.

    Keys are looked up by it, so that neither the time of a look-up nor a dump of the process tells
    anything of a key.
    """
    return sha256(key).digest()


def read_bearer(value: bytes) -> bytes:
    """Return the key in an ``Authorization`` field; empty where there is none."""
    if value[: len(BEARER)].lower() != BEARER:
        return b""
    return value[len(BEARER) :].strip()


class TeamTable:
    """Find teams by key, in a time that does not depend on how many there are.

    Parameters
    ----------
    teams : iterable of Team
        All teams of a configuration.

    Raises
    ------
    SharedKeyError
        Where two teams hold one key.
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
        return len(self.by_name)

    def find(self, key: bytes) -> Team | None:
        """Find the team that holds a key; None where none does."""
        return self._by_digest.get(digest_key(key))

    def get_limits(self) -> Mapping[str, TeamLimit]:
        """Return the limits of the teams that have one, by name."""
        return {t.name: t.limit for t in self.by_name.values() if t.limit is not None}


def join_homes(route: tuple[str, ...], team: tuple[str, ...]) -> tuple[str, ...] | None:
    """Return the regions that both a route and a team allow.

    Returns
    -------
    tuple of str or None
        Empty where neither has homes; None where both do and share none, so that no region may
        serve the request.
    """
    if not route or not team:
        return route or team
    common = tuple(region for region in route if region in team)
    return common or None
