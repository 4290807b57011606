"""A request that an entry keeps an eye on: its case, and who knows of it."""

from __future__ import annotations

from halldoor.core.quarantine.evidence import Case, Evidence


class Watch:
    """A case, and who was told of it.

    Attributes
    ----------
    told : Evidence or None
        What all were told last, by this entry.
    recorded : Evidence or None
        What the store holds.
    record_at, repeats : float or None, list of float
        When it is to be recorded, and told again; in seconds of the clock of ``now``.
    heard : Evidence or None
        What another entry told all last.
    collectors : tuple of str
        Who was told of the own ends.
    """

    def __init__(self, digest: str) -> None:
        self.case = Case(digest)
        self.is_blocked = False
        self.told: Evidence | None = None
        self.recorded: Evidence | None = None
        self.record_at: float | None = None
        self.repeats: list[float] = []
        self.heard: Evidence | None = None
        self.collectors: tuple[str, ...] = ()
        self.trials_taken: set[int] = set()
