"""Forwarded requests whose target answers with a failure of its own, without the request's id."""

from __future__ import annotations

import asyncio

import h11
import msgspec
import pytest

from halldoor.core.settings import Address
from halldoor.gateway.headers import find
from halldoor.gateway.plain import TargetModel
from halldoor.standins.sample import IP
from halldoor.tests.gatewaykit import NAMES, Caller
from halldoor.tests.reachkit import ReachFleet
from halldoor.tests.test_forwarding import lose_targets


class AnonymousCaller(Caller):
    """A caller that sends no attempt id, as one that does not know halldoor."""

    def build(self, **request):
        built = super().build(**request)
        headers = [(n, v) for n, v in built.headers.raw_items() if n.lower() != NAMES.attempt_id]
        return h11.Request(method=built.method, target=built.target, headers=headers)


async def write_target(fleet, port, name):
    """Send a route to one further target."""
    routing = msgspec.json.decode(fleet.store._values["routing"])
    for route in routing["routes"]:
        if route["name"] == name:
            route["service"] = "plain"
    routing["services"].append({"name": "plain"})
    model = TargetModel(service="plain", address=Address(IP, port), hall="ams-a", slots=6)
    fleet.store.put("targets/plain-1", msgspec.json.encode(model))
    fleet.store.put("routing", msgspec.json.encode(routing | {"version": 2}))
    catalogs = [kit.gateway.catalog for kit in fleet.kits]
    await fleet.kits[0].wait(lambda: {c.configuration_version for c in catalogs} == {2})


@pytest.mark.parametrize("caller_type", [AnonymousCaller, Caller], ids=["no id", "hop-by-hop id"])
@pytest.mark.parametrize("status", [401, 404, 429])
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_request_that_a_target_failed_runs_again_by_way_of_another_entry(
    method, status, caller_type
):
    """The first entry takes the target's answer for a refusal by an entry of the release before."""
    runs = []
    name = "order" if method == "POST" else "deck"
    start = f"{method} /{name}/".encode()

    def answer(head):
        fields = [f"HTTP/1.1 {status} Own", "Content-Length: 0"]
        lines = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
        if attempt_id := find([(name, value) for name, _, value in lines], NAMES.attempt_id):
            name = NAMES.attempt_id.decode()
            fields += [f"{name}: {attempt_id.decode()}", f"Connection: {name}"]
        return "\r\n".join([*fields, "", ""]).encode()

    async def handle(reader, writer):
        try:
            while (head := await reader.readuntil(b"\r\n\r\n")).startswith(start):
                await reader.readexactly(1 if method == "POST" else 0)
                runs.append(head)
                writer.write(answer(head))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def check():
        server = await asyncio.start_server(handle, IP, 0)
        async with ReachFleet.open(entries=4) as fleet:
            await lose_targets(fleet, (0,))
            await write_target(fleet, server.sockets[0].getsockname()[1], name)
            connected = await asyncio.open_connection("127.0.0.1", fleet.kits[0].front_port)
            caller = caller_type(*connected)
            body = b"x" if method == "POST" else b""
            await caller.call(method=method, path=f"/{name}/1", body=body, deadline_ms=1400)
            caller.close()
            server.close()
            assert len(runs) == 1

    asyncio.run(check())
