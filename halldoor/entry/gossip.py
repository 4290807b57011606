"""A task that exchanges heartbeats and target reports with other entries."""

from __future__ import annotations

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from halldoor.core.decoding import DecodingError, decode_each
from halldoor.core.errors import PeerError
from halldoor.core.hall.membership import SUSPECT_AFTER_S, Member, Membership, TargetReport
from halldoor.core.settings import Address
from halldoor.core.steering.configuration import EntryHost
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.task import Task
from halldoor.wire.client import PeerPool
from halldoor.wire.convert import from_thrift_member, to_thrift_member
from halldoor.wire.protocol import idl

FANOUT = 2
"""Peers of the own hall that one exchange per period is made with."""
SEEDS_PER_PERIOD = 2
"""Seeds contacted per period until a configuration is known; each may cost a timeout."""
REMOTE_EVERY_PERIODS = 3
"""Number of periods between two exchanges with an entry of another hall."""
LARGE_HALL_ENTRIES = 8
"""Number of entries above which the hall's period grows, to bound the traffic per entry."""
TIMEOUT_S = 0.4
SUSPECT_PERIODS = 5
"""Periods without a newer heartbeat after which a peer is no longer alive; at least
`SUSPECT_AFTER_S` seconds."""


class HeartbeatRequest(NamedTuple):
    """A request to send heartbeats now instead of at the end of the period."""


class GossipTask(Task[HeartbeatRequest]):
    """Exchanges membership records with peers, and reports changes through callbacks.

    Parameters
    ----------
    membership : Membership
        Records of this entry and of the peers that it knows.
    peers : PeerPool
        Connections to other entries.
    seeds : list of Address
        Wire addresses to contact until a configuration is known.
    period_s : float
        Seconds between exchanges, in halls of up to `LARGE_HALL_ENTRIES` entries.

    Attributes
    ----------
    get_reports : callable
        Returns this entry's target reports for its heartbeats.
    on_reports : callable
        Called with the records of peers, to apply their target reports.
    on_revision : callable
        Called with a newer revision and the wire address of the peer that has it.
    on_revisions : callable
        Called with the adopted revision of each live peer of the hall, by name.
    on_change : callable
        Called when the hall's live entries or the leaving entries change.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        peers: PeerPool,
        seeds: list[Address],
        period_s: float,
    ) -> None:
        super().__init__("gossip", period_s=period_s)
        self._membership = membership
        self._lock = threading.Lock()
        self._peers = peers
        self._random = random.Random(membership.me.incarnation)
        # Rotating through the seeds finds a single reachable one in bounded time.  The order is
        # random, so that entries that start together don't contact the same seeds.
        self._seeds = deque(self._random.sample(seeds, len(seeds)))
        self._period_count = 0
        self._snapshot: Snapshot | None = None
        self.get_reports: Callable[[], tuple[TargetReport, ...]] = lambda: ()
        self.on_reports: Callable[[Member], None] = lambda member: None
        self.on_revision: Callable[[int, Address], None] = lambda revision, address: None
        self.on_revisions: Callable[[dict[str, int]], None] = lambda revisions: None
        self.on_change: Callable[[], None] = lambda: None
        self._last_members: tuple[Any, ...] = ()
        self.messages_sent = 0
        self.odd_items = 0

    def adopt(self, snapshot: Snapshot) -> None:
        """Publish a new revision in heartbeats; adapt the failure timeout to the hall's size."""
        self._snapshot = snapshot
        with self._lock:
            self._membership.advance_heartbeat(revision=snapshot.revision)
            # A heartbeat arrives through several peers, so a longer period needs a longer timeout.
            rare_s = SUSPECT_PERIODS * self._get_period_s()
            self._membership.suspect_after_s = max(SUSPECT_AFTER_S, rare_s)

    def set_flags(self, **flags: bool) -> None:
        """Set flags of this entry's own membership record."""
        with self._lock:
            self._membership.advance_heartbeat(**flags)

    def get_pause_s(self) -> float:
        """Return the seconds to the next exchange, with random jitter."""
        return self._get_period_s() * self._random.uniform(0.8, 1.2)

    def _get_period_s(self) -> float:
        """Return the mean seconds between two exchanges; longer in large halls."""
        entries = len(self._snapshot.hall.entries) if self._snapshot else 1
        return self._period_s * max(1.0, entries / LARGE_HALL_ENTRIES)

    def handle(self, messages: list[HeartbeatRequest]) -> None:
        """Do nothing: `tick`, which follows every message, sends the heartbeats."""

    def tick(self) -> None:
        """Update the own heartbeat, exchange records with some peers, and run the callbacks."""
        self._period_count += 1
        with self._lock:
            self._membership.advance_heartbeat(reports=self.get_reports())
        for name, address in self._choose_peers():
            self._exchange(name, address)
        # Peers send reports only when they change, so the last ones are applied again.
        members = self.list_alive()
        for member in members:
            self.on_reports(member)
        self.on_revisions({m.name: m.revision for m in members})
        self._detect_change()

    def _choose_peers(self) -> list[tuple[str, Address]]:
        """Choose the peers to exchange with in this period."""
        snapshot = self._snapshot
        if snapshot is None:
            return self._choose_seeds()
        me = self._membership.me.name
        near = [e for e in snapshot.hall.entries if e.name != me]
        chosen = self._random.sample(near, min(FANOUT, len(near)))
        if self._period_count % REMOTE_EVERY_PERIODS == 0:
            far = [
                e
                for h in snapshot.configuration.halls
                if h.name != snapshot.hall.name
                for e in h.entries
            ]
            chosen += self._random.sample(far, min(1, len(far)))
        return [(e.name, e.wire) for e in chosen]

    def _choose_seeds(self) -> list[tuple[str, Address]]:
        """Choose the least recently contacted seeds."""
        chosen = [self._seeds[i] for i in range(min(SEEDS_PER_PERIOD, len(self._seeds)))]
        self._seeds.rotate(-len(chosen))
        return [(str(a), a) for a in chosen]

    def _exchange(self, name: str, address: Address) -> None:
        """Exchange membership records with one peer."""
        message = self._build_message(name)
        self.messages_sent += 1
        try:
            reply = self._peers.call(address, "exchange", timeout_s=TIMEOUT_S, gossip=message)
        except PeerError:
            with self._lock:
                self._membership.forget_sent(name)
            return
        self._merge(reply, address)

    def _build_message(self, peer: str) -> Any:
        """Build the message for a peer: new records, or only the own one for another hall."""
        with self._lock:
            me = self._membership.me
            is_near = self._find_hall(peer) == me.hall
            updates = self._membership.list_updates(peer) if is_near else [me._replace(reports=())]
        return idl.Gossip(
            sender=me.name,
            hall=me.hall,
            revision=me.revision,
            members=[to_thrift_member(m) for m in updates],
        )

    def _find_hall(self, name: str) -> str:
        """Return the hall of an entry; empty if unknown."""
        return self._snapshot.hall_by_entry.get(name, "") if self._snapshot else ""

    def answer_exchange(self, gossip: Any) -> Any:
        """Merge the records that a peer sent, and return this entry's message for it."""
        entry = self._find_entry(gossip.sender)
        self._merge(gossip, entry.wire if entry else None)
        return self._build_message(gossip.sender)

    def _find_entry(self, name: str) -> EntryHost | None:
        """Find an entry's addresses."""
        snapshot = self._snapshot
        if snapshot is None:
            return None
        return find_entry(snapshot, name)

    def _merge(self, gossip: Any, address: Address | None) -> None:
        """Merge a peer's records, and report its target reports and a newer revision."""
        members = self._read_members(gossip)
        with self._lock:
            me = self._membership.me
            mine = [m for m in members if m.hall == me.hall]
            self._membership.merge_records(members, now=time.monotonic())
        for member in mine:
            if member.reports and member.name != me.name:
                self.on_reports(member)
        if (gossip.revision or 0) > me.revision and address is not None:
            self.on_revision(gossip.revision, address)

    def _read_members(self, gossip: Any) -> list[Member]:
        """Return the records of a peer's message; odd ones are left out, logged and counted."""
        return decode_each(gossip.members or [], from_thrift_member, on_odd=self._log_odd)

    def _log_odd(self, exc: DecodingError) -> None:
        """Log and count a record that is left out."""
        self.odd_items += 1
        self.log.warning("Left out an odd record.", error=str(exc)[:300])

    def _detect_change(self) -> None:
        """Call `on_change` if the hall's live entries or the leaving entries changed."""
        now = time.monotonic()
        with self._lock:
            members = self._membership.list_alive(now)
            hall = self._membership.me.hall
            leaving = tuple(self._membership.list_leaving())
        # Records from other halls arrive too rarely to infer that their entries crashed.
        seen = tuple(sorted(m.name for m in members if m.hall == hall))
        if (seen, leaving) != self._last_members:
            self._last_members = (seen, leaving)
            self.log.info(
                "The hall's live or leaving members changed.", members=seen, leaving=leaving
            )
            self.on_change()

    def list_alive(self) -> list[Member]:
        """List the live peers of this hall: those with a recent heartbeat."""
        with self._lock:
            me = self._membership.me
            return [m for m in self._membership.list_alive(time.monotonic()) if m.hall == me.hall]

    def is_avoided(self, name: str) -> bool:
        """Check whether look-ups and forwards should avoid an entry."""
        now = time.monotonic()
        with self._lock:
            member = self._membership.find(name)
            if name == self._membership.me.name:
                return self._membership.me.is_leaving
            if member is None:
                return False
            if member.is_leaving:
                return True
            # Records from other halls arrive too rarely to infer that their entries crashed.
            is_near = member.hall == self._membership.me.hall
            return is_near and not self._membership.is_alive(name, now)

    def sees_platform(self, relays: Collection[str]) -> bool:
        """Check whether one of the relays reached the platform when it last asked."""
        with self._lock:
            return self._membership.sees_platform(relays, now=time.monotonic())

    def choose_relays(self, revision: int) -> list[str]:
        """Choose the entries that watch the platform for this hall."""
        with self._lock:
            return self._membership.choose_relays(revision, now=time.monotonic())

    def list_members(self) -> list[Member]:
        """List this entry's record and then those of all live peers."""
        with self._lock:
            return [self._membership.me, *self._membership.list_alive(time.monotonic())]


def find_entry(snapshot: Snapshot, name: str) -> EntryHost | None:
    """Find an entry of the configuration by name."""
    hall = snapshot.configuration.find_hall(snapshot.hall_by_entry.get(name, ""))
    return next((e for e in hall.entries if e.name == name), None) if hall else None
