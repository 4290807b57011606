"""The operators' configuration in the platform: read, compare, commit by compare-and-swap."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from halldoor.core.errors import ConflictError, PlatformError
from halldoor.core.steering.audit import AuditRecord, Difference, compare
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
    digest,
    join_configuration,
    read_block_index,
    split_configuration,
)
from halldoor.keyvalue.base import Platform, UncertainWriteError, WriteConflictError

REFUSED_KEY = "audit/refused"
REFUSED_KEPT = 500
FORMER_ROSTERS = 8
READ_BACK_TRIES = 20
READ_BACK_PAUSE_S = 0.25


class Stored(NamedTuple):
    """The configuration that is accepted, with where it stands."""

    head: Head | None
    version: int
    configuration: Configuration | None

    @property
    def revision(self) -> int:
        """Its revision; 0 before the first."""
        return self.head.revision if self.head is not None else 0


class Change(NamedTuple):
    """A change that an operator wants.

    Attributes
    ----------
    id : str
        Change id; sending the same one again never applies it twice.
    who : str
        Team whose token was used.
    verb : str
        What was asked, such as ``apply`` or ``shift step``.
    """

    id: str
    who: str
    verb: str


class Committed(NamedTuple):
    """An accepted change."""

    revision: int
    differences: list[Difference]


class ConfigurationStore:
    """Reads and commits configurations.

    Parameters
    ----------
    platform : Platform
        The key-value service.
    pause : callable, optional
        Waits between two tries to read back a lost answer.
    """

    def __init__(self, platform: Platform, *, pause: Callable[[float], None] = time.sleep) -> None:
        self._platform = platform
        self._pause = pause
        self._parts: dict[str, bytes] = {}

    def read(self) -> Stored:
        """Read what is accepted now."""
        value = self._platform.get(HEAD_KEY)
        if value is None:
            return Stored(None, 0, None)
        head = _decode_head(value.data)
        configuration = join_configuration(head, self._fetch(head), with_blocks=True)
        return Stored(head, value.version, configuration)

    def _fetch(self, head: Head) -> dict[str, bytes]:
        """Fetch the parts of a head; unchanged ones are kept from before."""
        self._parts = {d: self._get_part(d) for d in head.parts.values()}
        index = read_block_index(head, self._parts)
        self._parts |= {d: self._get_part(d) for d in index.values()}
        return self._parts

    def _get_part(self, wanted: str) -> bytes:
        """Get one part by digest."""
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
        self, edit: Callable[[Stored], Configuration], change: Change, *, base: int | None = None
    ) -> Committed:
        """Apply an edit to what is accepted, once.

        Parameters
        ----------
        edit : callable
            Gives the new configuration from the accepted one.
        change : Change
            Who wants what.
        base : int, optional
            Revision that the operator looked at; another one in force is a conflict.

        Raises
        ------
        ConflictError
            Where another change came first; says what it changed.
        PlatformError
            Where the platform can't be reached; the same change id may be sent again.
        """
        while True:
            stored = self.read()
            done = self._find_done(stored, change)
            if done is not None:
                return done
            if base is not None and base != stored.revision:
                raise self._build_conflict(stored, base)
            configuration = _note_rosters(edit(stored), stored)
            check_configuration(configuration, origin=f"change {change.id}")
            with contextlib.suppress(WriteConflictError):
                return self._write(configuration, stored, change)
            # Another's change came first, or the write was lost on the way: look again.

    def _write(self, configuration: Configuration, stored: Stored, change: Change) -> Committed:
        """Write the parts and then the head that names them."""
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
        audit = msgspec.msgpack.encode(_shorten(record))
        known = set(stored.head.parts.values()) if stored.head else set()
        for name, data in {**bundle.parts, digest(audit): audit}.items():
            if name not in known:
                self._put_part(name, data)
        head = Head(revision, change.id, bundle.names, digest(audit))
        try:
            self._platform.put(HEAD_KEY, msgspec.msgpack.encode(head), expected=stored.version)
        except UncertainWriteError:
            self._read_back(head)
        return Committed(revision, differences)

    def _put_part(self, name: str, data: bytes) -> None:
        """Write a part; one that is there already is the same, since digests name parts."""
        for _ in range(3):
            try:
                self._platform.put(PART_PREFIX + name, data, expected=0)
                return
            except WriteConflictError:
                return
            except UncertainWriteError:
                continue
        raise PlatformError("A part could not be written.", remedy="Send the same change again.")

    def _read_back(self, head: Head) -> None:
        """Find out what became of a head whose write got no answer.

        Raises
        ------
        WriteConflictError
            Where it did not take effect: the old head is still there, or another's.
        """
        for _ in range(READ_BACK_TRIES):
            try:
                value = self._platform.get(HEAD_KEY)
                current = _decode_head(value.data) if value else None
                is_done = current is not None and self._has_change(current, head)
            except PlatformError:
                self._pause(READ_BACK_PAUSE_S)
                continue
            if is_done:
                return
            raise WriteConflictError("The head was not written.", remedy="Try again.")
        raise PlatformError(
            "It is not known whether the change was accepted.",
            remedy="Send the same change id again once the platform answers.",
        )

    def _has_change(self, current: Head, wanted: Head) -> bool:
        """Check whether a change is in the history of a head."""
        if current.change_id == wanted.change_id:
            return True
        return any(r.change_id == wanted.change_id for r in self.list_audit(current, limit=50))

    def _find_done(self, stored: Stored, change: Change) -> Committed | None:
        """Find a change that was accepted already, by its id."""
        if stored.head is None:
            return None
        for record in self.list_audit(stored.head, limit=200):
            if record.change_id == change.id:
                return Committed(record.revision, [])
        return None

    def _build_conflict(self, stored: Stored, base: int) -> ConflictError:
        """Return what others changed since the operator looked."""
        records = []
        if stored.head is not None:
            records = [r for r in self.list_audit(stored.head, limit=20) if r.revision > base]
        what = "; ".join(
            f"revision {r.revision} by {r.who} ({r.verb}): {', '.join(r.after[:3]) or 'nothing'}"
            for r in records
        )
        return ConflictError(
            f"You looked at revision {base}, but {stored.revision} is in force. {what}",
            remedy="Run 'halldoor plan FILE' to see your change against it, then apply again.",
        )

    def record_refused(self, change: Change, why: str) -> None:
        """Record a refused change, as far as the platform can be reached."""
        record = AuditRecord(0, change.id, change.who, _format_now(), change.verb, why, "", [], [])
        with contextlib.suppress(PlatformError):
            for _ in range(5):
                value = self._platform.get(REFUSED_KEY)
                records = _decode_refused(value.data) if value else []
                kept = [*records, record][-REFUSED_KEPT:]
                try:
                    data = msgspec.msgpack.encode(kept)
                    self._platform.put(REFUSED_KEY, data, expected=value.version if value else 0)
                    return
                except WriteConflictError:
                    continue

    def list_refused(self) -> list[AuditRecord]:
        """List the refused changes that are kept."""
        value = self._platform.get(REFUSED_KEY)
        return _decode_refused(value.data) if value else []

    def list_audit(self, head: Head, *, limit: int) -> Iterator[AuditRecord]:
        """List the audit trail from a head backwards."""
        wanted = head.audit
        while wanted and limit:
            record = msgspec.msgpack.decode(self._get_part(wanted), type=AuditRecord)
            yield record
            wanted, limit = record.previous, limit - 1


def _decode_refused(data: bytes) -> list[AuditRecord]:
    """Read the refused changes."""
    return msgspec.msgpack.decode(data, type=list[AuditRecord])


def _decode_head(data: bytes) -> Head:
    """Read a head."""
    try:
        return msgspec.msgpack.decode(data, type=Head)
    except msgspec.MsgspecError as exc:
        raise PlatformError(
            "The head of the configuration can't be read.",
            remedy=f"Restore the platform's key {HEAD_KEY}.",
        ) from exc


def _note_rosters(configuration: Configuration, stored: Stored) -> Configuration:
    """Write into each hall whose roster changes who was in it before."""
    if stored.configuration is None:
        return configuration
    revision = stored.revision + 1
    halls = [_note_roster(h, stored.configuration, revision) for h in configuration.halls]
    return msgspec.structs.replace(configuration, halls=halls)


def _note_roster(hall: Hall, old: Configuration, revision: int) -> Hall:
    """Write the former roster into a hall, where it changes."""
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
    former = [names, *before.former_rosters][:FORMER_ROSTERS]
    return msgspec.structs.replace(hall, former_rosters=former, roster_revision=revision)


def _shorten(record: AuditRecord, limit: int = 300) -> AuditRecord:
    """Bound the size of a record; the parts themselves keep the rest."""
    return msgspec.structs.replace(record, before=record.before[:limit], after=record.after[:limit])


def _to_json(value: object) -> str:
    """Write a value for the audit trail, at a bounded length."""
    return msgspec.json.encode(value).decode()[:500]


def _format_now() -> str:
    """Format the wall clock for the audit trail."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
