"""Run a gateway until a signal asks it to stop, and take up changed settings meanwhile."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from halldoor.core.errors import HalldoorError
from halldoor.gateway.process import Gateway
from halldoor.gateway.settings import GatewaySettings

CHECK_S = 1.0
"""Period of looking whether the settings file changed without a signal, in seconds."""


class SettingsFile:
    """The file that a gateway's settings came from.

    Parameters
    ----------
    path : Path
        The file.
    load : callable
        Reads and checks it; raises `HalldoorError` or `OSError`.
    """

    def __init__(self, path: Path, load: Callable[[], GatewaySettings]) -> None:
        self._path = path
        self._load = load
        self._seen_at = self._read_time()

    def _read_time(self) -> int | None:
        """Return the file's time of change; None while it is missing."""
        try:
            return self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return None  # It may be being replaced; the next look sees the new one.

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
    """Take the settings up on SIGHUP, and when the file changes without one."""
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
            gateway.log.event("process", "Can't reload; its settings stay.", cause=str(exc))
