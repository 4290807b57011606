"""Tests of the gateway's use of the store, its start and stop, and reloaded settings."""

from __future__ import annotations

import asyncio
import os

import pytest

from halldoor.core.errors import SettingsError
from halldoor.core.settings import Address
from halldoor.core.targets.contact import SILENCE_S
from halldoor.gateway import runner
from halldoor.standins.memorystore import MemoryStore
from halldoor.tests.gatewaykit import Caller, GatewayKit


async def run_until_registered(kit):
    """Start a kit's gateway, wait for its record in the store, and stop it."""
    await kit.gateway.start()
    try:
        await kit.wait(lambda: kit.store.list_keys("entries/"))
    finally:
        await kit.gateway.stop()


class TestStoreAndStop:
    def test_draining_target_receives_no_new_requests(self):
        async def check():
            async with GatewayKit.open() as kit:
                kit.write_target("t0", is_draining=True)
                await kit.wait(lambda: len(kit.gateway.catalog.list_usable("deck")) == 1)
                for i in range(10):
                    assert (await kit.call(key=str(i))).status == 200
                assert not kit.targets["t0"].received

        asyncio.run(check())

    @pytest.mark.parametrize("has_history", [True, False])
    def test_changes_during_a_store_outage_are_applied_after_it(self, has_history):
        async def check():
            async with GatewayKit.open() as kit:
                kit.store.take_down()
                kit.write_target("t0", is_draining=True)
                kit.configure(path_prefix="/new/")
                if not has_history:
                    kit.store.forget_history()
                await asyncio.sleep(0.3)
                assert (await kit.call()).status == 200
                kit.store.is_down = False
                await kit.wait(lambda: kit.gateway.catalog.routing.version == 2)
                await kit.wait(lambda: len(kit.gateway.catalog.list_usable("deck")) == 1)

        asyncio.run(check())

    def test_idle_watch_with_lease_renewals_does_not_count_as_store_outage(self):
        async def check():
            async with GatewayKit.open() as kit:
                contact = kit.gateway.catalog.contact
                loop = asyncio.get_running_loop()
                ends = loop.time() + SILENCE_S + 1.0
                while loop.time() < ends:
                    await asyncio.sleep(0.05)
                    assert contact.get_report(loop.time()).heard_s < SILENCE_S

        asyncio.run(check())

    def test_removed_entry_record_is_written_again(self):
        async def check():
            async with GatewayKit.open() as kit:
                await kit.wait(lambda: kit.store.list_keys("entries/"))
                kit.store.remove("entries/e1")
                await kit.wait(lambda: kit.store.list_keys("entries/"))

        asyncio.run(check())

    def test_entry_registers_only_after_it_accepts_connections(self):
        async def check():
            seen = []

            class WatchedStore(MemoryStore):
                async def write(self, key, value, *, lease):
                    seen.append(kit.gateway._front.is_serving())
                    _, writer = await asyncio.open_connection("127.0.0.1", kit.front_port)
                    writer.transport.abort()
                    await super().write(key, value, lease=lease)

            kit = GatewayKit({}, WatchedStore())
            await run_until_registered(kit)
            assert seen == [True]

        asyncio.run(check())

    def test_entry_registers_only_after_it_has_read_the_store(self):
        """Regression: callers directed to the entry before that received 503."""

        async def check():
            class SlowStore(MemoryStore):
                async def read_range(self, prefix, *, after=""):
                    await asyncio.sleep(0.3)
                    return await super().read_range(prefix, after=after)

                async def write(self, key, value, *, lease):
                    seen.append(kit.gateway.catalog.routing is not None)
                    await super().write(key, value, lease=lease)

            seen = []
            kit = GatewayKit({}, SlowStore())
            kit.configure()
            await run_until_registered(kit)
            assert seen == [True]

        asyncio.run(check())

    def test_start_reads_all_keys_in_one_range(self):
        """The range includes keys without meaning for the gateway, which are ignored."""

        async def check():
            store = MemoryStore()
            store.put("status/x", b"not a record")
            async with GatewayKit.open(targets=3, store=store) as kit:
                catalog = kit.gateway.catalog
                assert catalog.routing.version == 1
                assert len(catalog.list_usable("deck")) == 3
                assert store.ranges == 1

        asyncio.run(check())

    def test_stop_finishes_running_requests_and_removes_the_entry_record(self):
        async def check():
            async with GatewayKit.open(targets=1, lookup_ttl_s=0.1, grace_s=3.0) as kit:
                target = kit.targets["t0"]
                await kit.wait(lambda: kit.store.list_keys("entries/"))

                async def answer_slowly(request, writer):
                    await asyncio.sleep(0.6)
                    await target.answer(request, writer)

                target.script = answer_slowly
                caller: Caller = await kit.connect()
                await caller.send()
                await kit.wait(lambda: target.received)
                stopping = asyncio.ensure_future(kit.gateway.stop())
                reply = await caller.receive()
                assert reply.status == 200
                assert reply.find(b"connection") == b"close"
                await stopping
                assert not kit.store.list_keys("entries/")

        asyncio.run(check())


class TestReload:
    def test_reloaded_limits_apply_at_once_and_addresses_after_restart(self):
        async def check():
            async with GatewayKit.open() as kit:
                gateway = kit.gateway
                before = gateway.settings
                retries = before.retries._replace(slack=0.0, ratio=0.0)
                kit.script_all("reset")
                assert (await kit.call()).status == 502
                assert len(kit.received) == 2
                moved = Address("127.0.0.1", 1)
                gateway.reload(before._replace(retries=retries, grace_s=2.0, front=moved))
                assert gateway.settings.grace_s == 2.0
                assert gateway.settings.front == before.front
                await asyncio.sleep(1.1)  # The ejections caused by the first call expire.
                assert (await kit.call()).status == 502
                assert len(kit.received) == 3

        asyncio.run(check())

    def test_settings_file_is_reloaded_on_a_signal_and_when_it_changes(self, tmp_path, monkeypatch):
        """An unreadable file changes nothing, and the next valid one is applied."""
        monkeypatch.setattr(runner, "CHECK_S", 0.02)

        async def check():
            async with GatewayKit.open() as kit:
                path = tmp_path / "settings"
                path.write_text("3.0")
                before = kit.gateway.settings

                def load():
                    try:
                        return before._replace(grace_s=float(path.read_text()))
                    except ValueError as exc:
                        raise SettingsError("No number.", remedy="Write one.") from exc

                should_reload = asyncio.Event()
                file = runner.SettingsFile(path, load)
                watching = asyncio.ensure_future(
                    runner._follow_settings(kit.gateway, file, should_reload)
                )
                should_reload.set()
                await kit.wait(lambda: kit.gateway.settings.grace_s == 3.0)
                path.write_text("broken")
                os.utime(path, ns=(1, 1))
                await asyncio.sleep(0.1)
                assert kit.gateway.settings.grace_s == 3.0
                path.write_text("4.0")
                os.utime(path, ns=(2, 2))
                await kit.wait(lambda: kit.gateway.settings.grace_s == 4.0)
                watching.cancel()

        asyncio.run(check())
