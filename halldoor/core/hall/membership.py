"""Who is alive in the hall, by heartbeats that entries pass on.

Liveness steers look-ups, loans and relays; it never grants slots or tickets.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from halldoor.core.placement import rank

SUSPECT_AFTER_S = 2.5


class TargetReport(NamedTuple):
    """What one entry last saw of one target.

    Attributes
    ----------
    free : int
        Own idle slots that the reporter could lend.
    is_healthy : bool
        Its probes were answered.
    is_leaving : bool
        The target, or the platform's host list, said that it leaves.
    is_probed : bool
        The reporter probes it; else only ``free`` counts.
    """

    target: str
    free: int
    is_healthy: bool
    is_leaving: bool
    is_probed: bool


class Member(NamedTuple):
    """One entry as the others know it.

    Attributes
    ----------
    generation : int
        Rises with every restart under the same name.
    heartbeat : int
        Rises with every period of the process.
    version : int
        Rises when anything below it changes.
    """

    name: str
    hall: str
    incarnation: str
    generation: int
    heartbeat: int
    version: int
    revision: int
    is_leaving: bool
    sees_platform: bool = False
    reports: tuple[TargetReport, ...] = ()

    @property
    def age(self) -> tuple[int, int]:
        """Order two records of the same name."""
        return self.generation, self.heartbeat


class Membership:
    """The members of a hall as seen by one of them.

    Parameters
    ----------
    me : Member
        This entry.
    """

    def __init__(self, me: Member) -> None:
        self.me = me
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        self._sent: dict[str, dict[str, tuple[int, int]]] = {}
        self.suspect_after_s = SUSPECT_AFTER_S

    def beat(self, **changes: Any) -> None:
        """Advance the own heartbeat, and the version where something changed."""
        me = self.me._replace(**changes)
        version = self.me.version + (me != self.me)
        self.me = me._replace(heartbeat=self.me.heartbeat + 1, version=version)

    def adopt(self, members: Iterable[Member], *, now: float) -> None:
        """Take over what a peer knows, where it is newer."""
        for member in members:
            if member.name == self.me.name:
                self._outlive(member)
                continue
            known = self._members.get(member.name)
            if known is not None and member.incarnation != known.incarnation:
                # A new process knows nothing of what the old one was told.
                self.forget_sent(member.name)
            if known is None or member.age > known.age:
                self._members[member.name] = _keep_reports(member, known)
                self._heard[member.name] = now

    def _outlive(self, member: Member) -> None:
        """Rise above an earlier process of the same name, whatever the clock said."""
        if member.incarnation != self.me.incarnation and member.generation >= self.me.generation:
            self.me = self.me._replace(
                generation=member.generation + 1, version=self.me.version + 1
            )

    def list_alive(self, now: float) -> list[Member]:
        """List the peers heard of lately, leaving ones too."""
        return [m for n, m in self._members.items() if now - self._heard[n] <= self.suspect_after_s]

    def is_alive(self, name: str, now: float) -> bool:
        """Check whether a peer was heard of lately."""
        return name in self._heard and now - self._heard[name] <= self.suspect_after_s

    def list_leaving(self) -> list[str]:
        """List the peers that said they leave and were not heard of as new since."""
        return sorted(n for n, m in self._members.items() if m.is_leaving)

    def find(self, name: str) -> Member | None:
        """Find a member, alive or not."""
        return self.me if name == self.me.name else self._members.get(name)

    def list_news(self, peer: str) -> list[Member]:
        """List the hall's records for a peer: whole where it lacks them, else without reports."""
        sent = self._sent.setdefault(peer, {})
        news = []
        for member in [self.me, *self._members.values()]:
            if member.hall != self.me.hall:
                continue
            stamp = (member.generation, member.version)
            news.append(member if sent.get(member.name) != stamp else member._replace(reports=()))
            sent[member.name] = stamp
        return news

    def forget_sent(self, peer: str) -> None:
        """Send whole records again after an exchange that failed."""
        self._sent.pop(peer, None)

    def choose_relays(self, revision: int, *, now: float, count: int = 2) -> list[str]:
        """Choose who watches the platform for the hall while ``revision`` is in force."""
        members = [m for m in [self.me, *self.list_alive(now)] if not m.is_leaving]
        # One that lost the platform makes way for one that sees it, as long as there is one.
        seeing = [m.name for m in members if m.sees_platform]
        names = seeing or [m.name for m in members] or [self.me.name]
        return rank(f"relay\0{revision}", names)[:count]


def _keep_reports(member: Member, known: Member | None) -> Member:
    """Keep the reports of a record that came as a heartbeat alone."""
    if known is None or member.reports:
        return member
    is_same = (member.generation, member.version) == (known.generation, known.version)
    return member._replace(reports=known.reports) if is_same else member
