"""Report on how long withdrawn targets still get requests, and from which entries.

A target is withdrawn once its record states that it drains, or its record is removed.  The report
is built from gateways' log lines.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from halldoor.core.explaining.history import LogLine

WITHDRAWALS_SHOWN = 12
"""Targets that are listed, those with the latest requests; the others are counted."""
WITHDRAWAL_LINES = frozenset({"Draining.", "Gone.", "Withdrawn, as another entry says."})
"""Texts of the log lines in which an entry states that it sends no more requests to a target."""


class SentRequest(NamedTuple):
    """A request that was sent to a target after its withdrawal.

    Attributes
    ----------
    after_s : float
        Time since the first entry knew of the withdrawal, in seconds.
    own_s : float or None
        Time since the sending entry itself knew of the withdrawal, in seconds; negative if it knew
        later, None if no line shows that it ever knew.
    """

    entry: str
    after_s: float
    own_s: float | None


class Withdrawal(NamedTuple):
    """The withdrawal of a target, as reconstructed from the log lines of all entries.

    Attributes
    ----------
    target, first_entry : str
        Incarnation (one start) of the target, and the first entry that knew of the withdrawal.
    at_s : float
        When that entry knew, in seconds of the lines' common clock.
    delays_s : tuple of float
        How much later each other entry knew, in seconds, in ascending order.
    slowest : str
        The entry that knew last.
    unaware : int
        Number of entries that were running then and never logged that they knew.
    last : SentRequest or None
        The last request that was sent to the target after the withdrawal; None if there was none.
    """

    target: str
    first_entry: str
    at_s: float
    delays_s: tuple[float, ...]
    slowest: str
    unaware: int
    last: SentRequest | None


class _Run(NamedTuple):
    """One run of an entry's process, from start to crash or exit: entry name and number."""

    entry: str
    number: int


class _StateLine(NamedTuple):
    """A log line that states whether a target is withdrawn, by a revision of the store."""

    run: _Run
    at: float
    revision: int
    is_withdrawn: bool


class _Period(NamedTuple):
    """The time from a withdrawal until the target is used again, on the common clock.

    Attributes
    ----------
    first : _Run
        The first entry's process that knew of the withdrawal.
    since, until : float
        Start and end of the period, in seconds; infinite ``until`` if it has not ended.
    revision : int
        Lowest revision of the store by which an entry knew of the withdrawal.
    known : dict of str to float
        Time at which each entry logged the withdrawal, in seconds.
    """

    first: _Run
    since: float
    until: float
    revision: int
    known: dict[str, float]


class WithdrawalTable:
    """Collector of log lines about withdrawn targets and the requests sent to them."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}
        self._offsets: dict[_Run, float] = {}
        self._began: dict[_Run, float] = {}
        self._state_lines: defaultdict[str, list[_StateLine]] = defaultdict(list)
        self._sent: defaultdict[str, list[tuple[_Run, float]]] = defaultdict(list)
        self._applied: defaultdict[_Run, list[tuple[float, int]]] = defaultdict(list)

    def add(self, line: LogLine) -> None:
        """Add a log line; lines without information on targets or revisions are ignored."""
        run = self._find_run(line)
        fields = line.fields
        if "revision" in fields:
            self._add_revision(run, line.at, int(fields["revision"]))
        match (line.part, line.text):
            case ("targets", text) if text in WITHDRAWAL_LINES or text == "Seen.":
                state_line = _StateLine(
                    run, line.at, int(fields.get("revision", 0)), text != "Seen."
                )
                self._state_lines[str(fields.get("target", ""))].append(state_line)
            case ("request", "Ended."):
                self._add_attempts(run, line)

    def _add_revision(self, run: _Run, at: float, revision: int) -> None:
        """Record the time at which an entry had applied all changes up to a revision."""
        applied = self._applied[run]
        if not applied or applied[-1][1] != revision:
            applied.append((at, revision))

    def _find_run(self, line: LogLine) -> _Run:
        """Return the run of the process that wrote a line, and update its clock offset."""
        run = self._runs.get(line.entry, _Run(line.entry, 0))
        if line.part == "process" and line.text == "Started.":
            # A restarted process may have another monotonic clock.
            run = run._replace(number=run.number + 1)
        self._runs[line.entry] = run
        if line.collected_at is not None:
            # Lines may be collected late but never early: the smallest offset is the best estimate.
            offset = line.collected_at - line.at
            self._offsets[run] = min(self._offsets.get(run, math.inf), offset)
        self._began.setdefault(run, line.at)
        return run

    def _add_attempts(self, run: _Run, line: LogLine) -> None:
        """Record when a request was sent to each target, from the durations of its attempts."""
        ended = line.at
        for attempt in reversed(line.fields.get("attempts") or ()):
            ended -= int(attempt.get("took_ms") or 0) / 1000
            if attempt.get("result") == "not reached":
                continue
            sent_at = ended + int(attempt.get("connect_ms") or 0) / 1000
            self._sent[str(attempt.get("target", ""))].append((run, sent_at))

    def list_withdrawals(self) -> list[Withdrawal]:
        """List the withdrawals, those with the latest request to the target first."""
        found = [
            self._build_withdrawal(target, period)
            for target, state_lines in self._state_lines.items()
            for period in self._find_periods(state_lines)
        ]
        return sorted(found, key=_get_lateness, reverse=True)

    def _to_common_time(self, run: _Run, at: float) -> float:
        """Convert a time of one run to the lines' common clock, in seconds.

        For lines without a collector's time, the result is the time since the process started.
        """
        return at + self._offsets.get(run, -self._began[run])

    def _find_periods(self, state_lines: Sequence[_StateLine]) -> list[_Period]:
        """Return the periods in which a target was withdrawn."""
        periods: list[_Period] = []
        dated = sorted((self._to_common_time(one.run, one.at), one) for one in state_lines)
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
                # Lines of lower revisions are ignored: a lagging entry may still log the old state.
                periods[-1] = last._replace(until=at, revision=revision)
        return periods

    def _build_withdrawal(self, target: str, period: _Period) -> Withdrawal:
        """Build the withdrawal of a period: when each entry knew, and the last request."""
        runs = [r for r, at in self._began.items() if self._to_common_time(r, at) <= period.since]
        known = {e: at for e, at in period.known.items() if e in {run.entry for run in runs}}
        for run in runs:
            applied_at = self._find_applied_at(run, period)
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
            len({run.entry for run in runs} - known.keys()),
            self._find_last_request(target, period, known),
        )

    def _find_applied_at(self, run: _Run, period: _Period) -> float | None:
        """Return when a run had applied all changes up to the withdrawal; None if never.

        The line on the target itself may be missing: a full read of the store logs few targets,
        and log lines may be lost.
        """
        for at, revision in self._applied[run]:
            applied_at = self._to_common_time(run, at)
            if period.since <= applied_at < period.until and revision >= period.revision:
                return applied_at
        return None

    def _find_last_request(
        self, target: str, period: _Period, known: dict[str, float]
    ) -> SentRequest | None:
        """Return the last request that was sent to a target while it was withdrawn."""
        dated = ((self._to_common_time(run, at), run.entry) for run, at in self._sent[target])
        late = [(at, entry) for at, entry in dated if period.since < at < period.until]
        if not late:
            return None
        at, entry = max(late)
        own_s = at - known[entry] if entry in known else None
        return SentRequest(entry, at - period.since, own_s)


def _get_lateness(withdrawal: Withdrawal) -> float:
    """Return how long after the withdrawal the last request was sent, in seconds."""
    return withdrawal.last.after_s if withdrawal.last is not None else -math.inf


def find_quantile(values: Iterable[float], quantile: float) -> float:
    """Return a quantile by the nearest rank; 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(quantile * len(ordered)) - 1)]


def describe_withdrawals(withdrawals: Sequence[Withdrawal]) -> list[str]:
    """Format withdrawals as lines of text; empty if there are none."""
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
    """Format the median, the 99th percentile and the maximum of times in seconds."""
    median, high, worst = (find_quantile(values, quantile) for quantile in (0.5, 0.99, 1.0))
    return f"median {median:.2f}, p99 {high:.2f}, worst {worst:.2f}"


def _describe(withdrawal: Withdrawal) -> str:
    """Format one withdrawal with a late request as a line of text."""
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
