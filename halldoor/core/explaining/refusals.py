"""Whether entries refused requests rightly, by the configurations in the logs of all entries."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from halldoor.core.explaining.history import LogLine
from halldoor.core.teams.admission import RefusalReason

BOUND_S = 5.0
"""Time in which a configuration has to be in force everywhere, in seconds, where a line doesn't say
another limit."""
ENTRIES_SHOWN = 5
"""Entries that are listed by name; the others are counted."""
REFUSALS_SHOWN = 20
"""Most frequent kinds of refusals that are listed; the others are counted."""
_BY_CONFIGURATION = {RefusalReason.NO_ROUTE, RefusalReason.UNKNOWN_KEY}


class Verdict(StrEnum):
    """Whether a refusal was right; printed as its value."""

    RIGHT = "RIGHT"
    WRONG = "WRONG"
    UNKNOWN = "NOT KNOWN"


class Judgement(NamedTuple):
    """The verdict on a refusal, and its reason as a sentence."""

    verdict: Verdict
    reason: str


class Version(NamedTuple):
    """A version of the configuration, as a log line names it.

    Attributes
    ----------
    number : int
        Version that operators gave it; 0 for none.
    era, revision : str, int or None
        Copy of the store, and revision from which an entry had it in force; None if the line
        doesn't name it.
    """

    number: int
    era: str = ""
    revision: int | None = None

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> Version:
        """Return the version that a line's fields name."""
        revision = fields.get("revision")
        number, era = int(fields.get("version", 0)), str(fields.get("era") or "")
        return cls(number, era, None if revision is None else int(revision))

    def is_newer_than(self, other: Version) -> bool:
        """Check whether operators wrote this version later, whatever the numbers if possible."""
        if self.number == other.number:
            return False
        if self.revision is None or other.revision is None or self.era != other.era:
            return self.number > other.number
        return self.revision > other.revision


class Holding(NamedTuple):
    """A version that an entry had in force at some moment, and for how long at least.

    Attributes
    ----------
    for_s : float
        Time since the first line that shows it, in seconds.
    is_whole : bool
        Whether that line says when it came into force.
    """

    entry: str
    version: Version
    for_s: float
    is_whole: bool


class RefusalCount(NamedTuple):
    """Number of refusals for one reason by one entry and version of the configuration."""

    reason: str
    entry: str
    version: int
    total: int


class ConfigurationTable:
    """The versions in force at each entry, from their log lines.

    Entries' own clocks can't be compared.  Lines are placed by the time at which a collector got
    them, or else by the clocks of the entries' hosts.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all entries, in the order of each.
    is_collected : bool
        Whether to use the collector's times.
    """

    def __init__(self, lines: Iterable[LogLine], *, is_collected: bool) -> None:
        self._changes: defaultdict[str, list[tuple[float, Version, bool]]] = defaultdict(list)
        for line in lines:
            at, version = find_time(line, is_collected=is_collected), _find_version(line)
            changes = self._changes[line.entry]
            if at is None or version is None:
                continue
            if not changes or changes[-1][1].number != version.number:
                changes.append((at, version, line.part == "routing"))

    def list_holdings(self, at: float, *, but: str) -> list[Holding]:
        """Return what the entries but one had in force at a time, without those that had none."""
        holdings = []
        for entry, changes in sorted(self._changes.items()):
            earlier = [change for change in changes if change[0] <= at]
            if entry != but and earlier and earlier[-1][1].number:
                since, version, is_whole = earlier[-1]
                holdings.append(Holding(entry, version, at - since, is_whole))
        return holdings

    def count_unknown(self, at: float, *, but: str) -> int:
        """Return the number of other entries whose lines begin later, while they ran."""
        firsts = [c[0] for entry, c in self._changes.items() if c and entry != but]
        return sum(since > at and version.number != 0 for since, version, _ in firsts)


def _find_version(line: LogLine) -> Version | None:
    """Return the version in force by a line, 0 without one; None if the line doesn't tell.

    The lines of requests and moves count as well, since the line of a configuration may be missing.
    """
    if line.part == "process" and line.text in {"Started.", "Stopped."}:
        return Version(0)
    is_routing = line.part == "routing" and line.text == "In force."
    if is_routing or (line.part in {"request", "flow"} and "version" in line.fields):
        return Version.from_fields(line.fields)
    return None


def find_time(line: LogLine, *, is_collected: bool) -> float | None:
    """Return the time of a line by the collector's clock or by that of its host, in seconds."""
    if is_collected:
        return line.collected_at
    unix_s = line.fields.get("unix_s")
    return None if unix_s is None else float(unix_s)


def judge_refusals(lines: Sequence[LogLine], attempt_id: str) -> list[str]:
    """Return a sentence on each refusal of a request that a configuration decided.

    Parameters
    ----------
    lines : sequence of LogLine
        Lines of all entries.
    attempt_id : str
        The id that the caller sent.
    """
    sentences = []
    for line in lines:
        if line.fields.get("id") == attempt_id and is_refusal(line):
            judgement = judge_refusal(lines, line)
            if judgement is not None:
                sentences.append(f"{judgement.verdict}: {judgement.reason}")
    return sentences


def judge_refusal(lines: Sequence[LogLine], refused: LogLine) -> Judgement | None:
    """Judge a refusal; None if no configuration decided it.

    It is wrong if a newer configuration had been in force at other entries for longer than the
    bound, unless one of them refused the same path by it.  It should have been a 503 then, after
    which callers retry elsewhere.
    """
    fields = refused.fields
    if str(fields.get("outcome")) not in _BY_CONFIGURATION:
        return None
    entry, held = refused.entry, Version.from_fields(fields)
    bound_s = float(fields.get("limit_ms") or BOUND_S * 1000) / 1000
    is_collected = refused.collected_at is not None
    at = find_time(refused, is_collected=is_collected)
    table = ConfigurationTable(lines, is_collected=is_collected)
    holdings = table.list_holdings(at, but=entry) if at is not None else []
    newer = [holding for holding in holdings if holding.version.is_newer_than(held)]
    version, newest = held.number, _find_newest(newer, held).number
    witness = _find_same_refusal(lines, refused, newest)
    late = [holding for holding in newer if holding.for_s > bound_s]
    if newer and witness is not None:
        return Judgement(
            Verdict.RIGHT,
            f"{entry} refused by configuration {version} while others had {newest}, "
            f"but {witness.entry} refused the same path by {newest}.",
        )
    if late:
        return Judgement(
            Verdict.WRONG, _describe_late(refused, late, bound_s) + _describe_served(lines, refused)
        )
    proof = f" {entry} {_describe_proof(refused)}."
    if not holdings:
        return Judgement(
            Verdict.UNKNOWN,
            "the lines name no configuration of another entry at that time. Pass the logs of all "
            f"entries since their start.{proof}",
        )
    others = f"{len(holdings)} other entries"
    unknown = table.count_unknown(at, but=entry) if at is not None else 0
    others += f" ({unknown} more are not known)" if unknown else ""
    if not newer and not unknown:
        text = f"none of {others} had a newer configuration than {version}.{proof}"
        return Judgement(Verdict.RIGHT, text)
    longest_s = max((holding.for_s for holding in newer), default=0.0)
    text = f"{len(newer)} of {others} had a newer configuration than {version}"
    if not unknown and all(holding.is_whole for holding in newer):
        text += f", for {longest_s:.1f} s at most, within the bound of {bound_s:g} s."
        return Judgement(Verdict.RIGHT, text + proof)
    since = f", for {longest_s:.1f} s or longer; the bound is {bound_s:g} s" if newer else ""
    text += f"{since}. Pass logs that have each entry's 'routing: In force.' lines.{proof}"
    return Judgement(Verdict.UNKNOWN, text)


def _find_newest(holdings: Iterable[Holding], held: Version) -> Version:
    """Return the newest version of some entries and of the one that refused."""
    newest = held
    for holding in holdings:
        newest = holding.version if holding.version.is_newer_than(newest) else newest
    return newest


def _describe_late(refused: LogLine, late: Sequence[Holding], bound_s: float) -> str:
    """Describe the entries that had a newer configuration in force for longer than the bound."""
    longest = sorted(late, key=lambda holding: -holding.for_s)
    shown = [f"{h.entry} {h.version.number} for {h.for_s:.1f} s" for h in longest[:ENTRIES_SHOWN]]
    rest = len(late) - len(shown)
    shown += [f"{rest} more"] if rest else []
    return (
        f"{refused.entry} refused by configuration {int(refused.fields.get('version', 0))}, while "
        f"{len(late)} other entries had a newer one in force for longer than the bound of "
        f"{bound_s:g} s ({', '.join(shown)}). It {_describe_proof(refused)}, "
        "and should have answered 503."
    )


def _describe_proof(refused: LogLine) -> str:
    """Describe until when the entry knew all changes."""
    proven_age_ms = refused.fields.get("proven_age_ms")
    if proven_age_ms is None:
        return "doesn't say until when it knew all changes"
    return f"knew all changes until {proven_age_ms / 1000:.1f} s before"


def _describe_served(lines: Iterable[LogLine], refused: LogLine) -> str:
    """Describe which other entry had a route for the same request; empty if none is logged."""
    for line in lines:
        fields = line.fields
        is_other = line.entry != refused.entry and fields.get("id") == refused.fields.get("id")
        if is_other and fields.get("route"):
            version = int(fields.get("version", 0))
            return f" {line.entry} had route {fields['route']} for it, by configuration {version}."
    return ""


def _find_same_refusal(lines: Iterable[LogLine], refused: LogLine, version: int) -> LogLine | None:
    """Return the line of another entry that refused the same path by a version; None without."""
    names = ("host", "path", "outcome")
    wanted = [refused.fields.get(name) for name in names]
    if not all(wanted):
        return None
    for line in lines:
        is_by_version = line.part == "request" and line.fields.get("version") == version
        is_same = wanted == [line.fields.get(name) for name in names]
        if line.entry != refused.entry and is_by_version and is_same:
            return line
    return None


def is_refusal(line: LogLine) -> bool:
    """Check whether a line is of a request that its entry refused without a target."""
    fields = line.fields
    if line.part != "request" or "status" not in fields:
        return False
    if fields.get("target") or fields.get("peer"):
        return False
    return 400 <= int(fields["status"]) < 500 or not fields.get("service")


class RefusalTable:
    """Counts the refusals in log lines by reason, entry and version of the configuration."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str, int]] = Counter()

    def add(self, line: LogLine) -> None:
        """Add a log line; other lines than of refusals are skipped."""
        if is_refusal(line):
            fields = line.fields
            reason = f"{fields['status']} {fields.get('outcome', '')}"
            kind = (reason, line.entry, int(fields.get("version", 0)))
            self._counts[kind] += int(fields.get("stands_for", 1))

    def list_counts(self) -> list[RefusalCount]:
        """Return the counts, the greatest first."""
        return [RefusalCount(*kind, count) for kind, count in self._counts.most_common()]


def describe_refusals(counts: Sequence[RefusalCount]) -> list[str]:
    """Format the counts as lines of text; empty if there are none."""
    if not counts:
        return []
    lines = ["", "Refused by the entries themselves (reason, entry, configuration):"]
    lines += [f"{c.total:>8}  {c.reason}, {c.entry}, {c.version}" for c in counts[:REFUSALS_SHOWN]]
    left = sum(c.total for c in counts[REFUSALS_SHOWN:])
    return [*lines, f"{left:>8}  at other entries or for other reasons"] if left else lines
