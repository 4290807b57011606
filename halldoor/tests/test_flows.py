"""Tests of the counts of requests by region, and of the log line when traffic moves."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from halldoor.cli.fleet import describe_fleet, parse_metrics
from halldoor.core.targets.choice import Choice
from halldoor.core.targets.regionflow import RegionFlow, RunReason, measure_move
from halldoor.gateway.flows import RegionFlowCounter
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.tests.choicekit import REGIONS, make_catalog, make_chooser, make_route
from halldoor.tests.gatewaykit import GatewayKit


def add_requests(flow, at_s, *, near=0, spilled=0, first=0):
    """Count requests by reason at a time, and return the moves reported."""
    moves = [flow.add("ams", RunReason.NEAR, at_s) for _ in range(near)]
    moves += [flow.add("grq", RunReason.SPILLED, at_s) for _ in range(spilled)]
    moves += [flow.add("grq", RunReason.FIRST, at_s) for _ in range(first)]
    return [move for move in moves if move is not None]


class TestRegionFlow:
    def test_first_request_of_a_window_reports_the_move_in_the_previous_ones(self):
        flow = RegionFlow()
        add_requests(flow, 0.5, near=18, first=2)
        add_requests(flow, 2.5, near=12, spilled=6, first=2)
        (move,) = add_requests(flow, 4.0, near=1)
        assert move.part == pytest.approx(0.3)
        assert (move.before, move.after) == ({"ams": 18, "grq": 2}, {"ams": 12, "grq": 8})
        assert move.reason is RunReason.SPILLED

    @pytest.mark.parametrize(
        "counts",
        [
            pytest.param({"near": 18, "spilled": 2}, id="little"),
            pytest.param({"near": 9, "spilled": 9}, id="few requests"),
        ],
    )
    def test_small_or_rare_moves_are_not_reported(self, counts):
        flow = RegionFlow()
        add_requests(flow, 0.5, near=20)
        add_requests(flow, 2.5, **counts)
        assert not add_requests(flow, 4.0, near=1)

    def test_nonadjacent_windows_are_not_compared(self):
        flow = RegionFlow()
        add_requests(flow, 0.5, near=20)
        add_requests(flow, 6.5, spilled=20)
        assert not add_requests(flow, 8.0, near=1)

    def test_moved_share_counts_each_request_once(self):
        before, after = Counter(ams=5, grq=5), Counter(ams=10, ehv=10)
        assert measure_move(before, after) == pytest.approx(0.5)


class TestRegionFlowCounter:
    def test_log_line_has_the_moved_share_and_the_reason(self):
        catalog = make_catalog()
        lines = []
        log = SimpleNamespace(event=lambda *texts, **fields: lines.append((texts, fields)))
        orders = make_chooser(catalog).orders
        flows = RegionFlowCounter("ams", orders, catalog, log=log, metrics=GatewayMetrics())
        near, far = (
            Choice(catalog.find_target(name), None, place) for name, place in (("t1", 0), ("t0", 1))
        )
        for at_s, choice in ((0.5, near), (2.5, far), (4.5, far)):
            for _ in range(20):
                flows.add(make_route(), choice, at_s, is_retry=False)
        ((texts, fields),) = lines
        assert texts == ("flow", "Moved between regions.")
        assert (fields["moved"], fields["reason"], fields["version"]) == (1.0, "spilled", 1)

    def test_hall_added_by_changed_settings_counts_in_its_region(self):
        """Regression: requests to a hall added by changed settings counted in no region."""
        catalog = make_catalog()
        orders, metrics = make_chooser(catalog).orders, GatewayMetrics()
        log = SimpleNamespace(event=lambda *texts, **fields: None)
        flows = RegionFlowCounter("ams", orders, catalog, log=log, metrics=metrics)
        orders.regions = {**REGIONS, "grq-a": "grq-new"}
        flows.add(make_route(), Choice(catalog.find_target("t0"), None, 1), 0.5, is_retry=False)
        assert 'to="grq-new"' in metrics.render().decode()


class TestGateway:
    def test_requests_are_counted_by_region_and_reason(self):
        async def check():
            async with GatewayKit.open(targets=0) as kit:
                await kit.add_target("t0", hall="grq-a")
                await kit.wait(lambda: kit.gateway.catalog.list_usable("deck"))
                await kit.call()
                return kit.gateway.metrics.render().decode()

        text = asyncio.run(check())
        told = describe_fleet([parse_metrics("a:1", text), parse_metrics("a:2", text)])
        assert "Requests of ams: 100% in grq" in told
