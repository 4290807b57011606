"""Reads all records of the store, page by page.

The pages are no consistent snapshot: each holds at least the changes up to its own revision.  So a
page whose call fails is read again by itself, and the watch starts at the smallest revision of all.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from halldoor.core.targets.provenance import STORE_PAGES
from halldoor.gateway.handover import RecordSet
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import HistoryGoneError, MetadataStore, Page, StoreError

MAX_PAGE_AGE_S = 5.0
"""Longest time that pages are kept until all are read, in seconds: later the store may have dropped
the history since the first page."""
TIMEOUT_FACTOR = 2
"""Factor from the time of the last page, or from its limit if it timed out, to the next limit."""


class RecordReader:
    """Reader of all records; a failed read resumes at the first missing page.

    Parameters
    ----------
    on_page : callable
        Called with each page and its era before the next page is read.

    Attributes
    ----------
    limit_s : float
        Least time limit for a page, in seconds; infinite until the first full read is done.
    """

    def __init__(
        self,
        store: MetadataStore,
        *,
        metrics: GatewayMetrics,
        on_page: Callable[[Page, str], None],
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._on_page = on_page
        self.limit_s = math.inf
        self._adaptive_limit_s = 0.0
        self._pages: list[Page] = []
        self._era = ""
        self._began_at = 0.0

    @property
    def has_pages(self) -> bool:
        """Whether pages of a read that failed are kept."""
        return bool(self._pages)

    def clear(self) -> None:
        """Drop the kept pages; a read in progress fails with `HistoryGoneError`."""
        self._pages = []

    async def read_first(self) -> Page:
        """Return the first page; read it unless it is kept.

        Raises
        ------
        StoreError
            If the store can't be read.
        """
        now = asyncio.get_running_loop().time()
        if self._store.era != self._era or now - self._began_at > MAX_PAGE_AGE_S:
            self.clear()
        if not self._pages:
            self._pages, self._began_at = [], now
            # One range over all keys, as in the watch: one for each record kind costs more calls.
            await self._read_page(after="")
        return self._pages[0]

    async def read_remaining(self) -> RecordSet:
        """Read the pages after the first, and return all records.

        Raises
        ------
        HistoryGoneError
            If the store was restored from a copy meanwhile, or the first page was dropped.
        StoreError
            If the store can't be read; call again to resume.
        """
        if not self._pages:
            raise HistoryGoneError("The first page was dropped.", remedy="Read again.")
        while self._pages[-1].has_more and self._pages[-1].items:
            after = self._pages[-1].items[-1].key
            if any(page.items[-1].key == after for page in self._pages[:-1]):
                self.clear()
                raise StoreError("The store repeats a page.", remedy="Check the store.")
            await self._read_page(after=after)
        items = [item for page in self._pages for item in page.items]
        revisions = [page.revision for page in self._pages]
        self.clear()
        return RecordSet(
            items,
            min(revisions),
            self._era,
            self._began_at,
            newest=max(revisions),
            source=STORE_PAGES,
            took_s=asyncio.get_running_loop().time() - self._began_at,
        )

    async def _read_page(self, *, after: str) -> None:
        """Read the page after a key, and append it to the kept pages."""
        pages = self._pages
        page = await self._call(after)
        self._metrics.add_store_call("range", "ok")
        era = self._store.era
        if pages is not self._pages:
            raise HistoryGoneError("The read was cancelled.", remedy="Read again.")
        if not pages:
            self._era = era
        elif era != self._era:
            # Revisions of two copies can't be compared: the restored store reuses numbers.
            self.clear()
            raise HistoryGoneError("The store was restored during the read.", remedy="Read again.")
        pages.append(page)
        self._on_page(page, era)

    async def _call(self, after: str) -> Page:
        """Read a page within a time limit for the head of the store's answer.

        The limit doubles after each timeout, so that a slow link or store answers in the end.

        Raises
        ------
        StoreError
            If the store can't be read, or does not answer in time.
        """
        loop = asyncio.get_running_loop()
        limit_s = max(self.limit_s, self._adaptive_limit_s)
        sent_at = loop.time()
        call = asyncio.ensure_future(self._store.read_range("", after=after))
        try:
            await asyncio.wait([call], timeout=None if math.isinf(limit_s) else limit_s)
            arrival = self._store.page_arrival
            if not call.done() and not (arrival is not None and arrival.has_begun):
                self._adaptive_limit_s = TIMEOUT_FACTOR * limit_s
                raise StoreError(
                    f"No page within {limit_s:.2f} s.", remedy="Check the store and the link to it."
                )
            page = await call
        finally:
            call.cancel()
        self._adaptive_limit_s = TIMEOUT_FACTOR * (loop.time() - sent_at)
        return page
