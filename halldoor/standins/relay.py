"""TCP relays between processes that can be cut silently, as a network can."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any

CutCheck = Callable[[str], bool]


class Relays:
    """TCP relays in one thread.

    During a cut, bytes and new connections are dropped without closing anything, so that
    both sides only notice by time-outs.  Connections affected by a cut are closed once it ends.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, listen: tuple[str, int], to: tuple[str, int], is_cut: CutCheck) -> None:
        """Relay connections from ``listen`` to ``to`` unless ``is_cut(caller's address)``."""

        async def serve(reader: Any, writer: Any) -> None:
            # Cancelled only when all relays stop.
            with contextlib.suppress(asyncio.CancelledError):
                await _relay_connection(reader, writer, to, is_cut)

        async def start() -> None:
            await asyncio.start_server(serve, *listen, limit=262_144)

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(5)

    def stop(self) -> None:
        """Stop all relays."""

        async def cancel() -> None:
            others = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()


async def _relay_connection(
    reader: Any, writer: Any, to: tuple[str, int], is_cut: CutCheck
) -> None:
    """Relay one connection in both directions."""
    source = writer.get_extra_info("peername")[0]
    try:
        if is_cut(source):
            await _wait_while_cut(source, is_cut)
            return
        remote_reader, remote_writer = await asyncio.open_connection(*to, limit=262_144)
        try:
            await asyncio.gather(
                _copy(reader, remote_writer, source, is_cut),
                _copy(remote_reader, writer, source, is_cut),
            )
        finally:
            remote_writer.close()
    except OSError:
        pass
    finally:
        writer.close()


async def _copy(reader: Any, writer: Any, source: str, is_cut: CutCheck) -> None:
    """Copy one direction of a connection; bytes read during a cut are dropped, and it closes."""
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            if is_cut(source):
                await _wait_while_cut(source, is_cut)
                break
            writer.write(data)
            await writer.drain()
    writer.close()


async def _wait_while_cut(source: str, is_cut: CutCheck) -> None:
    """Wait until the cut of a caller's address ends."""
    while is_cut(source):
        await asyncio.sleep(0.05)
