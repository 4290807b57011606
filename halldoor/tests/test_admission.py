"""Admission: the order of the checks, and which of them count against a quota."""

from __future__ import annotations

from random import Random

from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.teams.admission import (
    AccessSettings,
    AccessTable,
    Entrance,
    RefusalReason,
)
from halldoor.core.teams.gate import QuotaGate
from halldoor.core.teams.quota import Shares
from halldoor.core.teams.team import Team, TeamLimit, digest_key, join_homes
from halldoor.tests.choicekit import SERVICE, make_route

NORTH = Team("north", (digest_key(b"k"),), 0, TeamLimit(1.0, 1.0), ("ams",))


class Door:
    """An access table with one route and one team, and an entry's quota gate."""

    def __init__(self, *, team=NORTH, **route):
        routing = Routing(1, (make_route(**route),), {"deck": SERVICE}, CallerLimits(), (team,))
        self.table = AccessTable(routing)
        self.gate = QuotaGate("e1", 1, Random(1).random)
        self.gate.use(self.table.teams.get_limits())

    def enter(self, *, host="decks.example", key="k", age_s=0.0, **settings):
        return self.table.enter(
            host,
            "/1",
            f"Bearer {key}".encode(),
            gate=self.gate,
            now=1.0,
            age_s=age_s,
            entries=1,
            settings=AccessSettings(**settings),
        )


class TestOrder:
    def test_the_route_comes_before_the_key(self):
        assert Door().enter(host="other.example", key="?").reason is RefusalReason.NO_ROUTE

    def test_the_key_comes_before_homes_and_quota(self):
        door = Door(home_regions=("grq",))
        assert door.enter(key="?").reason is RefusalReason.UNKNOWN_KEY

    def test_what_no_region_may_serve_takes_nothing_from_the_quota(self):
        door = Door(home_regions=("grq",))
        for _ in range(5):
            assert door.enter().reason is RefusalReason.NO_COMMON_REGION
        assert door.gate.close_period().periods[-1].counts == ()

    def test_the_quota_comes_last_and_a_refusal_takes_nothing(self):
        door = Door()
        assert isinstance(door.enter(), Entrance)
        assert door.enter().reason is RefusalReason.OVER_QUOTA
        (count,) = door.gate.close_period().periods[-1].counts
        assert (count.asked, count.admitted) == (2, 1)

    def test_statuses(self):
        statuses = {Door().enter(key="?").status, Door().enter(host="?").status}
        assert statuses == {401, 404}


class TestTeam:
    def test_the_teams_rank_and_homes_hold(self):
        route = Door(priority=3, home_regions=("grq", "ams")).enter().route
        assert (route.priority, route.home_regions) == (0, ("ams",))

    def test_a_team_without_a_rank_leaves_the_routes(self):
        door = Door(team=NORTH._replace(priority=None), priority=3)
        assert door.enter().route.priority == 3

    def test_homes_of_both_bind_and_neither_empties_the_other(self):
        assert join_homes((), ("a",)) == ("a",)
        assert join_homes(("a", "b"), ()) == ("a", "b")
        assert join_homes(("a", "b"), ("b", "c")) == ("b",)
        assert join_homes(("a",), ("b",)) is None


class TestQuota:
    def test_a_team_without_a_burst_has_its_rate(self):
        """Regression: the entry's bucket of size 0 refused every request of a team with burst 0."""
        gate = QuotaGate("e1", 1, Random(1).random)
        gate.use({"north": TeamLimit(20.0, 0.0)})
        number = gate.close_period().periods[-1].number
        gate.take(Shares(number, ()), 1.0)
        admitted = [gate.admit("north", 1.0 + i / 20, entries=75) for i in range(8)]
        assert all(admission.is_admitted for admission in admitted)


class TestAge:
    def test_old_knowledge_refuses_what_it_does_not_know_as_not_run(self):
        for unknown in ({"key": "?"}, {"host": "?"}):
            refusal = Door().enter(age_s=4.0, stale_s=3.0, **unknown)
            assert (refusal.reason, refusal.status) == (RefusalReason.OLD_CONFIGURATION, 503)

    def test_old_knowledge_serves_known_keys_unless_revocation_is_strict(self):
        assert isinstance(Door().enter(age_s=9.0), Entrance)
        assert Door().enter(age_s=9.0, is_strict=True).status == 503
