"""Single-use tickets: the right to send one operation once.

Only the entry process that issued a ticket honours it.  Its key and its ledger
live and die with that process, so no two processes have to agree and no two
clocks are compared.  See docs/design/at-most-once.md.
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

import msgspec

from halldoor.core.errors import Ran, Reason, Refusal, refuse, refuse_unknown

_MAC_BYTES = 16


class Ticket(NamedTuple):
    """What a ticket says.

    Attributes
    ----------
    issuer : str
        Name of the entry that issued it.
    incarnation : str
        Random id of the issuing process.
    sequence : int
        Number of the ticket in that process, from 1.
    operation : str
        Operation id; the issuer makes one up where the caller has none.
    """

    issuer: str
    incarnation: str
    sequence: int
    operation: str


class State(StrEnum):
    """Where a ticket stands at its issuer."""

    ISSUED = "issued"
    SENT = "sent"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """The kept answer of an operation that ran."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Entry(NamedTuple):
    """A ledger line.

    Attributes
    ----------
    attempt : int
        1 for the first ticket of an operation, one more after each that did not run.
    """

    ticket: Ticket
    state: State
    expires: float
    answer: Answer | None
    refusal: Refusal | None
    attempt: int = 1


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Write a ticket as text with its MAC."""
    payload = msgspec.json.encode(ticket)
    mac = hmac.new(key, payload, sha256).digest()[:_MAC_BYTES]
    return urlsafe_b64encode(mac + payload).decode().rstrip("=")


def decode_ticket(text: str) -> tuple[Ticket, bytes, bytes] | None:
    """Read a ticket without checking its MAC, to learn its issuer.

    Returns
    -------
    tuple or None
        The ticket, its payload and its MAC; None where the text is no ticket.
    """
    try:
        raw = urlsafe_b64decode(text.encode() + b"=" * (-len(text) % 4))
        payload = raw[_MAC_BYTES:]
        return msgspec.json.decode(payload, type=Ticket), payload, raw[:_MAC_BYTES]
    except (ValueError, msgspec.MsgspecError):
        return None


class Ledger:
    """Tickets of one entry process and what became of them.

    Parameters
    ----------
    issuer : str
        Name of this entry.
    incarnation : str
        Random id of this process.
    key : bytes
        Secret of this process.
    lifetime_s : float
        Time in which an issued ticket can be used.
    memory_s : float
        Time for which an outcome is kept after the ticket's lifetime.
    capacity : int
        Lines kept at most; the oldest settled ones go first.
    body_limit : int
        Largest answer body kept, in bytes.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: str,
        key: bytes,
        *,
        lifetime_s: float = 60.0,
        memory_s: float = 600.0,
        capacity: int = 20_000,
        body_limit: int = 65_536,
    ) -> None:
        self.issuer = issuer
        self.incarnation = incarnation
        self._key = key
        self._lifetime_s = lifetime_s
        self._memory_s = memory_s
        self._capacity = capacity
        self._body_limit = body_limit
        self._next = 1
        # In order of issue, which is also the order of expiry.
        self._lines: dict[int, Entry] = {}
        self._latest: dict[str, int] = {}

    def issue(self, operation: str, *, now: float) -> str | None:
        """Issue a ticket; None where the ledger is full of live ones.

        An operation that has a ticket which is still open gets the same one again.
        """
        known = self._lines.get(self._latest.get(operation, 0))
        if known is not None and known.state != State.NOT_RUN:
            return encode_ticket(known.ticket, self._key)
        if not self._make_room(now):
            return None
        sequence = self._next
        self._next += 1
        name = operation or f"{self.incarnation}-{sequence}"
        ticket = Ticket(self.issuer, self.incarnation, sequence, name)
        attempt = known.attempt + 1 if known is not None else 1
        expires = now + self._lifetime_s
        self._lines[sequence] = Entry(ticket, State.ISSUED, expires, None, None, attempt)
        self._latest[name] = sequence
        return encode_ticket(ticket, self._key)

    def is_genuine(self, ticket: Ticket, payload: bytes, mac: bytes) -> bool:
        """Check whether this process wrote the ticket."""
        wanted = hmac.new(self._key, payload, sha256).digest()[:_MAC_BYTES]
        return ticket.incarnation == self.incarnation and hmac.compare_digest(mac, wanted)

    def take(self, ticket: Ticket, *, now: float) -> Entry | Refusal:
        """Move a ticket from ISSUED to SENT, for the one caller that may send.

        Returns
        -------
        Entry or Refusal
            The line, now SENT, where the caller may send; its former state
            (DONE) where the kept answer is to be given; else the refusal.
        """
        line = self._lines.get(ticket.sequence)
        if line is None:
            return refuse_unknown(
                Reason.TICKET_USED,
                "This ticket is older than what its issuer remembers. Look up whether it ran.",
            )
        if line.state == State.ISSUED:
            if line.expires <= now:
                return self.settle_not_run(
                    ticket,
                    refuse(Reason.BAD_TICKET, "The ticket ran out unused. Get a new ticket."),
                )
            line = line._replace(state=State.SENT)
            self._lines[ticket.sequence] = line
            return line
        return self._repeat(line)

    def _repeat(self, line: Entry) -> Entry | Refusal:
        """Return the first outcome again."""
        if line.state == State.SENT:
            return Refusal(
                Reason.STILL_RUNNING,
                Ran.UNKNOWN,
                "This operation is running. Repeat the call with the same ticket for its answer.",
                1.0,
            )
        if line.state == State.DONE and line.answer is not None:
            return line
        if line.refusal is not None:
            return line.refusal
        return refuse_unknown(
            Reason.TICKET_USED,
            "This operation ran and its answer was too large to keep. Look up its result.",
        )

    def settle_done(self, ticket: Ticket, answer: Answer | None) -> None:
        """Record that the operation was answered by its target."""
        if answer is not None and len(answer.body) > self._body_limit:
            answer = None
        self._settle(ticket, State.DONE, answer, None)

    def settle_unknown(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Record that nobody can tell whether the operation ran."""
        self._settle(ticket, State.UNKNOWN, None, refusal)
        return refusal

    def settle_not_run(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Record for good that this ticket did not and will not run.

        A fresh ticket for a new attempt travels with the refusal, so that a
        delayed copy of the old one can't run after the caller was told no.
        """
        self._settle(ticket, State.NOT_RUN, None, refusal)
        return refusal

    def _settle(
        self, ticket: Ticket, state: State, answer: Answer | None, refusal: Refusal | None
    ) -> None:
        """Write a final state, once."""
        line = self._lines.get(ticket.sequence)
        if line is not None and line.state in (State.ISSUED, State.SENT):
            self._lines[ticket.sequence] = line._replace(
                state=state, answer=answer, refusal=refusal
            )

    def renew(self, operation: str, *, now: float) -> str:
        """Issue the ticket of the next attempt after one that did not run."""
        return self.issue(operation, now=now) or ""

    def _make_room(self, now: float) -> bool:
        """Drop lines past memory; a running operation is never dropped."""
        for sequence, line in list(self._lines.items()):
            is_old = line.expires + self._memory_s <= now
            if not is_old and len(self._lines) < self._capacity:
                break
            if line.state == State.SENT or (line.state == State.ISSUED and line.expires > now):
                continue
            self._forget(sequence, line)
        return len(self._lines) < self._capacity

    def _forget(self, sequence: int, line: Entry) -> None:
        """Drop one line."""
        del self._lines[sequence]
        if self._latest.get(line.ticket.operation) == sequence:
            del self._latest[line.ticket.operation]

    def find(self, operation: str) -> Entry | None:
        """Find the line of the latest ticket of an operation."""
        return self._lines.get(self._latest.get(operation, 0))

    def count_running(self) -> int:
        """Count operations that were sent and have no outcome yet."""
        return sum(1 for line in self._lines.values() if line.state == State.SENT)
