"""Start-up of the programs: reading of settings and set-up of logging."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TypeVar

from halldoor.core.errors import HalldoorError
from halldoor.core.settings import AdminSettings, EntrySettings
from halldoor.files import load_settings
from halldoor.logs import configure_logs

S = TypeVar("S", AdminSettings, EntrySettings)


def load_or_exit(path: Path, kind: type[S], *, program: str) -> S:
    """Return validated settings and set up logging; exit with a message if they are invalid."""
    try:
        settings = load_settings(path, kind)
    except HalldoorError as exc:
        sys.exit(f"{program}: {exc}")
    configure_logs(settings.log_format)
    return settings
