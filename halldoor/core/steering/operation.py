"""Frequent edits of the configuration: changing a shift and draining a target."""

from __future__ import annotations

import msgspec

from halldoor.core.errors import SettingsError
from halldoor.core.steering.configuration import Configuration, Shift, Target

SHIFT_VERBS = ("start", "step", "pause", "back")


def edit_shift(
    configuration: Configuration, name: str, verb: str, *, position: float | None = None
) -> Configuration:
    """Return the configuration with a shift started, moved on, paused or taken back.

    Parameters
    ----------
    configuration : Configuration
        The current configuration.
    name : str
        Name of the shift.
    verb : str
        One of `SHIFT_VERBS`.
    position : float, optional
        Share of client blocks to choose, for ``start`` and ``step``.

    Raises
    ------
    SettingsError
        If there is no such shift, or the verb or position is not valid for it.
    """
    shift = next((s for s in configuration.shifts if s.name == name), None)
    if shift is None:
        known = ", ".join(s.name for s in configuration.shifts) or "none"
        raise SettingsError(f"There is no shift {name!r}.", remedy=f"Known shifts: {known}.")
    changed = _change_shift(shift, verb, position)
    shifts = [changed if s.name == name else s for s in configuration.shifts]
    return msgspec.structs.replace(configuration, shifts=shifts)


def _change_shift(shift: Shift, verb: str, position: float | None) -> Shift:
    """Return a shift changed by a verb; see `edit_shift`."""
    if verb == "start":
        wanted = shift.position if position is None else position
        return _set_position(shift, wanted, state="running")
    if verb == "step":
        if shift.state != "running":
            raise SettingsError(
                f"Shift {shift.name} is {shift.state}.",
                remedy=f"Run 'halldoor shift start {shift.name}' first.",
            )
        if position is None:
            raise SettingsError("A step needs a position.", remedy="Add --position 0.1.")
        return _set_position(shift, position, state="running")
    if verb == "pause":
        return _set_position(shift, shift.position, state="paused")
    if verb == "back":
        return _set_position(shift, 0.0, state="planned")
    raise SettingsError(
        f"There is no shift verb {verb!r}.", remedy=f"Use one of: {', '.join(SHIFT_VERBS)}."
    )


def _set_position(shift: Shift, position: float, *, state: str) -> Shift:
    """Return a shift at another position and in another state.

    Raises
    ------
    SettingsError
        If the position is not from 0 to the shift's cap.
    """
    if not 0.0 <= position <= shift.cap:
        raise SettingsError(
            f"Position {position} of shift {shift.name} is not from 0 to its cap {shift.cap}.",
            remedy="Choose a position within the cap, or raise the cap with 'halldoor apply'.",
        )
    return msgspec.structs.replace(shift, position=position, state=state)


def edit_drain(configuration: Configuration, name: str, *, is_leaving: bool) -> Configuration:
    """Return the configuration with a target marked as leaving, or not leaving any more.

    Raises
    ------
    SettingsError
        If there is no such target.
    """
    if not any(t.name == name for t in configuration.targets):
        raise SettingsError(
            f"There is no target {name!r}.", remedy="Run 'halldoor status' to list the targets."
        )

    def change(target: Target) -> Target:
        if target.name != name:
            return target
        return msgspec.structs.replace(target, leaving=is_leaving)

    targets = [change(t) for t in configuration.targets]
    return msgspec.structs.replace(configuration, targets=targets)
