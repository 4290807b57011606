"""Relays changes of the store between the entries of a hall, as MessagePack over HTTP.

A follower polls its reader as it would watch the store: for the changes after a revision.  The poll
is answered at the reader's next update that has changes or a newer proof of age.  A follower whose
state gets too old (reader crashed, frozen, cut off, or connection lost) watches the store itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.proofs import compute_watch_proof, find_watch_slot_wait
from halldoor.core.targets.provenance import STORE_WATCH
from halldoor.core.targets.relay import (
    RelaySettings,
    WantedEra,
    choose_reader,
    choose_readers,
    has_wider_link,
    list_hall,
)
from halldoor.gateway.arrivals import Arrival
from halldoor.gateway.caller import CallerConnection, Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.handover import (
    ReaderLostError,
    ReaderSilentError,
    RecordSet,
    RecordTable,
    request_records,
)
from halldoor.gateway.httpclient import HttpClient
from halldoor.gateway.keptcall import CallKeeper, KeptCall
from halldoor.gateway.losses import LossLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import Poll, Update, open_counted, send_poll
from halldoor.gateway.publishing import ChangePublisher
from halldoor.gateway.store import HistoryGoneError, MetadataStore
from halldoor.gateway.substitute import SubstituteReader


class ChangeFeed:
    """Source of the store's changes after a revision: the store itself or a reader of it.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Lists the other entries.
    settings : RelaySettings
        Decide when a reader is followed, and for how long its state may be old.
    batch_s : float
        Longest pause after changes for an entry that watches the store without followers, in
        seconds.
    routing_key : str
        Key of the configuration in the store.
    open_client : callable, optional
        Opens a client of another entry.

    Attributes
    ----------
    random : random.Random
        Spreads this entry's calls, so that entries don't call at the same moment.
    """

    def __init__(
        self,
        store: MetadataStore,
        own: MemberRecord,
        catalog: Catalog,
        *,
        settings: RelaySettings,
        batch_s: float,
        log: EventLog,
        metrics: GatewayMetrics,
        routing_key: str,
        open_client: Callable[[Address], HttpClient] = HttpClient,
    ) -> None:
        losses = LossLog("relay", log=log, metrics=metrics)
        self._open_client = partial(open_counted, open_client, losses)
        self._store = store
        self._own = own
        self._catalog = catalog
        self.settings = settings
        self.batch_s = batch_s
        self._log = log
        self._metrics = metrics
        self._client: HttpClient | None = None
        self._reader: MemberRecord | None = None
        self._keeper = CallKeeper()
        self._is_reader = False
        self._hall_entries = 0
        self._members_version = -1
        self._direct_until = 0.0
        self._no_handover_until = 0.0
        self._is_hasty = self._is_pause_due = False
        self._has_watched = False
        self._publisher = ChangePublisher(
            catalog,
            metrics=metrics,
            get_settings=lambda: self.settings,
            has_contact=lambda: self.has_contact,
            is_receiving=self._is_receiving,
            routing_key=routing_key,
        )
        self._pause_skipped = asyncio.Event()
        self.random = Random(own.name)
        self._phase = self.random.random()
        self._substitute = SubstituteReader(
            own,
            catalog,
            settings=settings,
            log=log,
            metrics=metrics,
            open_client=self._open_client,
        )

    @property
    def _records(self) -> RecordTable:
        """All records of the store."""
        return self._publisher.records

    @property
    def has_contact(self) -> bool:
        """Whether the store answered this entry or its reader within the contact limit."""
        return _now() - self._catalog.store_contact_at <= self.settings.contact_limit_s

    @property
    def is_answer_arriving(self) -> bool:
        """Whether the answer to a watch of the store is arriving."""
        arrival = self._store.watch_arrival
        return arrival is not None and arrival.has_begun

    def _is_receiving(self) -> bool:
        """Check whether an answer of the store takes this entry, and each other, long."""
        kept = self._keeper.kept
        if kept is None or not kept.takes_longer_than(self.settings.receive_limit_s):
            return False
        return not has_wider_link(self._catalog.members.values(), self._own)

    @property
    def watches_store(self) -> bool:
        """Check whether this entry watches the store."""
        return self._reader is None or _now() < self._direct_until

    async def wait(self, revision: int) -> Update:
        """Wait for changes after a revision, from a reader, a substitute or the store.

        Raises
        ------
        StoreError
            If the store can't be read.
        """
        self._select_reader()
        self._pause_skipped.clear()
        while True:
            kept = self._keeper.kept
            update = await (self._wait_beside(kept, revision) if kept else self._call(revision))
            if update is not None:
                return update

    async def _call(self, revision: int) -> Update | None:
        """Make one call for changes; None if it is kept, as its answer arrives slowly."""
        if not self.watches_store:
            try:
                return await self._poll(revision)
            except ReaderLostError as exc:
                self.leave_reader(str(exc))
                if isinstance(exc, ReaderSilentError):
                    self._no_handover_until = self._direct_until
        if not self.has_contact:
            update = await self._substitute.poll(revision, self._records.era)
            if update is not None:
                return update
        else:
            self._substitute.close()
        return await self._watch(revision)

    async def pause(self) -> None:
        """Wait after changes, so that several of them cost one call to the store.

        A watch that the store answered at once without changes counts the same.
        """
        if not (self._is_pause_due and self.watches_store) or self._keeper.kept is not None:
            return
        now = _now()
        if self._is_reader:
            age_s = now - self._publisher.proven_at
            pause_s = self.settings.find_pause_s(age_s, entries=self._hall_entries)
        else:
            pause_s = find_watch_slot_wait(now, period_s=self.batch_s, phase=self._phase)
        try:
            async with asyncio.timeout(pause_s):
                await self._pause_skipped.wait()
        except TimeoutError:
            return  # `skip_pause` was not called meanwhile.

    def skip_pause(self) -> None:
        """End the pause, or skip the next one, since the store holds an urgent change."""
        self._pause_skipped.set()

    def _select_reader(self) -> None:
        """Choose the reader to follow, if the set of entries changed since the last call."""
        if self._members_version == self._catalog.members_version:
            return
        self._members_version = self._catalog.members_version
        members = self._catalog.members.values()
        self._hall_entries = len(list_hall(members, self._own.hall))
        readers = choose_readers(members, self._own.hall, self.settings)
        self._is_reader = self._own.name in {reader.name for reader in readers}
        reader = choose_reader(self._own.name, readers)
        if reader == self._reader:
            return
        self._close_clients()
        self._reader, self._direct_until = reader, 0.0
        name = reader.name if reader is not None else ""
        self._log.event("relay", "Follows." if name else "Watches the store.", reader=name)

    def leave_reader(self, cause: str) -> None:
        """Stop following the reader, and watch the store for `direct_s` seconds."""
        self._close_clients()
        self._metrics.add_relay_loss()
        name = self._reader.name if self._reader is not None else ""
        self._log.event("relay", "Lost the reader; watches the store.", reader=name, cause=cause)
        self._direct_until = _now() + self.settings.direct_s

    async def _wait_beside(self, kept: KeptCall, revision: int) -> Update | None:
        """Wait for a kept call or for changes from elsewhere; None if another call is due."""
        if not kept.is_watch:
            return await self._keeper.wait_beside(kept, self._call(revision), revision)
        # While the store's answer takes long, other entries may have its changes already.
        call = self._substitute.poll(revision, self._records.era, is_beside_store=True)
        update = await self._keeper.wait_beside(kept, call, revision)
        if self._keeper.kept is kept:
            self._substitute.close()  # It does not have these changes either.
        return update

    async def _watch(self, revision: int) -> Update | None:
        """Watch the store once; None if its answer arrives slowly."""
        wait_s = self.settings.find_watch_wait_s(
            is_reader=self._is_reader,
            is_after_changes=self._is_pause_due,
            has_reader=self._reader is not None,
            is_unsettled=self._catalog.routing is None,
            has_contact=self.has_contact,
            is_resumed=not self._has_watched,
        )
        had_contact = self.has_contact
        update = await self._keeper.run(
            self._watch_store(revision, wait_s),
            lambda: self._store.watch_arrival,
            is_watch=True,
            # A watch over a cut link would never return.
            is_cut=lambda: had_contact and not self.has_contact,
        )
        if update is None:
            self._log.event("relay", "The store's answer takes long; asks other entries as well.")
            if self._is_receiving():
                self._publisher.wake_followers()
        return update

    async def _watch_store(self, revision: int, wait_s: float) -> Update:
        """Watch the store for a time, in seconds."""
        sent_at = _now()
        self._has_watched = self._is_hasty = False
        events = await self._store.watch("", after=revision, wait_s=wait_s)
        self._has_watched = True
        self._is_hasty = _now() - sent_at < min(wait_s / 2, self.settings.own_pause_s)
        if events.revision < revision:
            raise HistoryGoneError("The revision is not reached.", remedy="Read all again.")
        self._metrics.add_store_call("watch", "events" if events.items else "quiet")
        proven_at = compute_watch_proof(
            sent_at=sent_at, wait_s=wait_s, returned_at=_now(), has_changes=bool(events.items)
        )
        return Update(events, proven_at, source=STORE_WATCH)

    async def _poll(self, revision: int) -> Update | None:
        """Poll the reader once for changes after a revision; None if its answer arrives slowly."""
        assert self._reader is not None and self._reader.relay is not None
        if self._client is None:
            self._client = self._open_client(self._reader.relay)
        self._has_watched = self._is_hasty = False
        age_s = _now() - self._publisher.proven_at
        arrival = Arrival()
        call = send_poll(
            self._client,
            Poll(revision, self.settings.find_poll_s(age_s), self._records.era),
            self._catalog.contact,
            sent_at=_now(),
            answer_s=self.settings.find_answer_s(age_s),
            arrival=arrival,
            source=f"reader {self._reader.name}",
        )
        too_old_at = self._publisher.proven_at + self.settings.age_limit_s
        update = await self._keeper.run(call, lambda: arrival, not_before=too_old_at)
        if update is None:
            self.leave_reader("its answer takes long")
            return None
        age_s = _now() - update.proven_at
        self._metrics.add_relayed(len(update.events.items), age_s)
        if age_s > self.settings.age_limit_s:
            cause = f"its state is {age_s:.2f} s old"
        elif update.is_receiving:
            cause = "it receives a large answer"
        else:
            return update
        if not update.events.items:
            raise ReaderLostError(cause)
        self.leave_reader(cause)
        self.skip_pause()
        return update._replace(is_substitute=True)

    async def fetch_records(
        self, wanted: WantedEra, members: Iterable[MemberRecord] | None = None
    ) -> RecordSet | None:
        """Fetch all records from a reader; None where no reader exists or it can't send them.

        Parameters
        ----------
        members : iterable of MemberRecord, optional
            The registered entries, where the catalog does not hold them yet.
        """
        candidates = self._catalog.members.values() if members is None else members
        readers = choose_readers(candidates, self._own.hall, self.settings)
        reader = choose_reader(self._own.name, readers)
        if reader is None or reader.relay is None or _now() < self._no_handover_until:
            return None
        client = self._open_client(reader.relay)
        try:
            timeout_s = self.settings.budget.handover_s
            if members is not None or wanted.left is not None:
                # The reader may have to read this copy of the store first.
                timeout_s += self.settings.handover_wait_s
            age_limit_s = self.settings.age_limit_s
            records = await request_records(
                client, wanted, timeout_s=timeout_s, age_limit_s=age_limit_s
            )
        except ReaderLostError as exc:
            self._metrics.add_relay_loss()
            text = "Can't get the records from a reader; reads the store."
            self._log.event("relay", text, reader=reader.name, cause=str(exc))
            self._direct_until = self._no_handover_until = _now() + self.settings.direct_s
            return None
        finally:
            client.close()
        count, age_s = len(records.items), _now() - records.proven_at
        self._metrics.add_relayed(count, age_s)
        shown = {"reader": reader.name, "records": count, "age_ms": round(age_s * 1000)}
        self._log.event("relay", "Received all records from a reader.", **shown)
        return records._replace(source=f"reader {reader.name}")

    def reset_records(self, records: RecordSet) -> None:
        """Replace the records with those of a full read, and publish the difference to followers.

        If the records are of another copy of the store, followers have to fetch all of them.
        """
        self._keeper.drop()
        self._has_watched = True
        self._publisher.reset_records(records)

    def record_update(self, after: int, update: Update) -> None:
        """Record an update that was applied, and publish it to the followers that wait."""
        self._is_pause_due = bool(update.events.items) or self._is_hasty
        self._publisher.record_update(after, update)

    def reset(self) -> None:
        """Choose the reader again; drop the records if recording an update failed half way."""
        self.close()
        self._reader, self._members_version = None, -1
        self._publisher.reset()

    async def answer(self, caller: CallerConnection, head: Head) -> None:
        """Answer a follower's poll for changes, or its request for all records."""
        await self._publisher.answer(caller, head)

    def close(self) -> None:
        """Cancel the kept call, and close the connections to other entries."""
        self._keeper.drop()
        self._close_clients()

    def _close_clients(self) -> None:
        """Close the connections to other entries."""
        self._substitute.close()
        if self._client is not None:
            self._client.close()
            self._client = None


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()
