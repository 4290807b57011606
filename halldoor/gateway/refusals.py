"""Logs and counts the requests that an entry refuses itself."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlsplit

from halldoor.core.targets.catalog import Catalog
from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway.callerrequest import Head
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.headers import HeaderNames, find
from halldoor.gateway.metrics import GatewayMetrics

TEXT_LENGTH = 200
"""Greatest length of a host or path in a line, in characters."""
READ_BYTES = 4 * TEXT_LENGTH
"""Bytes of a host or target that are read for a line."""
ERROR_REASONS = {
    400: "not valid HTTP",
    408: "head came too slowly",
    431: "head too long",
    500: "failed inside",
    501: "transfer coding not supported",
    503: "head beyond limits that may be old",
}
"""Reasons of answers outside of a request.  A parser's own text may quote a key."""


class RefusalLog:
    """Log and counts of the requests that an entry refuses itself.

    Parameters
    ----------
    catalog : Catalog
        The configuration, how it arrived, and up to when it is proven.
    read_settings : callable
        Returns the limits on the age of what is admitted by.
    """

    def __init__(
        self,
        catalog: Catalog,
        names: HeaderNames,
        *,
        read_settings: Callable[[], AccessSettings],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._catalog = catalog
        self._names = names
        self._read_settings = read_settings
        self._log = log
        self._metrics = metrics

    def record(
        self,
        status: int,
        reason: str,
        *,
        head: Head | None,
        caller: str,
        build_fields: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Count a refusal, and log it unless too many were logged.

        Parameters
        ----------
        reason : str
            One of a bounded number of texts.
        head : Head or None
            Head of the request; None if it can't be read.
        caller : str
            IP address of the caller.
        build_fields : callable, optional
            Builds the other fields of the line; not called if there is none.
        """
        self._metrics.add_refusal(str(status), reason)
        attempt_id = b"" if head is None else find(head.headers, self._names.attempt_id)
        self._log.refusal(
            attempt_id.decode("latin-1"),
            status,
            reason,
            caller=caller,
            build_fields=lambda: {
                **build_fields(),
                **describe_head(head),
                **describe_configuration(self._catalog, asyncio.get_running_loop().time()),
                "limit_ms": round(self._read_settings().stale_s * 1000),
                "unix_s": round(time.time(), 3),
            },
        )

    def record_error(self, status: int, head: Head | None, caller: str) -> None:
        """Record an error that a connection answers outside of a request."""
        reason = ERROR_REASONS.get(status, "not valid HTTP")
        self.record(status, reason, head=head, caller=caller)


def describe_configuration(catalog: Catalog, now: float) -> dict[str, Any]:
    """Return the log fields of the configuration in force: where it is from, and its ages in ms."""
    provenance, proof_age_s = catalog.provenance, catalog.find_proof_age_s(now)
    fields: dict[str, Any] = {"version": catalog.configuration_version}
    if provenance is not None:
        fields |= {
            "revision": provenance.revision,
            "era": provenance.era,
            "source": provenance.source,
            "in_force_ms": round((now - provenance.at) * 1000),
        }
    fields["proven_age_ms"] = None if proof_age_s is None else round(proof_age_s * 1000)
    fields["is_behind"] = catalog.proof.is_behind
    fields["store_age_ms"] = round((now - catalog.store_contact_at) * 1000)
    return fields


def describe_head(head: Head | None) -> dict[str, Any]:
    """Return host and path of a request for the log, escaped and cut; empty if it can't be read.

    The query and a user's name and password are left out, since they may be secret; ``has_query``
    says that there was a query.
    """
    if head is None:
        return {"host": "", "path": ""}
    host = find(head.headers, b"host")[:READ_BYTES].rpartition(b"@")[2]
    fields = {"host": _escape(host), "path": _escape(_find_path(head.target[:READ_BYTES]))}
    return fields | ({"has_query": True} if b"?" in head.target else {})


def _find_path(target: bytes) -> bytes:
    """Return the path of a request's target; that of a whole URL without what is before it."""
    path = target.partition(b"?")[0].partition(b"#")[0]
    if path.startswith(b"/"):
        return path
    try:
        return urlsplit(path).path if b"://" in path else path.rpartition(b"@")[2]
    except ValueError:
        return b""


def _escape(text: bytes) -> str:
    """Escape all but visible ASCII characters, and cut what is too long."""
    escaped = quote(text, safe="!$%&'()*+,/:;=@[]~")
    return escaped if len(escaped) <= TEXT_LENGTH else escaped[:TEXT_LENGTH] + "..."
