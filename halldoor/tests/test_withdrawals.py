"""Report, from log lines, of how long withdrawn targets still get requests."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from halldoor.core.explaining.history import parse_lines
from halldoor.core.explaining.report import build_report, describe_report
from halldoor.core.explaining.withdrawals import SentRequest
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.gateway.changelog import MAX_LOGGED_WITHDRAWALS
from halldoor.gateway.plain import TargetModel
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import IP, StoreFleet

STARTS = {"e1": 100.0, "e2": 5000.0, "e3": 70.0}
"""Each entry's steady clock at the collector's time 0, in seconds."""


def make_line(entry, at, event, **fields):
    """Return a log line's time and its text, as a collector writes it."""
    line = {"event": event, "at": STARTS[entry] + at, "entry": entry, **fields}
    return at, f"{at:.3f} {entry} {json.dumps(line)}"


def make_request(entry, ended, *attempts):
    """Return the log line of a request; attempts are (target, result, took_ms, connect_ms)."""
    names = ("target", "result", "took_ms", "connect_ms")
    fields = [dict(zip(names, attempt, strict=True)) for attempt in attempts]
    rest = {"service": "deck", "status": 200, "took_ms": 900, "stands_for": 1}
    return make_line(entry, ended, "request: Ended.", attempts=fields, **rest)


def build(*lines):
    """Return the report on log lines, after a start of each entry."""
    started = [make_line(entry, 0.0, "process: Started.") for entry in STARTS]
    dated = sorted([*started, *lines], key=lambda line: line[0])
    return build_report(parse_lines(text for _, text in dated))


def list_withdrawals(*lines):
    """Return the withdrawals in the report on log lines."""
    return build(*lines).withdrawals


class TestWithdrawals:
    def test_entries_with_different_clocks_are_compared(self):
        (found,) = list_withdrawals(
            make_line("e2", 5.10, "targets: Draining.", target="t1", revision=7),
            make_line("e1", 5.35, "targets: Draining.", target="t1", revision=7),
            make_line("e2", 6.00, "targets: Gone.", target="t1", revision=9),
            make_line("e3", 7.60, "targets: Draining.", target="t1", revision=7),
            make_request("e3", 8.02, ("t1", "answered", 500, 20)),
            make_request("e1", 5.50, ("t1", "answered", 300, 0)),
        )
        assert (found.first_entry, found.slowest, found.unaware) == ("e2", "e3", 0)
        assert found.delays_s == pytest.approx([0.25, 2.5])
        assert found.last is not None and found.last.entry == "e3"
        assert found.last.after_s == pytest.approx(2.44)
        assert found.last.own_s == pytest.approx(-0.06)

    def test_line_without_collection_time_does_not_shift_its_entry(self):
        """A line that only continues a batch has no time; it shifted its entry's later lines."""
        at, started = make_line("e1", 4.0, "process: Started.")
        (found,) = list_withdrawals(
            (at, started[started.index("{") :]),
            make_line("e1", 4.5, "store: Read all.", revision=6),
            make_line("e2", 5.0, "targets: Draining.", target="t1", revision=7),
            make_line("e1", 5.2, "targets: Draining.", target="t1", revision=7),
        )
        assert (found.first_entry, found.delays_s) == ("e2", (pytest.approx(0.2),))

    def test_full_read_counts_as_learning_of_withdrawal(self):
        read = make_line("e1", 7.0, "store: Read all.", revision=8)
        old = make_line("e3", 7.0, "store: Read all.", revision=6)
        drained = make_line("e2", 5.0, "targets: Draining.", target="t1", revision=7)
        (found,) = list_withdrawals(drained, read, old)
        assert found.delays_s == pytest.approx([2.0])
        assert (found.unaware, found.last) == (1, None)

    def test_lost_line_does_not_count_as_delay(self):
        """Lost log lines made entries seem to learn of a drain only when the target was gone."""
        (found,) = list_withdrawals(
            make_line("e2", 5.0, "targets: Draining.", target="t1", revision=9),
            make_line("e3", 5.1, "targets: Draining.", target="t1", revision=7),
            make_line("e1", 5.2, "routing: In force.", version=3, revision=6),
            make_line("e1", 5.4, "membership: Entry seen.", member="e4", revision=8),
            make_line("e1", 9.0, "targets: Gone.", target="t1", revision=20),
        )
        assert (found.target, found.delays_s) == ("t1", pytest.approx((0.1, 0.4)))

    def test_only_attempt_at_withdrawn_target_counts(self):
        (found,) = list_withdrawals(
            make_line("e2", 5.0, "targets: Gone.", target="t1", revision=7),
            make_request(
                "e1",
                7.0,
                ("t1", "not reached", 400, 400),
                ("t1", "failed", 300, 0),
                ("t2", "", 200, 0),
            ),
            make_request("e1", 8.0, ("t1", "not reached", 10, 10)),
        )
        assert found.last == SentRequest("e1", pytest.approx(1.5), None)

    def test_returned_target_is_no_longer_withdrawn(self):
        gone = make_line("e2", 5.0, "targets: Gone.", target="t1", revision=7)
        back = make_line("e2", 6.0, "targets: Seen.", target="t1", revision=9)
        again = make_line("e1", 20.0, "targets: Draining.", target="t1", revision=11)
        request = make_request("e1", 9.0, ("t1", "answered", 100, 0))
        late = make_request("e2", 22.0, ("t1", "answered", 100, 0))
        late_one, early_one = list_withdrawals(gone, back, again, request, late)
        assert (early_one.at_s, early_one.last) == (pytest.approx(5.0), None)
        assert late_one.at_s == pytest.approx(20.0)
        assert late_one.last == SentRequest("e2", pytest.approx(1.9), None)

    def test_older_line_of_lagging_entry_is_ignored(self):
        drained = make_line("e2", 5.0, "targets: Draining.", target="t1", revision=7)
        seen = make_line("e1", 5.5, "targets: Seen.", target="t1", revision=6)
        request = make_request("e1", 7.0, ("t1", "answered", 500, 0))
        (found,) = list_withdrawals(drained, seen, request)
        assert found.last is not None and found.last.after_s == pytest.approx(1.5)

    def test_entry_started_later_has_no_delay(self):
        lines = [make_line("e2", 5.0, "targets: Draining.", target="t1", revision=7)]
        lines += [make_line(e, 6.0, "process: Started.") for e in ("e1", "e3")]
        lines += [make_line("e1", 6.5, "store: Read all.", revision=8)]
        (found,) = list_withdrawals(*lines)
        assert (found.delays_s, found.unaware) == ((), 2)

    def test_notice_of_other_entry_counts_as_learning_of_withdrawal(self):
        text = "targets: Withdrawn, as another entry says."
        (found,) = list_withdrawals(
            make_line("e2", 5.0, "targets: Draining.", target="t1", revision=7),
            make_line("e1", 5.3, text, target="t1", revision=7),
            make_line("e1", 6.4, "targets: Draining.", target="t1", revision=7),
        )
        assert found.delays_s == (pytest.approx(0.3),)

    def test_report_lists_latest_entries(self):
        told = describe_report(
            build(
                make_line("e2", 5.10, "targets: Draining.", target="t1", revision=7),
                make_line("e3", 7.60, "targets: Draining.", target="t1", revision=7),
                make_request("e3", 8.02, ("t1", "answered", 500, 20)),
            )
        )
        assert "       1  got a request, the last one: median 2.44, p99 2.44, worst 2.44" in told
        assert any("t1: first e2" in line and "0.06 s before it knew" in line for line in told)


def write_draining(fleet, number):
    model = TargetModel(
        service="deck", address=Address(IP, 9), hall="h0", slots=6, is_draining=True
    )
    fleet.store.put(f"targets/t{number:05}", msgspec.json.encode(model))


async def lose_history(change, *, targets):
    """Change a store, drop its history, and return each entry's counts of log lines."""
    fleet = StoreFleet(entries=3, halls=3, targets=targets)
    fleet.configure(1)
    await fleet.start(within_s=0.5)
    await fleet.wait_until_synchronized(1)
    change(fleet)
    fleet.store.forget_history()
    await asyncio.sleep(2.0)
    fleet.stop()
    return [entry.events.counts for entry in fleet.entries.values()]


class TestFullRead:
    def test_withdrawals_found_by_full_read_are_logged(self):
        """The log did not show when an entry learned of withdrawals by a full read."""

        def change(fleet):
            write_draining(fleet, 1)
            fleet.store.remove("targets/t00002")

        async def check():
            for counts in await lose_history(change, targets=6):
                assert counts["store: Its history is gone; reading all again."] == 1
                assert counts["targets: Draining."] == counts["targets: Gone."] == 1
                assert counts["targets: Seen."] == 0

        virtualtime.run(check())

    def test_removal_taken_for_lapse_is_logged_as_lapse(self):
        """The log did not distinguish a target kept after a lapse from one no longer used."""

        async def check():
            fleet = StoreFleet(entries=1, halls=1, targets=6)
            fleet.configure(1)
            await fleet.start(within_s=0.5)
            await fleet.wait_until_synchronized(1)
            fleet.store.remove("targets/t00001")
            await asyncio.sleep(1.0)
            fleet.store.take_down()
            fleet.store.remove("targets/t00002")
            await asyncio.sleep(4.5)
            fleet.store.is_down = False
            await asyncio.sleep(2 * CatalogTimings().settle_s)
            (entry,) = fleet.entries.values()
            fleet.stop()
            lines = [line for line in entry.events.lines if line[0] == "targets"]
            assert [(text, fields["target"]) for _, text, fields in lines] == [
                ("Gone.", "t00001"),
                ("Record lapsed; used last.", "t00002"),
                ("Record stayed away.", "t00002"),
            ]

        virtualtime.run(check())

    def test_number_of_logged_withdrawals_is_bounded(self):
        def change(fleet):
            for key in fleet.store.list_keys("targets/"):
                fleet.store.remove(key)

        async def check():
            for counts in await lose_history(change, targets=MAX_LOGGED_WITHDRAWALS + 20):
                assert counts["targets: Gone."] == MAX_LOGGED_WITHDRAWALS
                assert counts["targets: More drain or are gone."] == 1

        virtualtime.run(check())
