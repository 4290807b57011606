"""The ``halldoor-gateway`` program, run as a process with settings and routes from YAML."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import urllib3
import yaml

from halldoor.core.errors import SettingsError
from halldoor.files import load_settings
from halldoor.gateway.filestore import GatewayFileSettings, load_configuration
from halldoor.gateway.headers import HeaderNames
from halldoor.standins.sample import IP, find_ports
from halldoor.standins.scripted import ScriptedTarget

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def write_settings(folder, target_port, ports):
    routes = yaml.safe_load((EXAMPLES / "gateway-routes.yaml").read_text())
    routes["targets"] = [t for t in routes["targets"] if t["name"] == "deck-1"]
    routes["targets"][0]["address"]["port"] = target_port
    (folder / "routes.yaml").write_text(yaml.safe_dump(routes))
    settings = yaml.safe_load((EXAMPLES / "gateway.yaml").read_text())
    for name, port in zip(("front", "ready", "directory", "metrics"), ports, strict=True):
        settings[name] = {"ip": IP, "port": port}
    settings["configuration"] = str(folder / "routes.yaml")
    (folder / "settings.yaml").write_text(yaml.safe_dump(settings | {"lookup_ttl_s": 0.1}))
    return routes


def change_settings(folder, **changes):
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(yaml.safe_load(path.read_text()) | changes))


async def fetch(url, **headers):
    return await asyncio.to_thread(
        urllib3.request, "GET", url, headers=headers, retries=False, timeout=5.0
    )


async def wait_until(check, *, limit_s=15.0):
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(0.05)


async def check_program(folder):
    target = ScriptedTarget("deck-1", HeaderNames())
    await target.start()
    front, ready, directory, metrics = ports = find_ports(4)
    routes = write_settings(folder, target.address.port, ports)
    command = [sys.executable, "-m", "halldoor.cli.gateway", str(folder / "settings.yaml")]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)

    async def is_ready():
        try:
            return (await fetch(f"http://{IP}:{ready}/ready")).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    async def has_new_route():
        reply = await fetch(f"http://{IP}:{front}/new/1", **{"Host": "new.example"})
        return reply.status == 200

    try:
        await wait_until(is_ready)
        looked_up = await fetch(f"http://{IP}:{directory}/entries?hall=ams-a")
        assert looked_up.json()["entries"] == [f"{IP}:{front}"]
        headers = {"Host": "decks.example", "halldoor-attempt": "a1"}
        assert (await fetch(f"http://{IP}:{front}/x", **headers)).data == b"echo:"
        routes["version"] = 2
        routes["routes"].append(
            {"name": "n", "host": "new.example", "kind": "repeatable", "service": "deck"}
        )
        (folder / "routes.yaml").write_text(yaml.safe_dump(routes))
        await wait_until(has_new_route)
        change_settings(folder, grace_s=4.0)
        process.send_signal(signal.SIGHUP)
        assert (await fetch(f"http://{IP}:{front}/new/1", **{"Host": "new.example"})).status == 200
        figures = (await fetch(f"http://{IP}:{metrics}/")).data
        assert b"halldoor_request_seconds" in figures and b"configuration_version" in figures
        process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.to_thread(process.communicate, timeout=15)
        assert process.returncode == 0
        assert b"process: Stopped." in output
        reloaded = next(line for line in output.splitlines() if b"Reloaded." in line)
        assert json.loads(reloaded)["changed"] == ["grace_s"]
    finally:
        process.kill()
        process.wait()
        await target.stop()


def test_program_serves_applies_changes_and_stops(tmp_path):
    asyncio.run(check_program(tmp_path))


def test_gateway_examples_are_valid():
    assert load_settings(EXAMPLES / "gateway.yaml", GatewayFileSettings)
    assert load_configuration(EXAMPLES / "gateway-routes.yaml").routes


def test_error_of_invalid_configuration_names_its_place(tmp_path):
    path = tmp_path / "routes.yaml"
    text = (EXAMPLES / "gateway-routes.yaml").read_text()
    path.write_text(text.replace("kind: repeatable", "kind: sometimes"))
    with pytest.raises(SettingsError, match=r"routes\[0\]\.kind"):
        load_configuration(path)
