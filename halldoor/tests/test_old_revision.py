"""Entries that may be behind refuse unknown services and operations as not run."""

from __future__ import annotations

from halldoor.standins.fleet import Fleet, wait_until
from halldoor.standins.sample import make_configuration
from halldoor.tests.conftest import start_all

NAMES = ("a1-e1", "a1-e2")
UNKNOWN = ("/s/nothing/read", "/s/decks/nothing", "/v1/lookup?service=nothing")


def find_statuses(fleet):
    """Return the statuses of all entries for each unknown name."""
    return {fleet.call(name, path).status for name in NAMES for path in UNKNOWN}


def test_entry_cut_off_from_the_platform_refuses_an_unknown_service_for_good():
    """It answered 404, although operators may have added the service since."""
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 2}, targets=1)
        fleet.use_relays(configuration)
        start_all(fleet, configuration)
        wait_until(lambda: find_statuses(fleet) <= {400, 404}, what="refused for good")
        fleet.set_faults(down=True)
        wait_until(lambda: find_statuses(fleet) == {503}, what="refused as not run")
        assert fleet.call(NAMES[0], "/s/decks/read/x").status == 200
        fleet.set_faults()
        wait_until(lambda: find_statuses(fleet) <= {400, 404}, what="refused for good at last")
