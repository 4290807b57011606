"""A task that watches callers' connections and cancels what nobody waits for."""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerWatcher:
    """Calls back when the other side of a watched socket closes it."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._lock = threading.Lock()
        self._watched: dict[int, Callable[[], None]] = {}
        self._wake_reader, self._wake_writer = os.pipe()
        self._poll.register(self._wake_reader, select.POLLIN)
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="caller-watcher", daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._is_stopped = True
        os.write(self._wake_writer, b"x")

    @contextmanager
    def watch(self, sock: socket.socket | None, on_close: Callable[[], None]) -> Iterator[None]:
        """Watch a socket for the length of a block."""
        number = sock.fileno() if sock is not None else -1
        if number < 0:
            yield
            return
        with self._lock:
            self._watched[number] = on_close
            self._poll.register(number, select.POLLRDHUP)
        # A poll that already waits does not see the new socket until it is woken.
        with contextlib.suppress(OSError):
            os.write(self._wake_writer, b"x")
        try:
            yield
        finally:
            with self._lock:
                if self._watched.pop(number, None) is not None:
                    self._poll.unregister(number)

    def _run(self) -> None:
        """Wait for sockets that end."""
        while not self._is_stopped:
            for number, event in self._poll.poll(1000):
                if number == self._wake_reader:
                    os.read(self._wake_reader, 4096)
                elif event & _ENDED:
                    self._report(number)

    def _report(self, number: int) -> None:
        """Call back for one socket, once."""
        with self._lock:
            on_close = self._watched.pop(number, None)
            if on_close is not None:
                self._poll.unregister(number)
        if on_close is not None:
            on_close()
