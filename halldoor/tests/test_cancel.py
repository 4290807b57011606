"""A caller that goes away ends its own request, and no other's."""

from __future__ import annotations

import contextlib
import select
import socket
import threading

from halldoor.entry.cancel import CallerWatcher


@contextlib.contextmanager
def open_pair():
    """Open an entry's socket and its caller's."""
    own, caller = socket.socketpair()
    with own, caller:
        yield own, caller


class LateEvents:
    """Tells once that a socket closed: by then its number is another caller's."""

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
    def test_a_caller_that_goes_away_is_noticed(self):
        watcher, is_gone = CallerWatcher(), threading.Event()
        watcher.start()
        with open_pair() as (own, caller), watcher.watch(own, is_gone.set):
            caller.close()
            assert is_gone.wait(5.0)
        watcher.stop()

    def test_one_that_stays_is_not_taken_for_the_one_that_had_its_number(self):
        """An entry told a caller who was waiting that the caller went away, on a busy machine.

        The event of a closed socket was read, and before it was handled that request ended and
        its socket's number went to the next caller, whose request was cancelled for it.

            retry_after_s 0.0, which of all refusals of a read only "The caller went away." has
        """
        watcher, is_gone = CallerWatcher(), threading.Event()
        with open_pair() as (own, _):
            watcher._epoll = LateEvents(watcher, own.fileno())
            with watcher.watch(own, is_gone.set):
                watcher._run()
        assert not is_gone.is_set()
