"""Receiving side of an accepted connection: what arrives unread, and the kernel's window for it."""

from __future__ import annotations

from halldoor.core.buffers import BufferBudget, BufferKind
from halldoor.gateway.delivery import DeliveryProtocol
from halldoor.gateway.sizes import READ_AHEAD
from halldoor.windows import ReceiveWindow


class ReceivingProtocol(DeliveryProtocol):
    """Accepted connection that counts and limits what arrives before it is read."""

    def __init__(self) -> None:
        super().__init__()
        self._window = ReceiveWindow()

    def charge(self, budget: BufferBudget) -> None:
        """Count what is buffered from now on against a budget."""
        super().charge(budget)
        self._unread_buffer = self.account.open(BufferKind.UNREAD)
        self._window_buffer = self.account.open(BufferKind.WINDOW)

    @property
    def _unread(self) -> int:
        """Number of bytes that are buffered unread."""
        return self._unread_buffer.size

    @_unread.setter
    def _unread(self, size: int) -> None:
        """Set the number of bytes that are buffered unread."""
        self._unread_buffer.set(size)

    def set_unread(self, size: int) -> None:
        """Set the number of bytes that are buffered unread, and pause reading if it is large."""
        self._unread = size
        if size > READ_AHEAD:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def _wait_for_body(self) -> None:
        """Wait for bytes of a body, which may arrive in a wide window."""
        self._window.widen(self._transport.get_extra_info("socket"), self._window_buffer)
        await self._wait_for_data()

    def _end_body(self) -> None:
        """Narrow the window after a body."""
        self._window.narrow(self._transport.get_extra_info("socket"), self._window_buffer)

    async def linger(self, *, limit_s: float) -> None:
        """Stop sending, and discard input until the peer has received what was written.

        Nothing is buffered of the input, and little of it arrives at a time.
        """
        self._window_buffer.set(0)
        if not self._has_ended():
            self._window.close(self._transport.get_extra_info("socket"))
        await super().linger(limit_s=limit_s)

    def _close_buffers(self) -> None:
        """Count nothing as buffered any longer."""
        for buffer in (self._unsent, self._unread_buffer, self._window_buffer):
            buffer.close()
