"""Runs a gateway until a signal stops it, and applies changed settings meanwhile."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from halldoor.core.errors import HalldoorError, SettingsError
from halldoor.gateway.failures import describe_cause
from halldoor.gateway.process import Gateway
from halldoor.gateway.settings import GatewaySettings
from halldoor.gateway.tasks import Part, stop_task

T = TypeVar("T")

CHECK_S = 1.0
"""Period of checking whether the settings file changed without a signal, in seconds."""
RELOAD_PAUSE_S = 0.1
"""Pause after a reload, in seconds: many signals must not keep the event loop from requests."""
EXIT_HOPELESS = 70
"""Exit status after a planned stop because of a task that can't be repaired (EX_SOFTWARE)."""


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
        except OSError:
            return None  # It may be being replaced; the next check finds the new one.

    def has_changed(self) -> bool:
        """Check whether the file changed since the last call."""
        seen_at, self._seen_at = self._seen_at, self._read_time()
        return self._seen_at is not None and self._seen_at != seen_at

    def load(self) -> GatewaySettings:
        """Read and check the file."""
        return self._load()

    def read_unchanged(self, read: Callable[[], T]) -> T:
        """Return what a function reads from the file.

        Raises
        ------
        SettingsError
            If the file changed meanwhile.
        """
        value = read()
        if self.has_changed():
            raise SettingsError(
                f"{self._path} changed while it was read.", remedy="It is read again."
            )
        return value


async def run_until_stopped(gateway: Gateway, file: SettingsFile) -> None:
    """Run a gateway until SIGTERM or SIGINT, then stop it without cutting off a request.

    Raises
    ------
    SystemExit
        With `EXIT_HOPELESS`, after such a stop, if a task can't be repaired.
    """
    should_stop, should_reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, should_stop.set)
    loop.add_signal_handler(signal.SIGHUP, should_reload.set)
    gateway.tasks.on_hopeless = should_stop.set
    if await _start(gateway, should_stop):
        gateway.tasks.start(
            Part("settings", lambda: _follow_settings(gateway, file, should_reload))
        )
        await should_stop.wait()
    await gateway.stop()
    if gateway.tasks.hopeless:
        raise SystemExit(EXIT_HOPELESS)


async def _start(gateway: Gateway, should_stop: asyncio.Event) -> bool:
    """Start a gateway; return False if a signal stops it before it has started."""
    starting = asyncio.ensure_future(gateway.start())
    signalled = asyncio.ensure_future(should_stop.wait())
    try:
        await asyncio.wait({starting, signalled}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            return True
        return False
    finally:
        signalled.cancel()
        await stop_task(starting)


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
        except Exception as exc:
            # Whatever is wrong with the file, the next one may be sound.
            is_expected = isinstance(exc, HalldoorError | OSError)
            cause = str(exc) if is_expected else describe_cause(exc)
            if gateway.reloads.is_due(cause):
                text = "Can't reload the settings; the previous ones stay in force."
                gateway.log.event("process", text, cause=cause)
        await asyncio.sleep(RELOAD_PAUSE_S)
