"""Observations of targets' answers that the entries of a hall share with each other.

Load pattern: a fleet so large that an entry sends a request to a given target, or of a given key,
only once in many seconds.  Alone it knows neither how busy a target is nor where a key is warm.  It
would wait at full targets, send keys to cold targets, and refuse requests although other targets
have free slots.  Together the entries of a hall observe a dozen times as many answers.

Observations are hints: a lost or late one does no harm, and only the choice between targets
depends on them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from halldoor.core.bounds import Count, Key, Kind
from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.load import USUAL_WORK_PERCENT, LoadReport


class SharingSettings(NamedTuple):
    """How the entries of a hall share observations.

    Attributes
    ----------
    peers : int
        Entries of the hall that each entry sends its observations to; 0: none.  A message costs
        some 30 µs at either end, and with a dozen peers an entry receives observations of each
        target several times a second.
    period_s : float
        Time between two messages, in seconds: below the work of most requests, so that received
        observations are still current.
    most : int
        Most observations in one message, so that it fits a datagram; further ones are dropped.
    """

    peers: int = 12
    period_s: float = 0.3
    most: int = 16


class Observation(NamedTuple):
    """A successful answer of a target, as an entry observed it.

    Attributes
    ----------
    kind : str
        Kind of request; those of one kind take similar work.
    key : str
        Affinity key of the request; empty if it has none.
    took_ms : int
        Time from sending to the whole answer on an open connection, in milliseconds.
    has_waited : bool
        Whether the target was full when it was chosen, so that the time includes a wait.
    running, waiting, slots, work_percent : int
        Load that the target reported, see `LoadReport`; slots are 0 if it reported none.
    """

    target: str
    kind: Kind
    key: Key
    took_ms: Count
    has_waited: bool
    running: Count = 0
    waiting: Count = 0
    slots: Count = 0
    work_percent: Count = USUAL_WORK_PERCENT

    @property
    def report(self) -> LoadReport | None:
        """The load that the target reported; None if it reported none that can be used."""
        if self.slots <= 0 or self.work_percent <= 0:
            return None
        return LoadReport(self.running, self.waiting, self.slots, self.work_percent)


def choose_peers(
    members: Iterable[MemberRecord], own: MemberRecord, settings: SharingSettings
) -> list[MemberRecord]:
    """Choose the entries of its hall to which an entry sends observations, by its own order."""
    known = {
        m.name: m
        for m in members
        if m.hall == own.hall and m.relay is not None and m.name != own.name
    }
    return [known[name] for name in rank(own.name, known)[: settings.peers]]
