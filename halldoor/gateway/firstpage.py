"""Combines the first page of the store with the records that another entry holds."""

from __future__ import annotations

from halldoor.gateway.handover import RecordSet
from halldoor.gateway.store import Page


def add_first_page(records: RecordSet, page: Page) -> RecordSet:
    """Return the records of another entry, with those of the store's first page where it is newer.

    Like the pages of a full read, the result is no snapshot: it includes every change up to its
    revision, and some up to `RecordSet.newest`.

    Parameters
    ----------
    page : Page
        First page of the same copy of the store.
    """
    if records.revision >= page.revision or not page.items:
        return records
    last = page.items[-1].key
    items = [*page.items, *(item for item in records.items if item.key > last)]
    return records._replace(items=items, newest=max(records.newest, page.revision))
