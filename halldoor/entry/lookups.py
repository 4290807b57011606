"""Look-ups: which entry hosts a caller should use, answered from a ready table."""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

import msgspec

from halldoor.core.block import parse_address
from halldoor.core.configuration import EntryHost
from halldoor.core.snapshot import ServiceView, Snapshot, order_halls

ENTRIES_LISTED = 6


class LookupTable:
    """Ready answers by service and hall, made anew when anything changes.

    Parameters
    ----------
    snapshot : Snapshot
        The revision in force.
    is_avoided : callable
        Tells by name whether an entry is leaving or dead.
    max_age_s : float
        Time for which callers may keep an answer.
    """

    def __init__(
        self, snapshot: Snapshot, *, is_avoided: Callable[[str], bool], max_age_s: float
    ) -> None:
        self._snapshot = snapshot
        self._max_age_s = max_age_s
        halls = [h.name for h in snapshot.configuration.halls]
        self._own = halls.index(snapshot.hall.name) if snapshot.hall.name in halls else 0
        lists = [self._list_entries(hall, is_avoided) for hall in halls]
        self._answers = {
            name: [self._rotate(view, hosts) for hosts in lists]
            for name, view in snapshot.services.items()
        }

    def _list_entries(self, hall: str, is_avoided: Callable[[str], bool]) -> list[list[EntryHost]]:
        """List the usable entries by hall, the nearest hall first."""
        found = []
        for name in order_halls(self._snapshot.configuration, hall):
            known = self._snapshot.configuration.find_hall(name)
            entries = [e for e in known.entries if not is_avoided(e.name)] if known else []
            if entries:
                found.append(entries)
        return found

    def _rotate(self, view: ServiceView, halls: list[list[EntryHost]]) -> list[bytes]:
        """Write one answer for each entry of the nearest hall to come first."""
        if not halls:
            return [self._write(view, [])]
        first, rest = halls[0], [e for entries in halls[1:] for e in entries]
        return [self._write(view, [*first[i:], *first[:i], *rest]) for i in range(len(first))]

    def _write(self, view: ServiceView, entries: list[EntryHost]) -> bytes:
        """Write one answer."""
        return msgspec.json.encode(
            {
                "service": view.service.name,
                "entries": [
                    {"name": e.name, "url": f"http://{e.http}"} for e in entries[:ENTRIES_LISTED]
                ],
                "max_age_s": self._max_age_s,
                "revision": self._snapshot.revision,
            }
        )

    def find(self, service: str, client: str) -> bytes | None:
        """Give the ready answer for a caller; None for an unknown service."""
        by_hall = self._answers.get(service)
        if by_hall is None:
            return None
        address = parse_address(client)
        match = self._snapshot.blocks.find(address) if address is not None else None
        hall = match.hall if match is not None and match.hall < len(by_hall) else self._own
        rotations = by_hall[hall]
        # A stable choice keeps a caller on one entry while nothing changes.
        return rotations[crc32(client.encode()) % len(rotations)]
