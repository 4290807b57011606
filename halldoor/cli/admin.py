"""Program ``halldoor-admin``: the administration API; it is stateless and runs on any host."""

from __future__ import annotations

from pathlib import Path

import defopt

from halldoor.admin.api import serve
from halldoor.cli.loading import wait_for_settings
from halldoor.core.settings import AdminSettings
from halldoor.startup import ExitStatus, describe_problem, exit_with_error

PROGRAM = "halldoor-admin"
"""Name of the program in its messages."""


def run(settings: Path) -> None:
    """Run the administration API until SIGTERM.

    Parameters
    ----------
    settings : Path
        YAML file with the settings; docs/reference.md lists them.
    """
    try:
        fields = wait_for_settings(settings, AdminSettings, lambda s: (s.http,), program=PROGRAM)
        serve(fields.value)
    except OSError as exc:
        problem = f"{describe_problem(exc)}. Check the address in {settings}."
        exit_with_error(PROGRAM, problem, ExitStatus.SETTINGS)


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
