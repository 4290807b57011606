"""Settings of the programs that are read field by field."""

import signal

import pytest
import yaml

from halldoor.cli.gateway import SettingsLoader, build_settings
from halldoor.core.errors import SettingsError
from halldoor.core.fields import describe_fields, parse_fields
from halldoor.core.settings import EntrySettings
from halldoor.gateway.filestore import GatewayFileSettings
from halldoor.tests.test_program_start import build_settings as build_example
from halldoor.tests.test_program_start import start_program

ODD = ["much", [], -1, 10**400, float("nan"), {"a": 1}]


@pytest.fixture
def gateway(tmp_path):
    return build_example(tmp_path, "gateway")[0]


class TestGatewayFile:
    @pytest.mark.parametrize("odd", ODD, ids=str)
    @pytest.mark.parametrize("name", ["lookup_ttl_s", "grace_s", "metrics", "policy", "graces"])
    def test_odd_setting_keeps_all_from_being_read(self, gateway, name, odd):
        fields = parse_fields(gateway | {name: odd}, GatewayFileSettings, origin="file")
        settings = build_settings(fields)
        expected = "policy.a" if name == "policy" and isinstance(odd, dict) else name
        assert settings.unread == (expected,)
        assert settings.name == gateway["name"]

    @pytest.mark.parametrize("path", ["choice.region_fill", "choice.none", "choise", "choice"])
    def test_odd_policy_keeps_its_previous_values(self, gateway, path, tmp_path):
        file = tmp_path / "settings.yaml"
        policy = {"choice": {"region_fill": 1.1}, "retries": {"slack": 9}}
        file.write_text(yaml.safe_dump(gateway | {"policy": policy}))
        loader = SettingsLoader(file)
        loader.load()
        section, _, name = path.partition(".")
        odd = policy | {"retries": {"slack": 8}, section: {name: "much"} if name else 7}
        file.write_text(yaml.safe_dump(gateway | {"policy": odd}))
        settings = loader.load().gateway
        assert settings.unread == (f"policy.{path}",)
        assert settings.retries.slack == 8
        assert settings.choice.region_fill == (1.4 if name == "none" else 1.1)

    @pytest.mark.parametrize("name", ["front", "name", "configuration"])
    def test_odd_required_setting_is_waited_for(self, gateway, name):
        with pytest.raises(SettingsError, match=name):
            parse_fields(gateway | {name: 7, "grace_s": "x"}, GatewayFileSettings, origin="f")
        missing = {key: value for key, value in gateway.items() if key != name}
        with pytest.raises(SettingsError, match=name):
            parse_fields(missing | {"grace_s": "x"}, GatewayFileSettings, origin="f")


def test_odd_settings_keep_programs_waiting(tmp_path):
    for name, field in (("gateway", "grace_s"), ("entry", "queue_s"), ("admin", "log_format")):
        path = tmp_path / f"{name}.yaml"
        path.write_text(yaml.safe_dump(build_example(tmp_path, name)[0] | {field: []}))
        with start_program(name, path) as program:
            program.wait_for("defaults are used")
            program.wait_for("Started.")
            assert any(field in line for line in program.lines)
            program.process.send_signal(signal.SIGTERM)


def test_odd_settings_of_an_entry_take_their_defaults(tmp_path):
    settings = build_example(tmp_path, "entry")[0] | {"workers": 0, "peers": [1], "more": 1}
    fields = parse_fields(settings, EntrySettings, origin="file")
    assert fields.unread == ("peers", "workers", "more")
    assert fields.value.workers == 48


def test_many_odd_fields_are_described_briefly():
    assert describe_fields(tuple("abcdefghijklm")) == "a, b, c, d, e, f, g, h, i, j and 3 more"
