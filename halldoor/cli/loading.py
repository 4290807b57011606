"""Start-up of the programs: reading of settings and set-up of logging."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from halldoor.core.settings import AdminSettings, EntrySettings
from halldoor.files import load_settings
from halldoor.logs import configure_logs
from halldoor.startup import end_on_signals, load_when_sound

S = TypeVar("S", AdminSettings, EntrySettings)


def wait_for_settings(path: Path, kind: type[S], *, program: str) -> S:
    """Return validated settings and set up logging; wait while they are missing or not sound."""
    end_on_signals()
    settings = load_when_sound(lambda: load_settings(path, kind), program=program)
    configure_logs(settings.log_format)
    return settings
