"""``halldoor replay``: results of patterns and policies from files, and errors in those files."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import yaml

from halldoor.cli.replay import load_pattern, load_policies, play_policies
from halldoor.core.errors import SettingsError

EXAMPLES = Path(__file__).parents[2] / "examples" / "patterns"
SMALL = {
    "halls": {
        "a": {"region": "ra", "entries": 2, "targets": 3, "callers": 1},
        "b": {"region": "rb", "entries": 2, "targets": 3, "callers": 1},
    },
    "rate_per_s": 60,
    "length_s": 3,
    "keys": 8,
    "warm_s": 0.1,
    "cold_s": 0.3,
    "aim_s": 0.4,
    "timeout_s": 1.0,
}


def write(folder, name, data):
    """Write data to a YAML file and return its path."""
    path = folder / name
    path.write_text(yaml.safe_dump(data))
    return path


def run(*arguments):
    """Run ``halldoor replay`` in a process of its own."""
    command = [sys.executable, "-m", "halldoor.cli.operator", "replay", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


class TestReplay:
    def test_result_of_each_policy_is_printed_and_plotted(self, tmp_path):
        pattern = write(tmp_path, "small.yaml", SMALL)
        policy = write(tmp_path, "no-keys.yaml", {"choice": {"uses_keys": False}})
        plot = tmp_path / "plot.svg"
        done = run(pattern, "--policy", policy, "--plot", plot, "--output", "json")
        assert done.returncode == 0, done.stderr
        results = msgspec.json.decode(done.stdout)
        assert [one["policy"] for one in results] == ["as it is", "no-keys"]
        assert results[0]["cold"] < results[1]["cold"]
        assert "<svg" in plot.read_text()[:1000]

    def test_same_seed_gives_same_result_and_another_seed_differs(self, tmp_path):
        pattern, policies = load_pattern(write(tmp_path, "p.yaml", SMALL)), load_policies([])
        first, again, other = (
            play_policies(pattern, policies, seed=seed)[0].to_fields() for seed in (1, 1, 2)
        )
        assert first == again != other

    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")), ids=lambda p: p.stem)
    def test_example_patterns_can_be_replayed(self, path):
        pattern = msgspec.structs.replace(load_pattern(path), length_s=1.0)
        (played,) = play_policies(pattern, load_policies([]), seed=1)
        assert played.to_fields()["warm"] + played.to_fields()["cold"] > 0


class TestBadInput:
    @pytest.mark.parametrize(
        ("change", "wanted"),
        [
            ({"rate_per_s": "many"}, "rate_per_s"),
            ({"rate_per_s": 0}, "rate_per_s"),
            ({"halls": {}}, "halls"),
            ({"speed": 1}, "speed"),
            ({"bursts": [{"at_s": 1}]}, r"for_s.*bursts\[0\]"),
            ({"evacuations": [{"hall": "z", "at_s": 1, "for_s": 1, "cold_s": 1}]}, "no hall"),
        ],
    )
    def test_error_names_the_invalid_field_of_a_pattern(self, tmp_path, change, wanted):
        with pytest.raises(SettingsError, match=wanted):
            load_pattern(write(tmp_path, "p.yaml", SMALL | change))

    def test_unsupported_policy_section_exits_with_one_line_and_code_2(self, tmp_path):
        pattern = write(tmp_path, "p.yaml", SMALL)
        policy = write(tmp_path, "q.yaml", {"sharing": {}, "retries": {"ratio": 0.5}})
        done = run(pattern, "--policy", policy)
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
        assert "a replay does not support retries" in done.stderr

    @pytest.mark.parametrize("name", ["plot.none", "no/such/folder/plot.svg"])
    def test_unwritable_plot_file_exits_with_one_line_and_code_2(self, tmp_path, name):
        done = run(write(tmp_path, "p.yaml", SMALL), "--plot", tmp_path / name)
        assert (done.returncode, done.stderr.count("\n")) == (2, 1)
