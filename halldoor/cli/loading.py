"""Start-up of the programs: reading of settings and set-up of logging."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import structlog

from halldoor.core.fields import Fields, describe_fields
from halldoor.core.settings import AdminSettings, EntrySettings
from halldoor.files import load_fields
from halldoor.logs import configure_logs
from halldoor.startup import end_on_signals, load_when_sound

S = TypeVar("S", AdminSettings, EntrySettings)

log = structlog.get_logger(part="settings")


def wait_for_settings(path: Path, kind: type[S], *, program: str) -> Fields[S]:
    """Return settings and set up logging; wait while required ones are missing or not sound."""
    end_on_signals()
    fields = load_when_sound(lambda: load_fields(path, kind), program=program)
    configure_logs(fields.value.log_format)
    if fields.unread:
        log.warning(
            "Some settings can't be read; defaults are used.",
            settings=describe_fields(fields.unread),
        )
    return fields
