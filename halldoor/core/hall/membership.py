"""Liveness of the hall's entries, from heartbeats that entries pass on to each other.

Liveness decides which entries are used for look-ups, loans and relaying; it never
decides who owns a slot or a ticket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any, NamedTuple

from halldoor.core.placement import rank

SUSPECT_AFTER_S = 2.5
"""Time without a heartbeat after which an entry no longer counts as alive, in seconds."""


class TargetReport(NamedTuple):
    """The last state of a target that one entry saw.

    Attributes
    ----------
    free : int
        Idle slots of the reporting entry that it could lend.
    is_healthy : bool
        Whether the target answered its probes.
    is_leaving : bool
        Whether the target, or the platform's host list, stated that it is leaving.
    is_probed : bool
        Whether the reporting entry probes the target; if not, only ``free`` is valid.
    """

    target: str
    free: int
    is_healthy: bool
    is_leaving: bool
    is_probed: bool


class Member(NamedTuple):
    """The record of one entry, as entries exchange it.

    Attributes
    ----------
    incarnation : str
        Random id of the entry's process.
    generation : int
        Number that rises with every restart under the same name.
    heartbeat : int
        Number that rises by one with every heartbeat of the process.
    version : int
        Number that rises when any of the following fields changes.
    revision : int
        Revision of the configuration that the entry has adopted.
    is_leaving : bool
        Whether the entry is shutting down.
    sees_platform : bool
        Whether it can reach the platform.
    reports : tuple of TargetReport
        Its reports on targets; empty in a record sent as a heartbeat alone.
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
    def order_key(self) -> tuple[int, int]:
        """Return the key by which the newer of two records of the same name is found."""
        return self.generation, self.heartbeat


class Membership:
    """The local view that one entry has of the members of its hall.

    Parameters
    ----------
    me : Member
        Record of this entry.
    """

    def __init__(self, me: Member) -> None:
        self.me = me
        self._members: dict[str, Member] = {}
        self._received_at: dict[str, float] = {}
        self._sent: dict[str, dict[str, tuple[int, int]]] = {}
        self.suspect_after_s = SUSPECT_AFTER_S

    def advance_heartbeat(self, **changes: Any) -> None:
        """Advance this entry's heartbeat, and its version if any of ``changes`` is new."""
        me = self.me._replace(**changes)
        version = self.me.version + (me != self.me)
        self.me = me._replace(heartbeat=self.me.heartbeat + 1, version=version)

    def merge_records(self, members: Iterable[Member], *, now: float) -> None:
        """Merge the records received from a peer: newer ones replace the local ones."""
        for member in members:
            if member.name == self.me.name:
                self._raise_generation(member)
                continue
            known = self._members.get(member.name)
            if known is not None and member.incarnation != known.incarnation:
                # The new process lacks the records that were sent to the old one.
                self.forget_sent(member.name)
            if known is None or member.order_key > known.order_key:
                self._members[member.name] = _keep_reports(member, known)
                self._received_at[member.name] = now

    def _raise_generation(self, member: Member) -> None:
        """Raise the own generation above that of an earlier process of the same name.

        The generation derives from the clock at the start, which may have been set back.
        """
        if member.incarnation != self.me.incarnation and member.generation >= self.me.generation:
            self.me = self.me._replace(
                generation=member.generation + 1, version=self.me.version + 1
            )

    def list_alive(self, now: float) -> list[Member]:
        """List the peers with a recent heartbeat, including those that are leaving."""
        return [
            m
            for n, m in self._members.items()
            if now - self._received_at[n] <= self.suspect_after_s
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Check whether a peer's last heartbeat is recent."""
        return name in self._received_at and now - self._received_at[name] <= self.suspect_after_s

    def list_leaving(self) -> list[str]:
        """List the peers whose newest record states that they are leaving."""
        return sorted(n for n, m in self._members.items() if m.is_leaving)

    def find(self, name: str) -> Member | None:
        """Return the record of a member, alive or not; None if there is none."""
        return self.me if name == self.me.name else self._members.get(name)

    def list_updates(self, peer: str) -> list[Member]:
        """List the hall's records to send to a peer; without reports where it has these already."""
        sent = self._sent.setdefault(peer, {})
        updates = []
        for member in [self.me, *self._members.values()]:
            if member.hall != self.me.hall:
                continue
            stamp = (member.generation, member.version)
            updates.append(
                member if sent.get(member.name) != stamp else member._replace(reports=())
            )
            sent[member.name] = stamp
        return updates

    def forget_sent(self, peer: str) -> None:
        """Forget what was sent to a peer, so that complete records are sent to it again."""
        self._sent.pop(peer, None)

    def sees_platform(self, relays: Collection[str], *, now: float) -> bool:
        """Check whether one of the relays reached the platform when it last asked."""
        members = [self.me, *self.list_alive(now)]
        return any(m.sees_platform for m in members if m.name in relays)

    def choose_relays(self, revision: int, *, now: float, count: int = 2) -> list[str]:
        """Choose the entries that watch the platform for the hall, for one revision.

        Returns
        -------
        list of str
            Names of ``count`` entries, or fewer if there are not as many.
        """
        members = [m for m in [self.me, *self.list_alive(now)] if not m.is_leaving]
        # Entries that can't reach the platform are chosen only if no entry can.
        connected = [m.name for m in members if m.sees_platform]
        names = connected or [m.name for m in members] or [self.me.name]
        return rank(f"relay\0{revision}", names)[:count]


def _keep_reports(member: Member, known: Member | None) -> Member:
    """Add the known reports to a record that was sent as a heartbeat alone."""
    if known is None or member.reports:
        return member
    is_same = (member.generation, member.version) == (known.generation, known.version)
    return member._replace(reports=known.reports) if is_same else member
