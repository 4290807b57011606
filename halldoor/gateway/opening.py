"""Opens ports, and waits for addresses that are in use or not the machine's yet."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from halldoor.core.errors import SettingsError
from halldoor.core.settings import Address
from halldoor.gateway.eventlog import EventLog
from halldoor.startup import REPORT_S, RETRY_S, TRANSIENT_ERRORS, describe_problem


class PortOpener:
    """Opens ports; those that can't be opened yet are opened later, without holding up others.

    Parameters
    ----------
    log : EventLog
        Receives a line for each port that is awaited.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._waiting: dict[str, asyncio.Task[None]] = {}

    async def open(
        self,
        name: str,
        address: Address,
        open_port: Callable[[Address], Awaitable[None]],
    ) -> None:
        """Open a port now, or start to wait for it.

        Parameters
        ----------
        name, address
            The port, for the log and for errors.
        open_port : callable
            Opens it at an address; raises `OSError`.

        Raises
        ------
        SettingsError
            If it can't be opened until the settings or the rights of the process are changed.
        """
        try:
            await open_port(address)
        except OSError as exc:
            if exc.errno not in TRANSIENT_ERRORS:
                raise SettingsError(
                    f"The port {name} at {address} can't be opened: {describe_problem(exc)}.",
                    remedy="Change the address in the settings, or the rights of the process.",
                ) from exc
            self._start_waiting(name, self._wait(name, address, open_port, exc))

    def is_waiting(self, name: str) -> bool:
        """Check whether a port is awaited."""
        return name in self._waiting and not self._waiting[name].done()

    def reopen(
        self, name: str, address: Address, open_port: Callable[[Address], Awaitable[None]]
    ) -> None:
        """Open a port at another address, and no longer wait for it at the previous one."""
        if name in self._waiting:
            self._waiting[name].cancel()
        self._start_waiting(name, self._wait(name, address, open_port, None))

    def _start_waiting(self, name: str, waiting: Coroutine[Any, Any, None]) -> None:
        """Run a wait in the background."""
        self._waiting[name] = asyncio.get_running_loop().create_task(waiting)

    async def _wait(
        self,
        name: str,
        address: Address,
        open_port: Callable[[Address], Awaitable[None]],
        problem: Exception | None,
    ) -> None:
        """Retry until a port is open; at once if no problem is known."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        reported_at = float("-inf")
        is_open = False
        while not is_open:
            if problem is not None:
                if loop.time() - reported_at >= REPORT_S:
                    reported_at = loop.time()
                    self._report(name, address, problem)
                await asyncio.sleep(RETRY_S)
            try:
                await open_port(address)
            except Exception as exc:
                # Whatever it is, the wait goes on: nothing else would open the port.
                problem = exc
            else:
                is_open = True
        waited_s = round(loop.time() - begun, 1)
        self._log.event(
            "process",
            "Opened after waiting.",
            port=name,
            address=str(address),
            waited_s=waited_s,
        )

    def _report(self, name: str, address: Address, problem: Exception) -> None:
        """Log that a port is awaited."""
        self._log.event(
            "process",
            "Waits for an address.",
            port=name,
            address=str(address),
            cause=describe_problem(problem),
        )

    def close(self) -> None:
        """Stop waiting."""
        for task in self._waiting.values():
            task.cancel()
