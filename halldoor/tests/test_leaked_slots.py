"""Requests that fail between the admission and the target, and the slots that they held."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest
from returns.result import Failure

from halldoor.entry.activity import RunningRequests
from halldoor.entry.cancel import CallerWatcher
from halldoor.entry.hall import build_borrowed_hold
from halldoor.entry.local import LocalHall
from halldoor.entry.remote import TO_TARGET
from halldoor.entry.sessions import Session, SessionComponents
from halldoor.tests.test_room import FirstBreaksClient, build_controller
from halldoor.wire.protocol import idl

TARGET = "a1-t1"


def fail(*_):
    raise RuntimeError("can't start new thread")


@contextlib.contextmanager
def open_session(controller, watcher):
    components = SessionComponents(
        **dict.fromkeys(SessionComponents._fields)
        | {
            "room": controller,
            "local": LocalHall(controller, FirstBreaksClient()),
            "watcher": watcher,
            "activity": RunningRequests(),
            "get_snapshot": lambda: controller._snapshot,
        }
    )
    one, two = socket.socketpair()
    with one, two:
        yield Session(components, one)


def build_head():
    return idl.RequestHead(
        kind=TO_TARGET,
        decision_id="d1",
        service_name="decks",
        operation="read",
        method="GET",
        path="/x",
        headers=[],
        deadline_ms=60_000,
        length=-1,
        client="",
        selector="",
    )


@pytest.mark.parametrize("is_whole", [True, False])
def test_forwarded_request_that_can_not_start_keeps_its_slot(is_whole, monkeypatch):
    """Without a free thread, or a free watch, each such request cost a slot for good."""
    controller, watcher = build_controller(targets=1), CallerWatcher()
    with open_session(controller, watcher) as session:
        if is_whole:
            watcher._epoll.close()
            with pytest.raises(ValueError, match="closed epoll"):
                session.start(build_head(), b"", True)
        else:
            monkeypatch.setattr(threading.Thread, "start", fail)
            with contextlib.suppress(RuntimeError):
                assert session.start(build_head(), b"", False).refusal is not None
    assert controller.count_slots()[TARGET].free == 1
    assert controller.count_in_flight() == 0


def test_target_that_is_removed_during_a_loan_fails_its_request():
    """The request failed with a KeyError, and counted as in flight for good."""
    controller, returned = build_controller(targets=1), []
    controller._give_back = lambda hold, rest_until: returned.append(hold)
    until = time.monotonic() + 60
    controller.admit([TARGET], until=until)
    loan = build_borrowed_hold("removed", 0, "a1-e2", 1, until)
    controller._borrow = lambda targets, until: loan
    assert isinstance(controller.admit([TARGET], until=until), Failure)
    assert returned == [loan]
    assert controller.count_in_flight() == 1
