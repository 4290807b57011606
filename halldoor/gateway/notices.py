"""Send what one entry learned of targets to others, in datagrams."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.notice import choose_receivers
from halldoor.gateway.datagrams import DatagramPort, MessageKind

NOTICES_MOST = 16
"""Notices in one message, so that it fits a datagram."""


class NoticeSender:
    """Send notices to the entries that this one notifies.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
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
        """Send notices, in as many messages as they need."""
        for first in range(0, len(notices), NOTICES_MOST):
            part = notices[first : first + NOTICES_MOST]
            self._port.send(kind, part, *self._get_receivers())

    def _get_receivers(self) -> list[Address | None]:
        """Return the addresses that notices are sent to."""
        if self._members_version != self._catalog.members_version:
            self._members_version = self._catalog.members_version
            members = choose_receivers(self._catalog.members.values(), self._own)
            self._receivers = [member.relay for member in members]
        return self._receivers
