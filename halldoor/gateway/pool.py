"""Pool of idle connections to targets for reuse by later requests."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.clock import RunMeter
from halldoor.gateway.connection import HttpConnection, NoDescriptorError
from halldoor.machine import RESERVED_SHARE, find_descriptor_end

CONNECT_TIMEOUT_S = 0.3
"""Connect timeout, in seconds: four round trips between far regions."""
USER_TIMEOUT_S = 0.7
"""Longest time that a target's host may leave bytes unacknowledged, in seconds.

Long enough for two consecutive lost packets, short compared with a caller's deadline.
"""
IDLE_LIMIT_S = 4.0
"""Greatest idle time of a connection whose target announces none, in seconds."""
MAX_SWEEP_AGE_S = 2.5
"""Time without running since the last sweep after which all idle connections are closed, in
seconds: sweeps run every second unless the process was suspended."""
MAX_IDLE_PER_TARGET = 8
"""Greatest number of idle connections per target."""


class Reuse(StrEnum):
    """Kinds of request that may use a kept connection."""

    NONE = "none"
    REPEATABLE = "repeatable"
    ALL_BUT_UPLOADS = "all but uploads"


class ConnectionSettings(NamedTuple):
    """Settings for the use of connections to targets.

    Attributes
    ----------
    reuse : Reuse
        Kinds of request that may use a kept connection. Uploads always open a new one: sending
        their body takes longer than that, and most broken uploads break while sending it.
    closes_all_on_silence : bool
        Whether all idle connections close when the peer of one stops acknowledging bytes, since
        the same network fault has often cut the others too.
    """

    reuse: Reuse = Reuse.ALL_BUT_UPLOADS
    closes_all_on_silence: bool = True


class TargetPool:
    """Pool of idle connections by target incarnation.

    Parameters
    ----------
    settings : ConnectionSettings, optional
        Rules for reuse.
    local_ip : str, optional
        IP address to connect from; empty: the kernel chooses it.

    Attributes
    ----------
    opened : int
        Number of connections opened since the start.
    descriptor_end : float or None
        Number from which descriptors are reserved for other uses; None until the first connection.
    """

    def __init__(self, settings: ConnectionSettings | None = None, *, local_ip: str = "") -> None:
        self.local_ip = local_ip
        self._settings = settings or ConnectionSettings()
        self._idle: dict[str, list[HttpConnection]] = {}
        self._since_sweep = RunMeter()
        self.opened = 0
        self.descriptor_end: float | None = None

    def take_idle(self, incarnation: str, kind: RequestKind) -> HttpConnection | None:
        """Remove and return a usable idle connection; None if there is none for the kind."""
        if not self._allows_reuse(kind):
            return None
        now = asyncio.get_running_loop().time()
        if self._since_sweep.was_suspended(now, limit_s=MAX_SWEEP_AGE_S):
            # The host was suspended, and the check for suspensions has not run yet.
            self.close()
        idle = self._idle.get(incarnation, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    def has_answered_since(self, incarnation: str, kind: RequestKind, at: float) -> bool:
        """Check whether `take_idle` would return a connection that was answered after a time."""
        idle = self._idle.get(incarnation)
        if not idle or not self._allows_reuse(kind):
            return False
        now = asyncio.get_running_loop().time()
        return idle[-1].is_usable(now) and idle[-1].idle_since > at

    def _allows_reuse(self, kind: RequestKind) -> bool:
        """Check whether a request of this kind may use a kept connection."""
        if kind.is_repeatable:
            return self._settings.reuse is not Reuse.NONE
        return kind is not RequestKind.UPLOAD and self._settings.reuse is Reuse.ALL_BUT_UPLOADS

    def close_after_loss(self, incarnation: str, *, is_unacknowledged: bool) -> None:
        """Close the target's idle connections after one of them lost its peer.

        Parameters
        ----------
        is_unacknowledged : bool
            Whether the peer stopped acknowledging bytes; then all other targets' idle connections
            are closed too if `closes_all_on_silence` is set.
        """
        if is_unacknowledged and self._settings.closes_all_on_silence:
            self.close()
        self.close_target(incarnation)

    async def open(self, address: Address, *, timeout_s: float) -> HttpConnection:
        """Open a new connection to a target; idle ones give way where descriptors are scarce.

        Raises
        ------
        ConnectionFailedError
            If it could not be opened.
        NoDescriptorError
            If only the reserve of descriptors for other uses is left.
        """
        connection = await HttpConnection.open(
            address,
            timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
            user_timeout_s=USER_TIMEOUT_S,
            local_ip=self.local_ip,
        )
        self.opened += 1
        if self.descriptor_end is None:
            self.descriptor_end = find_descriptor_end(RESERVED_SHARE)
        if connection.descriptor >= self.descriptor_end and not self.spare():
            connection.close()
            raise NoDescriptorError
        return connection

    def release(self, incarnation: str, connection: HttpConnection) -> None:
        """Return a connection to the pool if it is reusable, else close it."""
        idle = self._idle.setdefault(incarnation, [])
        if not connection.can_be_reused() or len(idle) >= MAX_IDLE_PER_TARGET:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.mark_idle(now, idle_limit_s=IDLE_LIMIT_S)
        idle.append(connection)

    def count_idle(self) -> int:
        """Return the number of idle connections to all targets."""
        return sum(len(idle) for idle in self._idle.values())

    def spare(self) -> int:
        """Close all idle connections, and return their number."""
        count = self.count_idle()
        self.close()
        return count

    def close_target(self, incarnation: str) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def sweep(self) -> None:
        """Close idle connections that passed their idle limit or broke."""
        now = asyncio.get_running_loop().time()
        self._since_sweep.mark(now)
        for name, idle in list(self._idle.items()):
            for connection in idle:
                if not connection.is_usable(now):
                    connection.close()
            self._idle[name] = [c for c in idle if c.is_usable(now)]
            if not self._idle[name]:
                del self._idle[name]

    def close(self) -> None:
        """Close all idle connections."""
        for name in list(self._idle):
            self.close_target(name)
