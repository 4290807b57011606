"""Loads that targets report: three or four figures, damaged ones, and momentary slowness."""

from __future__ import annotations

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.targets.load import LoadReport, LoadTable
from halldoor.tests.choicekit import make_catalog, make_chooser, make_route
from halldoor.tests.gatewaykit import NAMES, GatewayKit


class TestParsing:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            (b"3,1,6", (3, 1, 6, 100)),
            (b"3, 1, 6", (3, 1, 6, 100)),
            (b"3,1,6,250", (3, 1, 6, 250)),
            (b"3,1,6,250,9", (3, 1, 6, 250)),
            (b"3,1,6,", (3, 1, 6, 100)),
            (b"3,1,6,0", (3, 1, 6, 100)),
            (b"3,1,6,-5", (3, 1, 6, 100)),
            (b"3,1,6,slow", (3, 1, 6, 100)),
            (b"3,1,6,99999999999", (3, 1, 6, 100)),
        ],
    )
    def test_usable_report(self, text, expected):
        """Regression: reports of four figures were dropped."""
        assert LoadReport.from_text(text) == expected

    @pytest.mark.parametrize(
        "text",
        [
            *(b"", b"3", b"3,1", b"3,1,0", b"-3,1,6", b"3,-1,6", b"3,1,-6", b"a,1,6", b"3,1.5,6"),
            *(b"nan,1,6", b"9999999999,1,6", b"3,1,9999999999", b",,,", b"\xff,1,6"),
        ],
    )
    def test_damaged_report_is_refused(self, text):
        assert LoadReport.from_text(text) is None

    @given(st.binary(max_size=60))
    def test_any_text_is_read_or_refused(self, text):
        report = LoadReport.from_text(text)
        if report is not None:
            assert report.slots > 0 and report.work_percent > 0
            assert math.isfinite(report.load) and report.load >= 0


class TestSlowness:
    def test_slowness_decays_within_a_second(self):
        """A host is slow for a fraction of a second: later requests must not stay away."""
        loads = LoadTable()
        loads.add("t", LoadReport(1, 0, 6, 250), 1.0, own=1)
        assert loads.get_slowness("t", 1.0) == pytest.approx(2.5)
        assert 1.0 < loads.get_slowness("t", 1.3) < 1.6
        assert loads.get_slowness("t", 2.5) == pytest.approx(1.0, abs=0.02)
        assert loads.get_slowness("unknown", 1.0) == 1.0

    def test_slow_target_is_passed_over_for_the_next_request_only(self):
        chooser = make_chooser(make_catalog(2))
        chooser.record_work_times(warm_s=0.2, cold_s=0.25, targets=("t0", "t1"))
        for name in ("t0", "t1"):
            chooser.report_load(name, 1)
        route = make_route()
        first = chooser.choose(route, "deck", "k", 1.0).name
        chooser.loads.add(first, LoadReport(1, 0, 6, 250), 1.0, own=0)
        assert chooser.choose(route, "deck", "k", 1.0).name != first
        assert chooser.choose(route, "deck", "k", 3.0).name == first

    def test_answers_of_slow_targets_do_not_change_the_usual_work_time(self):
        chooser = make_chooser(make_catalog(1))
        for i in range(60):
            slowness = 2.5 if i % 5 == 0 else 1.0
            chooser.latency.add_answer(
                "deck/r1",
                "t0",
                "ams-a",
                f"k{i}",
                took_s=0.2 * slowness,
                has_waited=False,
                slowness=slowness,
            )
        levels = chooser.latency.get_levels("deck/r1")
        assert levels.cold_s == pytest.approx(0.2) and levels.mean_s == pytest.approx(0.2)


def test_unreadable_load_is_counted_and_the_request_answered():
    async def check():
        async with GatewayKit.open(targets=1) as kit:
            target = kit.targets["t0"]
            for load in (b"3,x,6", b"3,1,6,250"):

                async def answer(request, writer, load=load):
                    writer.write(target.build(request, extra=[(NAMES.load, load)]))

                target.script = answer
                assert (await kit.call()).status == 200
            assert "halldoor_bad_loads 1" in kit.gateway.metrics.render().decode()
            assert kit.gateway.feedback._loads.get_load("t0") == pytest.approx(4 / 6)

    asyncio.run(check())
