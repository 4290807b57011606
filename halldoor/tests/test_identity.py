"""Request identity: which requests have equal digests, and how callers are distinguished."""

from __future__ import annotations

import pytest

from halldoor.core.quarantine.identity import identify_request

REQUEST = {
    "method": b"POST",
    "host": b"decks.example",
    "target": b"/decks/7?page=2",
    "body": b"cards",
    "length": b"",
}


def identify(team="", address="10.0.0.7", **changed):
    return identify_request(team, address, **REQUEST | changed)


class TestIdentity:
    def test_a_request_is_the_same_at_every_entry(self):
        assert identify() == identify()

    @pytest.mark.parametrize("host", [b"DECKS.example", b"decks.example:8443"])
    def test_a_host_is_written_in_several_ways(self, host):
        assert identify(host=host) == identify()

    @pytest.mark.parametrize(
        "changed",
        [
            {"method": b"PUT"},
            {"host": b"cards.example"},
            {"target": b"/decks/7?page=3"},
            {"body": b"card"},
            {"length": b"600000"},
            {"team": "north"},
        ],
    )
    def test_what_differs_is_another_request(self, changed):
        assert identify(**changed).digest != identify().digest

    def test_parts_do_not_run_into_each_other(self):
        assert identify(target=b"/a", body=b"bc") != identify(target=b"/ab", body=b"c")

    def test_without_teams_an_address_tells_callers_apart_and_not_requests(self):
        one, other = identify(), identify(address="10.0.0.8")
        assert one.digest == other.digest and one.caller != other.caller

    def test_a_team_is_one_caller_wherever_it_comes_from(self):
        assert identify("north") == identify("north", "10.0.0.8")
        assert identify("north").caller != identify("south").caller
