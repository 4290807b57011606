"""Operations of the administration API, independent of HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, NamedTuple

import msgspec
import structlog
import urllib3

from halldoor.client import PoolManager
from halldoor.core.decoding import DecodingError, decode_json, decoding
from halldoor.core.errors import HalldoorError, PlatformError
from halldoor.core.steering.audit import AuditRecord, Difference, compare
from halldoor.core.steering.configuration import Configuration, EntryHost, Team, to_display_data
from halldoor.core.steering.operation import edit_drain, edit_shift
from halldoor.core.steering.permission import check_permission, find_team
from halldoor.keyvalue.store import Change, ConfigurationStore, StoredConfiguration

log = structlog.get_logger(part="admin")

STATUS_TIMEOUT_S = 1.0
"""Longest wait for the answer of one entry, in seconds."""


MAX_ANSWER_BYTES = 16_000_000
"""Longest answer of an entry that is accepted, in bytes."""
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _TargetStatus(msgspec.Struct):
    """State of a target in an entry's status."""

    leaving: bool
    in_flight: Count


class _MoveStatus(msgspec.Struct):
    """Moved requests of a service in an entry's status."""

    service: str
    cap_of: str
    total: Count
    moved: Count
    cap: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class _EntryStatus(msgspec.Struct):
    """Fields of an entry's status that the summaries use."""

    name: str
    state: str
    revision: Count = 0
    targets: dict[str, _TargetStatus] = {}
    moves: list[_MoveStatus] = []


def decode_status(data: bytes) -> dict[str, Any]:
    """Decode an entry's status, and check the fields that the summaries use.

    Raises
    ------
    DecodingError
        If it can't be decoded or passed on, or one of these fields is of another type.
    """
    status: dict[str, Any] = decode_json(data, dict, origin="a status")
    with decoding("a status"):
        msgspec.convert(status, _EntryStatus)
        msgspec.json.encode(status)
    return status


class Outcome(NamedTuple):
    """Accepted change: its revision, and its differences as text."""

    revision: int
    differences: list[str]


class Administration:
    """Checks permissions, validates and commits changes, and queries the entries.

    Parameters
    ----------
    store : ConfigurationStore
        Storage of the configuration in the platform.
    bootstrap_sha256 : str
        SHA-256 of the first administrator's token, valid until a team of administrators has one.
    """

    def __init__(self, store: ConfigurationStore, *, bootstrap_sha256: str) -> None:
        self._store = store
        self._bootstrap_sha256 = bootstrap_sha256
        self._http = PoolManager(timeout=STATUS_TIMEOUT_S)

    def find_team(self, token: str) -> Team:
        """Return the team of a token; see `halldoor.core.steering.permission.find_team`."""
        return find_team(token, self._store.read().configuration, self._bootstrap_sha256)

    def read(self) -> dict[str, Any]:
        """Return the accepted configuration and its revision, without the hashes of tokens."""
        stored = self._store.read()
        shown = to_display_data(stored.configuration)
        return {"revision": stored.revision, "configuration": shown}

    def plan(self, wanted: Configuration) -> dict[str, Any]:
        """Return the differences that applying a configuration would make."""
        stored = self._store.read()
        differences = _list_differences(stored, wanted)
        return {
            "base": stored.revision,
            "differences": [d.to_text() for d in differences],
        }

    def apply(
        self, team: Team, wanted: Configuration, *, base: int | None, change_id: str
    ) -> Outcome:
        """Commit a complete configuration that was planned against revision ``base``.

        Without a base only the first configuration is accepted: otherwise a file that was written
        before another operator's shift or drain would silently undo it.
        """
        change = Change(change_id, team.name, "apply")
        return self._commit(team, change, lambda _: wanted, base=base or 0)

    def shift(
        self, team: Team, name: str, verb: str, *, position: float | None, change_id: str
    ) -> Outcome:
        """Start, step, pause or revert a shift, a planned move of a share of a service's load."""
        change = Change(change_id, team.name, f"shift {verb} {name}")
        return self._commit(
            team,
            change,
            lambda c: edit_shift(c, name, verb, position=position),
            checked_path=f"shifts.{name}",
        )

    def drain(self, team: Team, target: str, *, is_leaving: bool, change_id: str) -> Outcome:
        """Drain a target, or undo its drain."""
        change = Change(change_id, team.name, f"{'drain' if is_leaving else 'undrain'} {target}")
        return self._commit(
            team,
            change,
            lambda c: edit_drain(c, target, is_leaving=is_leaving),
            checked_path=f"targets.{target}.leaving",
        )

    def _commit(
        self,
        team: Team,
        change: Change,
        edit: Callable[[Configuration], Configuration],
        *,
        base: int | None = None,
        checked_path: str = "",
    ) -> Outcome:
        """Commit an edit if the team has permission; record a refused edit.

        The permission for ``checked_path`` is checked even if the edit changes nothing, so that a
        team can't probe for the state of another team's objects.
        """

        def checked(stored: StoredConfiguration) -> Configuration:
            """Apply the edit, and raise if the team has no permission for its differences."""
            # Before the first configuration only `apply` gets here: the other edits raise.
            after = edit(stored.configuration or _build_empty_configuration())
            differences = _list_differences(stored, after)
            if checked_path:
                differences.append(Difference(checked_path, None, None))
            check_permission(team, differences, stored.configuration, after)
            return after

        try:
            committed = self._store.commit(checked, change, base=base)
        except HalldoorError as exc:
            if not isinstance(exc, PlatformError):
                self._store.record_refused(change, str(exc))
            log.info(
                "Refused a change of the configuration.",
                change=change.id,
                who=change.who,
                error=str(exc)[:300],
            )
            raise
        log.info(
            "Accepted a change of the configuration.",
            change=change.id,
            who=change.who,
            revision=committed.revision,
        )
        return Outcome(committed.revision, [d.to_text() for d in committed.differences])

    def list_audit(self, *, limit: int) -> list[AuditRecord]:
        """List accepted and refused changes together, the newest first."""
        stored = self._store.read()
        accepted = list(self._store.list_audit(stored.head, limit=limit)) if stored.head else []
        records = [*accepted, *self._store.list_refused()]
        return sorted(records, key=lambda r: r.when, reverse=True)[:limit]

    def get_status(self) -> dict[str, Any]:
        """Return the status of every entry, and the drains and moved requests over all entries."""
        stored = self._store.read()
        if stored.configuration is None:
            return {"revision": 0, "entries": [], "draining": [], "moves": []}
        entries = [self._fetch_status(e) for h in stored.configuration.halls for e in h.entries]
        return {
            "revision": stored.revision,
            "entries": entries,
            "draining": _summarize_drains(entries),
            "moves": _summarize_moves(entries),
        }

    def _fetch_status(self, entry: EntryHost) -> dict[str, Any]:
        """Fetch the status of one entry; an entry that doesn't answer is ``unreachable``."""
        try:
            answer = self._http.fetch(
                "GET", f"http://{entry.http}/v1/status", max_bytes=MAX_ANSWER_BYTES
            )
            return decode_status(answer.data)
        except (urllib3.exceptions.HTTPError, DecodingError) as exc:
            log.info("No status from an entry.", entry=entry.name, error=str(exc)[:200])
            return {"name": entry.name, "state": "unreachable"}

    def explain(self, query: str) -> tuple[int, bytes]:
        """Forward a query about a decision to the first entry that answers.

        Returns
        -------
        tuple of (int, bytes)
            Status and body of the entry's answer.
        """
        stored = self._store.read()
        hosts = (
            [e for h in stored.configuration.halls for e in h.entries]
            if stored.configuration
            else []
        )
        for entry in hosts:
            try:
                answer = self._http.fetch(
                    "GET", f"http://{entry.http}/v1/explain?{query}", max_bytes=MAX_ANSWER_BYTES
                )
                decode_json(answer.data, dict, origin="an explanation")
            except (urllib3.exceptions.HTTPError, DecodingError) as exc:
                log.info("No explanation from an entry.", entry=entry.name, error=str(exc)[:200])
                continue
            return answer.status, answer.data
        raise PlatformError("No entry can be reached.", remedy="Check that entries run.")


def _build_empty_configuration() -> Configuration:
    """Build an empty configuration."""
    return Configuration(regions=[], halls=[], targets=[], services=[], teams=[])


def _list_differences(stored: StoredConfiguration, wanted: Configuration) -> list[Difference]:
    """List the differences to a wanted configuration, without fields that the API itself writes."""
    found = compare(to_display_data(stored.configuration), to_display_data(wanted))
    own = ("former_rosters", "roster_revision")
    return [d for d in found if not d.path.endswith(own)]


def _summarize_drains(entries: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Summarize the requests that each draining target still runs, and for which entries."""
    drains: dict[str, dict[str, Any]] = {}
    for entry in entries:
        for name, target in entry.get("targets", {}).items():
            if target["leaving"]:
                row = drains.setdefault(name, {"target": name, "in_flight": 0, "waits_for": []})
                row["in_flight"] += target["in_flight"]
                if target["in_flight"]:
                    row["waits_for"].append(f"{entry['name']}: {target['in_flight']} request(s)")
    silent = [e["name"] for e in entries if e["state"] == "unreachable"]
    for row in drains.values():
        row["waits_for"] += [f"{name}: does not answer" for name in silent]
    return list(drains.values())


def _summarize_moves(entries: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sum the requests and moved requests of all entries, by service and cap."""
    sums: dict[tuple[str, str], dict[str, Any]] = {}
    for entry in entries:
        for move in entry.get("moves", []):
            key = (move["service"], move["cap_of"])
            empty = {"service": key[0], "cap_of": key[1], "total": 0, "moved": 0, "cap": 0.0}
            row = sums.setdefault(key, empty)
            row["total"] += move["total"]
            row["moved"] += move["moved"]
            row["cap"] = move["cap"]
    return list(sums.values())
