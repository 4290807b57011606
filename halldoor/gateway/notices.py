"""Sends notices about targets to other entries, in datagrams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.notice import choose_receivers
from halldoor.gateway.datagrams import DatagramPort, MessageKind

MAX_NOTICES = 16
"""Largest number of notices in a message, so that it fits a datagram."""


class NoticeSender:
    """Sender of notices to the entries that `choose_receivers` returns.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Lists the other entries.
    port : DatagramPort
        The socket for messages of other entries.
    """

    def __init__(self, own: MemberRecord, catalog: Catalog, port: DatagramPort) -> None:
        self._own = own
        self._catalog = catalog
        self._port = port
        self._receivers: list[Address | None] = []
        self._members_version = -1

    def send(self, kind: MessageKind, notices: Sequence[Any]) -> None:
        """Send notices of one kind, split into as many messages as needed."""
        for first in range(0, len(notices), MAX_NOTICES):
            part = notices[first : first + MAX_NOTICES]
            self._port.send(kind, part, *self._get_receivers())

    def _get_receivers(self) -> list[Address | None]:
        """Return the addresses that notices are sent to, updated when entries come or go."""
        if self._members_version != self._catalog.members_version:
            self._members_version = self._catalog.members_version
            members = choose_receivers(self._catalog.members.values(), self._own)
            self._receivers = [member.relay for member in members]
        return self._receivers
