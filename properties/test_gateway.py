"""Property test: requests run at most once over kept connections to faulty targets.

The targets answer twice, late, incompletely or not at all.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.gateway.headers import find
from halldoor.tests.gatewaykit import HEALTH_PATH, NAMES, GatewayKit

SCRIPTS = ("answer", "shed", "reset", "break_off", "answer_another", "surplus", "close", "unframed")
TARGETS = 2


def build_scripts(target, ran):
    """Return a function from script names to scripts of a target; all but `shed` count a run."""
    earlier = {}

    async def surplus(request, writer):
        """Answer an earlier request of the connection again before this one."""
        if request.connection in earlier:
            writer.write(target.build(earlier[request.connection], body=b"surplus"))
        await target.answer(request, writer)

    async def close(request, writer):
        """Answer, then close the connection while the next request may be in transit."""
        await target.answer(request, writer)
        writer.close()

    named = {"surplus": surplus, "close": close, "unframed": target.answer_unframed}
    named |= {n: getattr(target, n) for n in SCRIPTS if n not in named}

    def choose(name):
        async def run(request, writer):
            if name != "shed" and request.target != HEALTH_PATH:
                ran[find(request.headers, NAMES.attempt_id).decode()] += 1
            await named[name](request, writer)
            earlier[request.connection] = request

        return run

    return choose


async def run_plan(plan):
    """Send one request per step of the plan, while each target follows its script."""
    ran = Counter()
    async with GatewayKit.open(targets=TARGETS, route={"kind": "at-most-once"}) as kit:
        choosers = [build_scripts(target, ran) for target in kit.targets.values()]
        for i, names in enumerate(plan):
            for target, choose, name in zip(kit.targets.values(), choosers, names, strict=True):
                target.script = choose(name)
            body = f"body-{i}".encode()
            reply = await kit.call(method="POST", body=body, key=str(i % 3), attempt_id=f"o{i}")
            assert ran[f"o{i}"] <= 1
            if reply.status == 503:
                assert ran[f"o{i}"] == 0
            if reply.status == 200:
                assert reply.body in (b"echo:" + body, b"unframed", b"own")
    assert max(ran.values(), default=0) <= 1


@settings(max_examples=40)
@given(st.lists(st.tuples(*[st.sampled_from(SCRIPTS)] * TARGETS), min_size=2, max_size=8))
def test_nonrepeatable_request_runs_at_most_once_and_gets_its_own_answer(plan):
    asyncio.run(run_plan(plan))
