"""Signed records of routing decisions, and their explanation in plain sentences."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections import OrderedDict
from hashlib import sha256

import msgspec

from halldoor.core.decoding import DecodingError, decode_msgpack, decoding
from halldoor.core.errors import HalldoorError

_MAC_BYTES = 12
_PASSED_OVER_LIMIT = 12


class DecisionError(HalldoorError):
    """A decision record is forged or can't be read."""


class PassedOver(msgspec.Struct, frozen=True, array_like=True):
    """A candidate target that was not chosen, and why."""

    name: str
    why: str


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """The record of a routing decision: where a request was sent, and why.

    Attributes
    ----------
    id : str
        Decision id, as in the answer's header and the logs.
    entry : str
        Entry that made the decision.
    revision : int
        Revision of the configuration that it used.
    client : str
        Client block of the caller.
    selector : str
        Selector that applied.
    because : str
        ``default``, ``shift NAME`` or ``failover``.
    cap : str
        Effect of the caps on the decision, as text.
    outcome : str
        ``served``, or the reason of the refusal.
    """

    id: str
    entry: str
    revision: int
    service: str
    operation: str
    client: str
    selector: str
    because: str
    cap: str
    hall: str
    target: str
    outcome: str
    attempts: int
    passed_over: list[PassedOver]


def sign_decision(decision: Decision, key: bytes) -> str:
    """Encode and sign a decision as text that is short enough for a header."""
    short = msgspec.structs.replace(decision, passed_over=decision.passed_over[:_PASSED_OVER_LIMIT])
    payload = msgspec.msgpack.encode(short)
    mac = hmac.new(key, payload, sha256).digest()[:_MAC_BYTES]
    return urlsafe_b64encode(mac + payload).decode().rstrip("=")


def read_decision(text: str, key: bytes) -> Decision:
    """Decode a signed decision and check its signature; any host with the key can do so.

    Raises
    ------
    DecisionError
        If the text was not signed with this key.
    """
    try:
        with decoding("a decision record"):
            raw = urlsafe_b64decode(text.encode() + b"=" * (-len(text) % 4))
    except DecodingError as exc:
        raise DecisionError(
            "This is not a decision record.",
            remedy="Copy the whole Halldoor-Decision-Record header.",
        ) from exc
    wanted = hmac.new(key, raw[_MAC_BYTES:], sha256).digest()[:_MAC_BYTES]
    if not hmac.compare_digest(wanted, raw[:_MAC_BYTES]):
        raise DecisionError(
            "The decision record's signature is wrong.",
            remedy="Copy the whole header, and ask a host with the same decision_key.",
        )
    return decode_decision(raw[_MAC_BYTES:])


def decode_decision(data: bytes) -> Decision:
    """Decode a decision.

    Raises
    ------
    DecisionError
        If it can't be decoded.
    """
    try:
        decision: Decision = decode_msgpack(data, Decision, origin="a decision")
    except DecodingError as exc:
        raise DecisionError(exc.message, remedy="Ask an entry of this version.") from exc
    return decision


class DecisionLog:
    """The latest decisions of one entry, up to a capacity."""

    def __init__(self, capacity: int = 2_000) -> None:
        self._capacity = capacity
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Add a decision, and drop the oldest one if the capacity is exceeded."""
        self._decisions[decision.id] = decision
        if len(self._decisions) > self._capacity:
            self._decisions.popitem(last=False)

    def find(self, decision_id: str) -> Decision | None:
        """Return the decision with an id; None if it is not kept."""
        return self._decisions.get(decision_id)


def explain(decision: Decision) -> list[str]:
    """Return sentences that explain where a request was sent and why."""
    d = decision
    lines = [
        f"Request {d.id} asked for operation '{d.operation}' of service '{d.service}' "
        f"from client block {d.client}, at entry {d.entry}.",
        f"Revision {d.revision} was in force; selector '{d.selector}' applied ({d.because}).",
    ]
    if d.outcome == "served":
        lines.append(
            f"It went to target {d.target} in hall {d.hall} after {d.attempts} attempt(s)."
        )
    else:
        where = f" (last tried: {d.target} in {d.hall})" if d.target else ""
        lines.append(f"It was refused: {d.outcome}{where}.")
    lines.append(f"Caps: {d.cap or 'no shift or failover cap played a part'}.")
    reasons = [(p.name, p.why.rstrip(".")) for p in d.passed_over]
    lines += [f"Not {name}: {why}." for name, why in reasons]
    return lines
