"""Ports of a gateway besides that for callers: readiness, look-ups, metrics and other entries."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.accepting import Acceptor
from halldoor.gateway.caller import CallerConnection, Handler
from halldoor.gateway.delivery import sum_undelivered
from halldoor.gateway.pipeline import Pipelining

RESERVED_SHARE, FRONT_RESERVED_SHARE = 0.1, 0.25
"""Shares of the process's descriptors that connections leave free: at any port, for the store and
messages, and at that for callers also for connections to targets and for the other ports."""


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
        self._servers: list[Acceptor] = []

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
    reserved_share: float = RESERVED_SHARE,
    spare: Callable[[], int] = lambda: 0,
) -> Acceptor:
    """Start to accept callers' connections; port 0 lets the kernel choose one."""
    return Acceptor(
        socket.create_server((ip, port), backlog=backlog),
        lambda: CallerConnection(handler, read_limits, connections, is_closing, pipelining),
        backlog=backlog,
        reserved_share=reserved_share,
        spare=spare,
    )
