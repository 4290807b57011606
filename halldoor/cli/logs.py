"""Log lines of gateways from files: the part behind ``halldoor explain`` and ``report``."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from halldoor.core.errors import SettingsError
from halldoor.core.explaining.history import LogLine, parse_lines


def read_log_lines(logs: Sequence[Path]) -> Iterator[LogLine]:
    """Yield the log lines of files, in order; odd ones are left out and counted on standard error.

    Parameters
    ----------
    logs : sequence of Path
        Files with log lines, or ``-`` for standard input.

    Raises
    ------
    SettingsError
        If a file can't be read.
    """
    odd: list[str] = []
    for log in logs:
        yield from parse_lines(_read_text(log).splitlines(), on_odd=odd.append)
    if odd:
        print(f"halldoor: {len(odd)} odd log lines were left out; {odd[0]}", file=sys.stderr)


def _read_text(log: Path) -> str:
    """Return the text of a log file, or of standard input for ``-``."""
    try:
        return sys.stdin.read() if str(log) == "-" else log.read_text(errors="replace")
    except OSError as exc:
        raise SettingsError(f"{log}: {exc.strerror}.", remedy="Check the path.") from exc
