"""Run a gateway until a signal asks it to stop."""

from __future__ import annotations

import asyncio
import signal

from halldoor.gateway.process import Gateway


async def run_until_stopped(gateway: Gateway) -> None:
    """Run a gateway until SIGTERM or SIGINT, then stop it without cutting off a request."""
    should_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, should_stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload, gateway)
    await gateway.start()
    await should_stop.wait()
    await gateway.stop()


def _note_reload(gateway: Gateway) -> None:
    """Log a request to reload; what may change comes from the store, which is watched."""
    gateway.logbook.event("process", "Asked to reload; records are watched anyway.")
