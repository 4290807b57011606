"""Ports of a gateway: callers, readiness, look-ups, metrics and other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.route import CallerLimits
from halldoor.gateway.accepting import Acceptor
from halldoor.gateway.caller import CallerConnection, Handler
from halldoor.gateway.callerrequest import ErrorReceiver
from halldoor.gateway.datagrams import DatagramPort
from halldoor.gateway.delivery import sum_undelivered
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.opening import PortOpener
from halldoor.gateway.pipeline import Pipelining
from halldoor.gateway.request import RequestHandler
from halldoor.gateway.resources import SharedResources
from halldoor.gateway.sizes import skip_confirmation
from halldoor.machine import (
    FRONT_RESERVED_SHARE,
    RESERVED_SHARE,
    find_descriptor_end,
)
from halldoor.startup import open_listener

FRONT, RELAY, DATAGRAMS = "front", "relay", "relay (UDP)"
"""Names of the port for callers and of the two for other entries."""


class ServicePort(NamedTuple):
    """A port and the handler of its requests.

    Attributes
    ----------
    name : str
        Name of the port in the settings.
    address : Address or None
        Address to listen at; None: the port is not opened.
    read_limits, confirm_limits : callable, optional
        Return the current limits on its callers, and confirm them where a request exceeds them.
    """

    name: str
    address: Address | None
    handler: Handler
    read_limits: Callable[[], CallerLimits] = CallerLimits
    confirm_limits: Callable[[], Awaitable[None]] = skip_confirmation


class FrontPort:
    """The port for callers.

    Parameters
    ----------
    address : Address
        Address to listen at, unless it is opened at another one.
    requests : RequestHandler
        Answers the callers' requests.
    connections, is_closing, pipelining, resources
        Passed to `listen`.

    Attributes
    ----------
    opened : asyncio.Event
        Set once callers can connect.
    """

    def __init__(
        self,
        address: Address,
        requests: RequestHandler,
        connections: set[CallerConnection],
        *,
        is_closing: Callable[[], bool],
        pipelining: Pipelining,
        resources: SharedResources,
    ) -> None:
        self.address = address
        self.opened = asyncio.Event()
        resources.watch(connections)
        self._server: Acceptor | None = None
        self._listen = partial(
            listen,
            handler=requests.handle,
            read_limits=requests.read_limits,
            connections=connections,
            is_closing=is_closing,
            pipelining=pipelining,
            confirm_limits=requests.confirm_limits,
            on_error=requests.record_error,
            reserved_share=FRONT_RESERVED_SHARE,
            resources=resources,
        )

    @property
    def port(self) -> int:
        """Port in use; valid once it is open."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def is_serving(self) -> bool:
        """Check whether callers can connect."""
        return self._server is not None and self._server.is_serving()

    async def open(self, address: Address) -> None:
        """Start to listen."""
        self._server = await self._listen(address.ip, address.port)
        self.opened.set()

    def close(self) -> None:
        """Stop listening; open connections live on."""
        if self._server is not None:
            self._server.close()


class ServicePorts:
    """All ports of a gateway.

    Parameters
    ----------
    front : FrontPort
        The port for callers.
    ports : sequence of ServicePort
        The other ports that accept connections.
    datagrams : DatagramPort
        Socket for messages of other entries.
    on_reachable : callable
        Called with whether other entries reach this one at its address for them.
    log : EventLog
        Receives a line for each port that is awaited.
    resources : SharedResources
        Passed to `listen`.
    """

    def __init__(
        self,
        front: FrontPort,
        ports: Sequence[ServicePort],
        *,
        datagrams: DatagramPort,
        on_reachable: Callable[[bool], None],
        log: EventLog,
        resources: SharedResources,
    ) -> None:
        self.front = front
        self._resources = resources
        self._ports = ports
        self._datagrams = datagrams
        self._on_reachable = on_reachable
        self._opener = PortOpener(log)
        self._connections: set[CallerConnection] = set()
        resources.watch(self._connections)
        self._servers: list[Acceptor] = []
        self._relay_server: Acceptor | None = None
        self._closed_relays = 0

    async def start(self) -> None:
        """Open the ports that have an address; wait in the background for those that are held.

        Raises
        ------
        SettingsError
            If a port can't be opened until the settings are changed.
        """
        await self._opener.open(FRONT, self.front.address, self.front.open)
        relay = self._datagrams.address
        if relay is not None:
            self._closed_relays = 2
            await self._opener.open(DATAGRAMS, relay, self._open_datagrams)
        for port in self._ports:
            if port.address is not None:
                await self._opener.open(port.name, port.address, partial(self._open, port))
        if self._closed_relays:
            self._on_reachable(False)

    def is_waiting(self, name: str) -> bool:
        """Check whether a port is awaited, or one of the two at the relay address."""
        is_relay = name == RELAY and self._opener.is_waiting(DATAGRAMS)
        return is_relay or self._opener.is_waiting(name)

    def move(self, name: str, address: Address) -> None:
        """Open a port that is awaited at another address."""
        if name == FRONT:
            self._opener.reopen(name, address, self.front.open)
        for port in self._ports:
            if port.name == name:
                if name == RELAY:
                    self._move_datagrams(address)
                self._opener.reopen(name, address, partial(self._open, port))

    def _move_datagrams(self, address: Address) -> None:
        """Close what is open at the relay address, and open its socket for messages at another."""
        if self._relay_server is not None:
            self._relay_server.close()
            self._servers.remove(self._relay_server)
            self._relay_server = None
        self._closed_relays = 2
        self._datagrams.close()
        self._opener.reopen(DATAGRAMS, address, self._open_datagrams)

    async def _open(self, port: ServicePort, address: Address) -> None:
        """Open a port."""
        server = await listen(
            address.ip,
            address.port,
            port.handler,
            read_limits=port.read_limits,
            confirm_limits=port.confirm_limits,
            connections=self._connections,
            resources=self._resources,
        )
        self._servers.append(server)
        if port.name == RELAY:
            self._relay_server = server
            self._count_relay()

    async def _open_datagrams(self, address: Address) -> None:
        """Open the socket for messages of other entries."""
        self._datagrams.address = address
        await self._datagrams.start()
        self._count_relay()

    def _count_relay(self) -> None:
        """Count an opened socket at the relay address, which has two."""
        self._closed_relays -= 1
        if not self._closed_relays:
            self._on_reachable(True)

    def count_undelivered(self) -> int:
        """Return the number of bytes of answers that have not arrived yet."""
        return sum_undelivered(self._connections)

    def stop_waiting(self) -> None:
        """Stop waiting for ports that are held."""
        self._opener.close()

    def close(self) -> None:
        """Close the ports; open connections live on."""
        self.stop_waiting()
        self.front.close()
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
    confirm_limits: Callable[[], Awaitable[None]] = skip_confirmation,
    on_error: ErrorReceiver = lambda *_: None,
    backlog: int = 1024,
    reserved_share: float = RESERVED_SHARE,
    resources: SharedResources | None = None,
) -> Acceptor:
    """Start to accept callers' connections; port 0 lets the kernel choose one.

    Parameters
    ----------
    reserved_share : float, optional
        Share of the process's descriptors that connections leave free.
    resources : SharedResources, optional
        Memory and descriptors that all connections share; unlimited by default.

    Raises
    ------
    OSError
        If the port can't be opened.
    """
    resources = resources or SharedResources()
    listener = open_listener(Address(ip, port), backlog=backlog)
    window = resources.build_window(find_descriptor_end(reserved_share) + backlog)
    window.prepare(listener)
    return Acceptor(
        listener,
        lambda: CallerConnection(
            handler,
            read_limits,
            connections,
            is_closing,
            pipelining,
            confirm_limits=confirm_limits,
            on_error=on_error,
            buffers=resources.buffers,
            window=window,
        ),
        backlog=backlog,
        reserved_share=reserved_share,
        spare=resources.spare_descriptors,
        has_room=resources.has_room,
    )
