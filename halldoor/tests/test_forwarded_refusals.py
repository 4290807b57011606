"""Forwarded requests that another entry would refuse by its own configuration.

An entry that reaches no target forwards the requests that it admitted.  Callers got 404, 401 and
503 from a neighbour whose configuration was older, though others remained to be asked.
"""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

import msgspec
import pytest

from halldoor.core.teams.admission import Refusal, RefusalReason
from halldoor.gateway.outcomes import Rejected
from halldoor.tests.gatewaykit import NAMES
from halldoor.tests.reachkit import ReachFleet
from halldoor.tests.test_forwarding import count_forwarded, lose_targets

REQUESTS = 20
NO_ROUTE = RefusalReason.NO_ROUTE


def move_paths(data):
    """Move the routes to other paths."""
    for route in data["routes"]:
        route["path_prefix"] = f"/new{route['path_prefix']}"


@contextlib.asynccontextmanager
async def open_fleet(*, entries, behind, change=None):
    """Open a fleet whose first entry reaches no target; entries behind lack a change of the routes.

    By default the routes' paths change.
    """
    async with ReachFleet.open(entries=entries) as fleet:
        for kit in fleet.kits:
            # An entry whose process was stalled takes no forwarded requests.
            kit.gateway.stalls.measure = lambda now: 0.0
        await lose_targets(fleet, (0,))
        for i in behind:
            fleet.kits[i].gateway.catalog._apply_routing = lambda *_, **__: False
        data = msgspec.json.decode(fleet.store._values["routing"])
        (change or move_paths)(data)
        fleet.store.put("routing", msgspec.json.encode(data | {"version": 2}))
        catalogs = [k.gateway.catalog for i, k in enumerate(fleet.kits) if i not in behind]
        await fleet.kits[0].wait(lambda: {c.configuration_version for c in catalogs} == {2})
        fleet.calls.clear()
        yield fleet


def move(data):
    """Move the routes to each other's services."""
    for route in data["routes"]:
        route["service"] = "order" if route["service"] == "deck" else "deck"


async def call_new(fleet, **request):
    return await fleet.call(0, service="deck", path="/new/deck/1", **request)


def answer_as_before(kit):
    """Let an entry answer forwarded requests as the release before: with its own refusals."""
    kit.gateway.requests._build_refusal = lambda refusal, head, origin: (
        kit.gateway.access.build_answer(refusal)
    )


@pytest.mark.parametrize("is_old", [False, True], ids=["this release", "release before"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_request_goes_on_to_the_entry_that_has_the_route(method, is_old):
    """Regression: the neighbour in the own hall, which is asked first, answered 404."""

    async def check():
        async with open_fleet(entries=4, behind=(1, 3)) as fleet:
            if is_old:
                answer_as_before(fleet.kits[1])
                answer_as_before(fleet.kits[3])
            statuses = [await call_new(fleet, method=method) for _ in range(REQUESTS)]
            assert set(statuses) == {200}
            fleet.assert_rules_held()

    asyncio.run(check())


@pytest.mark.parametrize("is_old", [False, True], ids=["this release", "release before"])
def test_request_that_only_others_refuse_is_not_run(is_old):
    """Regression: the one neighbour's 404 ended 11 of 20 requests that the first entry admitted."""

    async def check():
        async with open_fleet(entries=2, behind=(1,)) as fleet:
            if is_old:
                answer_as_before(fleet.kits[1])
            statuses = [await call_new(fleet) for _ in range(REQUESTS)]
            assert set(statuses) == {503}
            assert count_forwarded(fleet)["refused"] >= REQUESTS
            fleet.assert_rules_held()

    asyncio.run(check())


def test_refusal_does_not_pause_an_entry_for_other_routes():
    async def check():
        async with open_fleet(entries=2, behind=()) as fleet:
            second = fleet.kits[1].gateway
            table = second.access.find_table()
            refuse = mock.patch.object(table, "admit_request", return_value=Refusal(NO_ROUTE))
            with refuse:
                assert await call_new(fleet) == 503
            assert await call_new(fleet) == 200

    asyncio.run(check())


def test_answer_of_a_target_is_final():
    """A target's own 404 carries the request's id, with or without a signature."""

    async def check():
        async with open_fleet(entries=3, behind=()) as fleet:

            async def miss(target, request, writer):
                answer = target.build(request, status=b"404 Not Found")
                lines = [x for x in answer.split(b"\r\n") if NAMES.signature not in x.lower()]
                writer.write(b"\r\n".join(lines))

            for target in fleet.targets.values():
                target.script = lambda r, w, target=target: miss(target, r, w)
            for number in range(5):
                assert await call_new(fleet, attempt_id=f"m{number}") == 404
            assert {fleet.count_runs()[f"m{number}"] for number in range(5)} == {1}

    asyncio.run(check())


def test_entries_of_the_release_before_understand_a_refusal():
    """They go on to the next entry where an answer says that the request was not run."""

    async def check():
        async with open_fleet(entries=2, behind=(1,)) as fleet:
            forwarder = fleet.kits[0].gateway.reach.forwarder
            outcomes = []
            finish = forwarder._finish

            async def record(caller, state, outgoing, outcome, peer):
                outcomes.append(outcome)
                return await finish(caller, state, outgoing, outcome, peer)

            forwarder._finish = record
            await call_new(fleet)
            assert outcomes
            assert all(isinstance(outcome, Rejected) for outcome in outcomes)

    asyncio.run(check())


@pytest.mark.parametrize("entries", [2, 4])
def test_forwarded_request_runs_on_the_service_of_an_older_configuration(entries):
    """Regression: a neighbour that was behind ran it by its own route, at the old service."""

    async def check():
        async with open_fleet(entries=entries, behind=(1,), change=move) as fleet:
            for target in fleet.targets.values():
                target.received.clear()
            order = {"service": "order", "method": "GET"}
            statuses = {await fleet.call(0, **order) for _ in range(REQUESTS)}
            assert statuses == ({503} if entries == 2 else {200})
            for name, target in fleet.targets.items():
                ran = [r for r in target.received if r.target.startswith(b"/order/")]
                assert not ran or name.startswith("deck")
            fleet.assert_rules_held()

    asyncio.run(check())
