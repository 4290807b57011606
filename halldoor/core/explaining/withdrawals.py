"""Find from gateways' log lines how long targets that leave still get requests, and from whom.

A target is withdrawn once its record says that it drains, or is removed.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from halldoor.core.explaining.history import LogLine

WITHDRAWALS_SHOWN = 12
"""Targets that are listed, those with the latest request; the rest is counted."""


WITHDRAWAL_LINES = frozenset({"Draining.", "Gone.", "Withdrawn, as another entry says."})
"""Lines by which an entry writes that it sends a target nothing more."""


class Sending(NamedTuple):
    """A request that was sent to a target after its withdrawal.

    Attributes
    ----------
    after_s : float
        Time since the first entry knew of the withdrawal, in seconds.
    own_s : float or None
        Time since the entry that sent it knew itself, in seconds; None where no line says that it
        ever did, negative where it learnt later.
    """

    entry: str
    after_s: float
    own_s: float | None


class Withdrawal(NamedTuple):
    """What the entries' lines tell of a target that was withdrawn.

    Attributes
    ----------
    target, first_entry : str
        Incarnation, and the first entry that knew.
    at_s : float
        When that entry knew, in seconds of the lines' common clock.
    delays_s : tuple of float
        How much later each other entry knew, in seconds, in rising order.
    slowest : str
        The entry that knew last.
    unaware : int
        Entries that ran then and of which no line says that they knew.
    last : Sending or None
        The last request that was sent to it; None where the lines name none.
    """

    target: str
    first_entry: str
    at_s: float
    delays_s: tuple[float, ...]
    slowest: str
    unaware: int
    last: Sending | None


class _Run(NamedTuple):
    """One life of an entry's process."""

    entry: str
    number: int


class _Told(NamedTuple):
    """A line on a target's record."""

    run: _Run
    at: float
    revision: int
    is_withdrawn: bool


class _Period(NamedTuple):
    """Time from a withdrawal until the target is back, on the common clock.

    Attributes
    ----------
    revision : int
        Least revision of the store by which an entry knew of it.
    """

    first: _Run
    since: float
    until: float
    revision: int
    known: dict[str, float]


class WithdrawalTable:
    """Collects what the lines tell of targets that leave."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}
        self._offsets: dict[_Run, float] = {}
        self._began: dict[_Run, float] = {}
        self._told: defaultdict[str, list[_Told]] = defaultdict(list)
        self._sent: defaultdict[str, list[tuple[_Run, float]]] = defaultdict(list)
        self._applied: defaultdict[_Run, list[tuple[float, int]]] = defaultdict(list)

    def add(self, line: LogLine) -> None:
        """Take a line; any that tells of no target changes nothing."""
        run = self._find_run(line)
        fields = line.fields
        if "revision" in fields:
            self._add_revision(run, line.at, int(fields["revision"]))
        match (line.part, line.text):
            case ("targets", text) if text in WITHDRAWAL_LINES or text == "Seen.":
                told = _Told(run, line.at, int(fields.get("revision", 0)), text != "Seen.")
                self._told[str(fields.get("target", ""))].append(told)
            case ("request", "Ended."):
                self._add_sendings(run, line)

    def _add_revision(self, run: _Run, at: float, revision: int) -> None:
        """Take up to which revision an entry applied all changes."""
        applied = self._applied[run]
        if not applied or applied[-1][1] != revision:
            applied.append((at, revision))

    def _find_run(self, line: LogLine) -> _Run:
        """Find the life of the process that wrote a line, and set its clock."""
        run = self._runs.get(line.entry, _Run(line.entry, 0))
        if line.part == "process" and line.text == "Started.":
            # The steady clock begins anew.
            run = run._replace(number=run.number + 1)
        self._runs[line.entry] = run
        if line.collected_at is not None:
            # Lines may be collected late, and never early.
            offset = line.collected_at - line.at
            self._offsets[run] = min(self._offsets.get(run, math.inf), offset)
        self._began.setdefault(run, line.at)
        return run

    def _add_sendings(self, run: _Run, line: LogLine) -> None:
        """Take a request's attempts, of which the line says only how long each took."""
        ended = line.at
        for attempt in reversed(line.fields.get("attempts") or ()):
            ended -= int(attempt.get("took_ms", 0)) / 1000
            if attempt.get("result") == "not reached":
                continue
            sent_at = ended + int(attempt.get("connect_ms", 0)) / 1000
            self._sent[str(attempt.get("target", ""))].append((run, sent_at))

    def list_withdrawals(self) -> list[Withdrawal]:
        """List the targets that left, those with the latest request first."""
        found = [
            self._sum_up(target, period)
            for target, told in self._told.items()
            for period in self._find_periods(told)
        ]
        return sorted(found, key=_get_lateness, reverse=True)

    def _find_time(self, run: _Run, at: float) -> float:
        """Find a moment on the lines' common clock, in seconds.

        Without a collector's time it is the time since the process started.
        """
        return at + self._offsets.get(run, -self._began[run])

    def _find_periods(self, told: Sequence[_Told]) -> list[_Period]:
        """Find the times in which a target was withdrawn."""
        periods: list[_Period] = []
        dated = sorted((self._find_time(one.run, one.at), one) for one in told)
        for at, (run, _, revision, is_withdrawn) in dated:
            last = periods[-1] if periods else None
            is_open = last is not None and at < last.until
            if is_withdrawn and is_open and last is not None:
                last.known.setdefault(run.entry, at)
                # The lines name the update's revision, which is the change's own or later.
                periods[-1] = last._replace(revision=min(revision, last.revision))
            elif is_withdrawn and (last is None or revision > last.revision):
                periods.append(_Period(run, at, math.inf, revision, {run.entry: at}))
            elif is_open and last is not None and revision > last.revision:
                # An entry that lags may still write that the target is there.
                periods[-1] = last._replace(until=at, revision=revision)
        return periods

    def _sum_up(self, target: str, period: _Period) -> Withdrawal:
        """Sum up who knew when, and the last request."""
        ran = [r for r, at in self._began.items() if self._find_time(r, at) <= period.since]
        known = {e: at for e, at in period.known.items() if e in {run.entry for run in ran}}
        for run in ran:
            applied_at = self._find_application(run, period)
            if applied_at is not None:
                known[run.entry] = min(applied_at, known.get(run.entry, math.inf))
        others = sorted(
            (at - period.since, e) for e, at in known.items() if e != period.first.entry
        )
        return Withdrawal(
            target,
            period.first.entry,
            period.since,
            tuple(delay for delay, _ in others),
            others[-1][1] if others else "",
            len({run.entry for run in ran} - known.keys()),
            self._find_last(target, period, known),
        )

    def _find_application(self, run: _Run, period: _Period) -> float | None:
        """Find when an entry had applied all changes up to the withdrawal.

        The line of the target itself may be missing: whole readings write few, and lines get lost.
        """
        for at, revision in self._applied[run]:
            applied_at = self._find_time(run, at)
            if period.since <= applied_at < period.until and revision >= period.revision:
                return applied_at
        return None

    def _find_last(self, target: str, period: _Period, known: dict[str, float]) -> Sending | None:
        """Find the last request that was sent to a target while it was withdrawn."""
        dated = ((self._find_time(run, at), run.entry) for run, at in self._sent[target])
        late = [(at, entry) for at, entry in dated if period.since < at < period.until]
        if not late:
            return None
        at, entry = max(late)
        own_s = at - known[entry] if entry in known else None
        return Sending(entry, at - period.since, own_s)


def _get_lateness(withdrawal: Withdrawal) -> float:
    """Return how late the last request was, in seconds."""
    return withdrawal.last.after_s if withdrawal.last is not None else -math.inf


def find_quantile(values: Iterable[float], quantile: float) -> float:
    """Find a quantile by the nearest rank; 0 where there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(quantile * len(ordered)) - 1)]


def describe_withdrawals(withdrawals: Sequence[Withdrawal]) -> list[str]:
    """Write withdrawals as lines of text; nothing where there are none."""
    if not withdrawals:
        return []
    delays = [delay for one in withdrawals for delay in one.delays_s]
    late = [one.last.after_s for one in withdrawals if one.last is not None]
    lines = ["", "Targets that drained or were removed (seconds after the first entry knew):"]
    lines.append(f"{len(withdrawals):>8}  targets")
    lines.append(f"{len(delays):>8}  other entries knew: {_describe_spread(delays)}")
    lines.append(f"{len(late):>8}  got a request, the last one: {_describe_spread(late)}")
    lines += [_describe(one) for one in withdrawals[:WITHDRAWALS_SHOWN] if one.last is not None]
    return lines


def _describe_spread(values: Sequence[float]) -> str:
    """Write the median, the 99th percentile and the greatest of some times."""
    median, high, worst = (find_quantile(values, quantile) for quantile in (0.5, 0.99, 1.0))
    return f"median {median:.2f}, p99 {high:.2f}, worst {worst:.2f}"


def _describe(withdrawal: Withdrawal) -> str:
    """Write what is known of one target with a late request."""
    last = withdrawal.last
    assert last is not None
    delays = withdrawal.delays_s
    knew = f"{len(delays)} others knew"
    if delays:
        knew += f" by +{find_quantile(delays, 0.5):.2f} (median), {withdrawal.slowest} "
        knew += f"last at +{delays[-1]:.2f}"
    if last.own_s is None:
        own = "which never wrote that it knew"
    else:
        own = f"{abs(last.own_s):.2f} s {'after' if last.own_s >= 0 else 'before'} it knew"
    return (
        f"{withdrawal.at_s:08.2f}  {withdrawal.target}: first {withdrawal.first_entry}; {knew}; "
        f"{withdrawal.unaware} unaware; last request at +{last.after_s:.2f} of {last.entry}, {own}"
    )
