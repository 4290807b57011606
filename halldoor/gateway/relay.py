"""Pass changes of the store on between entries: over HTTP, as MessagePack.

A follower asks its reader as it would ask the store: for the changes after a revision.  Every
answer says how long ago the reader heard from the store; a follower whose reader is silent, behind
or out of touch reads the store itself.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import msgspec

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog, MemberRecord
from halldoor.core.targets.relay import Batch, ChangeHistory, RelaySettings, choose_reader
from halldoor.gateway.caller import Answer, CallerConnection, Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.httpclient import HttpCallError, HttpClient
from halldoor.gateway.store import Events, MetadataStore, StoredItem

WATCH_S = 28.0
"""Longest wait of one watch, in seconds; the store allows 30."""
ANSWER_S = 0.3
"""Time for a poll's answer beyond its wait, in seconds: four round trips between far regions."""
PATH = "/changes"


class RelayedChanges(msgspec.Struct, frozen=True):
    """Answer to a poll.

    Attributes
    ----------
    age_s : float
        Time since the reader heard from the store, in seconds.
    is_return : bool
        The store had been away before some of these changes.
    """

    items: list[StoredItem]
    revision: int
    age_s: float
    is_return: bool


class ReaderLostError(Exception):
    """The reader can't be used now; read the store."""


class ChangeFeed:
    """Changes after a revision, from the store or from a reader of it.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
    settings : RelaySettings
        When to follow a reader.
    """

    def __init__(
        self,
        store: MetadataStore,
        own: MemberRecord,
        catalog: Catalog,
        *,
        settings: RelaySettings,
        log: EventLog,
    ) -> None:
        self._store = store
        self._own = own
        self._catalog = catalog
        self._settings = settings
        self._log = log
        self._client: HttpClient | None = None
        self._reader: MemberRecord | None = None
        self._direct_until = 0.0
        self._history: ChangeHistory[StoredItem] = ChangeHistory()
        self._has_news = asyncio.Event()
        self.is_direct = True

    # The follower's side, and reading the store

    async def wait(self, revision: int) -> Events:
        """Wait for changes after a revision.

        Raises
        ------
        StoreError
            Where the store can't be read.
        """
        reader = self._choose()
        if reader is not None and reader.relay is not None:
            try:
                return await self._poll(reader.relay, revision)
            except ReaderLostError as exc:
                self._leave_reader(reader, str(exc))
        if not self.is_direct:
            # Followers that are behind must not take what this entry did not read for nothing new.
            self.is_direct = True
            self.begin(revision)
        # After a lost reader the watch ends in time to follow another one.
        direct_s = self._direct_until - asyncio.get_running_loop().time()
        wait_s = direct_s if 0 < direct_s < WATCH_S else WATCH_S
        return await self._store.watch("", after=revision, wait_s=wait_s)

    def _choose(self) -> MemberRecord | None:
        """Choose the reader to follow; None where the store is read."""
        if asyncio.get_running_loop().time() < self._direct_until:
            return None
        members = list(self._catalog.members.values())
        reader = choose_reader(self._own.name, self._own.region, members, self._settings)
        if reader != self._reader:
            self._follow(reader)
        return reader

    def _follow(self, reader: MemberRecord | None) -> None:
        """Follow another reader, or none."""
        self._reader = reader
        if self._client is not None:
            self._client.close()
            self._client = None
        name = reader.name if reader is not None else ""
        self._log.event("relay", "Follows." if name else "Reads the store.", reader=name)

    def _leave_reader(self, reader: MemberRecord, cause: str) -> None:
        """Read the store for a while."""
        self._log.event("relay", "Lost its reader; reads the store.", reader=reader.name, why=cause)
        self._follow(None)
        self._direct_until = asyncio.get_running_loop().time() + self._settings.direct_s

    async def _poll(self, address: Address, revision: int) -> Events:
        """Ask the reader once."""
        settings = self._settings
        if self._client is None:
            self._client = HttpClient(address)
        self.is_direct = False
        target = f"{PATH}?after={revision}&wait_ms={settings.poll_s * 1000:.0f}"
        try:
            answer = await self._client.call("GET", target, timeout_s=settings.poll_s + ANSWER_S)
        except HttpCallError as exc:
            raise ReaderLostError(str(exc)) from exc
        if answer.status != 200:
            raise ReaderLostError(f"it answered {answer.status}")
        try:
            changes = msgspec.msgpack.decode(answer.body, type=RelayedChanges)
        except msgspec.DecodeError as exc:
            raise ReaderLostError(f"its answer can't be read: {exc}") from exc
        if changes.age_s > settings.age_limit_s:
            raise ReaderLostError(f"it heard from the store {changes.age_s:.2f} s ago")
        return Events(
            changes.items, changes.revision, age_s=changes.age_s, is_return=changes.is_return
        )

    # The reader's side

    def begin(self, revision: int) -> None:
        """Begin a new history: everything up to a revision was read at once."""
        self._history = ChangeHistory()
        self._history.add(Batch(revision, revision, [], False))

    def publish(self, after: int, events: Events) -> None:
        """Keep what the store said for followers, and wake those that wait."""
        if not self.is_direct:
            return
        self._history.add(Batch(after, events.revision, events.items, events.is_return))
        self._has_news.set()
        self._has_news = asyncio.Event()

    async def answer(self, caller: CallerConnection, head: Head) -> None:
        """Answer a follower's poll."""
        poll = _parse_poll(head.target.decode("latin-1"))
        if poll is None:
            caller.send(Answer(404, []))
            return
        await self._wait_for_news(poll)
        batch = self._history.collect(poll.after) if self.is_direct else None
        if batch is None:
            caller.send(Answer(503, []))
            return
        age_s = asyncio.get_running_loop().time() - self._catalog.fresh_at
        changes = RelayedChanges(list(batch.items), batch.revision, age_s, batch.is_return)
        caller.send(Answer(200, [], msgspec.msgpack.encode(changes)))

    async def _wait_for_news(self, poll: Poll) -> None:
        """Wait for a change after the poll's revision, as long as the store is heard."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + min(poll.wait_s, self._settings.poll_s)
        while self.is_direct and not self._history.has_news(poll.after):
            stale_at = self._catalog.fresh_at + self._settings.age_limit_s
            left_s = min(ends, stale_at) - loop.time()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._has_news.wait()
            except TimeoutError:
                continue

    def close(self) -> None:
        """Close the connection to the reader."""
        if self._client is not None:
            self._client.close()


class Poll(NamedTuple):
    """A follower's question."""

    after: int
    wait_s: float


def _parse_poll(target: str) -> Poll | None:
    """Read a poll; None where the request target is none."""
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    try:
        return (
            Poll(int(query["after"]), int(query["wait_ms"]) / 1000) if parts.path == PATH else None
        )
    except (KeyError, ValueError):
        return None
