"""Runs a gateway until a signal stops it, and applies changed settings meanwhile."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from halldoor.core.errors import HalldoorError
from halldoor.gateway.process import Gateway
from halldoor.gateway.settings import GatewaySettings

CHECK_S = 1.0
"""Period of checking whether the settings file changed without a signal, in seconds."""


class SettingsFile:
    """File with a gateway's settings.

    Parameters
    ----------
    path : Path
        Path of the file.
    load : callable
        Reads and checks the file; raises `HalldoorError` or `OSError`.
    """

    def __init__(self, path: Path, load: Callable[[], GatewaySettings]) -> None:
        self._path = path
        self._load = load
        self._seen_at = self._read_time()

    def _read_time(self) -> int | None:
        """Return the file's modification time in ns; None while it is missing."""
        try:
            return self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return None  # It may be being replaced; the next check finds the new one.

    def has_changed(self) -> bool:
        """Check whether the file changed since the last call."""
        seen_at, self._seen_at = self._seen_at, self._read_time()
        return self._seen_at is not None and self._seen_at != seen_at

    def load(self) -> GatewaySettings:
        """Read and check the file."""
        return self._load()


async def run_until_stopped(gateway: Gateway, file: SettingsFile) -> None:
    """Run a gateway until SIGTERM or SIGINT, then stop it without cutting off a request."""
    should_stop, should_reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, should_stop.set)
    loop.add_signal_handler(signal.SIGHUP, should_reload.set)
    await gateway.start()
    watching = loop.create_task(_follow_settings(gateway, file, should_reload))
    await should_stop.wait()
    watching.cancel()
    await gateway.stop()


async def _follow_settings(
    gateway: Gateway, file: SettingsFile, should_reload: asyncio.Event
) -> None:
    """Reload the settings on SIGHUP, and when the file changes without a signal."""
    while True:
        try:
            async with asyncio.timeout(CHECK_S):
                await should_reload.wait()
        except TimeoutError:
            if not file.has_changed():
                continue
        else:
            should_reload.clear()
            file.has_changed()
        try:
            gateway.reload(file.load())
        except (HalldoorError, OSError) as exc:
            gateway.log.event(
                "process",
                "Can't reload the settings; the previous ones stay in force.",
                cause=str(exc),
            )
