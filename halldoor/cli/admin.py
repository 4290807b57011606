"""Program ``halldoor-admin``: the administration API; it is stateless and runs on any host."""

from __future__ import annotations

import sys
from pathlib import Path

import defopt

from halldoor.admin.api import serve
from halldoor.cli.loading import load_or_exit
from halldoor.core.settings import AdminSettings


def run(settings: Path) -> None:
    """Run the administration API until SIGTERM.

    Parameters
    ----------
    settings : Path
        YAML file with the settings; docs/reference.md lists them.
    """
    checked = load_or_exit(settings, AdminSettings, program="halldoor-admin")
    try:
        serve(checked)
    except OSError as exc:
        sys.exit(f"halldoor-admin: {exc}. Check the address in {settings}.")


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
