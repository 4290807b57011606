"""Conversion between the classes of `halldoor.core` and thrift structs."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from halldoor.core.decoding import decoding
from halldoor.core.errors import Ran, Reason, Refusal
from halldoor.core.explaining.decision import PassedOver
from halldoor.core.hall.membership import Member, TargetReport
from halldoor.wire.protocol import idl

# Bits of TargetReport.flags.
_HEALTHY, _LEAVING, _PROBED = 1, 2, 4
MAX_RETRY_AFTER_S = 3_600.0
"""Longest wait that is passed on from a peer's refusal, in seconds."""


def to_thrift_refusal(refusal: Refusal) -> Any:
    """Convert a refusal to its thrift struct."""
    return idl.Refusal(
        reason=refusal.reason.value,
        ran=refusal.ran.value,
        message=refusal.message,
        retry_after_s=refusal.retry_after_s,
        ticket=refusal.ticket,
    )


def from_thrift_refusal(message: Any) -> Refusal:
    """Convert a refusal from its thrift struct.

    Unknown values, which a newer entry may send, become the worst case: the request may have run,
    and the connection broke.
    """
    ran = Ran.NOT_RUN if message.ran == Ran.NOT_RUN.value else Ran.UNKNOWN
    try:
        reason = Reason(message.reason)
    except ValueError:
        reason = Reason.BROKEN
    retry_after_s = message.retry_after_s or 0.0
    if not math.isfinite(retry_after_s):
        retry_after_s = MAX_RETRY_AFTER_S
    return Refusal(
        reason,
        ran,
        _to_text(message.message),
        min(max(0.0, retry_after_s), MAX_RETRY_AFTER_S),
        _to_text(message.ticket),
    )


def _to_text(value: str | bytes | None) -> str:
    """Return a string field as text: the codec leaves bytes that are not UTF-8 as they are."""
    return value.decode(errors="replace") if isinstance(value, bytes) else value or ""


def to_thrift_headers(headers: tuple[tuple[str, str], ...]) -> list[Any]:
    """Convert headers to thrift structs."""
    return [idl.Header(name=k, value=v) for k, v in headers]


def from_thrift_headers(messages: list[Any] | None) -> tuple[tuple[str, str], ...]:
    """Convert headers from thrift structs."""
    return tuple((m.name, m.value) for m in messages or [])


def to_thrift_passed_over(items: list[PassedOver]) -> list[Any]:
    """Convert candidates that were passed over, with the reasons, to thrift structs."""
    return [idl.PassedOver(name=p.name, why=p.why) for p in items]


def from_thrift_passed_over(messages: list[Any] | None) -> list[PassedOver]:
    """Convert candidates that were passed over from thrift structs."""
    return [PassedOver(m.name, m.why) for m in messages or []]


def to_thrift_member(member: Member) -> Any:
    """Convert a membership record to its thrift struct."""
    return idl.Member(
        name=member.name,
        hall=member.hall,
        incarnation=member.incarnation,
        generation=member.generation,
        heartbeat=member.heartbeat,
        version=member.version,
        revision=member.revision,
        is_leaving=member.is_leaving,
        sees_platform=member.sees_platform,
        reports=[
            idl.TargetReport(target=r.target, free=r.free, flags=_pack_flags(r))
            for r in member.reports
        ],
    )


def from_thrift_member(message: Any) -> Member:
    """Convert a membership record from its thrift struct.

    Raises
    ------
    DecodingError
        If a field is missing or of another type.
    """
    with decoding("a membership record"):
        fields = (
            message.name,
            message.hall,
            message.incarnation,
            message.generation,
            message.heartbeat,
            message.version,
            message.revision,
            message.is_leaving,
            bool(message.sees_platform),
            [_from_thrift_report(r) for r in message.reports or []],
        )
        return msgspec.convert(fields, Member)


def _pack_flags(report: TargetReport) -> int:
    """Pack the boolean fields of a target report into bits."""
    return _HEALTHY * report.is_healthy + _LEAVING * report.is_leaving + _PROBED * report.is_probed


def _from_thrift_report(message: Any) -> tuple[Any, ...]:
    """Return the fields of a target report from its thrift struct."""
    flags = message.flags
    return (
        message.target,
        message.free,
        bool(flags & _HEALTHY),
        bool(flags & _LEAVING),
        bool(flags & _PROBED),
    )
