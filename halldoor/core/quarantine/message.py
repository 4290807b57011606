"""Messages with evidence, and their recipients."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from halldoor.core.quarantine.evidence import Evidence


class Audience(StrEnum):
    """Recipients of a broadcast."""

    FLEET = "fleet"
    HALL = "hall"


class Message(NamedTuple):
    """Evidence to send to other entries.

    Attributes
    ----------
    to : tuple of str, or Audience
        Names of the receiving entries, or all other entries of the fleet or of the own hall.
    """

    to: tuple[str, ...] | Audience
    evidence: Evidence
