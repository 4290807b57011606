"""Tests of requests whose callers or targets send odd figures in header fields."""

from __future__ import annotations

import asyncio

import pytest

from halldoor.gateway.attempt import DEFAULT_DEADLINE_S, parse_deadline_s
from halldoor.tests.gatewaykit import NAMES, GatewayKit

ODD = [b"9" * 5000, b"1" + b"0" * 400, b"1e999", b"-1", b"nan", b"inf", b"0x10", b"1_0", b"\xb2"]
FIELDS = {
    b"keep-alive": b"timeout=%s",
    b"retry-after": b"%s",
    NAMES.load: b"%s,%s,%s",
    NAMES.cold_ms: b"%s",
    NAMES.limit: b"%s",
    NAMES.leaving: b"%s",
}


@pytest.mark.parametrize("field", FIELDS)
def test_odd_figure_of_a_target_loses_its_whole_answer(field):
    """A time-out of 5,000 digits in `Keep-Alive` was answered 502 though the answer was whole."""

    async def check():
        async with GatewayKit.open(targets=1) as kit:
            target = kit.targets["t0"]
            for odd in ODD:
                value = FIELDS[field].replace(b"%s", odd)

                async def answer(request, writer, value=value):
                    writer.write(target.build(request, extra=[(field, value)]))

                target.script = answer
                assert ((await kit.call()).status, value[:40]) == (200, value[:40])

    asyncio.run(check())


@pytest.mark.parametrize("odd", ODD[:-1])
def test_odd_deadline_is_taken_as_passed(odd):
    async def check():
        async with GatewayKit.open(targets=1) as kit:
            reply = await kit.call(deadline_ms=odd.decode())
            # A deadline in the past is refused; one that can't be read is the default.
            assert reply.status == (503 if odd == b"-1" else 200)

    asyncio.run(check())


def test_deadline_is_a_finite_time():
    for odd in ODD:
        assert 0.0 <= parse_deadline_s(odd) <= 1e9
    assert parse_deadline_s(b"") == parse_deadline_s(b"soon") == DEFAULT_DEADLINE_S
    assert parse_deadline_s(b"250") == 0.25
