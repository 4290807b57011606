"""Explanation of what happened to a request, from the log lines of gateways."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from halldoor.core.targets.load import DecayTimes

CONTEXT_WINDOW_S = 10.0
"""Time before the end of a request in which changes of the entry's state are listed, in seconds."""


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


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the parsed log lines; lines that are not log lines of a gateway are skipped.

    A collector may have put the time in seconds before the JSON; other prefixes are ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        part, _, text = str(fields.pop("event")).partition(": ")
        entry = str(fields.pop("entry", ""))
        at = float(fields.pop("at", 0.0))
        yield LogLine(part, text, entry, at, fields, _parse_time(line[:start]))


def _parse_time(prefix: str) -> float | None:
    """Return the time that a collector put before a line, in seconds; None if there is none."""
    words = prefix.split(maxsplit=1)
    try:
        return float(words[0]) if words else None
    except ValueError:
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
            sentences += _describe_request(line)
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
    if fields.get("unreached_ms") is not None:
        sentences.append(f"  No target could be reached for {fields['unreached_ms']} ms.")
    sentences += [f"  {text}" for text in _describe_team(fields)]
    sentences += [f"  {_describe_attempt(attempt)}" for attempt in fields.get("attempts", [])]
    sentences.append(f"  {_describe_outcome(fields)}")
    return sentences


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
        return "It did not run: the configuration in force had no route for it."
    if fields["status"] < 500 and not fields.get("target"):
        return "It did not run: this entry refused it."
    return "A target answered it."


def _describe_context(lines: list[LogLine], end: LogLine) -> Iterator[str]:
    """Yield what the entry logged shortly before on the request's targets, routing and store."""
    names = {attempt["target"] for attempt in end.fields.get("attempts", [])}
    for line in lines:
        age_s = end.at - line.at
        if line.entry != end.entry or not 0 <= age_s <= CONTEXT_WINDOW_S:
            continue
        is_about_target = line.part == "targets" and line.fields.get("target") in names
        if is_about_target or line.part in ("store", "routing", "process", "relay", "reach"):
            detail = ", ".join(f"{k} {v}" for k, v in line.fields.items())
            yield f"{age_s:.2f} s before, {line.part}: {line.text} {detail}".rstrip()
