"""Connections to targets where the process runs out of descriptors."""

from __future__ import annotations

import asyncio
import errno

import pytest

from halldoor.core.settings import Address
from halldoor.gateway.connection import HttpConnection, NoDescriptorError
from halldoor.tests.gatewaykit import GatewayKit


def test_lack_of_descriptors_is_blamed_on_targets():
    """Sound targets were ejected, and the entry took itself for one that reaches none."""

    async def run():
        async with GatewayKit.open(targets=2, route={"kind": "upload"}) as kit:
            kit.gateway.pool.descriptor_end = 0
            for _ in range(20):
                reply = await kit.call(method="POST", body=b"x")
                assert reply.status == 503
                assert b"no free descriptor" in reply.body
            kit.gateway.pool.descriptor_end = None
            assert kit.gateway.reach.monitor.loss is None
            assert (await kit.call(method="POST", body=b"x")).status == 200
            assert len(kit.received) == 1

    asyncio.run(run())


def test_idle_connections_keep_descriptors_from_requests():
    async def run():
        async with GatewayKit.open(targets=1) as kit:
            await asyncio.gather(*(kit.call() for _ in range(4)))
            assert kit.gateway.pool.count_idle()
            kit.gateway.pool.descriptor_end = 0
            statuses = await asyncio.gather(*(_read_status(kit) for _ in range(8)))
            assert 200 in statuses
            assert set(statuses) <= {200, 503}

    asyncio.run(run())


async def _read_status(kit):
    return (await kit.call()).status


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_error_of_the_system_is_no_error_of_the_target(number, monkeypatch):
    async def run():
        async def fail(*_, **__):
            raise OSError(number, "too many")

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", fail)
        with pytest.raises(NoDescriptorError):
            await HttpConnection.open(Address("127.0.0.1", 1), timeout_s=1.0, user_timeout_s=1.0)

    asyncio.run(run())
