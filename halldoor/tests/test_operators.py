"""Operators' scenarios (operators.feature), and the command line's errors for bad input."""

from hashlib import sha256

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from halldoor.core.errors import HalldoorError
from halldoor.core.steering.configuration import Configuration
from halldoor.standins.fleet import Fleet
from halldoor.standins.sample import make_configuration
from halldoor.tests.conftest import start_all

scenarios("features/operators.feature")

NAMES = ["a1-e1", "b1-e1"]


@pytest.fixture(scope="module")
def fleet():
    with Fleet.open() as fleet:
        configuration = make_configuration(halls={"a1": 1, "b1": 1})
        configuration["teams"] = [
            {"name": name, "token_sha256": [sha256(name.encode()).hexdigest()]}
            for name in ("cards", "photos")
        ]
        configuration["teams"].append(
            {
                "name": "ops",
                "administrator": True,
                "token_sha256": [sha256(b"ops").hexdigest()],
            }
        )
        configuration["shifts"] = [
            {"name": "to-b", "service": "decks", "to": "region=b", "cap": 0.2}
        ]
        start_all(fleet, configuration)
        fleet.start_admin()
        yield fleet


@pytest.fixture
def result():
    return {}


@given("two halls that serve decks with a shift to region b capped at 20%")
def _(fleet):
    assert fleet.get_revision("a1-e1") >= 1


@when(parsers.parse('team {team} runs "{command}"'))
def _(fleet, result, team, command):
    result["done"] = fleet.run_cli(*command.split(), token=team)


@when("team ops applies the first file again against revision 1")
def _(fleet, result):
    path = fleet.write_configuration(fleet.configuration)
    result["done"] = fleet.run_cli("apply", str(path), "--base", "1", token="ops")


@then(parsers.parse("the command ends with {code:d}"))
def _(result, code):
    assert result["done"].returncode == code, result["done"].stderr


@then(parsers.parse('the message says "{words}"'))
def _(result, words):
    assert words in result["done"].stderr


@then("every entry has the accepted revision in force")
def _(fleet, result):
    revision = int(result["done"].stdout.split("revision ")[1].split()[0])
    fleet.wait_ready(*NAMES, revision=revision)


@then(parsers.parse('the audit trail names {who} and "{verb}"'))
def _(fleet, who, verb):
    assert f"{who}: {verb}" in fleet.run_cli("audit", token="ops").stdout


class TestBadInput:
    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("regions: [", "not YAML at line"),
            ("regions: 5", "Expected `array`, got `int`"),
            ("nonsense: 1", "unknown field"),
            ("regions: []", "missing required field"),
            ("a: &a [*a, *a]", "Nested more than 32 deep"),
            ("[" * 3000, "not YAML"),
        ],
    )
    def test_validate_reports_the_file_and_the_error(self, tmp_path, text, words):
        import subprocess
        import sys

        path = tmp_path / "c.yaml"
        path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "halldoor.cli.operator", "validate", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert words in done.stderr
        assert str(path) in done.stderr
        assert "Traceback" not in done.stderr

    @pytest.mark.parametrize(
        ("change", "words"),
        [
            ({"targets": [{"hall": "nowhere"}]}, "targets.a1-t1.hall is 'nowhere'"),
            ({"targets": [{"slots": 0}]}, "slots"),
            ({"services": [{"selector": "service=nothing"}]}, "selects no target"),
            ({"services": [{"selector": "=="}]}, "can't be read"),
            ({"services": [{"team": "nobody"}]}, "services.decks.team is 'nobody'"),
            ({"shifts": [{"position": 0.9}]}, "past its cap"),
            ({"client_blocks": [{"networks": ["10.0.0.0/33"]}]}, "is no network"),
            ({"client_blocks": [{"networks": ["10.0.0.0/8", "10.1.0.0/16"]}]}, "overlaps"),
        ],
    )
    def test_configuration_errors(self, change, words):
        data = make_configuration(halls={"a1": 1})
        data["shifts"] = [{"name": "s", "service": "decks", "to": "hall=a1", "cap": 0.1}]
        data["client_blocks"] = [{"hall": "a1", "networks": []}]
        for section, rows in change.items():
            data[section][0] |= rows[0]
        with pytest.raises(HalldoorError, match=words.replace("(", r"\(")):
            Configuration.from_data(data)
