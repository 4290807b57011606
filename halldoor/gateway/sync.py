"""Keeps the catalog in step with the store: reads all records once, then watches for changes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Sequence

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import (
    Change,
    MemberRecord,
    MemberRemoved,
    MemberSeen,
    is_withdrawal,
)
from halldoor.core.targets.era import parse_era
from halldoor.core.targets.provenance import Provenance
from halldoor.core.targets.relay import WantedEra
from halldoor.core.targets.sequence import RoutingSequence
from halldoor.core.targets.withdrawal import StoreView
from halldoor.gateway.backoff import Backoff
from halldoor.gateway.changelog import ChangeLog
from halldoor.gateway.decoder import RecordDecoder
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.failures import FailureReporter
from halldoor.gateway.firstpage import add_first_page
from halldoor.gateway.handover import RecordSet
from halldoor.gateway.losses import LossLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.notifying import Notifier
from halldoor.gateway.polls import ContactLostError, OtherEraError, Update
from halldoor.gateway.reading import RecordReader
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.store import (
    HistoryGoneError,
    MetadataStore,
    Page,
    RecordCodec,
    StoreError,
)
from halldoor.gateway.tasks import is_cancelling

BATCH_S = 0.6
"""Usual pause between a change and the next watch, in seconds.  The store charges for each watch
that returns; several changes within the pause cost one."""

UpdateReceiver = Callable[[Sequence[Change], StoreView], None]


class StoreSync:
    """Task that applies the store's records and changes to the catalog.

    Parameters
    ----------
    store, codec
        The store, and the decoder of its records.
    catalog : Catalog
        Receives the changes.
    on_change : callable
        Called with each change that was applied.
    feed : ChangeFeed
        Fetches the changes once all records are read.

    Attributes
    ----------
    on_update : list of callable
        Called after each update with the applied changes and the view that contains them.
    is_unconfirmed : bool
        Whether the process was suspended, and no call to the store has finished since.
    is_loaded : asyncio.Event
        Set once all records were read.
    notifier : Notifier
        Calls the receivers of changes and updates.
    updated_at : float
        When a full read or an update was applied last, on the loop's clock.
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
        self.on_update: list[UpdateReceiver] = []
        self._decoder = RecordDecoder(
            codec, log=log, metrics=metrics, get_version=lambda: catalog.configuration_version
        )
        store.on_unreadable = self._decoder.report_unreadable
        store.on_lost_answer = LossLog("store", log=log, metrics=metrics).record
        self._store = store
        self._catalog = catalog
        self._log = log
        self._metrics = metrics
        self._changes = ChangeLog(catalog, log)
        self._sequence = RoutingSequence()
        self._on_change = on_change
        self._feed = feed
        self._backoff = Backoff(feed.random)
        self._watch_backoff = Backoff(feed.random)
        self._reader = RecordReader(store, metrics=metrics, on_page=self._apply_withdrawals)
        self._revision: int | None = None
        self._era = ""
        self._last_revision = self._begun_revision = 0
        self._unreported: list[Change] = []
        self._has_lost_contact = False
        self.is_unconfirmed = False
        self._resumed_at = math.inf
        self.is_loaded = asyncio.Event()
        self._watch_task: asyncio.Task[Update] | None = None
        self._reporter = FailureReporter(log, metrics)
        self.notifier = Notifier(self._reporter)
        self.updated_at = -math.inf

    @property
    def era_number(self) -> int:
        """Number of the copy of the store in use; -1 where its era is not a number."""
        number = parse_era(self._era)
        return -1 if number is None else number

    @property
    def view(self) -> StoreView:
        """Era and revision of the store up to which changes are applied."""
        return StoreView(self._era, self._last_revision)

    async def run(self) -> None:
        """Read the store and watch it until cancelled."""
        while True:
            try:
                if self._era != self._store.era:
                    self._revision = None
                    self._catalog.proof.withdraw()
                if self._revision is None:
                    self._apply_records(await self._read_records())
                else:
                    await self._watch(self._revision)
                    self._watch_backoff.reset()
                self._backoff.reset()
            except HistoryGoneError:
                self._metrics.add_store_call("watch", "history gone")
                self._log.event("store", "Its history is gone; reading all again.")
                self._catalog.contact.record_answer(asyncio.get_running_loop().time())
                self._backoff.reset()
                await asyncio.sleep(self._find_reading_pause_s())
            except OtherEraError:
                await self._resolve_other_era()
            except ContactLostError:
                # A suspension of the process looks the same, so `is_unconfirmed` stays as it is.
                self._record_contact_loss("no answer")
            except StoreError as exc:
                self._record_failed_call(exc)
                await asyncio.sleep(self._backoff.find_pause_s())

    def reset(self) -> None:
        """Read all records again after a failure, which may have left an update half applied.

        What was applied stays valid meanwhile, as during any full read, so the entry stays ready.
        """
        self._revision = None
        self._reader.clear()
        self._feed.reset()

    def restart_watch(self, cause: str) -> None:
        """Record that contact is lost and open another watch: the current one may get no answer."""
        self._has_lost_contact = True
        self.renew_watch(cause)

    def renew_watch(self, cause: str) -> None:
        """Cancel the current watch, unless its answer is arriving, and open another one."""
        if not self._feed.is_answer_arriving:
            self._cancel_watch(cause)

    def _cancel_watch(self, cause: str) -> None:
        """Cancel the current watch, and open another one."""
        self._log.event("store", "Opens another watch.", cause=cause)
        if self._watch_task is not None:
            self._watch_task.cancel()

    def invalidate(self, cause: str) -> None:
        """Mark the cached state as unconfirmed, and read all records of the store again."""
        self.is_unconfirmed = True
        self._resumed_at = asyncio.get_running_loop().time()
        self._revision = None
        self._reader.clear()
        self._has_lost_contact = True
        self._cancel_watch(cause)

    def _find_reading_pause_s(self) -> float:
        """Mark the history as gone, and return the pause before all records are read again.

        It grows while each watch after a full read fails, so that the store is not flooded.
        """
        if self._revision is None:
            return self._backoff.draw_spread_s()  # A full read was interrupted.
        self._revision = None
        return self._watch_backoff.find_pause_s()

    async def _resolve_other_era(self) -> None:
        """Switch to the copy of the store that the reader follows, or stop following the reader."""
        self._log.event("store", "The reader follows another copy of the store.")
        records = await self._fetch_records(WantedEra(self._store.era, self._era))
        if records is not None:
            self._apply_records(records)
        else:
            # The store decides which copy is current; a full read follows only if it is the other.
            self._feed.leave_reader("it knows another copy of the store")

    def _apply_records(self, records: RecordSet) -> None:
        """Replace the catalog's state with all records of the store."""
        before = self._era
        is_restored = self.is_loaded.is_set() and before != records.era
        now = self._record_contact(records.proven_at)
        view, newest = records.view, max(records.revision, records.newest)
        changes = self._decoder.decode_all(records.items)
        in_force = self._catalog.routing
        changes = self._sequence.mark_read(changes, view, newest=newest, in_force=in_force)
        applied = self._catalog.apply_full_read(
            changes, now, is_restored=is_restored, on_failure=self._report_unapplied
        )
        for change in applied:
            self.notifier.notify(self._on_change, change)
        self._unreported += applied
        if is_restored:
            self._metrics.add_store_call("range", "restored")
            self._changes.log_restore(StoreView(before, self._last_revision), view)
        self._store.era = self._era = records.era
        self._last_revision, self._begun_revision = records.revision, newest
        self._feed.reset_records(records)
        self._revision, self.updated_at = records.revision, now
        self.is_loaded.set()
        self._reader.limit_s = self._feed.settings.page_limit_s
        self._log.event("store", "Read all.", revision=records.revision, changes=len(applied))
        source = f"{records.source}, copy of the store" if is_restored else records.source
        provenance = Provenance(source, records.revision, records.era, now, records.took_s)
        self._changes.log_full_read(changes, applied, provenance)
        self._catalog.contact.record_applied_until(records.proven_at)
        self._catalog.proof.record_update(self.view, records.proven_at)
        self._call_receivers(StoreView(records.era, newest))

    def _report_unapplied(self, change: Change, exc: Exception) -> None:
        """Report a change that can't be applied; the state that it concerns stays as it was."""
        self._metrics.add_unreadable_record()
        kind = type(change).__name__
        self._reporter.report("change", "A change can't be applied.", exc, kind=kind)

    async def _read_records(self) -> RecordSet:
        """Read all records: from an entry that follows the store, or page by page from the store.

        For an entry that starts, the first page lists the entries of its hall; another entry's
        records may be older than that page.
        """
        if self.is_loaded.is_set() and not self._reader.has_pages:
            left = self._era if self._era != self._store.era else None
            records = await self._fetch_records(WantedEra(self._store.era, left))
            if records is not None and not self._is_ahead_of(records):
                return records
        page = await self._reader.read_first()
        if page.has_more and not self.is_loaded.is_set():
            seen = self._decoder.decode_without_routing(page.items)
            members = [change.member for change in seen if isinstance(change, MemberSeen)]
            records = await self._fetch_records(WantedEra(self._store.era), members)
            if records is not None:
                self._reader.clear()
                return add_first_page(records, page)
        return await self._reader.read_remaining()

    async def _fetch_records(
        self, wanted: WantedEra, members: Iterable[MemberRecord] | None = None
    ) -> RecordSet | None:
        """Fetch all records from a reader as `ChangeFeed.fetch_records`.

        After a suspension they are used only if they were recent at its end.
        """
        records = await self._feed.fetch_records(wanted, members)
        if records is None or not self.is_unconfirmed:
            return records
        oldest_at = self._resumed_at - self._feed.settings.age_limit_s
        return records if records.proven_at >= oldest_at else None

    def _is_ahead_of(self, records: RecordSet) -> bool:
        """Check whether this entry applied changes that the records of its reader lack."""
        return records.era == self._era and records.revision < self._begun_revision

    def _apply_withdrawals(self, page: Page, era: str) -> None:
        """Apply the withdrawals of a page before the other pages are read.

        Records missing here, or targets of a newer configuration, may be on another page.  A page
        of another copy of the store may be outdated, and is skipped.
        """
        self._backoff.reset()
        now = asyncio.get_running_loop().time()
        self._catalog.contact.record_answer(now)
        if not self.is_loaded.is_set() or era != self._era:
            return
        applied = []
        for change in self._decoder.decode_without_routing(page.items):
            if is_withdrawal(change) and self._catalog.apply(change, now):
                applied.append(change)
                self._record_applied(change)
        if applied:
            self._changes.log_withdrawals(applied, page.revision)
            self._call_receivers(StoreView(era, page.revision))

    async def _watch(self, revision: int) -> None:
        """Wait for changes and apply them."""
        task = asyncio.ensure_future(self._feed.wait(revision))
        self._watch_task = task
        try:
            update = await task
        except asyncio.CancelledError:
            if not task.cancelled() or is_cancelling():
                raise
            return
        finally:
            self._watch_task = None
            task.cancel()
        if not update.is_relayed:
            self._catalog.contact.record_answer(asyncio.get_running_loop().time())
        if self._store.era != self._era or self._revision is None:
            return  # The revision belongs to another copy, or a full read was requested.
        events = update.events
        if update.is_substitute:
            now = self._record_substitute(update)
        else:
            now = self._record_contact(update.proven_at)
        self._begun_revision = max(self._begun_revision, events.revision)
        provenance = Provenance(update.source, events.revision, self._era, now, events.transfer_s)
        changes = self._decoder.decode_all(events.items)
        for change in self._sequence.mark_events(changes, events.revision):
            if self._catalog.apply(change, now):
                self._record_applied(change)
                self._changes.log(change, provenance)
            else:
                self._changes.log_ignored(change, provenance)
                if isinstance(change, MemberRemoved):
                    # The own record may be removed before this entry has read it.
                    self.notifier.notify(self._on_change, change)
        # The store's own answer includes all removals up to its return, whenever it was sent.
        self._catalog.contact.record_applied_until(update.proven_at if update.is_relayed else now)
        self._revision = self._last_revision = events.revision
        proven_at = -math.inf if self._sequence.is_repeating else update.proven_at
        self._catalog.proof.record_update(self.view, proven_at)
        self.updated_at = now
        self._feed.record_update(revision, update)
        self._call_receivers(self.view)
        if self._catalog.routing is None:
            # The last full read may have been wrong: every store has a configuration.
            self._revision = None
        await self._feed.pause()

    def _record_applied(self, change: Change) -> None:
        """Record a change that was applied, and notify the components that it concerns."""
        self._unreported.append(change)
        self.notifier.notify(self._on_change, change)

    def _call_receivers(self, view: StoreView) -> None:
        """Call the receivers of updates with all changes that were not reported yet."""
        changes, self._unreported = self._unreported, []
        for receiver in self.on_update:
            self.notifier.notify(receiver, changes, view)

    def _record_contact(self, proven_at: float) -> float:
        """Record contact with the store up to a moment, and return the time of the loop's clock."""
        now = asyncio.get_running_loop().time()
        self._catalog.record_contact(proven_at)
        if self._has_lost_contact:
            self._log.event("store", "Contact is restored.", store_away_ms=self._changes.outage_ms)
        self._has_lost_contact = self.is_unconfirmed = False
        return now

    def _record_substitute(self, update: Update) -> float:
        """Record changes relayed by another entry while this one has no contact with the store."""
        now = asyncio.get_running_loop().time()
        self._catalog.record_contact(update.proven_at)
        self._catalog.record_relay(now)
        return now

    def _record_failed_call(self, exc: StoreError) -> None:
        """Record that the store did not answer; the cached state is used meanwhile."""
        self.is_unconfirmed = False
        self._metrics.add_store_call("watch", "failed")
        self._record_contact_loss(exc.message)

    def _record_contact_loss(self, cause: str) -> None:
        """Record that contact with the store is lost."""
        if not self._has_lost_contact:
            self._has_lost_contact = True
            self._log.event("store", "Contact is lost.", cause=cause)
