"""The gateway's log: JSON lines at a bounded rate, written without blocking requests.

Lines go through a bounded queue to a thread, so that a slow reader of standard output causes
dropped lines, which are counted, but never delays requests.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

import structlog

from halldoor.gateway import clock
from halldoor.lines import LineWriter

SUCCESS_LINES_PER_S = 16.0
"""Lines per second for successes within their latency aim; above this rate they are sampled.

Failed, late and retried requests and all events are written up to `LINES_PER_S`.
"""
SUCCESS_AVERAGE_S = 2.0
"""Time constant of the average rate of ordinary successes, in seconds."""
LINES_PER_S = 100.0
"""Sustained limit in lines per second; a busy entry answers several hundred requests a second."""
MAX_BURST_LINES = 400
"""Greatest burst, in lines."""
TEXT_SHARE = 0.75
"""Share of both limits that lines with the same text may use, so that others are written too."""
REFUSAL_SHARE, CALLER_SHARE = 0.3, 0.1
"""Shares of both limits that lines of refusals may use: all, and those of one caller's address."""
CALLERS_KEPT = 256
"""Addresses of callers whose refusals are counted apart: those that were refused last."""
TEXT_LIMIT = 1_000
"""Greatest length of a text, and of one for a value that can't be rendered as JSON, in
characters."""


class EventLog:
    """Writer of structured lines to standard output.

    Parameters
    ----------
    name : str
        Name of this entry, included in every line.
    fd : int, optional
        File descriptor to write to.
    """

    def __init__(self, name: str, *, fd: int = 1) -> None:
        self._writer = LineWriter(fd)
        self._credit = _Credit(LINES_PER_S, MAX_BURST_LINES)
        self._text_credits: dict[str, _Credit] = {}
        self._dropped = 0
        self._refusals = _build_credit(REFUSAL_SHARE)
        self._caller_credits: OrderedDict[str, _Credit] = OrderedDict()
        self._unlogged: Counter[tuple[int, str]] = Counter()
        self._success_rate = _SuccessRate()
        self._render = structlog.processors.JSONRenderer()
        self._name = name

    def event(self, part: str, text: str, **fields: Any) -> None:
        """Log a change of cached state or of the process's state.

        Parameters
        ----------
        part : str
            Component that logs it, such as ``targets``.
        text : str
            What happened, as a short sentence.
        """
        self._enqueue(f"{part}: {text}", fields)

    def request(self, attempt_id: str, status: int, outcome: str, **fields: Any) -> None:
        """Log a finished request: every failed, late or retried one, and a sample of the others.

        The field ``stands_for`` is the number of requests that a line represents.
        """
        is_late = fields.get("took_ms", 0) > fields.get("aim_ms", math.inf)
        is_ordinary = status < 400 and not is_late and len(fields.get("attempts", ())) <= 1
        stands_for = 1
        if is_ordinary:
            stands_for = math.ceil(
                self._success_rate.add(clock.read_seconds()) / SUCCESS_LINES_PER_S
            )
            if not _is_sampled(attempt_id, stands_for):
                return
        fields |= {
            "id": attempt_id,
            "status": status,
            "outcome": outcome,
            "stands_for": stands_for,
        }
        self._enqueue("request: Ended.", fields)

    def refusal(
        self,
        attempt_id: str,
        status: int,
        outcome: str,
        *,
        caller: str,
        build_fields: Callable[[], dict[str, Any]],
    ) -> None:
        """Log a request that this entry refused, at a rate that leaves room for other lines.

        The field ``stands_for`` counts also those of its status and outcome that have no line.

        Parameters
        ----------
        outcome : str
            One of a bounded number of texts.
        caller : str
            IP address of the caller, whose refusals have a limit of their own.
        build_fields : callable
            Builds the other fields; called only if the line is written.
        """
        now = clock.read_seconds()
        kind = (status, outcome)
        self._unlogged[kind] += 1
        credits_used = self._find_caller_credit(caller), self._refusals, self._credit
        if not all(credit.use(now) for credit in credits_used):
            return
        fields = build_fields() | {
            "id": attempt_id,
            "status": status,
            "outcome": outcome,
            "stands_for": self._unlogged.pop(kind),
        }
        self._write("request: Ended.", fields, now)

    def _find_caller_credit(self, caller: str) -> _Credit:
        """Return the credit of a caller's refusals."""
        credit = self._caller_credits.get(caller)
        if credit is None:
            credit = self._caller_credits[caller] = _build_credit(CALLER_SHARE)
            if len(self._caller_credits) > CALLERS_KEPT:
                self._caller_credits.popitem(last=False)
        self._caller_credits.move_to_end(caller)
        return credit

    def _enqueue(self, text: str, fields: dict[str, Any]) -> None:
        """Queue a line, or count it as dropped if the rate limit or the queue is exhausted."""
        now = clock.read_seconds()
        credit = self._text_credits.get(text)
        if credit is None:
            credit = self._text_credits[text] = _build_credit(TEXT_SHARE)
        if credit.use(now) and self._credit.use(now):
            self._write(text, fields, now)
        else:
            self._dropped += 1

    def _write(self, text: str, fields: dict[str, Any], now: float) -> None:
        """Queue a line."""
        entry = {"event": text, "at": round(now, 3), "entry": self._name}
        for name, value in fields.items():
            # Callers send some of the texts, such as ids.
            entry[name] = value[:TEXT_LIMIT] if isinstance(value, str) else value
        self._dropped += self._writer.count_dropped()
        if self._dropped:
            entry["dropped_before"] = self._dropped
            self._dropped = 0
        try:
            line = str(self._render(None, "", entry)).encode() + b"\n"
        except Exception:
            line = str(self._render(None, "", self._make_printable(entry))).encode() + b"\n"
        self._writer.put(line)

    def _make_printable(self, entry: dict[str, Any]) -> dict[str, str]:
        """Replace the values of a line by their text, and those without one by their type."""
        printable = {}
        for name, value in entry.items():
            try:
                printable[name] = str(value)[:TEXT_LIMIT].encode(errors="replace").decode()
            except Exception:
                printable[name] = f"<{type(value).__name__}>"
        return printable

    def close(self, *, timeout_s: float = 0.2) -> None:
        """Write the queued lines and stop the thread, waiting at most `timeout_s` seconds."""
        self._writer.close(timeout_s=timeout_s)


class _Credit:
    """Lines that may be written: a burst, and a number per second after it."""

    def __init__(self, lines_per_s: float, burst: float) -> None:
        self._lines_per_s = lines_per_s
        self._burst = self._left = burst
        self._at = clock.read_seconds()

    def use(self, now: float) -> bool:
        """Count one line; return False if none may be written now."""
        gained = (now - self._at) * self._lines_per_s
        self._left = min(self._burst, self._left + gained)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def _build_credit(share: float) -> _Credit:
    """Return a share of the whole rate and burst."""
    return _Credit(share * LINES_PER_S, share * MAX_BURST_LINES)


class _SuccessRate:
    """Exponentially averaged rate of ordinary successes per second."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float) -> float:
        """Count one success; return the rate per second, averaged over `SUCCESS_AVERAGE_S`."""
        self._count = self._count * math.exp((self._at - now) / SUCCESS_AVERAGE_S) + 1.0
        self._at = now
        return self._count / SUCCESS_AVERAGE_S


def _is_sampled(attempt_id: str, stands_for: int) -> bool:
    """Check whether a success is logged; the result is the same on all entries for one id."""
    return zlib.crc32(attempt_id.encode()) % max(1, stands_for) == 0
