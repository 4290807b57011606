"""Refusals by what listens at a target's address, beside halldoor's own."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.tests.gatewaykit import NAMES, GatewayKit

STATUSES = [b"401 X", b"404 X", b"413 X", b"431 X"]


def answer_with(target, status, **options):
    """Return a script that answers with a status."""

    async def answer(request, writer):
        writer.write(target.build(request, status=status, **options))

    return answer


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", ["repeatable", "at-most-once"])
def test_refusal_of_another_program_is_final(status, kind):
    """Without the request's id it is no answer to the request, whoever listens there."""

    async def check():
        async with GatewayKit.open(targets=1, route={"kind": kind}) as kit:
            target = kit.targets["t0"]
            target.script = answer_with(target, status, attempt_id=b"", is_signed=False)
            assert (await kit.call()).status == 502

    asyncio.run(check())


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("is_signed", [True, False])
def test_refusal_of_a_target_reaches_the_caller_as_its_own(status, is_signed):
    """Callers tell it from halldoor's refusals by their request's id."""

    async def check():
        async with GatewayKit.open(targets=1) as kit:
            target = kit.targets["t0"]
            target.script = answer_with(target, status, is_signed=is_signed)
            reply = await kit.call(attempt_id="a77")
            assert reply.status == int(status.split()[0])
            assert reply.find(NAMES.attempt_id) == b"a77"
            assert bool(reply.find(NAMES.signature)) is is_signed
            own = await kit.call(path="/1", extra=[("X-Long", "x" * 20_000)])
            assert own.status == 431
            assert not own.find(NAMES.attempt_id)

    asyncio.run(check())
