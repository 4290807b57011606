"""A call for the revision of a file store while its watch waits."""

from __future__ import annotations

import asyncio

import yaml

from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway import filestore
from halldoor.gateway.filestore import FileStore
from halldoor.tests.gatewaykit import ROUTE, GatewayKit


def write(path, *, version):
    service = {"name": "deck"}
    route = {
        "name": "r",
        "host": ROUTE["host"],
        "path_prefix": f"/{version}/",
        "kind": "repeatable",
    }
    routing = {"version": version, "routes": [route | {"service": "deck"}], "services": [service]}
    routing["targets"] = []
    path.write_text(yaml.safe_dump(routing))


def test_call_for_the_revision_hides_a_change_from_the_watch(tmp_path, monkeypatch):
    """The watch compared with records that the call had read: the change never took effect."""
    monkeypatch.setattr(filestore, "POLL_S", 0.1)
    path = tmp_path / "configuration.yaml"
    write(path, version=1)

    async def check():
        store = FileStore(path)
        page = await store.read_range("")
        watch = asyncio.ensure_future(store.watch("", after=page.revision, wait_s=1.0))
        await asyncio.sleep(0.02)
        write(path, version=22)
        assert await store.read_revision() > page.revision
        events = await watch
        assert [item.key for item in events.items] == ["routing"]

    asyncio.run(check())


def test_file_that_is_changed_while_a_caller_is_refused_never_takes_effect(tmp_path):
    """An idle gateway asks for the revision at the first unknown path."""
    path = tmp_path / "configuration.yaml"
    write(path, version=1)

    async def check():
        settings = AccessSettings(stale_s=1.0)
        options = {"targets": 0, "is_configured": False, "access": settings}
        async with GatewayKit.open(store=FileStore(path), **options) as kit:
            catalog = kit.gateway.catalog
            await asyncio.sleep(1.5)
            for version in range(2, 12):
                write(path, version=version)
                assert (await kit.call(path=f"/{version}/")).status == 503
                await asyncio.sleep(1.5)
            assert catalog.configuration_version == 11

    asyncio.run(check())
