"""Set-up of structured logging; each message has the name of its part as a prefix."""

from __future__ import annotations

import atexit
import logging
from typing import TextIO, cast

import structlog

from halldoor.lines import LineWriter


def configure_logs(log_format: str, *, level: int = logging.INFO) -> None:
    """Set up structlog to write to standard error.

    Parameters
    ----------
    log_format : str
        ``json``, or ``console`` for readable lines.
    level : int, optional
        Lowest level that is written.
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=cast("TextIO", _StandardError())),
        cache_logger_on_first_use=True,
    )


class _StandardError:
    """Standard error as the file of a logger, which never waits and never fails."""

    def __init__(self) -> None:
        self._writer = LineWriter(2)
        atexit.register(self._writer.close)

    def write(self, text: str) -> None:
        """Queue a line."""
        self._writer.put(text.encode(errors="replace"))

    def flush(self) -> None:
        """Do nothing: the thread writes lines at once."""


def _add_prefix(
    logger: object, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Prefix the message with the name of the part that logs it."""
    part = event.pop("part", "halldoor")
    event["event"] = f"{part}: {event['event']}"
    return event
