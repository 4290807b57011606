"""Look-ups: which entries a caller should use, answered from cached encoded answers."""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

import msgspec

from halldoor.core.steering.block import parse_address
from halldoor.core.steering.configuration import EntryHost
from halldoor.core.steering.snapshot import ServiceView, Snapshot, order_halls

MAX_ENTRIES_LISTED = 6
"""Most entries in one look-up answer."""


class LookupTable:
    """Cached answers by service and hall; replaced by a new table when anything changes.

    Answers are encoded on first use, so that a change costs only the answers in use.
    Two threads may encode the same answer, which is harmless.

    Parameters
    ----------
    snapshot : Snapshot
        The revision in force.
    is_avoided : callable
        Checks by name whether an entry is known to be leaving or not alive.
    max_age_s : float
        Seconds for which callers may cache an answer.
    """

    def __init__(
        self, snapshot: Snapshot, *, is_avoided: Callable[[str], bool], max_age_s: float
    ) -> None:
        self._snapshot = snapshot
        self._is_avoided = is_avoided
        self._max_age_s = max_age_s
        self._halls = [h.name for h in snapshot.configuration.halls]
        own = snapshot.hall.name
        self._own_hall_index = self._halls.index(own) if own in self._halls else 0
        self._entries_by_hall: dict[int, list[list[EntryHost]]] = {}
        self._answers: dict[tuple[str, int], list[bytes]] = {}

    def find(self, service: str, client: str) -> bytes | None:
        """Return the encoded answer for a caller; None for an unknown service."""
        address = parse_address(client)
        match = self._snapshot.blocks.find(address) if address is not None else None
        hall = (
            match.hall
            if match is not None and match.hall < len(self._halls)
            else self._own_hall_index
        )
        rotations = self._answers.get((service, hall))
        if rotations is None:
            view = self._snapshot.services.get(service)
            if view is None:
                return None
            rotations = self._answers[service, hall] = self._encode_rotations(view, hall)
        # Choosing by the client's hash keeps a caller on one entry while nothing changes.
        return rotations[crc32(client.encode()) % len(rotations)]

    def _encode_rotations(self, view: ServiceView, hall: int) -> list[bytes]:
        """Encode one answer for each entry of the nearest hall, with that entry listed first."""
        if hall not in self._entries_by_hall:
            self._entries_by_hall[hall] = (
                self._list_entries(self._halls[hall]) if self._halls else []
            )
        halls = self._entries_by_hall[hall]
        if not halls:
            return [self._encode_answer(view, [])]
        first, rest = halls[0], [e for entries in halls[1:] for e in entries]
        return [
            self._encode_answer(view, [*first[i:], *first[:i], *rest]) for i in range(len(first))
        ]

    def _list_entries(self, hall: str) -> list[list[EntryHost]]:
        """List the usable entries by hall, the nearest hall first."""
        found = []
        for name in order_halls(self._snapshot.configuration, hall):
            known = self._snapshot.configuration.find_hall(name)
            entries = [e for e in known.entries if not self._is_avoided(e.name)] if known else []
            if entries:
                found.append(entries)
        return found

    def _encode_answer(self, view: ServiceView, entries: list[EntryHost]) -> bytes:
        """Encode an answer that lists the first `MAX_ENTRIES_LISTED` entries."""
        return msgspec.json.encode(
            {
                "service": view.service.name,
                "entries": [
                    {"name": e.name, "url": f"http://{e.http}"}
                    for e in entries[:MAX_ENTRIES_LISTED]
                ],
                "max_age_s": self._max_age_s,
                "revision": self._snapshot.revision,
            }
        )
