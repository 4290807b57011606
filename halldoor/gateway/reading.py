"""Read all records of the store, page by page.

Pages are no snapshot: each holds at least what the store held at its revision.  So a page whose
call fails is read again by itself, and changes are watched from the smallest revision of all.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from halldoor.gateway.handover import Whole
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import HistoryGoneError, MetadataStore, Page, StoreError

KEPT_S = 5.0
"""Longest time for which pages wait for the others, in seconds: the store may forget the history
since then."""
LIMIT_FACTOR = 2
"""How much longer than the page before one may take, and than its limit where it took longer."""


class WholeReader:
    """Read the whole store; a reading that fails resumes at the page that is missing.

    Parameters
    ----------
    on_page : callable
        Called with each page, and the copy of the store that it is of, before the next is read.

    Attributes
    ----------
    limit_s : float
        Time for a page, in seconds, once requests depend on it.
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
        self._usual_s = 0.0
        self._pages: list[Page] = []
        self._era = ""
        self._began_at = 0.0

    @property
    def has_pages(self) -> bool:
        """Whether pages of a reading that failed are kept."""
        return bool(self._pages)

    def clear(self) -> None:
        """Drop the pages that are kept; a reading under way fails."""
        self._pages = []

    async def read_first(self) -> Page:
        """Read the first page, unless it is kept.

        Raises
        ------
        StoreError
            Where the store can't be read.
        """
        now = asyncio.get_running_loop().time()
        if self._store.era != self._era or now - self._began_at > KEPT_S:
            self.clear()
        if not self._pages:
            self._pages, self._began_at = [], now
            # One range over all keys, as in the watch: one by kind of record takes more calls.
            await self._read_page(after="")
        return self._pages[0]

    async def read_rest(self) -> Whole:
        """Read the pages after the first.

        Raises
        ------
        HistoryGoneError
            Where the store came back from a copy meanwhile.
        StoreError
            Where the store can't be read; call again to resume.
        """
        while self._pages[-1].has_more and self._pages[-1].items:
            await self._read_page(after=self._pages[-1].items[-1].key)
        items = [item for page in self._pages for item in page.items]
        revisions = [page.revision for page in self._pages]
        self.clear()
        return Whole(items, min(revisions), self._era, self._began_at, newest=max(revisions))

    async def _read_page(self, *, after: str) -> None:
        """Read a page, and keep it."""
        pages = self._pages
        page = await self._call(after)
        self._metrics.add_store_call("range", "ok")
        era = self._store.era
        if pages is not self._pages:
            raise HistoryGoneError("The reading was given up.", remedy="Read again.")
        if not pages:
            self._era = era
        elif era != self._era:
            # Revisions of two copies can't be compared; the older may be given out again.
            self.clear()
            raise HistoryGoneError("The store was restored meanwhile.", remedy="Read again.")
        pages.append(page)
        self._on_page(page, era)

    async def _call(self, after: str) -> Page:
        """Read a page in time.

        The limit follows the link and the store: a slow one answers in the end.

        Raises
        ------
        StoreError
            Where the store can't be read, or does not answer.
        """
        loop = asyncio.get_running_loop()
        limit_s = max(self.limit_s, self._usual_s)
        sent_at = loop.time()
        try:
            async with asyncio.timeout(limit_s):
                page = await self._store.read_range("", after=after)
        except TimeoutError as exc:
            self._usual_s = LIMIT_FACTOR * limit_s
            raise StoreError(
                f"No page within {limit_s:.2f} s.", remedy="Check the store and the way to it."
            ) from exc
        self._usual_s = LIMIT_FACTOR * (loop.time() - sent_at)
        return page
