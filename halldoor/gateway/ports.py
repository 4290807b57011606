"""Ports of a gateway besides that for callers: readiness, look-ups, metrics and other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.caller import CallerConnection, Handler
from halldoor.gateway.delivery import sum_undelivered
from halldoor.gateway.pipeline import Pipelining


class ServicePort(NamedTuple):
    """A port and the handler of its requests.

    Attributes
    ----------
    address : Address or None
        Address to listen at; None: the port is not opened.
    read_limits : callable, optional
        Returns the current limits on its callers.
    """

    address: Address | None
    handler: Handler
    read_limits: Callable[[], CallerLimits] = CallerLimits


class ServicePorts:
    """The open ports.

    Parameters
    ----------
    ports : sequence of ServicePort
        Ports to open.
    """

    def __init__(self, ports: Sequence[ServicePort]) -> None:
        self._ports = ports
        self._connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Open the ports that have an address."""
        for address, handler, read_limits in self._ports:
            if address is not None:
                server = await listen(
                    address.ip,
                    address.port,
                    handler,
                    read_limits=read_limits,
                    connections=self._connections,
                )
                self._servers.append(server)

    def count_undelivered(self) -> int:
        """Return the number of bytes of answers that have not arrived yet."""
        return sum_undelivered(self._connections)

    def close(self) -> None:
        """Close the ports; open connections live on."""
        for server in self._servers:
            server.close()


async def listen(
    ip: str,
    port: int,
    handler: Handler,
    *,
    read_limits: Callable[[], CallerLimits],
    connections: set[CallerConnection],
    is_closing: Callable[[], bool] = lambda: False,
    pipelining: Pipelining | None = None,
    backlog: int = 1024,
) -> asyncio.Server:
    """Start a server for callers' connections; port 0 lets the kernel choose one."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(handler, read_limits, connections, is_closing, pipelining),
        ip,
        port,
        backlog=backlog,
    )
