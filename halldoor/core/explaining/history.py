"""Explanation of what happened to a request, from the log lines of gateways."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import Annotated, Any, NamedTuple

import msgspec

from halldoor.core.decoding import DecodingError, decoding, parse_float
from halldoor.core.targets.load import DecayTimes

CONTEXT_WINDOW_S = 10.0
"""Time before the end of a request in which changes of the entry's state are listed, in seconds."""


MAX_FIGURE = 1e15
"""Greatest absolute value of a figure in a log line."""
Figure = Annotated[float, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]


class LogLine(NamedTuple):
    """A parsed log line of a gateway.

    Attributes
    ----------
    part : str
        Part of the gateway that wrote it: the prefix of the ``event`` field.
    text : str
        Text of the event without this prefix.
    entry : str
        Name of the entry that wrote it.
    at : float
        Time on the monotonic clock of that entry, in seconds.
    fields : dict of str to object
        Other fields of the line.
    collected_at : float or None
        Time on the clock of the process that collected the lines of all entries, in seconds; None
        if the line doesn't begin with it.
    """

    part: str
    text: str
    entry: str
    at: float
    fields: dict[str, Any]
    collected_at: float | None = None


class _Fields(msgspec.Struct):
    """Figures that are read from log lines of any part."""

    revision: Figure = 0
    target: str | None = None


class _AttemptFields(msgspec.Struct):
    """Figures that are read from an attempt in a log line."""

    target: str = ""
    took_ms: Figure = 0
    connect_ms: Figure | None = 0
    expected_ms: Figure | None = 0
    place: Figure | None = 0
    load_age_ms: Figure | None = 0
    load_old_ms: Figure | None = 0


class _RequestFields(_Fields):
    """Figures that are read from the log line of a request."""

    status: Annotated[int, msgspec.Meta(ge=0, le=999)] = 0
    took_ms: Figure = 0
    aim_ms: Figure = 0
    stands_for: Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)] = 1
    quota_part: Figure | None = 0
    quota_age_s: Figure | None = 0
    version: Figure = 0
    limit_ms: Figure | None = 0
    in_force_ms: Figure | None = 0
    proven_age_ms: Figure | None = 0
    unix_s: Figure | None = 0
    attempts: list[_AttemptFields] | None = None


class _RoutingFields(_Fields):
    """Figures that are read from the log line of a configuration."""

    version: Figure = 0
    unix_s: Figure | None = 0


class _MoveFields(_Fields):
    """Figures that are read from the log line of a move."""

    version: Figure = 0
    store_age_ms: Figure = 0
    before: dict[str, Figure] | None = None
    after: dict[str, Figure] | None = None


class _ReachFields(_Fields):
    """Figures that are read from the log lines of an entry that reaches no target."""

    since_ms: Figure = 0
    for_s: Figure = 0
    causes: dict[str, str] | None = None


_FIELDS = {
    "request": _RequestFields,
    "routing": _RoutingFields,
    "flow": _MoveFields,
    "reach": _ReachFields,
}
"""Figures that are read from log lines, by part."""


class Warmth(StrEnum):
    """Whether an entry expected a target to be warm for a key, and why; printed as its value."""

    JUST_STARTED = "just started, cold"
    FIRST_CHOICE = "the key's first, taken for warm"
    HAD_THE_KEY = "it had the key from here before"
    COLD = "taken for cold for the key"


def find_warmth(attempt: dict[str, Any]) -> Warmth:
    """Return whether the target of a logged attempt was expected to be warm for the key."""
    if attempt.get("is_cold"):
        return Warmth.JUST_STARTED
    if attempt.get("place") == 0:
        return Warmth.FIRST_CHOICE
    return Warmth.HAD_THE_KEY if attempt.get("has_sent_key") else Warmth.COLD


def add_times_since_start(lines: Iterable[LogLine]) -> Iterator[tuple[LogLine, float]]:
    """Yield each line with the time since its entry's start, in seconds."""
    started_at: dict[str, float] = {}
    for line in lines:
        if line.part == "process" and line.text == "Started.":
            # The monotonic clock of a restarted entry may start at another value.
            started_at[line.entry] = line.at
        yield line, line.at - started_at.setdefault(line.entry, line.at)


def parse_lines(
    lines: Iterable[str], *, on_odd: Callable[[str], None] = lambda _: None
) -> Iterator[LogLine]:
    """Yield the parsed log lines; lines that are not log lines of a gateway are skipped.

    A collector may have put the time in seconds before the JSON; other prefixes are ignored.

    Parameters
    ----------
    on_odd : callable, optional
        Called with the problem of each log line that is left out, since a figure in it is odd.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            with decoding("a log line"):
                parsed = _parse_line(line[start:], line[:start])
        except DecodingError as exc:
            on_odd(exc.message)
            continue
        if parsed is not None:
            yield parsed


def _parse_line(data: str, prefix: str) -> LogLine | None:
    """Parse the JSON of a log line; return None if it isn't a log line of a gateway."""
    try:
        fields = json.loads(data)
    except json.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    part, _, text = str(fields.pop("event")).partition(": ")
    entry = str(fields.pop("entry", ""))
    at = msgspec.convert(fields.pop("at", 0.0), Figure)
    msgspec.convert(fields, _FIELDS.get(part, _Fields))
    return LogLine(part, text, entry, at, fields, _parse_time(prefix))


def _parse_time(prefix: str) -> float | None:
    """Return the time that a collector put before a line, in seconds; None if there is none."""
    words = prefix.split(maxsplit=1)
    if not words:
        return None
    try:
        return parse_float(words[0], lowest=-MAX_FIGURE, highest=MAX_FIGURE, origin="the time")
    except DecodingError:
        return None


def explain_request(lines: Iterable[LogLine], attempt_id: str) -> list[str]:
    """Describe what happened to a request at all entries.

    Parameters
    ----------
    attempt_id : str
        The id that the caller sent.

    Returns
    -------
    list of str
        Lines of text; empty if no log line names the id.
    """
    all_lines = list(lines)
    sentences: list[str] = []
    for line in all_lines:
        if line.fields.get("id") == attempt_id:
            try:
                with decoding("its log line"):
                    sentences += _describe_request(line)
            except DecodingError as exc:
                sentences.append(f"Entry {line.entry}: {exc.message}")
            sentences += [f"  {text}" for text in _describe_context(all_lines, line)]
    entries = sorted({line.entry for line in all_lines if line.fields.get("id") == attempt_id})
    if len(entries) > 1:
        sentences.insert(0, f"{len(entries)} entries name it: {', '.join(entries)}.")
    return sentences


def _describe_request(line: LogLine) -> list[str]:
    """Describe a request from its log line, written when it finished, with each attempt."""
    fields = line.fields
    if "status" not in fields:
        detail = ", ".join(f"{k} {v}" for k, v in fields.items() if k != "id")
        return [f"Entry {line.entry}: {line.text} ({detail})"]
    sentences = [
        f"Entry {line.entry} answered {fields['status']} after {fields.get('took_ms', 0)} ms: "
        f"{fields.get('outcome', '')}.",
        f"  Route {fields.get('route', '(none)')}, service {fields.get('service', '(none)')}, "
        f"key {fields.get('key') or '(none)'}, configuration {fields.get('version', 0)}, "
        f"last contact with the store {fields.get('store_age_ms', 0)} ms before.",
    ]
    sentences += [f"  {text}" for text in _describe_admission(fields)]
    if fields.get("unreached_ms") is not None:
        sentences.append(f"  No target could be reached for {fields['unreached_ms']} ms.")
    sentences += [f"  {text}" for text in _describe_team(fields)]
    sentences += [f"  {_describe_attempt(attempt)}" for attempt in fields.get("attempts") or []]
    sentences.append(f"  {_describe_outcome(fields)}")
    return sentences


def _describe_admission(fields: dict[str, Any]) -> Iterator[str]:
    """Describe what a refused request asked for, and the configuration that was in force."""
    if fields.get("host") or fields.get("path"):
        query = ", with a query, which is not logged" if fields.get("has_query") else ""
        yield f"It asked for host {fields.get('host')}, path {fields.get('path')}{query}."
    if fields.get("source"):
        yield (
            f"This configuration came by {fields['source']}, and was in force here for "
            f"{fields.get('in_force_ms')} ms."
        )
    if "proven_age_ms" in fields:
        yield f"All changes were known here until {fields['proven_age_ms']} ms before."


def _describe_team(fields: dict[str, Any]) -> Iterator[str]:
    """Describe the team of a request, and the quota's decision about it."""
    if fields.get("key_digest"):
        yield f"No team holds the key whose digest begins with {fields['key_digest']}."
    if fields.get("team"):
        yield f"Team {fields['team']}."
    if "quota_part" in fields:
        percent = f"{100 * fields['quota_part']:.0f}%"
        if fields.get("quota_age_s") is None:
            yield f"No collector had answered recently: this entry admits {percent} of the quota."
        else:
            age_ms = f"{1000 * fields['quota_age_s']:.0f} ms"
            yield (
                f"All entries admit {percent} of its requests, "
                f"by a collector's answer {age_ms} before."
            )


def _describe_attempt(attempt: dict[str, Any]) -> str:
    """Describe one attempt, with the entry's view of the target and the expected time."""
    detail = f" ({attempt['detail']})" if attempt.get("detail") else ""
    return (
        f"Target {attempt['target']}: {attempt['result']}{detail} after {attempt['took_ms']} ms; "
        f"{attempt['in_flight']} in flight from here, {_describe_load(attempt)}; "
        f"{_describe_connection(attempt)}; {_describe_choice(attempt)}."
    )


def _describe_connection(attempt: dict[str, Any]) -> str:
    """Describe whether an attempt used a kept or a new connection."""
    if attempt.get("is_reused"):
        return "on a kept connection"
    return f"on a new connection, up after {attempt.get('connect_ms', 0)} ms"


def _describe_choice(attempt: dict[str, Any]) -> str:
    """Describe why the target was chosen: its position for the key, and the expected time."""
    if "expected_ms" not in attempt:
        return "no expected time logged"
    return (
        f"choice {attempt['place'] + 1} of the key ({find_warmth(attempt)}), "
        f"expected {attempt['expected_ms']} ms with {attempt['expected_wait_ms']} ms of waiting"
    )


def _describe_load(attempt: dict[str, Any]) -> str:
    """Describe the load that a target had reported."""
    age_ms = attempt.get("load_age_ms")
    if age_ms is None:
        return "no load reported"
    others = f", about {attempt['others']} of others" if "others" in attempt else ""
    if age_ms > attempt.get("load_old_ms", DecayTimes().stale_after_s * 1000):
        return f"last load report too old to count ({age_ms} ms){others}"
    return f"load {attempt['load']}, {age_ms} ms old{others}"


def _describe_outcome(fields: dict[str, Any]) -> str:
    """Describe whether a request ran, from its status and target."""
    if fields.get("peer"):
        return f"Entry {fields['peer']} answered it; its line with this id says what became of it."
    if fields["status"] in (503, 429, 408) and not fields.get("target"):
        return "It did not run: no target received it. The caller may retry."
    if fields["status"] in (502, 504) and not fields.get("target"):
        return "It may have run: a target received it and no valid answer came back."
    if fields["status"] == 404 and not fields.get("target"):
        return f"It did not run: configuration {fields.get('version', 0)} has no route for it."
    if fields["status"] < 500 and not fields.get("target"):
        return "It did not run: this entry refused it."
    return "A target answered it."


def _describe_context(lines: list[LogLine], end: LogLine) -> Iterator[str]:
    """Yield what the entry logged shortly before on the request's targets, routing and store."""
    names = {attempt.get("target") for attempt in end.fields.get("attempts") or []}
    for line in lines:
        age_s = end.at - line.at
        if line.entry != end.entry or not 0 <= age_s <= CONTEXT_WINDOW_S:
            continue
        is_about_target = line.part == "targets" and line.fields.get("target") in names
        if is_about_target or line.part in ("store", "routing", "process", "relay", "reach"):
            detail = ", ".join(f"{k} {v}" for k, v in line.fields.items())
            yield f"{age_s:.2f} s before, {line.part}: {line.text} {detail}".rstrip()
