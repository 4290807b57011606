"""Start-up of the programs: reading of settings and set-up of logging."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Generic, TypeVar

import structlog

from halldoor.core.fields import Fields, describe_fields
from halldoor.core.settings import Address, AdminSettings, EntrySettings
from halldoor.files import load_fields
from halldoor.logs import configure_logs
from halldoor.startup import (
    end_on_signals,
    load_when_sound,
    open_standard_streams,
    wait_for_ports,
)

S = TypeVar("S", AdminSettings, EntrySettings)

log = structlog.get_logger(part="settings")


def wait_for_settings(
    path: Path, kind: type[S], list_addresses: Callable[[S], Iterable[Address]], *, program: str
) -> Fields[S]:
    """Return settings whose ports can be opened, and set up logging.

    Waits while required settings are missing or not sound, or a port is held; both are read from
    the file as it is then.

    Raises
    ------
    OSError
        If a port can't be opened until the settings are changed.
    """
    end_on_signals()
    open_standard_streams()
    settings = _WatchedSettings(path, kind, program)
    wait_for_ports(lambda: list_addresses(settings.read().value), program=program)
    fields = settings.read()
    configure_logs(fields.value.log_format)
    if fields.unread:
        log.warning(
            "Some settings can't be read; defaults are used.",
            settings=describe_fields(fields.unread),
        )
    return fields


class _WatchedSettings(Generic[S]):
    """Settings of a starting program, read again when the file was changed."""

    def __init__(self, path: Path, kind: type[S], program: str) -> None:
        self._path = path
        self._kind: type[S] = kind
        self._program = program
        self._read_at: int | None = None
        self._fields: Fields[S] | None = None

    def read(self) -> Fields[S]:
        """Return the settings; wait while they are not sound."""
        changed_at = self._read_time()
        if self._fields is None or changed_at != self._read_at:
            self._read_at = changed_at
            self._fields = load_when_sound(
                lambda: load_fields(self._path, self._kind), program=self._program
            )
        return self._fields

    def _read_time(self) -> int | None:
        """Return the file's modification time in ns; None while it is missing."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return None
