"""Connections to targets, kept for the next request."""

from __future__ import annotations

import asyncio
import math
from enum import StrEnum
from typing import NamedTuple

from halldoor.core.settings import Address
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.connection import HttpConnection

CONNECT_TIMEOUT_S = 0.3
"""Longest time for a connection to come up, in seconds: four round trips between far regions."""
USER_TIMEOUT_S = 0.7
"""Longest time that a target's host may leave bytes unacknowledged, in seconds.

Long enough for two lost packets in a row, short against a caller's deadline.
"""
IDLE_LIMIT_S = 4.0
"""Longest rest of a connection whose target names none, in seconds."""
SWEPT_LIMIT_S = 2.5
"""Time since the last sweep from which no kept connection is trusted, in seconds: one comes each
second, unless the process stood still."""
IDLE_KEPT = 8
"""Idle connections kept per target."""


class Reuse(StrEnum):
    """Whose requests may go over a connection that an earlier exchange used."""

    NONE = "none"
    REPEATABLE = "repeatable"
    ALL_BUT_UPLOADS = "all but uploads"


class ConnectionSettings(NamedTuple):
    """How connections to targets are used.

    Attributes
    ----------
    reuse : Reuse
        Uploads always open one: their body takes longer than that, and most break off in it.
    closes_all_on_silence : bool
        A kept connection whose peer stops acknowledging closes every other kept one, since what
        silenced it has often silenced them.
    """

    reuse: Reuse = Reuse.ALL_BUT_UPLOADS
    closes_all_on_silence: bool = True


class TargetPool:
    """Idle connections by target incarnation.

    Parameters
    ----------
    settings : ConnectionSettings, optional
        How they are used.
    """

    def __init__(self, settings: ConnectionSettings | None = None) -> None:
        self._settings = settings or ConnectionSettings()
        self._idle: dict[str, list[HttpConnection]] = {}
        self._swept_at = math.inf
        self.opened = 0

    def take_idle(self, incarnation: str, kind: RequestKind) -> HttpConnection | None:
        """Take a kept connection that is still sound; None where there is none for the kind."""
        if not self._allows_reuse(kind):
            return None
        now = asyncio.get_running_loop().time()
        if now - self._swept_at > SWEPT_LIMIT_S:
            # The machine was suspended, which nobody has noticed yet.
            self.close()
        idle = self._idle.get(incarnation, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    def _allows_reuse(self, kind: RequestKind) -> bool:
        """Check whether a request of a kind may take a kept connection."""
        if kind is RequestKind.REPEATABLE:
            return self._settings.reuse is not Reuse.NONE
        return kind is not RequestKind.UPLOAD and self._settings.reuse is Reuse.ALL_BUT_UPLOADS

    def note_loss(self, incarnation: str, *, is_silent: bool) -> None:
        """Record that a kept connection lost its peer: the target's others probably did too.

        Parameters
        ----------
        is_silent : bool
            The peer stopped acknowledging; then other targets' connections are suspicious.
        """
        if is_silent and self._settings.closes_all_on_silence:
            self.close()
        self.forget(incarnation)

    async def open(self, address: Address, *, timeout_s: float) -> HttpConnection:
        """Open a new connection."""
        connection = await HttpConnection.open(
            address,
            timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
            user_timeout_s=USER_TIMEOUT_S,
        )
        self.opened += 1
        return connection

    def release(self, incarnation: str, connection: HttpConnection) -> None:
        """Keep a connection if it may serve again, else close it."""
        idle = self._idle.setdefault(incarnation, [])
        if not connection.can_be_reused() or len(idle) >= IDLE_KEPT:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.mark_idle(now, idle_limit_s=IDLE_LIMIT_S)
        idle.append(connection)

    def count_idle(self) -> int:
        """Count the connections that are kept."""
        return sum(len(idle) for idle in self._idle.values())

    def forget(self, incarnation: str) -> None:
        """Close what is kept for a target that is gone."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def sweep(self) -> None:
        """Close connections that rested too long."""
        now = self._swept_at = asyncio.get_running_loop().time()
        for name, idle in list(self._idle.items()):
            for connection in idle:
                if not connection.is_usable(now):
                    connection.close()
            self._idle[name] = [c for c in idle if c.is_usable(now)]
            if not self._idle[name]:
                del self._idle[name]

    def close(self) -> None:
        """Close all."""
        for name in list(self._idle):
            self.forget(name)
