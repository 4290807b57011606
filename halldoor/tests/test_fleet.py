"""``halldoor fleet``: fetching, parsing and describing the metrics of many gateways."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import time

import pytest

from halldoor.cli.fleet import (
    ExcludedTarget,
    GatewayView,
    count_since,
    describe_fleet,
    fetch_fleet,
    parse_metrics,
)
from halldoor.core.settings import Address
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.gatewaykit import GatewayKit

FLEET_S = 5.0
"""Time in which 200 gateways must be fetched, in seconds."""


class TestFleet:
    def test_running_gateways_metrics_are_fetched_and_parsed(self):
        async def check():
            """Run a gateway with one draining and one cold target, and fetch its metrics."""
            (port,) = find_ports(1)
            async with GatewayKit.open(metrics=Address(IP, port)) as kit:
                kit.write_target("t0", is_draining=True)
                kit.write_target("t1", cold_left_s=60.0)
                await kit.wait(lambda: len(kit.gateway.catalog.list_usable("deck")) == 1)
                for _ in range(2):
                    views = await asyncio.to_thread(fetch_fleet, [f"{IP}:{port}"])
                (view,) = views
                assert (view.version, view.is_reached, view.watches_store) == (1, True, True)
                assert view.store_age_s < 60 and view.proven_age_s < 60
                reasons = {out.target: out.reason for out in view.targets_out}
                assert reasons == {"t0": "draining", "t1": "cold"}

        asyncio.run(check())

    def test_teams_over_quota_are_listed_with_refusing_gateways(self):
        texts = ['halldoor_over_quota{team="north"} 3', 'halldoor_over_quota{team="north"} 4.0']
        described = describe_fleet([parse_metrics(f"a:{i}", text) for i, text in enumerate(texts)])
        assert described[1] == "Team north: 7 requests over its quota, refused by 2 gateways"

    def test_gateways_with_an_older_copy_of_the_store_are_listed(self):
        views = [GatewayView("a:1", store_era=3), GatewayView("b:1", store_era=2)]
        assert (
            describe_fleet(views)[1] == "b:1: uses copy 2 of the store, other gateways use copy 3"
        )

    def test_blocked_requests_are_counted(self):
        views = [GatewayView("a:1", blocked=1), GatewayView("b:1"), GatewayView("c:1", blocked=2)]
        described = describe_fleet(views)[1]
        assert described == "2 requests that crash targets, blocked by 2 of 3 gateways"

    def test_unreachable_and_lagging_gateways_come_before_excluded_targets(self):
        out = ExcludedTarget("t1", "deck", "ejected")
        views = [
            GatewayView("a:1", version=7, watches_store=True, running=3, targets_out=(out,)),
            GatewayView("b:1", version=6, store_age_s=9.0, targets_out=(out,)),
            GatewayView("c:1", error="ConnectTimeoutError"),
        ]
        described = describe_fleet(views)
        assert described[0].startswith(
            "2 of 3 gateways answered; configuration 7; 1 watch the store; 3"
        )
        assert described[1].startswith("WARNING: different configurations")
        assert described[2] == "c:1: not reached (ConnectTimeoutError)"
        assert described[3].startswith(
            "b:1: configuration 6 of 7, last message from the store 9.0 s ago"
        )
        assert described[4] == "t1 of deck: ejected at 2 of 2"

    def test_old_proof_is_hidden_by_a_recent_contact(self):
        texts = [
            'halldoor_state{name="configuration_version"} 15',
            'halldoor_state{name="configuration_version"} 8\n'
            'halldoor_state{name="proven_age_seconds"} 6.2',
            'halldoor_state{name="configuration_version"} 15\n'
            'halldoor_state{name="proven_age_seconds"} inf',
            'halldoor_state{name="configuration_version"} 15\n'
            'halldoor_state{name="watches_store"} 1\n'
            'halldoor_state{name="proven_age_seconds"} 28.0',
        ]
        described = describe_fleet(
            [parse_metrics(f"{n}:1", t) for n, t in zip("abcd", texts, strict=True)]
        )
        assert described[1] == "WARNING: different configurations are in force: 15 at 3, 8 at 1"
        assert described[2].startswith("WARNING: 2 of 4 gateways may lack changes of the last 5 s")
        assert described[3].endswith("all changes known until 6.2 s ago")
        assert described[4].endswith("no proof yet")
        assert len(described) == 5

    def test_long_lists_are_truncated_with_a_count(self):
        views = [GatewayView(f"10.0.0.{i}:1", version=i) for i in range(100)]
        described = describe_fleet(views)
        assert described[1].startswith("WARNING: ") and described[1].endswith(" 92 others")
        assert len(described) == 23 and described[-1] == "... and 79 more"

    def test_200_silent_gateways_are_reported_within_the_limit(self):
        with socket.create_server((IP, 0), backlog=400) as silent:
            address = f"{IP}:{silent.getsockname()[1]}"
            progress = []
            began = time.monotonic()
            views = fetch_fleet([address] * 200, progress.append)
            assert time.monotonic() - began < FLEET_S
        assert progress == list(range(1, 201))
        assert {view.error for view in views} == {"ReadTimeoutError"}
        assert describe_fleet(views)[-1] == "... and 180 more"

    def test_requests_between_two_fetches_are_counted_by_region(self):
        def view(name, *requests, error=""):
            """Build the state of a gateway with counts of requests by region."""
            return GatewayView(name, region_requests=requests, error=error)

        earlier = [
            view("a", ("x", "x", 90), ("x", "y", 10)),
            view("b", ("x", "x", 500)),
            view("c", error="ConnectTimeoutError"),
        ]
        later = [
            view("a", ("x", "x", 95), ("x", "y", 25)),
            view("b", ("x", "x", 5)),  # It restarted.
            view("c", ("x", "y", 700)),
        ]
        assert "Requests of x: 40% in x, 60% in y" in describe_fleet(count_since(earlier, later))

    @pytest.mark.parametrize("over", ["-1", "1e9", "nan"])
    def test_invalid_interval_is_refused(self, over):
        command = [sys.executable, "-m", "halldoor.cli.operator", "fleet", f"{IP}:1"]
        done = subprocess.run(
            [*command, f"--over={over}"], check=False, capture_output=True, text=True
        )
        assert done.returncode == 2 and done.stderr.count("\n") == 1

    def test_command_requires_addresses_and_lists_unreachable_gateways(self):
        command = [sys.executable, "-m", "halldoor.cli.operator", "fleet"]
        missing = subprocess.run(command, check=False, capture_output=True, text=True)
        assert missing.returncode == 2 and "IP:PORT" in missing.stderr
        (port,) = find_ports(1)
        dead = subprocess.run(
            [*command, f"{IP}:{port}"], check=False, capture_output=True, text=True
        )
        assert dead.returncode == 5 and "not reached" in dead.stdout
