"""What the gateway answers besides requests: readiness, look-ups and its own figures."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.lookup import LookupFormat, choose_entries

if TYPE_CHECKING:
    from halldoor.gateway.process import Gateway


class Pages:
    """Handlers of the gateway's small ports.

    Parameters
    ----------
    gateway : Gateway
        Whose state is shown.
    lookups : LookupFormat
        How look-ups are written.
    """

    def __init__(self, gateway: Gateway, lookups: LookupFormat) -> None:
        self._gateway = gateway
        self._lookups = lookups
        self._random = random.Random()

    async def answer_ready(self, caller: CallerConnection, head: Head) -> None:
        """Answer a readiness question."""
        if head.target.decode("latin-1").partition("?")[0] != self._lookups.ready_path:
            caller.send(Answer(404, []))
            return
        caller.send(Answer(200 if self._gateway.is_ready else 503, []))

    async def answer_lookup(self, caller: CallerConnection, head: Head) -> None:
        """Answer a look-up."""
        query = self._lookups.parse(head.target.decode("latin-1"))
        if query is None:
            caller.send(Answer(404, []))
            return
        gateway = self._gateway
        members = {m.name: m for m in gateway.catalog.members.values()}
        if gateway.is_ready:
            members[gateway.member.name] = gateway.member
        else:
            members.pop(gateway.member.name, None)
        if not members:
            caller.send(Answer(503, [(b"Retry-After", b"0.2")]))
            return
        chosen = choose_entries(
            members.values(), hall=query.hall, region=query.region, source=self._random
        )
        body = self._lookups.render(chosen, ttl_s=gateway.settings.lookup_ttl_s)
        caller.send(Answer(200, [(b"Content-Type", b"application/json")], body))

    async def answer_metrics(self, caller: CallerConnection, head: Head) -> None:
        """Answer with this process's figures."""
        gateway, metrics = self._gateway, self._gateway.metrics
        routing = gateway.catalog.routing
        now = asyncio.get_running_loop().time()
        metrics.set("running", gateway.requests.running)
        metrics.set("callers", gateway.count_callers())
        metrics.set("members", len(gateway.catalog.members))
        metrics.set("reads_store", int(gateway.feed.is_direct))
        metrics.set("connections_opened", gateway.pool.opened)
        metrics.set("connections_kept", gateway.pool.count_idle())
        metrics.set("configuration_version", routing.version if routing else 0)
        metrics.set("store_age_seconds", now - gateway.catalog.fresh_at)
        metrics.set_targets_out(gateway.chooser.list_out(now))
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        caller.send(Answer(200, [content_type], metrics.render()))
