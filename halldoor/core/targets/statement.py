"""What a target says of itself in an answer: one record, read once for all that act on it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

SEPARATOR = b"\n"
"""Between the values of a field that an answer has more than once."""
SHOWN = 16
"""Characters of a field that are logged: a target may write anything."""


class TargetStatement(NamedTuple):
    """Fields of one answer that concern the target itself, as it wrote them; empty where missing.

    Attributes
    ----------
    status : int
        Status of the answer; 0 where there was none.
    limit : bytes
        Requests a second that it takes from all entries together.
    leaving : bytes
        ``1`` where it is about to end and takes no new work.
    retry_after : bytes
        Seconds for which it wants nothing from this entry, where it turned a request away.
    """

    status: int = 0
    limit: bytes = b""
    leaving: bytes = b""
    retry_after: bytes = b""

    @classmethod
    def from_answer(
        cls, status: int, headers: Iterable[tuple[bytes, bytes]], fields: Mapping[bytes, str]
    ) -> TargetStatement:
        """Read a statement from an answer; repeated fields are joined by `SEPARATOR`.

        Parameters
        ----------
        fields : mapping of bytes to str
            Attribute by the name of its header field, in lower case.
        """
        found: dict[str, bytes] = {}
        for name, value in headers:
            attribute = fields.get(name.lower())
            if attribute is not None:
                known = found.get(attribute)
                found[attribute] = value if known is None else known + SEPARATOR + value
        return cls(status, **found)

    def to_fields(self) -> dict[str, str]:
        """Return the fields that are there, for the log."""
        return {
            name: value[:SHOWN].decode("latin-1")
            for name, value in self._asdict().items()
            if value and isinstance(value, bytes)
        }
