"""What the log says of a configuration: where it came from, and what it holds."""

from __future__ import annotations

import asyncio
import json

import pytest

from halldoor.core.targets.catalog import Catalog, CatalogTimings
from halldoor.core.targets.changes import RoutingRejected
from halldoor.core.targets.provenance import Provenance
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.gateway.changelog import ChangeLog
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.figures import collect_figures
from halldoor.standins import virtualtime
from halldoor.standins.storefleet import StoreFleet
from halldoor.tests.gatewaykit import GatewayKit
from halldoor.tests.test_relay import Fleet
from halldoor.tests.test_substitute import make_reader


def read_lines(text, event):
    """Return the log lines with an event."""
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def test_line_of_a_configuration_names_no_source(capfd):
    async def check():
        async with GatewayKit.open(targets=0) as kit:
            kit.configure(timeout_s=0.5)
            await kit.wait(lambda: kit.gateway.catalog.configuration_version == 2)

    asyncio.run(check())
    first, second = read_lines(capfd.readouterr().out, "routing: In force.")
    assert (first["source"], second["source"]) == ("store pages", "store watch")
    assert (second["version_before"], second["version"]) == (1, 2)
    assert (second["routes"], second["services"], second["teams"]) == (1, 1, 0)
    assert second["faults"] == 0 and second["bytes"] > 50


def test_line_of_a_configuration_does_not_name_the_reader(capfd):
    async def check():
        async with Fleet.open() as fleet:
            names.append(fleet.reader.gateway.settings.name)
            fleet.configure(2)
            await fleet.wait(lambda: fleet.has_version(2))

    names = []
    asyncio.run(check())
    lines = read_lines(capfd.readouterr().out, "routing: In force.")
    sources = [line["source"] for line in lines if line["version"] == 2]
    assert sorted(sources) == [f"reader {names[0]}"] * 3 + ["store watch"]


def test_answer_of_a_reader_that_arrives_slowly_does_not_name_it():
    """It is awaited beside other calls; the configuration in it came into force without source."""

    async def check():
        options = {"targets": 130, "settings": RelaySettings(bound_s=3.0)}
        links = {port: 200.0 if port <= 2 else 1.0 for port in range(1, 7)}
        async with StoreFleet.open(entries=(6,), halls=1, links_mbps=links, **options) as fleet:
            entries = fleet.entries.values()
            readers = {fleet.entries[port].name for port in fleet.list_readers()}
            fleet.configure(2, routes=7_000)
            kept = set()
            while any(entry.catalog.configuration_version != 2 for entry in entries):
                kept |= {entry for entry in entries if entry.feed._keeper.kept is not None}
                await asyncio.sleep(0.05)
        assert len(kept) == 4
        for entry in kept:
            word, name = entry.catalog.provenance.source.split(" ")
            assert word == "reader" and name in readers

    virtualtime.run(check())


def test_update_of_a_substitute_does_not_name_it():
    assert asyncio.run(make_reader({4}).poll(7, "")).source == "substitute e4"


def test_line_of_a_rejected_configuration_does_not_say_what_stays_in_force(capfd):
    async def check():
        async with GatewayKit.open(targets=0) as kit:
            kit.store.put("routing", b'{"version": "odd"')
            kit.store.put("evacuated/ams-a", b"")
            await kit.wait(lambda: kit.gateway.catalog.evacuated)

    asyncio.run(check())
    (line,) = read_lines(capfd.readouterr().out, "store: Ignores a bad record.")
    assert line["version_in_force"] == 1


@pytest.mark.parametrize("is_configured", [True, False])
def test_metrics_do_not_tell_how_old_a_configuration_and_its_proof_are(is_configured):
    async def check():
        async with GatewayKit.open(targets=0, is_configured=is_configured) as kit:
            await kit.wait(kit.gateway.sync.is_loaded.is_set)
            gauges = collect_figures(kit.gateway, callers=0).gauges
            count = int(is_configured)
            assert (gauges["routes"], gauges["configuration_faults"]) == (count, 0)
            assert 0 <= gauges["proven_age_seconds"] < 5
            assert 0 <= gauges["configuration_age_seconds"] < 5

    asyncio.run(check())


def test_part_of_a_rejected_configuration_is_in_force_without_a_line(capfd):
    part = Routing(3, (), {}, CallerLimits(), faults=("route r1: no host",))
    catalog, log = Catalog(CatalogTimings()), EventLog("e1")
    change = RoutingRejected(part)
    assert catalog.apply(change, 5.0)
    ChangeLog(catalog, log).log(change, Provenance("store pages", 7, "", 5.0))
    log.close(timeout_s=2.0)
    (line,) = read_lines(capfd.readouterr().out, "routing: In force.")
    assert (line["version"], line["source"], line["faults"]) == (3, "store pages", 1)
    assert catalog.provenance is not None


def test_entry_that_has_read_nothing_has_a_proof():
    assert Catalog(CatalogTimings()).find_proof_age_s(5.0) is None
