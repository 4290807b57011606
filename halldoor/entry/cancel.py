"""A task that watches callers' connections and cancels what nobody waits for."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

CHECK_S = 1.0
"""Time after which the thread looks whether it is to stop."""


class CallerWatcher:
    """Calls back when the other side of a watched socket closes it.

    A new socket is seen by the thread that waits in epoll without waking it.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, Callable[[], None]] = {}
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="caller-watcher", daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching, within `CHECK_S`."""
        self._is_stopped = True

    @contextmanager
    def watch(self, sock: socket.socket | None, on_close: Callable[[], None]) -> Iterator[None]:
        """Watch a socket for the length of a block."""
        number = sock.fileno() if sock is not None else -1
        if number < 0:
            yield
            return
        with self._lock:
            self._watched[number] = on_close
            self._epoll.register(number, select.EPOLLRDHUP)
        try:
            yield
        finally:
            self._forget(number)

    def _forget(self, number: int) -> None:
        """Stop watching a socket."""
        with self._lock:
            if self._watched.pop(number, None) is not None:
                with contextlib.suppress(OSError):
                    self._epoll.unregister(number)

    def _take_if_closed(self, number: int) -> Callable[[], None] | None:
        """Stop watching a socket whose other side has closed; gives its callback.

        Between the event and this look the number may have gone to another caller's socket.  Under
        the lock it can't: whoever closes a watched socket forgets it first.
        """
        with self._lock:
            if number not in self._watched:
                return None
            look = select.poll()
            look.register(number, select.POLLRDHUP)
            if not look.poll(0):
                return None
            self._epoll.unregister(number)
            return self._watched.pop(number)

    def _run(self) -> None:
        """Wait for sockets that end."""
        while not self._is_stopped:
            for number, _ in self._epoll.poll(CHECK_S):
                on_close = self._take_if_closed(number)
                if on_close is not None:
                    on_close()
