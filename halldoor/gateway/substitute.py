"""Reads changes from any entry that is in contact with the store, while this one is not.

Changes arrive in the order of the store's revisions, so they can be applied at any age.  They prove
the age of this entry's state only up to the moment that the answer states.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.relay import RelaySettings, sort_by_link
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.handover import ReaderLostError
from halldoor.gateway.httpclient import HttpClient
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.polls import OtherEraError, Poll, Update, send_poll

WAIT_S = 1.0
"""Time for which a poll waits for changes, in seconds."""
HELP_S = 0.3
"""Time for which a poll waits while the store's own answer is arriving, in seconds."""
CANDIDATES = 4
"""Entries that are polled in parallel; the first to answer is followed."""
MAX_GROUPS = 3
"""Groups of candidates polled before the store is tried again: all of a small fleet, and enough of
a large one to find an entry in contact unless very few are."""


class SubstituteReader:
    """Follower of one entry of any hall, in place of the store.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Lists the other entries.
    open_client : callable
        Opens a client of another entry.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        *,
        settings: RelaySettings,
        log: EventLog,
        metrics: GatewayMetrics,
        open_client: Callable[[Address], HttpClient],
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._settings = settings
        self._log = log
        self._metrics = metrics
        self._open_client = open_client
        self._client: HttpClient | None = None
        self._name = ""
        self._random = random.Random()

    async def poll(
        self, revision: int, era: str, *, is_beside_store: bool = False
    ) -> Update | None:
        """Return the changes after a revision; None where no entry in contact was found.

        Parameters
        ----------
        is_beside_store : bool, optional
            Whether the store's own answer is arriving: then one entry is polled at a time, as
            several large answers would share the link, and its poll waits for changes.
        """
        if self._client is None:
            wait_s, at_once = (HELP_S, 1) if is_beside_store else (0.0, CANDIDATES)
            poll = Poll(revision, wait_s, era, needs_contact=True)
            update = await self._find_substitute(poll, at_once)
            if update is not None and not is_beside_store:
                self._log.event("relay", "Follows a substitute for the store.", reader=self._name)
            return update
        try:
            return await self._send_poll(
                self._client, Poll(revision, WAIT_S, era, needs_contact=True), self._name
            )
        except (ReaderLostError, OtherEraError) as exc:
            self._metrics.add_relay_loss()
            self._log.event("relay", "Lost the substitute.", reader=self._name, cause=repr(exc))
            self.close()
            return None

    async def _find_substitute(self, poll: Poll, at_once: int) -> Update | None:
        """Poll other entries, some at a time, and follow the first that answers.

        Those with wide links are asked first, as an answer may be large.
        """
        members = [
            member
            for member in self._catalog.members.values()
            if member.relay is not None and member.name != self._own.name
        ]
        self._random.shuffle(members)
        # Only the first group by their links: all with wide links may be cut off together.
        first_group = sort_by_link(members)[:CANDIDATES]
        members = first_group + [member for member in members if member not in first_group]
        for first in range(0, min(len(members), MAX_GROUPS * CANDIDATES), at_once):
            update = await self._poll_candidates(members[first : first + at_once], poll)
            if update is not None:
                return update
        return None

    async def _poll_candidates(self, candidates: list[MemberRecord], poll: Poll) -> Update | None:
        """Poll some entries in parallel, and follow the first that answers."""
        asking = [
            asyncio.ensure_future(self._poll_candidate(member, poll)) for member in candidates
        ]
        try:
            for answer in asyncio.as_completed(asking):
                update = await answer
                if update is not None:
                    return update
        finally:
            for task in asking:
                task.cancel()
        return None

    async def _poll_candidate(self, member: MemberRecord, poll: Poll) -> Update | None:
        """Poll one entry, and follow it if no other answered before."""
        assert member.relay is not None
        client = self._open_client(member.relay)
        try:
            update = await self._send_poll(client, poll, member.name)
        except (ReaderLostError, OtherEraError):
            client.close()
            return None
        except asyncio.CancelledError:
            client.close()
            raise
        if self._client is not None:
            client.close()
            return None
        self._client, self._name = client, member.name
        return update

    async def _send_poll(self, client: HttpClient, poll: Poll, name: str) -> Update:
        """Send one poll to an entry, and return its answer as an update of a substitute."""
        sent_at = asyncio.get_running_loop().time()
        update = await send_poll(
            client,
            poll,
            self._catalog.contact,
            sent_at=sent_at,
            answer_s=self._settings.answer_s,
        )
        age_s = asyncio.get_running_loop().time() - update.proven_at
        self._metrics.add_relayed(len(update.events.items), age_s)
        return update._replace(is_substitute=True, source=f"substitute {name}")

    def close(self) -> None:
        """Stop following the substitute."""
        if self._client is not None:
            self._client.close()
            self._client = None
