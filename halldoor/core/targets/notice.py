"""Notices between entries that a target is cold, and the choice of their receivers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from halldoor.core.bounds import SignedSeconds, UnixMs
from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord

HALL_RECEIVERS = 12
"""Entries of the own hall that a notice is sent to."""
FAR_RECEIVERS = 4
"""Entries of other halls that a notice is sent to, so that it also reaches halls without contact
with the store."""


class ColdNotice(NamedTuple):
    """A target's statement on whether it is cold, as an entry received it.

    Attributes
    ----------
    target : str
        Name of the target's incarnation.
    started_ms : int
        Start of the target that the statement is about; see `TargetRecord`.
    cold_left_s : float
        Time for which the target is still cold, in seconds; 0 if it is warm.
    """

    target: str
    started_ms: UnixMs
    cold_left_s: SignedSeconds

    @property
    def is_valid(self) -> bool:
        """Whether the time is finite and not negative."""
        return math.isfinite(self.cold_left_s) and self.cold_left_s >= 0


def choose_receivers(members: Iterable[MemberRecord], own: MemberRecord) -> list[MemberRecord]:
    """Choose the entries that an entry notifies: all of a small fleet, else some near and far ones.

    Each entry has an order of its own, so that in a large fleet every entry is notified by about
    equally many others.
    """
    known = {m.name: m for m in members if m.relay is not None and m.name != own.name}
    order = [known[name] for name in rank(own.name, known)]
    if len(order) <= HALL_RECEIVERS + FAR_RECEIVERS:
        return order
    near = [m for m in order if m.hall == own.hall][:HALL_RECEIVERS]
    far = [m for m in order if m.hall != own.hall][:FAR_RECEIVERS]
    return near + far
