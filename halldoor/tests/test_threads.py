"""An unexpected exception in a thread of an entry stops no part of it."""

import errno
import math
import socket
import time

import pytest
from returns.result import Failure

from halldoor.core.errors import PeerError, Ran, Reason
from halldoor.core.hall.health import HealthTable
from halldoor.core.hall.membership import Member, Membership
from halldoor.core.orders.claim import Claim
from halldoor.core.settings import Address
from halldoor.entry.cancel import CallerWatcher
from halldoor.entry.claims import ClaimTask
from halldoor.entry.gossip import GossipTask
from halldoor.entry.task import Task
from halldoor.standins.fleet import wait_until
from halldoor.threads import failures
from halldoor.wire.client import PeerConnection
from halldoor.wire.convert import from_thrift_refusal, to_thrift_member
from halldoor.wire.protocol import decode_reply, encode_call, idl
from halldoor.wire.server import WireServer


class Handler:
    """Handler of one connection that answers `announce`."""

    def announce(self, head, sender):
        return 7

    def close(self):
        pass


class FullTableListener:
    """Listener whose first calls of ``accept`` find the table of descriptors full."""

    def __init__(self, listener, count):
        self._listener, self._count = listener, count

    def accept(self):
        self._count -= 1
        if self._count >= 0:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()

    def __getattr__(self, name):
        return getattr(self._listener, name)


def test_full_table_of_descriptors_ends_accepting_for_good():
    server = WireServer(Address("127.0.0.1", 0), lambda sock: Handler())
    server._listener = FullTableListener(server._listener, 3)
    before = failures["wire"]
    server.start()
    try:
        connection = PeerConnection(Address("127.0.0.1", server.port))
        head = idl.Head(revision=1, data=b"", platform_version=0)
        assert connection.call("announce", timeout_s=3.0, head=head, sender="e") == 7
        assert failures["wire"] - before == 3
    finally:
        server.stop()
    server._thread.join(3.0)
    assert not server._thread.is_alive()


def test_failing_callback_ends_the_watch_of_all_callers():
    watcher, closed = CallerWatcher(), []
    watcher.start()

    def fail():
        raise AttributeError("closed meanwhile")

    for on_close in (fail, lambda: closed.append(1)):
        near, far = socket.socketpair()
        with near, watcher.watch(near, on_close):
            far.close()
            time.sleep(0.2)
    wait_until(lambda: closed == [1], what="second caller noticed", limit_s=3.0)
    watcher.stop()


class OddTask(Task[int]):
    """Task that fails for odd numbers, and once while it computes its pause."""

    def __init__(self):
        super().__init__("odd-task", period_s=0.05)
        self.handled, self._pauses = [], 0

    def get_pause_s(self):
        self._pauses += 1
        if self._pauses == 1:
            raise ZeroDivisionError
        return super().get_pause_s()

    def handle(self, messages):
        for message in messages:
            if message % 2:
                raise ValueError(message)
            self.handled.append(message)


def test_failing_task_handles_no_later_message():
    task, before = OddTask(), failures["odd-task"]
    task.start()
    for number in (1, 2):
        task.enqueue(number)
        time.sleep(0.2)
    wait_until(lambda: task.handled == [2], what="second message handled", limit_s=3.0)
    assert failures["odd-task"] - before == 2
    task.stop()


def test_failing_message_drops_the_others_of_its_batch():
    task, before = OddTask(), failures["odd-task"]
    for number in (1, 2, 3, 4):
        task.enqueue(number)
    task.start()
    wait_until(lambda: task.handled == [2, 4], what="even messages handled", limit_s=3.0)
    assert failures["odd-task"] - before == 3
    task.stop()


class FailingPlatform:
    """Key-value service whose client raises an error that is none of its own."""

    def get(self, key):
        raise ZeroDivisionError(key)


def test_claim_that_fails_unexpectedly_waits_for_its_timeout():
    claims = ClaimTask(FailingPlatform(), Claim("e1", "1"))
    claims.start()
    started = time.monotonic()
    assert isinstance(claims.request_claim("01890a5d-ac96-774b-bcce-b302099a8057"), Failure)
    assert time.monotonic() - started < 1.5
    claims.stop()


def build_member(name, **changes):
    return to_thrift_member(Member(name, "h", "i", 1, 1, 0, 1, False)._replace(**changes))


@pytest.mark.parametrize(
    "field",
    [{"name": None}, {"name": b"\xff"}, {"generation": None}, {"heartbeat": None}],
    ids=["no name", "bytes", "no generation", "no heartbeat"],
)
def test_odd_record_of_a_peer_stops_gossip(field):
    """It failed in each period from then on."""
    me = Member("e1", "h", "i", 1, 0, 0, 0, False)
    gossip = GossipTask(Membership(me), peers=None, seeds=[], period_s=0.1)
    odd = build_member("odd")
    for name, value in field.items():
        setattr(odd, name, value)
    sound = build_member("e2")
    message = idl.Gossip(sender="e2", hall="h", revision=1, members=[odd, sound])
    gossip.answer_exchange(message)
    gossip.tick()
    assert [m.name for m in gossip.list_alive()] == ["e2"]
    assert gossip.odd_items == 1


@pytest.mark.parametrize("wait_s", [math.nan, math.inf, -1.0, 1e308])
def test_odd_wait_of_a_refusal_fails_the_answer(wait_s):
    message = idl.Refusal(reason="x", ran="y", message=None, retry_after_s=wait_s, ticket=b"\xff")
    refusal = from_thrift_refusal(message)
    assert (refusal.ran, refusal.reason) == (Ran.UNKNOWN, Reason.BROKEN)
    assert 0.0 <= refusal.retry_after_s <= 3_600.0
    assert isinstance(refusal.ticket, str)


def test_empty_reply_of_a_peer_is_returned_as_a_value():
    """It raised `AttributeError` wherever its fields were read."""
    call = encode_call("exchange", 1, {"gossip": idl.Gossip()})
    reply = call[:3] + b"\x02" + call[4:]
    with pytest.raises(PeerError):
        decode_reply("exchange", 1, reply[: reply.index(b"exchange") + 12] + b"\x00")


def test_health_of_a_target_that_fails_for_hours_overflows():
    health = HealthTable()
    for second in range(5_000):
        health.add_failure("t", now=float(second))
    assert not health.is_healthy("t", 5_000.0)
