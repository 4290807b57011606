"""What the log says of a configuration: where it came from, and what it holds."""

from __future__ import annotations

import asyncio
import json

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
