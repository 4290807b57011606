"""The example deployments are valid, and run completely."""

from pathlib import Path

import pytest

from halldoor.core.errors import SettingsError
from halldoor.core.settings import AdminSettings, EntrySettings
from halldoor.core.steering.configuration import Configuration, Hall, Service, Shift
from halldoor.files import load_settings, load_yaml
from halldoor.gateway.filestore import (
    GatewayConfiguration,
    GatewayFileSettings,
    load_configuration,
)
from halldoor.gateway.plain import (
    LimitsModel,
    RouteModel,
    ServiceModel,
    TargetModel,
    TeamModel,
)
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import IP, find_ports
from halldoor.tests.conftest import start_all

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def load_on_free_ports(name):
    """Load an example, with a free port in place of each configured one."""
    data = load_yaml(EXAMPLES / name)
    Configuration.from_data(data, origin=name)
    hosts = [e for h in data["halls"] for e in h["entries"]]
    ports = iter(find_ports(2 * len(hosts) + len(data["targets"])))
    for host in hosts:
        host["http"], host["wire"] = ({"ip": IP, "port": next(ports)} for _ in range(2))
    for target in data["targets"]:
        target["address"] = {"ip": IP, "port": next(ports)}
    return data


@pytest.mark.parametrize(
    ("name", "read", "order", "upload"),
    [
        ("kaartwerk.yaml", "decks", "assignments", "uploads"),
        ("line-photo.yaml", "photos", "rejects", "cameras"),
    ],
)
def test_every_hall_serves_every_service(name, read, order, upload):
    with Fleet.open() as fleet:
        data = load_on_free_ports(name)
        start_all(fleet, data, workers=10)
        for hall in data["halls"]:
            entry = hall["entries"][0]["name"]
            assert fleet.call(entry, f"/s/{read}/x?size=1000&seed=a").status == 200
            ticket = fleet.get_ticket(entry)
            headers = {"Halldoor-Ticket": ticket}
            path = f"/s/{order}/x"
            answer = fleet.call(entry, path, method="POST", body=b"o", headers=headers)
            assert answer.status == 200
            answer = fleet.call(entry, f"/s/{upload}/x", method="PUT", body=b"u" * 200_000)
            assert answer.status == 200


@pytest.mark.parametrize(
    "kind",
    [
        EntrySettings,
        AdminSettings,
        Configuration,
        Service,
        Hall,
        Shift,
        GatewayFileSettings,
        GatewayConfiguration,
        RouteModel,
        ServiceModel,
        TargetModel,
        TeamModel,
        LimitsModel,
        TeamModel,
    ],
)
def test_reference_lists_every_setting(kind):
    text = (EXAMPLES.parent / "docs" / "reference.md").read_text()
    missing = [name for name in kind.__struct_fields__ if f"`{name}`" not in text]
    assert not missing


@pytest.mark.parametrize(
    ("name", "kind"), [("entry.yaml", EntrySettings), ("admin.yaml", AdminSettings)]
)
def test_settings_of_the_examples_are_valid(name, kind):
    assert load_settings(EXAMPLES / name, kind)


class TestTeamsInAFile:
    TEAMS = """
teams:
  - {name: north, key_digests: [%s], rate_per_s: 5, burst: 5}
  - {name: south, key_digests: [%s]}
"""

    def write(self, tmp_path, *digests):
        path = tmp_path / "routes.yaml"
        path.write_text((EXAMPLES / "gateway-routes.yaml").read_text() + self.TEAMS % digests)
        return path

    def test_teams_in_file_become_part_of_routing(self, tmp_path):
        configuration = load_configuration(self.write(tmp_path, "ab" * 32, "cd" * 32))
        routing = configuration.to_model().to_routing()
        assert [team.name for team in routing.teams] == ["north", "south"]
        assert b"north" in configuration.to_records()["routing"]

    def test_key_of_two_teams_is_error_naming_both(self, tmp_path):
        with pytest.raises(SettingsError, match="north and south hold one key"):
            load_configuration(self.write(tmp_path, "ab" * 32, "ab" * 32))

    def test_invalid_digest_is_error(self, tmp_path):
        with pytest.raises(SettingsError, match="hexadecimal"):
            load_configuration(self.write(tmp_path, "key-itself", "cd" * 32))
