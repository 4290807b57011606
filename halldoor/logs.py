"""Logging: short sentences, a fixed prefix for each part, as JSON or for people."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logs(log_format: str, *, level: int = logging.INFO) -> None:
    """Set up structlog.

    Parameters
    ----------
    log_format : str
        ``json``, or ``console`` for people.
    level : int, optional
        Least level that is written.
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
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def _add_prefix(
    logger: object, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Put the part's name before the sentence."""
    part = event.pop("part", "halldoor")
    event["event"] = f"{part}: {event['event']}"
    return event
