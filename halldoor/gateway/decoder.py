"""Decodes the store's records to changes, and reports those that can't be read."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from halldoor.core.targets.changes import Change, RoutingRejected, RoutingSeen
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import MAX_SHOWN, RecordCodec, StoredItem, StoreError


class RecordDecoder:
    """Decoder of the store's records.

    Parameters
    ----------
    get_version : callable
        Returns the version of the configuration in force.
    """

    def __init__(
        self,
        codec: RecordCodec,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
        get_version: Callable[[], int],
    ) -> None:
        self._codec = codec
        self._log = log
        self._metrics = metrics
        self._get_version = get_version

    def decode_all(self, items: Sequence[StoredItem]) -> list[Change]:
        """Decode the records of an answer, without those that the gateway does not use.

        A configuration that is followed by another one that can be read never takes effect.  It is
        not decoded, as that takes a tenth of a second for a large one.
        """
        changes: list[Change] = []
        skipped: list[StoredItem] = []
        is_superseded = False
        for item in reversed(items):
            if is_superseded and self._is_routing(item):
                skipped.append(item)
                continue
            change = self._decode(item)
            is_superseded |= isinstance(change, RoutingSeen)
            if change is not None:
                changes.append(change)
        if skipped:
            size = sum(len(item.value or b"") for item in skipped)
            self._log.event("routing", "Not decoded: superseded.", count=len(skipped), bytes=size)
        return changes[::-1]

    def decode_without_routing(self, items: Sequence[StoredItem]) -> list[Change]:
        """Decode the records of an answer as `decode_all`, but skip the configuration."""
        decoded = [self._decode(item) for item in items if not self._is_routing(item)]
        return [change for change in decoded if change is not None]

    def _is_routing(self, item: StoredItem) -> bool:
        """Check whether an item is the configuration."""
        return item.key == self._codec.routing_key

    def _decode(self, item: StoredItem) -> Change | None:
        """Decode a record, or the change for one that can't be decoded.

        An overwritten record is unused until its owner writes it; a configuration stays in force.
        """
        try:
            change = self._codec.decode(item)
        except StoreError as exc:
            change = self._codec.decode_rejected(item)
            version = self._get_version() if isinstance(change, RoutingRejected) else None
            self.report_unreadable(str(exc), key=item.key[:MAX_SHOWN], version=version)
        if isinstance(change, RoutingSeen):
            return change._replace(size_bytes=len(item.value or b""))
        return change

    def report_unreadable(self, cause: str, *, key: str = "", version: int | None = None) -> None:
        """Log and count a record that can't be read, and the version that it leaves in force."""
        self._metrics.add_unreadable_record()
        fields = {} if version is None else {"version_in_force": version}
        self._log.event("store", "Ignores a bad record.", key=key, error=cause, **fields)
