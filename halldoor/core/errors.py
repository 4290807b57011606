"""Error classes, and refusals of requests; every message names a remedy."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class HalldoorError(Exception):
    """Base class of halldoor's errors.

    Parameters
    ----------
    message : str
        Sentence that states the problem.
    remedy : str
        Sentence that states what the reader can do about it.
    """

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(HalldoorError):
    """A settings or configuration file is wrong."""


class ConflictError(HalldoorError):
    """Another operator changed the same thing first."""


class PermissionDeniedError(HalldoorError):
    """The token may not make this change."""


class PlatformError(HalldoorError):
    """The platform refused a call, gave an invalid answer or can't be reached."""


class PeerError(HalldoorError):
    """Another entry can't be reached or broke the protocol."""


class InvariantError(HalldoorError):
    """An invariant was violated in strict mode; see `Invariants`."""


class Ran(StrEnum):
    """Whether a refused request is known not to have run."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class Reason(StrEnum):
    """Why a request was refused."""

    BAD_REQUEST = "bad request"
    UNKNOWN_SERVICE = "unknown service"
    NO_TARGET = "no healthy target"
    NO_ROOM = "no room"
    LINK_FULL = "link full"
    SHIFT_CAP = "shift cap"
    DEADLINE = "deadline passed"
    CANCELLED = "cancelled by the caller"
    BAD_TICKET = "bad ticket"
    TICKET_USED = "ticket used"
    STILL_RUNNING = "still running"
    ISSUER_GONE = "ticket issuer gone"
    PLATFORM_DOWN = "platform down"
    BROKEN = "connection broken"
    SHED = "target shed"
    STARTING = "entry starting"
    OLD_CONFIGURATION = "configuration may be old"


_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_TICKET: 400,
    Reason.DEADLINE: 504,
    Reason.CANCELLED: 499,
    Reason.TICKET_USED: 409,
    Reason.STILL_RUNNING: 409,
    Reason.ISSUER_GONE: 409,
    Reason.BROKEN: 502,
}


class Refusal(NamedTuple):
    """The final answer to a request that halldoor refuses or gives up on.

    Attributes
    ----------
    reason : Reason
        Why it was refused.
    ran : Ran
        ``NOT_RUN`` only if no target can have run it.
    message : str
        Short text on what happened and what the caller should do.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 if a retry is of no use.
    ticket : str
        New ticket for another attempt, or empty.
    """

    reason: Reason
    ran: Ran
    message: str
    retry_after_s: float = 1.0
    ticket: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status code for the reason."""
        return _STATUS.get(self.reason, 503)


def refuse(reason: Reason, message: str, *, retry_after_s: float = 1.0) -> Refusal:
    """Build a refusal of a request that certainly did not run."""
    return Refusal(reason, Ran.NOT_RUN, message, retry_after_s)


def refuse_unknown(reason: Reason, message: str, *, retry_after_s: float = 0.0) -> Refusal:
    """Build a refusal of a request that may have run."""
    return Refusal(reason, Ran.UNKNOWN, message, retry_after_s)
