"""``halldoor-admin``: the administration API, stateless, on any host."""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from halldoor.admin.api import serve
from halldoor.core.errors import HalldoorError
from halldoor.core.settings import AdminSettings
from halldoor.files import load_settings
from halldoor.logs import configure_logs


def run(settings: Path) -> None:
    """Run the administration API until SIGTERM.

    Parameters
    ----------
    settings : Path
        YAML file with the settings; docs/reference.md lists them.
    """
    try:
        checked = load_settings(settings, AdminSettings)
        configure_logs(checked.log_format)
        serve(checked)
    except (HalldoorError, OSError) as exc:
        sys.exit(f"halldoor-admin: {exc}")


def main() -> None:
    """Start the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
