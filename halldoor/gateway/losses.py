"""Logs and counts answers that arrived in part: they are dropped, and asked for again."""

from __future__ import annotations

from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.httpclient import LostAnswer
from halldoor.gateway.metrics import GatewayMetrics


class LossLog:
    """Log and count of the lost answers of the store and of other entries.

    Parameters
    ----------
    part : str
        Part of the gateway that makes the calls, for the log.
    """

    def __init__(self, part: str, *, log: EventLog, metrics: GatewayMetrics) -> None:
        self._part = part
        self._log = log
        self._metrics = metrics

    def record(self, kind: str, loss: LostAnswer) -> None:
        """Record a call whose answer did not arrive, or was not waited for.

        Parameters
        ----------
        kind : str
            Kind of the call: one of a few.
        """
        if not loss.received_bytes:
            return  # The cause of the failure has a line of its own.
        self._metrics.add_wasted(kind, loss.received_bytes)
        self._log.event(
            self._part,
            "An answer arrived in part.",
            kind=kind,
            received_bytes=loss.received_bytes,
            took_ms=round(loss.took_s * 1000),
        )
