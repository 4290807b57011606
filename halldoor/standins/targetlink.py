"""Network between one gateway and one target, which can be cut without affecting anything else."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from enum import StrEnum

from halldoor.core.settings import Address
from halldoor.core.targets.changes import Change, TargetSeen
from halldoor.gateway.plain import PlainCodec
from halldoor.gateway.store import StoredItem
from halldoor.standins.sample import LINK_IP

CHUNK_BYTES = 65_536
CHECK_S = 0.02
"""Period of checking whether a cut has ended, in seconds."""


class Cut(StrEnum):
    """What a cut does to open and to new connections."""

    HANG = "hang"
    """Open ones carry no data; new ones don't open, as where no packet is answered."""
    RESET = "reset"
    """Open ones are reset; new ones are refused."""
    BREAK = "break"
    """Open ones are reset; new ones open and are reset."""
    SILENCE = "silence"
    """Open ones carry no data; new ones open and carry none."""
    REFUSE_NEW = "refuse new"
    """Open ones live on; new ones are refused."""


class TargetLink:
    """TCP relay from one gateway to one target.

    Parameters
    ----------
    target : Address
        Address of the target.
    delay_s : float, optional
        Delay of bytes in each direction, in seconds.

    Attributes
    ----------
    address : Address
        Address at which the gateway finds the target.
    cut : Cut or None
        The cut in force.
    """

    def __init__(self, target: Address, *, delay_s: float = 0.0) -> None:
        self._target = target
        self._delay_s = delay_s
        self.address = Address(LINK_IP, 0)
        self.cut: Cut | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._full: list[socket.socket] = []
        self._reservation: socket.socket | None = None
        self._changing = asyncio.Lock()

    async def start(self) -> None:
        """Listen; the kernel chooses the port the first time."""
        self._server = await asyncio.start_server(self._serve, self.address.ip, self.address.port)
        self.address = Address(LINK_IP, self._server.sockets[0].getsockname()[1])
        self._end_reservation()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        await self.set_cut(None)
        await self._close_server()
        self._end_reservation()
        self._reset_all()

    async def set_cut(self, cut: Cut | None) -> None:
        """Begin a cut, or end it; connections that it held up are reset then."""
        async with self._changing:
            await self._apply_cut(cut)

    async def _apply_cut(self, cut: Cut | None) -> None:
        """Change what happens to open and to new connections."""
        had_held = self.cut in (Cut.HANG, Cut.SILENCE)
        self.cut = cut
        if had_held or cut in (Cut.RESET, Cut.BREAK):
            self._reset_all()
        for sock in self._full:
            sock.close()
        self._full = []
        if cut in (Cut.HANG, Cut.RESET, Cut.REFUSE_NEW):
            await self._close_server()
            if cut is Cut.HANG:
                self._fill_backlog()
        elif self._server is None:
            await self.start()

    async def _close_server(self) -> None:
        """Stop listening, and reserve the port; open connections live on."""
        if self._server is not None:
            self._server.close()
            self._server = None
            self._reservation = self._bind()

    def _bind(self) -> socket.socket:
        """Return a socket bound to the port, at which another one may listen all the same."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.address.ip, self.address.port))
        return sock

    def _end_reservation(self) -> None:
        """Release the port that is reserved while the link does not listen."""
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    def _fill_backlog(self) -> None:
        """Listen with a full backlog, so that the kernel ignores further connections."""
        listener = self._bind()
        listener.listen(0)
        self._full = [listener]
        for _ in range(2):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.address.ip, self.address.port))
            self._full.append(sock)

    def _reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until both directions are closed."""
        if self.cut in (Cut.RESET, Cut.BREAK):
            # With `RESET`, it was accepted just before the cut.
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target.ip, self._target.port
            )
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self._writers |= both
        if writer.transport.is_closing():
            target_writer.transport.abort()  # It was reset while it opened.
        with contextlib.suppress(asyncio.CancelledError):  # The loop ends.
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        self._writers -= both

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copy one direction of a connection until it is closed or reset."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                while self.cut in (Cut.HANG, Cut.SILENCE) and not writer.is_closing():
                    await asyncio.sleep(CHECK_S)
                if self._delay_s:
                    loop.call_later(self._delay_s, writer.write, data)
                    continue
                writer.write(data)
                await writer.drain()
        await asyncio.sleep(self._delay_s)
        with contextlib.suppress(OSError, RuntimeError):
            if reader.exception() is not None:
                writer.transport.abort()
            else:
                writer.close()


class LinkedCodec(PlainCodec):
    """Codec of a gateway that finds targets at the addresses of its own links to them.

    Parameters
    ----------
    links : dict of str to TargetLink
        Links by the target's incarnation.
    """

    def __init__(self, links: dict[str, TargetLink]) -> None:
        self._links = links

    def decode(self, item: StoredItem) -> Change | None:
        """Decode an item to a change, with the link's address in a target's record."""
        change = super().decode(item)
        if isinstance(change, TargetSeen) and change.record.incarnation in self._links:
            link = self._links[change.record.incarnation]
            return TargetSeen(change.record._replace(address=link.address))
        return change
