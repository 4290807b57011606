"""Report on which requests are slow or fail, when and why, from gateways' log lines."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from halldoor.core.explaining.history import LogLine, add_times_since_start, find_warmth
from halldoor.core.explaining.losses import (
    UnreachedPeriod,
    UnreachedTable,
    describe_unreached,
)
from halldoor.core.explaining.moves import Moved, MoveTable, describe_moves
from halldoor.core.explaining.refusals import RefusalCount, RefusalTable, describe_refusals
from halldoor.core.explaining.withdrawals import (
    Withdrawal,
    WithdrawalTable,
    describe_withdrawals,
)

WINDOW_S = 2.0
"""Length of a window of the table by time, in seconds: about the length of a short fault."""
REASONS_SHOWN = 12
"""Most frequent reasons of refusals and failures that are listed; the others are counted."""
SUSPECTS_SHOWN = 8
"""Requests suspected of crashing targets that are listed; the others are counted."""
LEAST_LOST = 2
"""Least number of targets whose answer was lost for a request to be listed: one may be chance."""


class RequestOutcome(StrEnum):
    """How a request finished for its caller: within its route's aim, late, refused or failed."""

    IN_AIM = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Tally(NamedTuple):
    """Counts and times of a group of requests.

    Attributes
    ----------
    group : tuple of str
        Values that the requests have in common, such as the service.
    counts : dict of RequestOutcome to int
        Number of requests by outcome.  Ordinary successes are sampled, and each logged one counts
        as several.
    median_ms, high_ms : int
        Median and 90th percentile of the time at the entry, in milliseconds.
    """

    group: tuple[str, ...]
    counts: dict[RequestOutcome, int]
    median_ms: int
    high_ms: int

    @property
    def total(self) -> int:
        """Number of all requests of the group."""
        return sum(self.counts.values())


class AttemptTally(NamedTuple):
    """Counts and times of a group of answered attempts.

    Attributes
    ----------
    group : tuple of str
        Service, distance of the target, and whether it was expected to be warm for the key.
    total : int
        Number of attempts.
    expected_ms, took_ms, connect_ms : int
        Medians of the time expected, taken, and spent on connecting, in milliseconds.
    """

    group: tuple[str, ...]
    total: int
    expected_ms: int
    took_ms: int
    connect_ms: int


class Suspect(NamedTuple):
    """A request that is suspected of crashing targets: the answers of several were lost.

    Attributes
    ----------
    digest : str
        Digest of the request, the same for all its copies; see `quarantine.identity`.
    targets, entries : int
        Number of targets whose answer to it was lost, and of entries that received it.
    answered : int
        Number of times that a target answered it.
    """

    digest: str
    service: str
    targets: int
    entries: int
    answered: int


class Report(NamedTuple):
    """The report: tallies of requests and attempts, reasons, suspects, moves, what is known of
    withdrawn targets and of entries that reached none, and refusals by the entries."""

    services: list[Tally]
    moments: list[Tally]
    attempts: list[AttemptTally]
    reasons: list[tuple[str, str, int]]
    suspects: list[Suspect]
    moves: list[Moved]
    withdrawals: list[Withdrawal]
    unreached: list[UnreachedPeriod]
    refusals: list[RefusalCount]


class _Request(NamedTuple):
    """One logged request, and the number of requests that it represents in the sample."""

    line: LogLine
    stands_for: int
    ended: RequestOutcome
    since_start_s: float


def build_report(lines: Iterable[LogLine]) -> Report:
    """Build the report from the log lines of one or several entries."""
    moves, withdrawals, unreached = MoveTable(), WithdrawalTable(), UnreachedTable()
    refusals = RefusalTable()
    requests = []
    for line, since_start_s in add_times_since_start(lines):
        moves.add(line, since_start_s)
        withdrawals.add(line)
        unreached.add(line, since_start_s)
        refusals.add(line)
        request = _read_request(line, since_start_s)
        if request is not None:
            requests.append(request)
    moments = _tally(requests, lambda r: (f"{int(r.since_start_s / WINDOW_S) * WINDOW_S:06.1f}",))
    return Report(
        services=_tally(requests, lambda r: (str(r.line.fields["service"]),)),
        moments=moments,
        attempts=_tally_attempts(requests),
        reasons=_count_reasons(requests),
        suspects=_list_suspects(requests),
        moves=moves.list_moves(),
        withdrawals=withdrawals.list_withdrawals(),
        unreached=unreached.list_periods(),
        refusals=refusals.list_counts(),
    )


def _read_request(line: LogLine, since_start_s: float) -> _Request | None:
    """Return the finished request that a line logs; None for another line."""
    fields = line.fields
    if line.part != "request" or not fields.get("service") or "status" not in fields:
        return None
    stands_for = int(fields.get("stands_for", 1))
    return _Request(line, stands_for, _classify(fields), since_start_s)


def _classify(fields: dict[str, Any]) -> RequestOutcome:
    """Classify how a request finished from its status and time."""
    status = int(fields["status"])
    if status < 500:
        is_late = fields.get("took_ms", 0) > fields.get("aim_ms", math.inf)
        return RequestOutcome.LATE if is_late else RequestOutcome.IN_AIM
    return RequestOutcome.REFUSED if status == 503 else RequestOutcome.FAILED


def _tally(
    requests: Iterable[_Request], find_group: Callable[[_Request], tuple[str, ...]]
) -> list[Tally]:
    """Count requests and compute quantiles of their time, by group."""
    groups: defaultdict[tuple[str, ...], list[_Request]] = defaultdict(list)
    for request in requests:
        groups[find_group(request)].append(request)
    tallies = []
    for group, members in sorted(groups.items()):
        counts = dict.fromkeys(RequestOutcome, 0)
        for member in members:
            counts[member.ended] += member.stands_for
        times = [(int(m.line.fields.get("took_ms", 0)), m.stands_for) for m in members]
        tallies.append(Tally(group, counts, _find_quantile(times, 0.5), _find_quantile(times, 0.9)))
    return tallies


def _tally_attempts(requests: Iterable[_Request]) -> list[AttemptTally]:
    """Count answered attempts by service, distance and expected warmth."""
    groups: defaultdict[tuple[str, ...], list[tuple[dict[str, Any], int]]] = defaultdict(list)
    for request in requests:
        for attempt in request.line.fields.get("attempts") or ():
            if attempt.get("result") == "answered" and "distance" in attempt:
                service = str(request.line.fields["service"])
                warmth = find_warmth(attempt).name.lower().replace("_", " ")
                group = (service, str(attempt["distance"]), warmth)
                groups[group].append((attempt, request.stands_for))
    return [
        AttemptTally(
            group,
            sum(weight for _, weight in attempts),
            *(
                _find_quantile([(int(a.get(name) or 0), weight) for a, weight in attempts], 0.5)
                for name in ("expected_ms", "took_ms", "connect_ms")
            ),
        )
        for group, attempts in sorted(groups.items())
    ]


def _count_reasons(requests: Iterable[_Request]) -> list[tuple[str, str, int]]:
    """Count refused and failed requests by service and reason, the most frequent first."""
    counts: defaultdict[tuple[str, str], int] = defaultdict(int)
    for request in requests:
        if request.ended in (RequestOutcome.REFUSED, RequestOutcome.FAILED):
            fields = request.line.fields
            counts[(str(fields["service"]), _format_reason(fields))] += request.stands_for
    ordered = sorted(counts.items(), key=lambda item: -item[1])
    return [(service, reason, count) for (service, reason), count in ordered]


def _list_suspects(requests: Iterable[_Request]) -> list[Suspect]:
    """List the requests whose answer was lost at several targets, those with most targets first."""
    lost: defaultdict[str, set[str]] = defaultdict(set)
    entries: defaultdict[str, set[str]] = defaultdict(set)
    answered: defaultdict[str, int] = defaultdict(int)
    services: dict[str, str] = {}
    for line, stands_for, *_ in requests:
        digest = str(line.fields.get("digest", ""))
        if not digest:
            continue
        services[digest] = str(line.fields["service"])
        entries[digest].add(line.entry)
        for attempt in line.fields.get("attempts") or ():
            if attempt.get("result") == "answer lost":
                lost[digest].add(str(attempt["target"]))
            elif attempt.get("result") == "answered":
                answered[digest] += stands_for
    found = [
        Suspect(digest, services[digest], len(targets), len(entries[digest]), answered[digest])
        for digest, targets in lost.items()
        if len(targets) >= LEAST_LOST
    ]
    return sorted(found, key=lambda suspect: -suspect.targets)


def _format_reason(fields: dict[str, Any]) -> str:
    """Return status and reason without the target's name, so that equal reasons are counted."""
    outcome = str(fields.get("outcome", ""))
    attempts = fields.get("attempts") or ()
    names = {str(attempt.get("target")) for attempt in attempts}
    name, _, rest = outcome.partition(": ")
    reason = rest if name in names else outcome
    return f"{fields['status']} {reason}"


def _find_quantile(values: Sequence[tuple[int, int]], quantile: float) -> int:
    """Return a quantile of weighted values, given as (value, weight); 0 if there are none."""
    left = quantile * sum(weight for _, weight in values)
    for value, weight in sorted(values):
        left -= weight
        if left < 0:
            return value
    return 0


def describe_report(report: Report) -> list[str]:
    """Format a report as lines of text."""
    lines = ["By service (time at the entry, ms):", *_describe_tallies(report.services)]
    lines += ["", "By moment (seconds since the entry's start):"]
    lines += _describe_tallies(report.moments)
    lines += ["", "Answered attempts (medians, ms):"]
    lines.append(f"{'service, distance, key':<44}{'n':>8}{'expected':>10}{'took':>7}{'connect':>9}")
    lines += [
        f"{', '.join(a.group):<44}{a.total:>8}{a.expected_ms:>10}{a.took_ms:>7}{a.connect_ms:>9}"
        for a in report.attempts
    ]
    lines += ["", "Refused and failed:"]
    shown = report.reasons[:REASONS_SHOWN]
    lines += [f"{count:>8}  {service}: {reason}" for service, reason, count in shown]
    left = sum(count for _, _, count in report.reasons[REASONS_SHOWN:])
    if left:
        lines.append(f"{left:>8}  for other reasons")
    lines += describe_refusals(report.refusals)
    lines += _describe_suspects(report.suspects)
    lines += describe_moves(report.moves)
    lines += describe_withdrawals(report.withdrawals)
    return lines + describe_unreached(report.unreached)


def _describe_suspects(suspects: Sequence[Suspect]) -> list[str]:
    """Format the requests suspected of crashing targets; empty if there are none."""
    if not suspects:
        return []
    lines = ["", "Targets lost while running the same request:"]
    lines += [
        f"{s.targets:>8}  {s.digest} ({s.service}) at {s.entries} entries, answered {s.answered}"
        for s in suspects[:SUSPECTS_SHOWN]
    ]
    left = len(suspects) - SUSPECTS_SHOWN
    return [*lines, f"{left:>8}  other requests"] if left > 0 else lines


def _describe_tallies(tallies: Iterable[Tally]) -> list[str]:
    """Format tallies as a table."""
    heads = "".join(f"{ended.value:>9}" for ended in RequestOutcome)
    lines = [f"{'':<16}{'n':>8}{heads}{'p50':>7}{'p90':>7}"]
    for tally in tallies:
        counts = "".join(f"{tally.counts[ended]:>9}" for ended in RequestOutcome)
        name = ", ".join(tally.group)
        lines.append(f"{name:<16}{tally.total:>8}{counts}{tally.median_ms:>7}{tally.high_ms:>7}")
    return lines
