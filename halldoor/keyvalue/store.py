"""Storage of the operators' configuration in the platform.

Changes are committed by compare-and-swap of the head, so that concurrent changes, and changes whose
answer was lost, are never lost or applied twice.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
import structlog

from halldoor.core.decoding import DecodingError
from halldoor.core.errors import ConflictError, PlatformError, SettingsError
from halldoor.core.steering.audit import (
    AuditRecord,
    Difference,
    compare,
    decode_audit,
    decode_refused,
)
from halldoor.core.steering.configuration import (
    Configuration,
    Hall,
    check_configuration,
    to_display_data,
)
from halldoor.core.steering.revision import (
    HEAD_KEY,
    PART_PREFIX,
    Head,
    decode_head,
    digest,
    encode_head,
    join_configuration,
    read_block_index,
    split_configuration,
)
from halldoor.keyvalue.base import Platform, UncertainWriteError, WriteConflictError

log = structlog.get_logger(part="store")

REFUSED_KEY = "audit/refused"
"""Key of the list of refused changes."""
MAX_REFUSED_RECORDS = 500
"""Records of refused changes that are kept."""
MAX_FORMER_ROSTERS = 8
"""Former rosters that are kept for each hall."""
READ_BACK_ATTEMPTS = 20
READ_BACK_PAUSE_S = 0.25
"""Pause between two attempts to read back a write without an answer, in seconds."""


class StoredConfiguration(NamedTuple):
    """Accepted configuration.

    Attributes
    ----------
    head : Head or None
        Head that names its parts; None before the first change.
    version : int
        The platform's version of the head's key, for compare-and-swap; 0 before the first change.
    configuration : Configuration or None
        None before the first change.
    """

    head: Head | None
    version: int
    configuration: Configuration | None

    @property
    def revision(self) -> int:
        """Revision of the configuration; 0 before the first change."""
        return self.head.revision if self.head is not None else 0


class Change(NamedTuple):
    """Identification of a change that an operator requests.

    Attributes
    ----------
    id : str
        Change id; a change that is sent again with the same id is not applied twice.
    who : str
        Name of the team whose token was used.
    verb : str
        Requested operation, such as ``apply`` or ``shift step``.
    """

    id: str
    who: str
    verb: str


class CommittedChange(NamedTuple):
    """Accepted change: its revision, and what it changed."""

    revision: int
    differences: list[Difference]


class ConfigurationStore:
    """Reads and commits configurations in the platform.

    Parameters
    ----------
    platform : Platform
        The key-value service.
    pause : callable, optional
        Sleeps a number of seconds between two attempts to read back a write.
    """

    def __init__(self, platform: Platform, *, pause: Callable[[float], None] = time.sleep) -> None:
        self._platform = platform
        self._pause = pause
        self._parts: dict[str, bytes] = {}

    def read(self) -> StoredConfiguration:
        """Read the accepted configuration from the platform."""
        value = self._platform.get(HEAD_KEY)
        if value is None:
            return StoredConfiguration(None, 0, None)
        head = _decode_head(value.data)
        try:
            configuration = join_configuration(head, self._fetch_parts(head), with_blocks=True)
        except (DecodingError, SettingsError) as exc:
            raise PlatformError(
                f"The stored configuration can't be used: {exc.message}",
                remedy="Restore the platform's keys under config/.",
            ) from exc
        return StoredConfiguration(head, value.version, configuration)

    def _fetch_parts(self, head: Head) -> dict[str, bytes]:
        """Fetch the parts that a head names, by digest; unchanged parts come from the cache."""
        self._parts = {d: self._get_part(d) for d in head.parts.values()}
        index = read_block_index(head, self._parts)
        self._parts |= {d: self._get_part(d) for d in index.values()}
        return self._parts

    def _get_part(self, wanted: str) -> bytes:
        """Return one part by its digest, from the cache or the platform."""
        if wanted in self._parts:
            return self._parts[wanted]
        value = self._platform.get(PART_PREFIX + wanted)
        if value is None or digest(value.data) != wanted:
            raise PlatformError(
                f"Part {wanted} is missing or damaged in the platform.",
                remedy="Restore the platform's keys under config/part/.",
            )
        return value.data

    def commit(
        self,
        edit: Callable[[StoredConfiguration], Configuration],
        change: Change,
        *,
        base: int | None = None,
    ) -> CommittedChange:
        """Apply an edit to the accepted configuration exactly once.

        If another change is committed first, the edit is applied again to the new configuration.

        Parameters
        ----------
        edit : callable
            Returns the new configuration, given the accepted one.
        change : Change
            Identification of the change; an accepted change with its id is not repeated.
        base : int, optional
            Revision that the operator edited; a conflict if another one is in force.

        Raises
        ------
        ConflictError
            If ``base`` isn't in force any more; the message lists the changes since.
        PlatformError
            If the platform can't be reached; the same change id may be sent again.
        """
        while True:
            stored = self.read()
            committed = self._find_committed(stored, change)
            if committed is not None:
                return committed
            if base is not None and base != stored.revision:
                raise self._build_conflict(stored, base)
            configuration = _record_former_rosters(edit(stored), stored)
            check_configuration(configuration, origin=f"change {change.id}")
            with contextlib.suppress(WriteConflictError):
                return self._write_revision(configuration, stored, change)
            # Another change was committed first, or the write was lost: read and retry.

    def _write_revision(
        self, configuration: Configuration, stored: StoredConfiguration, change: Change
    ) -> CommittedChange:
        """Write the parts of a configuration, and then the head that names them."""
        before = to_display_data(stored.configuration)
        differences = list(compare(before, to_display_data(configuration)))
        revision = stored.revision + 1
        record = AuditRecord(
            revision=revision,
            change_id=change.id,
            who=change.who,
            when=_format_now(),
            verb=change.verb,
            outcome="accepted",
            previous=stored.head.audit if stored.head else "",
            before=[f"{d.path}: {_to_json(d.before)}" for d in differences],
            after=[f"{d.path}: {_to_json(d.after)}" for d in differences],
        )
        bundle = split_configuration(configuration)
        audit = msgspec.msgpack.encode(_limit_differences(record))
        existing = set(stored.head.parts.values()) if stored.head else set()
        for name, data in {**bundle.parts, digest(audit): audit}.items():
            if name not in existing:
                self._put_part(name, data)
        head = Head(revision, change.id, bundle.names, digest(audit))
        try:
            self._platform.put(HEAD_KEY, encode_head(head), expected=stored.version)
        except UncertainWriteError:
            self._check_head_written(head)
        return CommittedChange(revision, differences)

    def _put_part(self, name: str, data: bytes) -> None:
        """Write a part under its digest; a part that exists already has the same content."""
        for _ in range(3):
            try:
                self._platform.put(PART_PREFIX + name, data, expected=0)
                return
            except WriteConflictError:
                return
            except UncertainWriteError:
                continue
        raise PlatformError(
            "A part of the configuration could not be written.",
            remedy="Send the same change again.",
        )

    def _check_head_written(self, head: Head) -> None:
        """Read the head back to check whether a write without an answer took effect.

        Raises
        ------
        WriteConflictError
            If it did not: the platform has the old head, or one of another change.
        PlatformError
            If the platform does not answer.
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                value = self._platform.get(HEAD_KEY)
                current = _decode_head(value.data) if value else None
                is_written = current is not None and self._is_in_history(current, head)
            except PlatformError:
                self._pause(READ_BACK_PAUSE_S)
                continue
            if is_written:
                return
            raise WriteConflictError("The head was not written.", remedy="Retry the change.")
        raise PlatformError(
            "It is unknown whether the change was accepted.",
            remedy="Send the same change id again once the platform answers.",
        )

    def _is_in_history(self, current: Head, wanted: Head) -> bool:
        """Check whether the change of a head is among the last changes of the current head."""
        if current.change_id == wanted.change_id:
            return True
        return any(r.change_id == wanted.change_id for r in self.list_audit(current, limit=50))

    def _find_committed(
        self, stored: StoredConfiguration, change: Change
    ) -> CommittedChange | None:
        """Return the commit of a change that was accepted already; None if it wasn't."""
        if stored.head is None:
            return None
        for record in self.list_audit(stored.head, limit=200):
            if record.change_id == change.id:
                return CommittedChange(record.revision, [])
        return None

    def _build_conflict(self, stored: StoredConfiguration, base: int) -> ConflictError:
        """Build the error that lists the changes since the operator's base revision."""
        records = []
        if stored.head is not None:
            records = [r for r in self.list_audit(stored.head, limit=20) if r.revision > base]
        what = "; ".join(
            f"revision {r.revision} by {r.who} ({r.verb}): {', '.join(r.after[:3]) or 'nothing'}"
            for r in records
        )
        return ConflictError(
            f"The change is based on revision {base}, but {stored.revision} is in force. {what}",
            remedy="Run 'halldoor plan FILE' to see your change against it, then apply again.",
        )

    def record_refused(self, change: Change, why: str) -> None:
        """Record a refused change in the platform; do nothing if it can't be reached."""
        record = AuditRecord(0, change.id, change.who, _format_now(), change.verb, why, "", [], [])
        with contextlib.suppress(PlatformError):
            for _ in range(5):
                value = self._platform.get(REFUSED_KEY)
                records = decode_refused(value.data, on_odd=_log_odd) if value else []
                kept = [*records, record][-MAX_REFUSED_RECORDS:]
                try:
                    data = msgspec.msgpack.encode(kept)
                    self._platform.put(REFUSED_KEY, data, expected=value.version if value else 0)
                    return
                except WriteConflictError:
                    continue

    def list_refused(self) -> list[AuditRecord]:
        """List the last refused changes, the newest last."""
        value = self._platform.get(REFUSED_KEY)
        return decode_refused(value.data, on_odd=_log_odd) if value else []

    def list_audit(self, head: Head, *, limit: int) -> Iterator[AuditRecord]:
        """Yield the audit records of accepted changes, the newest first, starting at a head.

        A record that can't be decoded ends them, since only it names the preceding one.
        """
        wanted = head.audit
        while wanted and limit:
            try:
                record = decode_audit(self._get_part(wanted))
            except DecodingError as exc:
                _log_odd(exc.message)
                return
            yield record
            wanted, limit = record.previous, limit - 1


def _log_odd(problem: str) -> None:
    """Log an audit record that can't be decoded and is left out."""
    log.warning("Left out an odd audit record.", error=problem[:300])


def _decode_head(data: bytes) -> Head:
    """Decode the head of the configuration; raise `PlatformError` if that fails."""
    try:
        return decode_head(data)
    except DecodingError as exc:
        raise PlatformError(
            "The head of the configuration can't be decoded.",
            remedy=f"Restore the platform's key {HEAD_KEY}.",
        ) from exc


def _record_former_rosters(
    configuration: Configuration, stored: StoredConfiguration
) -> Configuration:
    """Return the configuration with the former rosters of each hall recorded in it."""
    if stored.configuration is None:
        return configuration
    revision = stored.revision + 1
    halls = [_record_former_roster(h, stored.configuration, revision) for h in configuration.halls]
    return msgspec.structs.replace(configuration, halls=halls)


def _record_former_roster(hall: Hall, old: Configuration, revision: int) -> Hall:
    """Return the hall with its former rosters, and the revision at which its roster changed."""
    before = old.find_hall(hall.name)
    if before is None:
        return hall
    names = [e.name for e in before.entries]
    if names == [e.name for e in hall.entries]:
        return msgspec.structs.replace(
            hall,
            former_rosters=before.former_rosters,
            roster_revision=before.roster_revision,
        )
    former = [names, *before.former_rosters][:MAX_FORMER_ROSTERS]
    return msgspec.structs.replace(hall, former_rosters=former, roster_revision=revision)


def _limit_differences(record: AuditRecord, limit: int = 300) -> AuditRecord:
    """Limit the differences listed in a record; the stored parts have the complete values."""
    return msgspec.structs.replace(record, before=record.before[:limit], after=record.after[:limit])


def _to_json(value: object) -> str:
    """Format a value as JSON of limited length, for the audit trail."""
    return msgspec.json.encode(value).decode()[:500]


def _format_now() -> str:
    """Return the current UTC time in the format of the audit trail."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
