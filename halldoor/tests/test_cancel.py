"""A caller that disconnects cancels its own request, and no other caller's."""

from __future__ import annotations

import contextlib
import select
import socket
import threading

from halldoor.entry.cancel import CallerWatcher


@contextlib.contextmanager
def open_pair():
    """Open a connected pair of sockets: the entry's and its caller's."""
    own, caller = socket.socketpair()
    with own, caller:
        yield own, caller


class LateEpoll:
    """Fake epoll that reports a close event once, after the descriptor was reused."""

    def __init__(self, watcher, number):
        self.watcher, self.number = watcher, number

    def register(self, number, events):
        pass

    def unregister(self, number):
        pass

    def poll(self, limit_s):
        self.watcher.stop()
        return [(self.number, select.EPOLLRDHUP)]


class TestCallerWatcher:
    def test_caller_disconnect_calls_the_callback(self):
        watcher, is_gone = CallerWatcher(), threading.Event()
        watcher.start()
        with open_pair() as (own, caller), watcher.watch(own, is_gone.set):
            caller.close()
            assert is_gone.wait(5.0)
        watcher.stop()

    def test_reused_descriptor_does_not_cancel_a_connected_caller(self):
        """On a busy machine, a request was cancelled although its caller was still waiting.

        After the close event of one socket was read, its request finished and its descriptor
        was reused for the next caller, whose request was then cancelled instead.  Seen as a
        refusal with retry_after_s 0.0, which for reads only "The caller disconnected." has.
        """
        watcher, is_gone = CallerWatcher(), threading.Event()
        with open_pair() as (own, _):
            watcher._epoll = LateEpoll(watcher, own.fileno())
            with watcher.watch(own, is_gone.set):
                watcher._run()
        assert not is_gone.is_set()
