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
    def test_equal_requests_have_equal_identities(self):
        assert identify() == identify()

    @pytest.mark.parametrize("host", [b"DECKS.example", b"decks.example:8443"])
    def test_case_and_port_of_the_host_are_ignored(self, host):
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
    def test_different_requests_have_different_digests(self, changed):
        assert identify(**changed).digest != identify().digest

    def test_bytes_moved_between_path_and_body_change_the_identity(self):
        assert identify(target=b"/a", body=b"bc") != identify(target=b"/ab", body=b"c")

    def test_address_changes_the_caller_but_not_the_digest(self):
        one, other = identify(), identify(address="10.0.0.8")
        assert one.digest == other.digest and one.caller != other.caller

    def test_team_is_one_caller_at_any_address(self):
        assert identify("north") == identify("north", "10.0.0.8")
        assert identify("north").caller != identify("south").caller
