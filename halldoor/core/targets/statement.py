"""A target's statement on itself in an answer, read once for all components that use it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

SEPARATOR = b"\n"
"""Separator between the values of a field that an answer contains more than once."""
SHOWN = 16
"""Characters of a field that are logged, since a target may write values of any length."""


class TargetStatement(NamedTuple):
    """Unparsed fields of one answer that concern the target itself; empty if missing.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if there was none.
    limit : bytes
        Requests a second that the target accepts from all entries together.
    leaving : bytes
        ``1`` if the target is about to stop and accepts no new requests.
    retry_after : bytes
        Back-off that the target requests of this entry when it refuses a request: seconds, or a
        date.
    """

    status: int = 0
    limit: bytes = b""
    leaving: bytes = b""
    retry_after: bytes = b""

    @classmethod
    def from_answer(
        cls, status: int, headers: Iterable[tuple[bytes, bytes]], fields: Mapping[bytes, str]
    ) -> TargetStatement:
        """Return the statement in an answer; repeated fields are joined by `SEPARATOR`.

        Parameters
        ----------
        fields : mapping of bytes to str
            Names of attributes by the lower-case names of their header fields.
        """
        found: dict[str, bytes] = {}
        for name, value in headers:
            attribute = fields.get(name.lower())
            if attribute is not None:
                known = found.get(attribute)
                found[attribute] = value if known is None else known + SEPARATOR + value
        return cls(status, **found)

    def to_fields(self) -> dict[str, str]:
        """Return the fields that are present, for the log."""
        return {
            name: value[:SHOWN].decode("latin-1")
            for name, value in self._asdict().items()
            if value and isinstance(value, bytes)
        }
