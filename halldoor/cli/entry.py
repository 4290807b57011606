"""Program ``halldoor-entry``: an entry process, one on each entry host."""

from __future__ import annotations

from pathlib import Path

import defopt

from halldoor.cli.loading import wait_for_settings
from halldoor.core.errors import HalldoorError
from halldoor.core.settings import EntrySettings
from halldoor.entry.process import EntryProcess
from halldoor.startup import ExitStatus, StopSignals, exit_with_error

PROGRAM = "halldoor-entry"
"""Name of the program in its messages."""


def run(settings: Path) -> None:
    """Run an entry until SIGTERM, which lets running requests finish before it stops.

    Parameters
    ----------
    settings : Path
        YAML file with the settings; docs/reference.md lists them.
    """
    try:
        checked, unread = wait_for_settings(
            settings, EntrySettings, lambda s: (s.wire, s.http), program=PROGRAM
        )
        process = EntryProcess.from_config(checked, unread_settings=len(unread))
    except (HalldoorError, OSError) as exc:
        exit_with_error(PROGRAM, exc, ExitStatus.SETTINGS)
    signals = StopSignals()
    process.start()
    signals.wait()
    process.stop()


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(run)


if __name__ == "__main__":
    main()
