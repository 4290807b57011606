"""Tests of rests: the back-offs that targets request from entries with ``Retry-After``."""

from __future__ import annotations

import asyncio
import math

import pytest

from halldoor.core.targets.rests import BACKOFF_MAX_S, BackoffTable, parse_backoff
from halldoor.core.targets.statement import TargetStatement
from halldoor.core.teams.admission import RefusalReason
from halldoor.tests.ratekit import RateFleet

REST_S = 3.0
GRACE_S = 0.5
"""Time within which requests already sent may still arrive, in seconds."""
MOST_IN_REST = 2
"""Greatest number of requests of one entry that may reach a target within a back-off."""


def reject_with_retry_after(targets, text):
    """Make targets reject every request with a ``Retry-After`` value."""
    for target in targets:
        target.rejection = [(b"Retry-After", text)]


def stop_rejecting(targets):
    """Make targets answer requests normally again."""
    for target in targets:
        target.rejection = None


def find_greatest_count_in_rest(target, rest_s=REST_S):
    """Return the greatest number of requests of one entry within a back-off requested from it."""
    return max(
        (
            sum(entry == e and at + GRACE_S < t < at + rest_s for t, e in target.arrivals)
            for at, entry in target.rejected
        ),
        default=0,
    )


def find_known_at(fleet, entry):
    """Return the time by which an entry has read that each target requests a back-off.

    A caller has then the answer to a request that it sent after the last target's first rejection.
    """
    firsts = (
        min((at for at, e in target.rejected if e == entry), default=math.inf)
        for target in fleet.targets
    )
    last = max(firsts)
    return min(
        (r.at for r in fleet.refusals if r.entry == entry and r.sent_at > last), default=math.inf
    )


def list_refused_for_rest(fleet):
    """List the refusals by entries that knew that all targets requested a back-off.

    Those of an entry that has just stood still say nothing of targets.
    """
    known_at = {entry: find_known_at(fleet, entry) for entry in {r.entry for r in fleet.refusals}}
    return [
        r
        for r in fleet.refusals
        if r.sent_at >= known_at[r.entry] and RefusalReason.STOOD_STILL.value not in r.reason
    ]


@pytest.mark.parametrize("entries", [6, 10])
def test_target_receives_almost_no_requests_within_its_requested_rest(entries):
    """The other targets have free slots, so nearly all requests are served."""

    async def check():
        async with RateFleet.open(entries=entries, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=200.0, for_s=8.0))
            await asyncio.sleep(1.0)
            resting = fleet.targets[:2]
            since = fleet.now()
            reject_with_retry_after(resting, b"3")
            await asyncio.sleep(5.0)
            stop_rejecting(resting)
            await asking
            assert all(target.rejected for target in resting)
            assert max(map(find_greatest_count_in_rest, resting)) <= MOST_IN_REST
            assert fleet.find_served(range(entries), since=since) > 0.98

    asyncio.run(check())


@pytest.mark.parametrize("per_s", [25.0, 200.0])
def test_retry_after_covers_the_rest_when_all_targets_request_one(per_s):
    """No ``Retry-After`` ends before the first target accepts requests again.

    An entry knows that from the moment at which each target has rejected one of its requests, which
    takes it about ten requests, so at a low rate it knows late.
    """

    async def check():
        async with RateFleet.open(entries=6, targets=8) as fleet:
            asking = asyncio.ensure_future(fleet.send_requests(per_s=per_s, for_s=7.0))
            await asyncio.sleep(1.0)
            begin = fleet.now()
            reject_with_retry_after(fleet.targets, b"3")
            await asyncio.sleep(1.5)
            since = fleet.now()
            await asyncio.sleep(1.0)
            stop_rejecting(fleet.targets)
            until = fleet.now()
            await asking
            await fleet.finish_requests()
            refused = [r for r in fleet.refusals if since < r.sent_at < until]
            assert len(refused) == sum(since < at < until for at in fleet.sent) > 0.1 * per_s
            judged = [r for r in list_refused_for_rest(fleet) if r.sent_at < until]
            assert len(judged) > 0.1 * per_s
            for refusal in judged:
                assert refusal.at + refusal.retry_after_s >= begin + REST_S, refusal
            assert max(map(find_greatest_count_in_rest, fleet.targets)) <= MOST_IN_REST

    asyncio.run(check())


@pytest.mark.parametrize("text", [b"-3", b"nan", b"inf", b"soon", b"3, 4", b"", b"\xff"])
def test_unreadable_rest_is_counted(text):
    async def check():
        async with RateFleet.open(entries=1, targets=1) as fleet:
            reject_with_retry_after(fleet.targets, text)
            await fleet.send_requests(per_s=40.0, for_s=0.5)
            stop_rejecting(fleet.targets)
            await asyncio.sleep(0.2)
            assert (await fleet.kits[0].call()).status == 200
            metrics = fleet.kits[0].gateway.metrics.render().decode()
            assert ("halldoor_bad_statements{" in metrics) is bool(text)

    asyncio.run(check())


class TestReading:
    WALL_S = 1_445_412_420.0  # Wed, 21 Oct 2015 07:27:00 GMT, the time of parsing.

    @pytest.mark.parametrize(
        ("value", "rest_s"),
        [
            (b"3", 3.0),
            (b"0", 0.0),
            (b"0.25", 0.25),
            (b"1e12", 1e12),
            (b"1\n9", 9.0),
            (b"Wed, 21 Oct 2015 07:28:00 GMT", 60.0),
            (b"Wed, 21 Oct 2015 07:00:00 GMT", 0.0),
        ],
    )
    def test_retry_after_is_parsed_as_seconds_or_date(self, value, rest_s):
        assert parse_backoff(value, self.WALL_S) == rest_s

    def test_repeated_fields_are_one_value(self):
        headers = [(b"Retry-After", b"1"), (b"X", b"y"), (b"retry-after", b"9")]
        statement = TargetStatement.from_answer(503, headers, {b"retry-after": "retry_after"})
        assert parse_backoff(statement.retry_after, self.WALL_S) == 9.0


class TestTable:
    """Tests of `BackoffTable` with one target and explicit times."""

    START = ("t1", 0)

    def send_when_allowed(self, table, times, *, is_sound, rest_s=0.0):
        """Return the times at which a request was allowed; each is answered before the next."""
        sent = []
        for now in times:
            if table.can_send(self.START, now, in_flight=0):
                table.record_sent(self.START, now)
                sent.append(now)
                if is_sound:
                    table.add_success(self.START, now)
                else:
                    table.add(self.START, rest_s, now)
        return sent

    def test_no_request_is_sent_in_a_short_rest(self):
        table = BackoffTable()
        table.add(self.START, 3.0, 0.0)
        assert not self.send_when_allowed(table, [i / 10 for i in range(30)], is_sound=True)
        assert table.can_send(self.START, 3.0, in_flight=0)

    def test_longer_of_two_rests_applies(self):
        table = BackoffTable()
        table.add(self.START, 3.0, 0.0)
        table.add(self.START, 1.0, 0.1)
        assert table.find_wait(self.START, 1.0) == 2.0

    def test_target_with_a_rest_of_an_hour_is_used_again_after_a_success(self):
        table = BackoffTable()
        table.add(self.START, 3600.0, 0.0)
        assert len(self.send_when_allowed(table, range(61), is_sound=True)) == MOST_IN_REST
        assert table.can_send(self.START, 61.0, in_flight=0)

    @pytest.mark.parametrize("rest_s", [40.0, 600.0, 3600.0])
    def test_target_with_repeated_rests_receives_two_requests_in_each(self, rest_s):
        """A target that requests a new back-off in each answer must not be overloaded by trials."""
        table = BackoffTable()
        table.add(self.START, rest_s, 0.0)
        sent = [0.0, *self.send_when_allowed(table, range(8000), is_sound=False, rest_s=rest_s)]
        for at in sent:
            assert sum(at + GRACE_S < t < at + rest_s for t in sent) <= MOST_IN_REST

    def test_rest_length_is_limited(self):
        table = BackoffTable()
        table.add(self.START, 1e12, 0.0)
        assert table.find_wait(self.START, 0.0) == BACKOFF_MAX_S

    def test_allowed_requests_in_flight_grow_after_a_rest(self):
        table = BackoffTable()
        table.add(self.START, 3.0, 0.0)
        assert not table.can_send(self.START, 5.0, in_flight=1)
        table.add_success(self.START, 5.0)
        allowed = [
            sum(table.can_send(self.START, now, in_flight=i) for i in range(20))
            for now in (3.5, 4.5, 5.5, 6.5)
        ]
        assert allowed == [1, 2, 5, 20]

    def test_rest_does_not_apply_after_a_restart_of_the_target(self):
        table = BackoffTable()
        table.add(self.START, 3.0, 0.0)
        assert table.can_send(("t1", 7), 1.0, in_flight=0)


@pytest.mark.parametrize(
    ("status", "fields", "is_resting"),
    [
        (b"503 Full", [(b"halldoor-not-run", b"1")], True),
        (b"503 Full", [], True),
        (b"429 Too Many Requests", [(b"halldoor-not-run", b"1")], True),
        (b"500 Failed", [], False),
        (b"200 OK", [], False),
    ],
)
def test_which_answers_ask_for_a_rest(status, fields, is_resting):
    async def check():
        async with RateFleet.open(entries=1, targets=1) as fleet:
            target = fleet.targets[0]
            extra = [*fields, (b"Retry-After", b"3")]

            async def answer(request, writer):
                target.arrivals.append((fleet.now(), "e0"))
                writer.write(target.build(request, status=status, extra=extra))

            target.script = answer
            await fleet.kits[0].call()
            arrived = len(target.arrivals)
            await asyncio.sleep(1.0)
            await fleet.kits[0].call()
            assert (len(target.arrivals) == arrived) is is_resting

    asyncio.run(check())
