"""Simulation of a load pattern under several policies: the part behind ``halldoor replay``."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from halldoor.core.errors import SettingsError
from halldoor.core.settings import Address
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.files import load_settings, load_yaml
from halldoor.gateway.settings import GatewaySettings
from halldoor.standins.patterns import Pattern
from halldoor.standins.replay import ModelEntry, Replay, Tally

DEFAULT_POLICY = "as it is"
"""Name of the default policy in the output."""
CHOICE_SECTION = "choice"
"""Only section of a policy file that affects a replay."""
_UNUSED_ADDRESS = Address("127.0.0.1", 1)
"""Address for required settings that a replay doesn't use."""
_DEFAULT_SETTINGS = GatewaySettings(
    name="replay",
    hall="",
    region="",
    front=_UNUSED_ADDRESS,
    ready=_UNUSED_ADDRESS,
    directory=_UNUSED_ADDRESS,
    regions={},
)


class PolicyResult(NamedTuple):
    """Result of a load pattern under one policy."""

    policy: str
    tally: Tally

    def to_fields(self) -> dict[str, Any]:
        """Return the figures of the result by name, as printed by ``--output json``."""
        tally, counts = self.tally, self.tally.counts
        worst = min(self.list_seconds(), key=lambda second: tally.share_in_aim(second, second + 1))
        return {
            "policy": self.policy,
            "in_aim": round(tally.share_in_aim(), 4),
            "worst_second": worst,
            "in_aim_in_worst_second": round(tally.share_in_aim(worst, worst + 1), 4),
            **{name: counts[name] for name in ("late", "refused", "cold", "warm", "far")},
        }

    def list_seconds(self) -> list[int]:
        """List the seconds of the pattern in which requests arrived."""
        tally = self.tally
        return sorted({*tally.in_aim, *tally.late, *tally.refused})


def load_pattern(path: Path) -> Pattern:
    """Return a validated load pattern from a file.

    Raises
    ------
    SettingsError
        If the file is invalid; the message names the field.
    """
    return load_settings(path, Pattern)


def load_policies(paths: Iterable[Path]) -> dict[str, ChoiceSettings]:
    """Return the default policy, followed by those of the files, by name.

    Raises
    ------
    SettingsError
        If a setting is invalid or doesn't affect a replay; the message names it.
    """
    policies = {DEFAULT_POLICY: _DEFAULT_SETTINGS.choice}
    for path in paths:
        settings = _DEFAULT_SETTINGS.apply_policy(load_yaml(path), origin=str(path))
        others = [
            name for name in settings.find_changes(_DEFAULT_SETTINGS) if name != CHOICE_SECTION
        ]
        if others:
            raise SettingsError(
                f"{path}: a replay does not support {', '.join(others)}.",
                remedy=f"Keep only the section '{CHOICE_SECTION}'.",
            )
        policies[path.stem] = settings.choice
    return policies


def play_policies(
    pattern: Pattern, policies: dict[str, ChoiceSettings], *, seed: int
) -> list[PolicyResult]:
    """Simulate a pattern under each policy, with the same seed."""
    return [
        PolicyResult(name, _simulate(pattern, choice, seed)) for name, choice in policies.items()
    ]


def _simulate(pattern: Pattern, choice: ChoiceSettings, seed: int) -> Tally:
    """Simulate a pattern under one policy."""

    def use(entry: ModelEntry) -> None:
        """Set the policy at one entry of the simulation."""
        entry.chooser.settings = choice

    return Replay(pattern, seed=seed, adapt=use).run()


def describe_played(played: Sequence[PolicyResult]) -> list[str]:
    """Describe the results in lines of text, one for each policy."""
    lines = []
    for one in played:
        f = one.to_fields()
        lines.append(
            f"{f['policy']}: {f['in_aim']:.1%} in time, {f['late']} late, {f['refused']} refused; "
            f"worst second {f['worst_second']}: {f['in_aim_in_worst_second']:.1%}; "
            f"{f['cold']} of {f['cold'] + f['warm']} cold, {f['far']} in another region."
        )
    return lines


def draw(played: Sequence[PolicyResult], path: Path) -> None:
    """Plot the requests in time, late and refused of each second, by policy.

    Raises
    ------
    SettingsError
        If matplotlib is missing, or the file can't be written.
    """
    try:
        import matplotlib as mpl
    except ModuleNotFoundError as exc:
        raise SettingsError(
            "Plots need matplotlib.", remedy="Install halldoor with its 'plot' extra."
        ) from exc
    mpl.use("agg")
    import matplotlib.pyplot as plt

    figure, panels = plt.subplots(3, sharex=True, figsize=(7, 7))
    for name, panel in zip(("in_aim", "late", "refused"), panels, strict=True):
        for one in played:
            counts = getattr(one.tally, name)
            seconds = one.list_seconds()
            panel.step(seconds, [counts[s] for s in seconds], where="post", label=one.policy)
        panel.set_ylabel(f"{name.replace('_', ' ')}, a second")
        panel.set_ylim(bottom=0)
    panels[0].legend()
    panels[-1].set_xlabel("s")
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise SettingsError(
            f"{path}: {exc}.", remedy="Pass a file that ends in .svg or .png."
        ) from exc
    finally:
        plt.close(figure)
