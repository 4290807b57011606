"""Admission: the order of the checks, and which of them count against a quota."""

from __future__ import annotations

from random import Random

from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.teams.admission import (
    AccessSettings,
    AccessTable,
    AdmittedRequest,
    ConfigurationAge,
    RefusalReason,
)
from halldoor.core.teams.gate import QuotaGate
from halldoor.core.teams.quota import Shares
from halldoor.core.teams.team import Team, TeamLimit, digest_key, intersect_home_regions
from halldoor.tests.choicekit import SERVICE, make_route

NORTH = Team("north", (digest_key(b"k"),), 0, TeamLimit(1.0, 1.0), ("ams",))


class Access:
    """An access table with one route and one team, and an entry's quota gate."""

    def __init__(self, *, team=NORTH, **route):
        routing = Routing(1, (make_route(**route),), {"deck": SERVICE}, CallerLimits(), (team,))
        self.table = AccessTable(routing)
        self.gate = QuotaGate("e1", 1, Random(1).random)
        self.gate.set_limits(self.table.teams.get_limits())

    def request(self, *, host="decks.example", key="k", age_s=0.0, **settings):
        return self.table.admit_request(
            host,
            "/1",
            f"Bearer {key}".encode(),
            gate=self.gate,
            now=1.0,
            age=ConfigurationAge(age_s),
            entries=1,
            settings=AccessSettings(**settings),
        )


class TestOrder:
    def test_route_is_checked_before_the_key(self):
        assert Access().request(host="other.example", key="?").reason is RefusalReason.NO_ROUTE

    def test_key_is_checked_before_regions_and_quota(self):
        access = Access(home_regions=("grq",))
        assert access.request(key="?").reason is RefusalReason.UNKNOWN_KEY

    def test_request_without_common_region_is_not_counted(self):
        access = Access(home_regions=("grq",))
        for _ in range(5):
            assert access.request().reason is RefusalReason.NO_COMMON_REGION
        assert access.gate.close_period().periods[-1].counts == ()

    def test_quota_is_checked_last_and_refusals_are_not_counted_as_admitted(self):
        access = Access()
        assert isinstance(access.request(), AdmittedRequest)
        assert access.request().reason is RefusalReason.OVER_QUOTA
        (count,) = access.gate.close_period().periods[-1].counts
        assert (count.asked, count.admitted) == (2, 1)

    def test_unknown_key_gets_401_and_unknown_route_404(self):
        statuses = {Access().request(key="?").status, Access().request(host="?").status}
        assert statuses == {401, 404}


class TestTeam:
    def test_team_sets_priority_and_home_regions_of_the_route(self):
        route = Access(priority=3, home_regions=("grq", "ams")).request().route
        assert (route.priority, route.home_regions) == (0, ("ams",))

    def test_team_without_priority_keeps_that_of_the_route(self):
        access = Access(team=NORTH._replace(priority=None), priority=3)
        assert access.request().route.priority == 3

    def test_home_regions_of_route_and_team_are_intersected(self):
        assert intersect_home_regions((), ("a",)) == ("a",)
        assert intersect_home_regions(("a", "b"), ()) == ("a", "b")
        assert intersect_home_regions(("a", "b"), ("b", "c")) == ("b",)
        assert intersect_home_regions(("a",), ("b",)) is None


class TestQuota:
    def test_team_with_burst_zero_is_admitted_at_its_rate(self):
        """Regression: the entry's bucket of size 0 refused every request of a team with burst 0."""
        gate = QuotaGate("e1", 1, Random(1).random)
        gate.set_limits({"north": TeamLimit(20.0, 0.0)})
        number = gate.close_period().periods[-1].number
        gate.apply_answer(Shares(number, ()), 1.0)
        admitted = [gate.admit("north", 1.0 + i / 20, entries=75) for i in range(8)]
        assert all(admission.is_admitted for admission in admitted)


class TestStaleConfiguration:
    def test_unknown_key_or_route_gets_503_when_stale(self):
        for unknown in ({"key": "?"}, {"host": "?"}):
            refusal = Access().request(age_s=4.0, stale_s=3.0, **unknown)
            assert (refusal.reason, refusal.status) == (RefusalReason.OLD_CONFIGURATION, 503)

    def test_known_key_is_admitted_when_stale_unless_strict(self):
        assert isinstance(Access().request(age_s=9.0), AdmittedRequest)
        assert Access().request(age_s=9.0, is_strict=True).status == 503

    def test_route_is_stale_while_others_are_known_to_have_a_newer_configuration(self):
        assert ConfigurationAge(0.1, is_behind=True).is_stale(3.0)
        assert not ConfigurationAge(0.1).is_stale(3.0)
