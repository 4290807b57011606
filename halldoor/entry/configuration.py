"""A task that fetches and applies the newest configuration.

A few relay entries per hall watch the platform and announce new revisions; the others fetch
from them.  Gossip carries revisions as well, so an entry that missed an announcement catches
up from any peer with a newer one, in its own hall or another.
"""

from __future__ import annotations

import math
import random
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from halldoor.core.decoding import DecodingError, decoding
from halldoor.core.errors import HalldoorError, PeerError, PlatformError, SettingsError
from halldoor.core.invariant import Invariants
from halldoor.core.settings import Address
from halldoor.core.steering.block import BlockTable
from halldoor.core.steering.revision import (
    HEAD_KEY,
    PART_PREFIX,
    Head,
    decode_head,
    digest,
    encode_head,
    is_newer,
    join_configuration,
    list_missing,
    read_block_index,
)
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.gossip import GossipTask, find_entry
from halldoor.entry.task import Task
from halldoor.keyvalue.base import Platform, Value
from halldoor.threads import RestartingThread
from halldoor.wire.client import PeerPool
from halldoor.wire.protocol import idl

WATCH_TIMEOUT_S = 15.0
"""Seconds after which a watch call on the platform returns without a change."""
RETRY_S = 0.5
NEWER_KNOWN_S = 10.0
"""Seconds for which a newer revision that a peer names is believed to exist; gossip repeats it."""
CHECK_PERIOD_S = 0.25
"""Seconds between checks whether this entry has become a relay."""


class NewerRevision(NamedTuple):
    """A message that a peer has a newer revision."""

    revision: int
    address: Address


class ConfigurationTask(Task[NewerRevision]):
    """Keeps the configuration's head, its parts and the table of client blocks.

    Parameters
    ----------
    hall : str
        Hall of this entry.
    platform : Platform
        The key-value service.
    peers : PeerPool
        Connections to other entries.
    gossip : GossipTask
        Membership, from which relays are chosen.
    invariants : Invariants
        Counters of violated invariants.
    on_snapshot : callable
        Called with each new snapshot, in order.
    rotate_relays : bool, optional
        Whether each revision chooses other relays; off by default in the settings.
    """

    def __init__(
        self,
        entry_name: str,
        hall: str,
        *,
        platform: Platform,
        peers: PeerPool,
        gossip: GossipTask,
        invariants: Invariants,
        on_snapshot: Callable[[Snapshot], None],
        rotate_relays: bool = False,
    ) -> None:
        super().__init__("configuration", period_s=CHECK_PERIOD_S)
        self._entry_name = entry_name
        self._hall = hall
        self._platform = platform
        self._peers = peers
        self._gossip = gossip
        self._invariants = invariants
        self._on_snapshot = on_snapshot
        self._rotate_relays = rotate_relays
        self._lock = threading.Lock()
        self._head: Head | None = None
        self._head_version = 0
        self._parts: dict[str, bytes] = {}
        self._blocks = BlockTable()
        self._snapshot: Snapshot | None = None
        self._watcher = RestartingThread("watch", self._watch, is_stopping=self._is_stopped.is_set)
        self._random = random.Random(entry_name)
        self.adopted_at = 0.0
        self.platform_calls = 0
        self.odd_items = 0
        self._has_rejected = False
        self._newer_until = -math.inf

    def start(self) -> None:
        """Start the task and its watch on the platform."""
        super().start()
        self._watcher.start()

    @property
    def revision(self) -> int:
        """The revision in force; 0 if none is yet."""
        head = self._head
        return head.revision if head is not None else 0

    def may_be_outdated(self) -> bool:
        """Check whether there may be a newer revision than the one in force.

        One was rejected here, a peer names one, or no relay of the hall reaches the platform.
        """
        if self._has_rejected or time.monotonic() < self._newer_until:
            return True
        return not self._gossip.sees_platform(self.choose_relays())

    def _watch(self) -> None:
        """Watch the platform while this entry is a relay."""
        while not self.is_stopping:
            if not self.is_relay():
                time.sleep(CHECK_PERIOD_S)
                continue
            try:
                self.platform_calls += 1
                value = self._platform.watch(
                    HEAD_KEY, after=self._head_version, timeout_s=WATCH_TIMEOUT_S
                )
                self._gossip.set_flags(sees_platform=True)
                if value is not None:
                    self._apply_watched(value)
                elif self._head is None:
                    time.sleep(RETRY_S)
            except PlatformError as exc:
                self._gossip.set_flags(sees_platform=False)
                self.log.info(
                    "Could not read the configuration from the platform; will retry.",
                    error=str(exc)[:200],
                )
                time.sleep(RETRY_S * self._random.uniform(0.5, 1.5))
            except HalldoorError as exc:
                self._log_rejected(exc)
                time.sleep(RETRY_S)

    def _apply_watched(self, value: Value) -> None:
        """Apply a new head, and announce it; an odd one is skipped until the next is written."""
        try:
            head = decode_head(value.data)
            is_new = self._adopt(head, self._fetch_from_platform)
        except (DecodingError, SettingsError) as exc:
            self._log_rejected(exc)
            is_new = False
        self._head_version = max(self._head_version, value.version)
        if is_new:
            self._announce(head)

    def _log_rejected(self, exc: HalldoorError) -> None:
        """Log and count a revision that can't be applied; the one in force stays."""
        self.odd_items += 1
        self._has_rejected = True
        self.log.warning("A new configuration revision could not be applied.", error=str(exc)[:300])

    def _log_odd(self, problem: str) -> None:
        """Log and count an item of a revision that is left out."""
        self.odd_items += 1
        self.log.warning("Left out an odd item of the configuration.", item=problem[:300])

    def choose_relays(self) -> list[str]:
        """Choose the entries that watch the platform for this hall."""
        return self._gossip.choose_relays(self.revision if self._rotate_relays else 0)

    def is_relay(self) -> bool:
        """Check whether this entry watches the platform; without a configuration it always does."""
        return self._head is None or self._entry_name in self.choose_relays()

    def _fetch_from_platform(self, wanted: str) -> bytes:
        """Fetch a part by digest from the platform; empty if it is missing there."""
        self.platform_calls += 1
        value = self._platform.get(PART_PREFIX + wanted)
        return value.data if value is not None else b""

    def receive_announcement(self, revision: int, sender: str) -> int:
        """Queue a fetch of an announced newer revision, and return the revision in force here."""
        snapshot = self._snapshot
        entry = find_entry(snapshot, sender) if snapshot is not None else None
        if revision > self.revision and entry is not None:
            self._newer_until = time.monotonic() + NEWER_KNOWN_S
            self.enqueue(NewerRevision(revision, entry.wire))
        return self.revision

    def receive_gossip(self, revision: int, address: Address) -> None:
        """Queue a fetch from a peer whose gossip message carried a newer revision."""
        if revision > self.revision:
            self._newer_until = time.monotonic() + NEWER_KNOWN_S
            self.enqueue(NewerRevision(revision, address))

    def handle(self, messages: list[NewerRevision]) -> None:
        """Fetch the configuration from the peers with newer revisions, newest first."""
        for message in sorted(messages, key=lambda m: -m.revision):
            if message.revision > self.revision:
                self._catch_up(message.address)

    def _catch_up(self, address: Address) -> None:
        """Fetch a peer's head and the parts that are missing here, and apply them."""
        try:
            with self._peers.use(address) as connection:
                message = connection.call("get_head", timeout_s=1.0)
                if not message.data:
                    return
                head = decode_head(message.data)

                def fetch(wanted: str) -> bytes:
                    data: bytes = connection.call("get_part", timeout_s=2.0, digest=wanted)
                    return data or self._fetch_from_platform(wanted)

                self._adopt(head, fetch)
                self._head_version = max(self._head_version, message.platform_version or 0)
        except (PeerError, PlatformError) as exc:
            self.log.info(
                "Could not fetch the configuration from a peer.",
                peer=str(address),
                error=str(exc)[:200],
            )
        except HalldoorError as exc:
            self._log_rejected(exc)

    def _adopt(self, head: Head, fetch: Callable[[str], bytes]) -> bool:
        """Put a newer head in force once all its parts are here; return whether it was newer."""
        with self._lock:
            current = self._head
            if not is_newer(head, current):
                return False
            try:
                for wanted in list_missing(head, self._parts):
                    self._parts[wanted] = _verify_digest(fetch(wanted), wanted)
                snapshot = self._build_snapshot(head)
            except (DecodingError, SettingsError):
                self._drop_unused(current)
                raise
            self._fetch_blocks(head, fetch)
            self._head = head
            self._snapshot = snapshot
            self._drop_unused(head)
            before = current.revision if current else 0
            self._invariants.check(
                head.revision > before, "revision-rises", f"{before} to {head.revision}"
            )
            self.adopted_at = time.time()
            self._has_rejected, self._newer_until = False, -math.inf
            self._on_snapshot(snapshot)
        self.log.info(
            "A new configuration revision is in force.",
            revision=head.revision,
            change=head.change_id,
        )
        return True

    def _build_snapshot(self, head: Head) -> Snapshot:
        """Build the snapshot of a head whose parts are here, without its odd rows."""
        read_block_index(head, self._parts)
        with decoding(f"revision {head.revision}"):
            return Snapshot.from_configuration(
                join_configuration(head, self._parts, on_odd=self._log_odd),
                revision=head.revision,
                hall=self._hall,
                blocks=self._blocks,
            )

    def _fetch_blocks(self, head: Head, fetch: Callable[[str], bytes]) -> None:
        """Replace changed chunks of the client block table one by one.

        A second copy of the table is never in memory.  Meanwhile look-ups see old and new
        chunks mixed, which can only choose a hall that is not the nearest.
        """
        index = read_block_index(head, self._parts)
        wanted = set(index.values())
        for name, part in index.items():
            if part not in self._parts:
                data = _verify_digest(fetch(part), part)
                self._parts[part] = data
                try:
                    self._blocks.replace_chunk(name, data)
                except DecodingError as exc:
                    self._log_odd(str(exc))
                self._drop_replaced_chunk(name, wanted)
        self._blocks.retain_chunks(index)

    def _drop_replaced_chunk(self, name: str, wanted: set[str]) -> None:
        """Drop the bytes of the old chunk with the given name, unless the new head uses them."""
        head = self._head
        if head is None:
            return
        old = read_block_index(head, self._parts).get(name, "")
        if old not in wanted:
            self._parts.pop(old, None)

    def _drop_unused(self, head: Head | None) -> None:
        """Drop the parts that the head doesn't refer to."""
        used = set()
        if head is not None:
            used = {*head.parts.values(), *read_block_index(head, self._parts).values()}
        for unused in set(self._parts) - used:
            del self._parts[unused]

    def _announce(self, head: Head) -> None:
        """Announce a revision to the hall's other entries; gossip informs those that miss it."""
        snapshot = self._snapshot
        assert snapshot is not None
        message = idl.Head(revision=head.revision, data=b"", platform_version=0)
        for entry in snapshot.hall.entries:
            if entry.name == self._entry_name or self._gossip.is_avoided(entry.name):
                continue
            try:
                self._peers.call(
                    entry.wire, "announce", timeout_s=0.3, head=message, sender=self._entry_name
                )
            except PeerError:
                continue  # Gossip carries the revision to this entry.

    def get_head_message(self) -> Any:
        """Return the head in force as a message."""
        head = self._head
        if head is None:
            return idl.Head(revision=0, data=b"", platform_version=0)
        data = encode_head(head)
        return idl.Head(revision=head.revision, data=data, platform_version=self._head_version)

    def get_part(self, wanted: str) -> bytes:
        """Return a part by digest; empty if it isn't here."""
        return self._parts.get(wanted, b"")


def _verify_digest(data: bytes, wanted: str) -> bytes:
    """Return fetched bytes, or raise `PeerError` if they don't match their digest."""
    if digest(data) != wanted:
        raise PeerError(
            f"Part {wanted} is missing or damaged there.", remedy="It is fetched elsewhere next."
        )
    return data
