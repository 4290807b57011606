"""Publishes an entry's records and changes of the store to the entries that poll it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import cast

import msgspec

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.history import Batch, ChangeHistory
from halldoor.core.targets.relay import RelaySettings
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.handover import (
    RECORDS_PATH,
    RecordSet,
    RecordTable,
    accepts_packed,
    parse_wanted_era,
)
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import (
    OTHER_ERA,
    ItemBlock,
    NoChanges,
    Poll,
    RelayedChanges,
    Update,
    parse_poll,
)
from halldoor.gateway.store import StoredItem


class ChangePublisher:
    """Records and latest changes of the store, as this entry applied them.

    Parameters
    ----------
    catalog : Catalog
        Holds this entry's contact with the store.
    get_settings : callable
        Returns the settings, which decide for how long polls are held.
    has_contact : callable
        Returns whether the store answered this entry or its reader lately.
    is_receiving : callable
        Returns whether followers get the next changes sooner from the store than from this entry.
    routing_key : str
        Key of the configuration.

    Attributes
    ----------
    records : RecordTable
        All records.
    proven_at : float
        Moment up to which every change is included, on the loop's clock.
    """

    def __init__(
        self,
        catalog: Catalog,
        *,
        metrics: GatewayMetrics,
        get_settings: Callable[[], RelaySettings],
        has_contact: Callable[[], bool],
        is_receiving: Callable[[], bool],
        routing_key: str,
    ) -> None:
        self.records = RecordTable()
        self.proven_at = -math.inf
        self._catalog = catalog
        self._metrics = metrics
        self._get_settings = get_settings
        self._has_contact = has_contact
        self._is_receiving = is_receiving
        self._routing_key = routing_key
        self._history = self._create_history()
        self._updated = asyncio.Event()
        self._is_recording = False

    def wake_followers(self) -> None:
        """Answer the polls that wait, since followers should not wait for the next changes."""
        self._updated.set()
        self._updated = asyncio.Event()

    def reset_records(self, records: RecordSet) -> None:
        """Replace the records with those of a full read, and publish the difference to followers.

        If the records are of another copy of the store, followers have to fetch all of them.
        """
        self._is_recording = True
        difference = self.records.find_difference(records)
        self.records.replace_all(records)
        if difference is not None:
            self.proven_at = max(self.proven_at, records.proven_at)
        else:
            self._history = self._create_history()
            self.proven_at = records.proven_at
            difference = Batch(records.revision, records.revision, [])
        self._publish(difference)
        self._is_recording = False

    def record_update(self, after: int, update: Update) -> None:
        """Record an update that was applied, and publish it to the followers that wait.

        One without changes or a newer proof is not published: entries that poll each other would
        answer each other without end.
        """
        batch = update.to_batch(after)
        has_changes = bool(batch.items) or batch.revision > after
        if not has_changes and update.proven_at <= self.proven_at:
            return
        self._is_recording = True
        self.proven_at = max(self.proven_at, update.proven_at)
        self.records.apply(update.events.items, update.events.revision)
        self._publish(batch)
        self._is_recording = False

    def reset(self) -> None:
        """Drop the records if recording an update failed half way."""
        if self._is_recording:
            self.records, self._history = RecordTable(), self._create_history()
            self._is_recording = False

    @staticmethod
    def _create_history() -> ChangeHistory[StoredItem]:
        """Create a history without changes."""
        return ChangeHistory(lambda items: cast(ItemBlock, items).size)

    def _publish(self, batch: Batch[StoredItem]) -> None:
        """Add a batch to the history, and wake the polls that wait for an update.

        A follower that is behind gets no configuration that a later one supersedes.
        """
        items = ItemBlock(batch.items)
        written = [
            i for i, item in enumerate(items) if item.key == self._routing_key and item.value
        ]
        if written and not self._catalog.has_rejected_routing:
            self._history.replace_items(self._drop_routing)
            last = written[-1]
            items = ItemBlock([*self._drop_routing(items[:last]), *items[last:]])
        self._history.add(batch._replace(items=items))
        self.wake_followers()

    def _drop_routing(self, items: Sequence[StoredItem]) -> Sequence[StoredItem]:
        """Return changes without those of the configuration."""
        if all(item.key != self._routing_key for item in items):
            return items
        return ItemBlock(item for item in items if item.key != self._routing_key)

    async def answer(self, caller: CallerConnection, head: Head) -> None:
        """Answer a follower's poll for changes, or its request for all records."""
        target = head.target.decode("latin-1")
        if target.startswith(RECORDS_PATH):
            await self._send_records(caller, target)
            return
        poll = parse_poll(target)
        if poll is None:
            self._metrics.add_bad_poll()
            caller.send(Answer(404, []))
            return
        if poll.needs_contact and not self._has_contact():
            caller.send(Answer(503, []))
            return
        # An entry of an earlier release, or one that needs a substitute, would poll again at once.
        can_leave = poll.accepts_packed and not poll.needs_contact
        is_answered = self._history.has_changes_after(poll.after) or (
            can_leave and self._is_receiving()
        )
        if poll.era == self.records.era and not is_answered:
            await self._wait_for_update(poll.wait_s)
        batch = self._history.collect(poll.after)
        now = _now()
        held_s, contact = now - head.received_at, self._catalog.contact.get_report(now)
        if poll.era != self.records.era or batch is None:
            # Revisions of two copies of the store can't be compared.
            status = OTHER_ERA if poll.era != self.records.era else 503
            body = msgspec.msgpack.encode(NoChanges(held_s, contact))
            caller.send(Answer(status, [], body))
            return
        changes = RelayedChanges(
            self._pack_changes(poll) if poll.accepts_packed else list(batch.items),
            batch.revision,
            age_s=now - self.proven_at,
            held_s=held_s,
            is_difference=batch.is_difference,
            contact=contact,
            is_receiving=can_leave and self._is_receiving(),
        )
        caller.send(Answer(200, [], msgspec.msgpack.encode(changes)))

    def _pack_changes(self, poll: Poll) -> list[StoredItem | bytes]:
        """Return the changes after a poll's revision; each large update in its compressed form."""
        items: list[StoredItem | bytes] = []
        for batch in self._history.select(poll.after) or []:
            block = batch.items
            if isinstance(block, ItemBlock) and block.is_large:
                items.append(block.packed)
            else:
                items += block
        return items

    async def _send_records(self, caller: CallerConnection, target: str) -> None:
        """Send all records, once they are of the requested copy of the store.

        An entry that is receiving a large answer refuses: the store has newer records, and sooner.
        """
        wanted = parse_wanted_era(target)
        if wanted is None:
            self._metrics.add_bad_poll()
            caller.send(Answer(404, []))
            return
        deadline = _now() + self._get_settings().handover_wait_s
        while not self.records.satisfies(wanted) and _now() < deadline:
            await self._wait_for_update(deadline - _now())
        if not self.records.satisfies(wanted) or self._is_receiving():
            caller.send(Answer(503, []))
            return
        is_packed = accepts_packed(target)
        body = self.records.encode(_now() - self.proven_at, is_packed=is_packed)
        caller.send(Answer(200, [], body))

    async def _wait_for_update(self, wait_s: float) -> None:
        """Wait for the next update, with or without changes, up to a limit."""
        try:
            async with asyncio.timeout(min(wait_s, self._get_settings().age_limit_s)):
                await self._updated.wait()
        except TimeoutError:
            return  # The answer carries the state's age, which the follower checks.


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()
