"""Requests whose bodies are still arriving: the targets' slots that they take."""

from __future__ import annotations

import asyncio

from halldoor.gateway.request import TOO_MANY_STREAMS
from halldoor.tests.uploadkit import AMPLE_BYTES, begin_uploads, open_kit, read_statuses


class TestStreams:
    def test_bodies_that_arrive_take_all_slots(self):
        """Uploads of over 512 KB occupied each slot until their clients sent the rest."""

        async def run():
            async with open_kit(limit_bytes=AMPLE_BYTES) as kit:
                opened = await begin_uploads(kit, 4, chunks=40)
                await asyncio.sleep(0.5)
                assert (await kit.call(method="POST", body=b"x", deadline_ms=4000)).status == 200
                statuses = await read_statuses(opened)
                assert statuses == [503] * 2
                assert TOO_MANY_STREAMS.encode() in kit.gateway.metrics.render()

        asyncio.run(run())
