"""Permissions: a team may change its own services, an administrator everything."""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import sha256

from halldoor.core.errors import PermissionDeniedError
from halldoor.core.steering.audit import Difference
from halldoor.core.steering.configuration import Configuration, Team
from halldoor.core.steering.selector import Selector

BOOTSTRAP = Team(name="bootstrap", administrator=True)
"""The team of the bootstrap token in the settings, which is valid until a configuration holds an
administrator with a token."""


def find_team(token: str, configuration: Configuration | None, bootstrap_sha256: str) -> Team:
    """Find the team of a bearer token.

    Every known digest is compared, each in constant time, so that the time taken reveals nothing
    about a token.

    Raises
    ------
    PermissionDeniedError
        If no team has the token.
    """
    given = sha256(token.encode()).hexdigest()
    found: Team | None = None
    for team in configuration.teams if configuration else []:
        for known in team.token_sha256:
            if hmac.compare_digest(known, given):
                found = team
    if hmac.compare_digest(bootstrap_sha256 or "-", given):
        has_administrator = configuration is not None and any(
            t.administrator and t.token_sha256 for t in configuration.teams
        )
        if not has_administrator:
            found = found or BOOTSTRAP
    if found is None:
        raise PermissionDeniedError(
            "The token is not known.",
            remedy="Send 'Authorization: Bearer TOKEN' with your team's token.",
        )
    return found


def check_permission(
    team: Team,
    differences: Sequence[Difference],
    before: Configuration | None,
    after: Configuration,
) -> None:
    """Check that a team may make every difference of a change.

    Raises
    ------
    PermissionDeniedError
        For the first difference that the team may not make.
    """
    if team.administrator:
        return
    for difference in differences:
        if not _may_change(team, difference.path, before, after):
            raise PermissionDeniedError(
                f"Team {team.name} may not change {difference.path}.",
                remedy="Ask the team that owns it, or an administrator.",
            )


def _may_change(team: Team, path: str, before: Configuration | None, after: Configuration) -> bool:
    """Check whether a team may change a path: it must own it before and after the change."""
    kind, _, subpath = path.partition(".")
    versions = [c for c in (before, after) if c is not None]
    if kind == "services":
        return all(_owns_service(team, subpath, c) for c in versions)
    if kind == "shifts":
        return all(_owns_shift(team, subpath, c) for c in versions)
    if kind == "targets" and subpath.endswith(".leaving"):
        return all(_owns_target(team, subpath.removesuffix(".leaving"), c) for c in versions)
    return False


def _owns_service(team: Team, path: str, configuration: Configuration) -> bool:
    """Check whether the service at a path belongs to the team or doesn't exist."""
    owners = [s.team for s in configuration.services if _is_at_or_below(path, s.name)]
    return all(owner == team.name for owner in owners)


def _owns_shift(team: Team, path: str, configuration: Configuration) -> bool:
    """Check whether the shift at a path is for the team's service or doesn't exist."""
    services = [s.service for s in configuration.shifts if _is_at_or_below(path, s.name)]
    return all(_owns_service(team, service, configuration) for service in services)


def _owns_target(team: Team, name: str, configuration: Configuration) -> bool:
    """Check whether the team's services, and no others, select a target by default."""
    target = next((t for t in configuration.targets if t.name == name), None)
    if target is None:
        return False
    labels = configuration.list_labels(target)
    users = [
        s.team for s in configuration.services if Selector.from_text(s.selector).matches(labels)
    ]
    return bool(users) and all(user == team.name for user in users)


def _is_at_or_below(path: str, name: str) -> bool:
    """Check whether a path equals a name or lies below it; names may contain dots."""
    return path == name or path.startswith(f"{name}.")
