"""Keep the catalog in step with the store: read it once, then watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    MemberGone,
    MemberSeen,
    RoutingSeen,
    TargetGone,
    TargetSeen,
    is_target_withdrawal,
)
from halldoor.core.targets.relay import WantedEra
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.handover import Whole
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import ContactLostError, OtherEraError, Update
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.store import (
    HistoryGoneError,
    MetadataStore,
    Page,
    RecordCodec,
    StoredItem,
    StoreError,
)

BATCH_S = 0.6
"""Usual pause between an event and the next watch, in seconds.

Each watch that returns is a priced call; several changes within the pause cost one.
"""
BACKOFF_S = 0.25
"""First pause after a failed call, in seconds; it doubles up to `BACKOFF_LIMIT_S`."""
BACKOFF_LIMIT_S = 1.0
"""Longest pause after failed calls, in seconds: the store's return is noticed within it."""

WITHDRAWALS_LOGGED = 100
"""Draining or missing targets of a whole reading that are logged each; the rest is counted."""


class StoreSync:
    """The task that reads the store.

    Parameters
    ----------
    store, codec
        The store and the meaning of its records.
    catalog : Catalog
        Where changes are applied.
    on_change : callable
        Called with each change that was applied.
    feed : ChangeFeed
        Brings the changes once everything is read.
    """

    def __init__(
        self,
        store: MetadataStore,
        codec: RecordCodec,
        catalog: Catalog,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
        on_change: Callable[[Change], None],
        feed: ChangeFeed,
    ) -> None:
        self._store = store
        self._codec = codec
        self._catalog = catalog
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._feed = feed
        self._revision: int | None = None
        self._era = ""
        self._last_revision = 0
        self._is_away = False
        self.is_confirming = False
        self.is_loaded = asyncio.Event()
        self._watching: asyncio.Task[Update] | None = None

    @property
    def era_number(self) -> int:
        """Number of the copy of the store that is believed; -1 where it has none."""
        return int(self._era) if self._era.isdecimal() else -1

    async def run(self) -> None:
        """Read and watch until cancelled."""
        backoff_s = BACKOFF_S
        while True:
            try:
                if self._era != self._store.era:
                    self._revision = None
                if self._revision is None:
                    self._adopt(await self._read_whole())
                else:
                    await self._watch(self._revision)
                backoff_s = BACKOFF_S
            except HistoryGoneError:
                self._metrics.add_store_call("watch", "history gone")
                self._log.event("store", "Its history is gone; reading all again.")
                self._revision = None
            except OtherEraError:
                await self._follow_era()
            except ContactLostError:
                # A suspension looks like this too, so that what is being confirmed still has to be.
                self._note_lost("no answer")
            except StoreError as exc:
                self._note_away(exc)
                await asyncio.sleep(backoff_s)
                backoff_s = min(BACKOFF_LIMIT_S, backoff_s * 2)

    def restart(self, cause: str) -> None:
        """Ask the store anew: what the present watch would bring may be lost or late."""
        self._log.event("store", "Watching anew.", cause=cause)
        self._is_away = True
        if self._watching is not None:
            self._watching.cancel()

    def confirm(self, cause: str) -> None:
        """Read the store anew, and let nobody rely on what is known until it was asked."""
        self.is_confirming = True
        self._revision = None
        self.restart(cause)

    async def _follow_era(self) -> None:
        """Take the copy of the store that the reader knows, or leave the reader."""
        self._log.event("store", "Its reader knows another copy of the store.")
        whole = await self._feed.fetch_whole(WantedEra(self._store.era, self._era))
        if whole is not None:
            self._adopt(whole)
        else:
            # The store itself says which of the two is right; all is read only if it is the other.
            self._feed.leave_reader("it knows another copy of the store")

    def _adopt(self, whole: Whole) -> None:
        """Apply all records."""
        before = self._era
        is_restored = self.is_loaded.is_set() and before != whole.era
        now = self._note_contact(is_return=self._is_away, heard_at=whole.proven_at)
        changes = [c for c in map(self._decode, whole.items) if c is not None]
        applied = self._catalog.load(changes, now, is_restored=is_restored)
        if is_restored:
            self._log_era(before, whole)
        self._store.era = self._era = whole.era
        self._revision = self._last_revision = whole.revision
        self._feed.begin(whole)
        self.is_loaded.set()
        self._log.event("store", "Read all.", revision=whole.revision, changes=len(applied))
        self._log_reading(applied, whole.revision)
        for change in applied:
            self._on_change(change)

    def _log_reading(self, applied: Sequence[Change], revision: int) -> None:
        """Write what a whole reading changed that explains later requests.

        Not every target: all of them are new to an entry that starts.
        """
        withdrawn = []
        for change in applied:
            if isinstance(change, RoutingSeen):
                self._log_change(change, revision)
            elif is_target_withdrawal(change):
                withdrawn.append(change)
        for change in withdrawn[:WITHDRAWALS_LOGGED]:
            self._log_change(change, revision)
        if len(withdrawn) > WITHDRAWALS_LOGGED:
            left = len(withdrawn) - WITHDRAWALS_LOGGED
            self._log.event("targets", "More drain or are gone.", count=left, revision=revision)

    async def _read_whole(self) -> Whole:
        """Read everything: from an entry that is in step, or page by page from the store.

        The first page of one that starts names the entries of its hall.  Whoever stood still asks
        the store itself.
        """
        if self.is_loaded.is_set() and not self.is_confirming:
            left = self._era if self._era != self._store.era else None
            whole = await self._feed.fetch_whole(WantedEra(self._store.era, left))
            if whole is not None:
                return whole
        began_at = asyncio.get_running_loop().time()
        # One range over all keys, as in the watch: one by kind of record takes more calls.
        page = await self._read_page(after="")
        items, revision, era = list(page.items), page.revision, self._store.era
        if page.has_more and not self.is_loaded.is_set():
            seen = [c for c in map(self._decode, items) if isinstance(c, MemberSeen)]
            members = [change.member for change in seen]
            whole = await self._feed.fetch_whole(WantedEra(self._store.era), members)
            if whole is not None:
                return whole
        while page.has_more and page.items:
            page = await self._read_page(after=page.items[-1].key)
            if self._store.era != era:
                # Revisions of two copies can't be compared; the older may be given out again.
                raise HistoryGoneError("The store was restored meanwhile.", remedy="Read again.")
            items += page.items
            revision = min(revision, page.revision)
        return Whole(items, revision, era, began_at)

    async def _read_page(self, *, after: str) -> Page:
        """Read a page of the store."""
        page = await self._store.read_range("", after=after)
        self._metrics.add_store_call("range", "ok")
        return page

    async def _watch(self, revision: int) -> None:
        """Wait for changes and apply them."""
        task = asyncio.ensure_future(self._feed.wait(revision))
        self._watching = task
        try:
            update = await task
        except asyncio.CancelledError:
            if not task.cancelled() or _is_cancelling():
                raise
            return
        finally:
            self._watching = None
            task.cancel()
        if self._store.era != self._era or self._revision is None:
            return  # What was asked for has another meaning now, or is not to be relied on.
        events = update.events
        if update.is_substitute:
            now = self._note_substitute(update)
        else:
            update = update._replace(is_return=update.is_return or self._is_away)
            now = self._note_contact(is_return=update.is_return, heard_at=update.proven_at)
        for item in events.items:
            change = self._decode(item)
            if change is not None and self._catalog.apply(change, now):
                self._log_change(change, events.revision)
                self._on_change(change)
        self._revision = self._last_revision = events.revision
        self._feed.take(revision, update)
        await self._feed.pause()

    def _decode(self, item: StoredItem) -> Change | None:
        """Decode a record; one that can't be read names nothing, as if it were not there.

        So what is overwritten by another writer is not used until its own writer is back, the
        configuration holds on, and all other records do.
        """
        try:
            return self._codec.decode(item)
        except StoreError as exc:
            self._metrics.add_unreadable_record()
            self._log.event("store", "Can't read a record.", key=item.key, error=str(exc))
            return self._codec.decode(StoredItem(item.key, None))

    def _note_contact(self, *, is_return: bool, heard_at: float) -> float:
        """Record the time of the last contact with the store, and return it."""
        now = asyncio.get_running_loop().time()
        self._catalog.note_contact(heard_at)
        if is_return:
            self._catalog.begin_settling(now)
            self._log.event("store", "Back." if self._is_away else "Back, as its reader says.")
        self._is_away = self.is_confirming = False
        return now

    def _note_substitute(self, update: Update) -> float:
        """Record that another entry passed changes on; the store itself is still away."""
        now = asyncio.get_running_loop().time()
        self._catalog.note_contact(update.proven_at)
        self._catalog.note_relay(now)
        if update.is_return:
            self._catalog.begin_settling(now)
        return now

    def _note_away(self, exc: StoreError) -> None:
        """Record that the store did not answer: what is known has to do."""
        self.is_confirming = False
        self._metrics.add_store_call("watch", "failed")
        self._note_lost(exc.message)

    def _note_lost(self, cause: str) -> None:
        """Record that contact with the store is lost."""
        if not self._is_away:
            self._is_away = True
            self._log.event("store", "Lost.", cause=cause)

    def _log_era(self, before: str, whole: Whole) -> None:
        """Write that the store was restored from a copy, and what its answers said."""
        self._metrics.add_store_call("range", "restored")
        self._log.event(
            "store",
            "Came back from a copy; read all again.",
            era_before=before,
            era=whole.era,
            problem=find_era_problem(before, whole.era),
            revision_before=self._last_revision,
            revision=whole.revision,
        )

    def _log_change(self, change: Change, revision: int) -> None:
        """Write what is believed now, and the revision of the store that says so."""
        event = self._log.event
        match change:
            case RoutingSeen(routing):
                event("routing", "In force.", version=routing.version, revision=revision)
            case TargetSeen(record):
                text = "Draining." if record.is_draining else "Seen."
                event(
                    "targets",
                    text,
                    target=record.incarnation,
                    service=record.service,
                    hall=record.hall,
                    slots=record.slots,
                    cold_left_s=record.cold_left_s,
                    revision=revision,
                )
            case TargetGone(incarnation):
                is_lapsed = incarnation in self._catalog.lapsed
                event(
                    "targets", "Gone.", target=incarnation, is_lapsed=is_lapsed, revision=revision
                )
            case EvacuationSet(hall, is_evacuated):
                text = "Hall evacuated." if is_evacuated else "Evacuation ended."
                event("targets", text, hall=hall, revision=revision)
            case MemberSeen(member):
                event("membership", "Entry seen.", member=member.name, revision=revision)
            case MemberGone(name):
                event("membership", "Entry gone.", member=name, revision=revision)


def find_era_problem(before: str, era: str) -> str:
    """Return what is odd about the number of a copy; empty where it rose as it should."""
    if not era:
        return "the store no longer says which copy it is"
    if not era.isdecimal():
        return "it is not a number"
    if before.isdecimal() and int(era) < int(before):
        return "it is lower than before"
    return ""


def _is_cancelling() -> bool:
    """Check whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
