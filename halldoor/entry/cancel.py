"""A thread that detects callers who disconnect, so that their requests are cancelled."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from halldoor.threads import RestartingThread

STOP_CHECK_PERIOD_S = 1.0
"""Seconds between checks whether the thread must stop."""


class CallerWatcher:
    """Calls a callback when the peer of a watched socket closes it.

    Sockets can be added while the thread waits in epoll; it needn't be woken for that.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, Callable[[], None]] = {}
        self._is_stopped = False
        self._thread = RestartingThread(
            "caller-watcher", self._run, is_stopping=lambda: self._is_stopped
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread within `STOP_CHECK_PERIOD_S`."""
        self._is_stopped = True

    @contextmanager
    def watch(self, sock: socket.socket | None, on_close: Callable[[], None]) -> Iterator[None]:
        """Watch a socket during a ``with`` block; call ``on_close`` if its peer closes it."""
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
            self._unwatch(number)

    def _unwatch(self, number: int) -> None:
        """Stop watching a socket."""
        with self._lock:
            if self._watched.pop(number, None) is not None:
                with contextlib.suppress(OSError):
                    self._epoll.unregister(number)

    def _pop_if_closed(self, number: int) -> Callable[[], None] | None:
        """If a socket's peer has closed it, stop watching it and return its callback.

        The file descriptor is polled again because, since the event, its number may have been
        reused for another caller's socket.  Under the lock that can't happen: a watched socket
        is removed here before it is closed.
        """
        with self._lock:
            if number not in self._watched:
                return None
            look = select.poll()
            look.register(number, select.POLLRDHUP)
            if not look.poll(0):
                return None
            with contextlib.suppress(OSError):
                self._epoll.unregister(number)
            return self._watched.pop(number)

    def _run(self) -> None:
        """Call the callbacks of sockets whose peers have closed them."""
        while not self._is_stopped:
            for number, _ in self._epoll.poll(STOP_CHECK_PERIOD_S):
                on_close = self._pop_if_closed(number)
                if on_close is not None:
                    on_close()
