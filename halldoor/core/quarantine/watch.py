"""State that an entry keeps for one request that may crash targets."""

from __future__ import annotations

from halldoor.core.quarantine.evidence import CrashHistory, Evidence


class TrackedRequest:
    """A request with its crash history, and which evidence others already have.

    Attributes
    ----------
    history : CrashHistory
        Its crashes and answers.
    is_blocked : bool
        Whether it is blocked for at least one caller.
    last_sent : Evidence or None
        Evidence that this entry broadcast last, as a collector.
    recorded : Evidence or None
        Evidence that the store holds.
    record_at, rebroadcast_at : float or None, list of float
        When to write it to the store, and when to broadcast it again; in seconds of the clock of
        ``now``.
    last_received : Evidence or None
        Evidence that another entry broadcast last.
    notified : tuple of str
        Collectors that were sent the crashes that this entry saw.
    trials_taken : set of int
        Numbers of the trial runs that have been used.
    """

    def __init__(self, digest: str) -> None:
        self.history = CrashHistory(digest)
        self.is_blocked = False
        self.last_sent: Evidence | None = None
        self.recorded: Evidence | None = None
        self.record_at: float | None = None
        self.rebroadcast_at: list[float] = []
        self.last_received: Evidence | None = None
        self.notified: tuple[str, ...] = ()
        self.trials_taken: set[int] = set()
