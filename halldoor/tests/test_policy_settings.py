"""Tests of policy files, which change settings by section; errors name the wrong setting."""

import pytest

from halldoor.core.errors import SettingsError
from halldoor.core.settings import Address
from halldoor.core.targets.outlier import OutlierTable
from halldoor.core.targets.route import RequestKind
from halldoor.gateway.pool import Reuse, TargetPool
from halldoor.gateway.settings import GatewaySettings

SETTINGS = GatewaySettings(
    name="e1",
    hall="ams-a",
    region="ams",
    front=Address("127.0.0.1", 1),
    ready=Address("127.0.0.1", 2),
    directory=Address("127.0.0.1", 3),
    regions={},
)


class TestPolicyFile:
    def test_policy_changes_only_the_settings_in_it(self):
        policy = {"choice": {"region_fill": 1}, "connections": {"reuse": "repeatable"}}
        changed = SETTINGS.apply_policy(policy, origin="p.yaml")
        assert changed.choice == SETTINGS.choice._replace(region_fill=1.0)
        assert changed.connections.reuse is Reuse.REPEATABLE
        assert changed.find_changes(SETTINGS) == ["choice", "connections"]

    @pytest.mark.parametrize(
        ("policy", "wanted"),
        [
            ({"choise": {}}, "'choise' is not known"),
            ({"choice": {"weight": 2}}, "'weight' is not known"),
            ({"choice": {"region_fill": "much"}}, r"choice\.region_fill"),
            ({"connections": {"reuse": "some"}}, r"connections\.reuse"),
            (["choice"], r"p\.yaml"),
        ],
    )
    def test_error_names_the_wrong_setting(self, policy, wanted):
        with pytest.raises(SettingsError, match=wanted):
            SETTINGS.apply_policy(policy, origin="p.yaml")


class TestSwitches:
    @pytest.mark.parametrize("name", ["ejects_failing", "ejects_slow"])
    def test_ejections_can_be_disabled(self, name):
        settings = SETTINGS.apply_policy({"outliers": {name: False}}, origin="p.yaml")
        table = OutlierTable(settings.outliers)
        for number in range(20):
            if name == "ejects_failing":
                table.add_failure("t1", number, is_unreachable=True)
            else:
                table.add_success("t1", "deck", 10.0, number)
                table.add_success("t2", "deck", 0.1, number)
            assert not table.is_ejected("t1", number)

    @pytest.mark.parametrize("reuse", Reuse)
    def test_uploads_never_use_a_kept_connection(self, reuse):
        settings = SETTINGS.apply_policy({"connections": {"reuse": reuse.value}}, origin="p.yaml")
        assert TargetPool(settings.connections).take_idle("t1", RequestKind.UPLOAD) is None
