"""An event loop whose time passes only while all wait: minutes in a second, the same each time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _NoSockets(selectors.SelectSelector):
    """A selector that never waits: the loop's clock goes on instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass for which the loop would wait."""
        if timeout is None:
            raise RuntimeError("Everything waits for ever. Let something be due.")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets, in virtual time."""

    def __init__(self) -> None:
        self._virtual = _NoSockets()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual.now

    def suspend(self, for_s: float) -> None:
        """Let the time pass as on a machine that is suspended: nothing runs meanwhile."""
        self._virtual.now += for_s


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
