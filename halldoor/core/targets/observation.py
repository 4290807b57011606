"""What the entries of a hall tell each other of their targets.

Load pattern: a fleet in which an entry meets a target, or a key, once in many seconds.  Alone it
knows neither how busy a target is nor where a key is warm, and so waits at full targets, sends keys
to cold ones, and refuses what others had room for.  The entries of a hall see a dozen times as much
together.

Observations are hints: one that is lost or late costs nothing, and nothing is decided by them but
the choice between targets.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord


class SharingSettings(NamedTuple):
    """How the entries of a hall share what they learn.

    Attributes
    ----------
    peers : int
        Entries of the hall that each one tells; 0: none.  A message costs some 30 µs at either
        end, and with a dozen peers an entry hears of each target several times a second.
    period_s : float
        Time between two messages, in seconds: below the work of most requests, so that what is
        heard still holds.
    most : int
        Observations in one message, so that it fits a datagram; what is more is dropped.
    """

    peers: int = 12
    period_s: float = 0.3
    most: int = 16


class Observation(NamedTuple):
    """A sound answer of a target, as an entry saw it.

    Attributes
    ----------
    kind : str
        Kind of request, for which targets work alike.
    key : str
        Its affinity key; empty where it has none.
    took_ms : int
        Time from sending to the whole answer on a connection that was there, in milliseconds.
    has_waited : bool
        The target was full when it was chosen, so that the time says little of the work.
    running, waiting, slots : int
        What the target reported of its load; no slots where it reported none.
    """

    target: str
    kind: str
    key: str
    took_ms: int
    has_waited: bool
    running: int = 0
    waiting: int = 0
    slots: int = 0


def choose_peers(
    members: Iterable[MemberRecord], own: MemberRecord, settings: SharingSettings
) -> list[MemberRecord]:
    """Choose whom an entry tells: others of its hall, by its own order where there are many."""
    known = {
        m.name: m
        for m in members
        if m.hall == own.hall and m.relay is not None and m.name != own.name
    }
    return [known[name] for name in rank(own.name, known)[: settings.peers]]
