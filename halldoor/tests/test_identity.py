"""Which requests count as the same."""

from __future__ import annotations

import pytest

from halldoor.core.quarantine.identity import digest_request, name_caller

REQUEST = {
    "method": b"POST",
    "host": b"decks.example",
    "target": b"/decks/7?page=2",
    "body": b"cards",
    "length": b"",
}
CALLER = name_caller("", "10.0.0.7")


class TestIdentity:
    def test_a_request_is_the_same_at_every_entry(self):
        assert digest_request(CALLER, **REQUEST) == digest_request(CALLER, **REQUEST)

    @pytest.mark.parametrize("host", [b"DECKS.example", b"decks.example:8443"])
    def test_a_host_is_written_in_several_ways(self, host):
        other = digest_request(CALLER, **REQUEST | {"host": host})
        assert other == digest_request(CALLER, **REQUEST)

    @pytest.mark.parametrize(
        "changed",
        [
            {"method": b"PUT"},
            {"host": b"cards.example"},
            {"target": b"/decks/7?page=3"},
            {"body": b"card"},
            {"length": b"600000"},
        ],
    )
    def test_what_differs_is_another_request(self, changed):
        assert digest_request(CALLER, **REQUEST | changed) != digest_request(CALLER, **REQUEST)

    def test_parts_do_not_run_into_each_other(self):
        one = digest_request(CALLER, **REQUEST | {"target": b"/a", "body": b"bc"})
        other = digest_request(CALLER, **REQUEST | {"target": b"/ab", "body": b"c"})
        assert one != other

    def test_no_caller_makes_anothers_request(self):
        callers = [
            CALLER,
            name_caller("", "10.0.0.8"),
            name_caller("north", "10.0.0.7"),
            name_caller("10.0.0.7", ""),
        ]
        assert len({digest_request(caller, **REQUEST) for caller in callers}) == len(callers)

    def test_a_team_is_one_caller_wherever_it_comes_from(self):
        assert name_caller("north", "10.0.0.7") == name_caller("north", "10.0.0.8")
