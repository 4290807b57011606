"""Program ``halldoor``: the operators' command line.

Exit codes: 0 success; 1 the plan has differences (with ``--check``); 2 invalid input; 3 conflict;
4 no permission; 5 API or all gateways unreachable; 6 refused for another reason.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Literal, NoReturn
from urllib.parse import urlencode

import defopt
import msgspec
import urllib3

from halldoor.cli.fleet import (
    GatewayView,
    count_since,
    describe_fleet,
    fetch_fleet,
    show_progress,
)
from halldoor.cli.logs import read_log_lines
from halldoor.cli.replay import describe_played, draw, load_pattern, load_policies, play_policies
from halldoor.client import PoolManager
from halldoor.core.decoding import DecodingError, decode_json, decoding
from halldoor.core.errors import HalldoorError, SettingsError
from halldoor.core.explaining.history import explain_request
from halldoor.core.explaining.refusals import judge_refusals
from halldoor.core.explaining.report import build_report, describe_report
from halldoor.core.steering.configuration import Configuration
from halldoor.files import load_yaml

Output = Literal["text", "json"]

DONE, HAS_DIFFERENCES, BAD_INPUT, CONFLICT, NOT_ALLOWED, UNREACHABLE, REFUSED = range(7)
_CODES = {400: BAD_INPUT, 422: BAD_INPUT, 409: CONFLICT, 403: NOT_ALLOWED, 503: UNREACHABLE}
MAX_ANSWER_BYTES = 64_000_000
"""Longest answer of the administration API that is accepted, in bytes."""
MAX_OVER_S = 600.0
"""Longest value of ``fleet --over``, in seconds."""
API_VARIABLE = "HALLDOOR_API"
TOKEN_VARIABLE = "HALLDOOR_TOKEN"


def validate(file: Path, *, output: Output = "text") -> None:
    """Check a configuration file locally, without a server.

    Parameters
    ----------
    file
        YAML file with the operators' configuration.
    output
        ``text`` or ``json``.
    """
    c = _load_configuration(file)
    counts = {
        "regions": len(c.regions),
        "halls": len(c.halls),
        "entries": sum(len(h.entries) for h in c.halls),
        "targets": len(c.targets),
        "services": len(c.services),
        "shifts": len(c.shifts),
    }
    _print(output, {"valid": True, **counts}, lambda: [f"{file}: valid. {_join_counts(counts)}."])


def plan(file: Path, *, check: bool = False, output: Output = "text") -> None:
    """Show what applying a file would change.

    Parameters
    ----------
    file
        YAML file with the operators' configuration.
    check
        Exit with 1 where there are differences.
    output
        ``text`` or ``json``.
    """
    _load_configuration(file)
    answer = _call("POST", "plan", {"configuration": load_yaml(file)})
    with decoding("the plan"):
        differences = list(answer["differences"])
    lines = differences or ["No differences."]
    _print(output, answer, lambda: [f"Against revision {answer['base']}:", *lines])
    if check and differences:
        sys.exit(HAS_DIFFERENCES)


def apply(
    file: Path, *, base: int | None = None, change_id: str = "", output: Output = "text"
) -> None:
    """Apply a configuration file.

    Parameters
    ----------
    file
        YAML file with the operators' configuration.
    base
        Revision that ``plan`` showed; the change is refused if another one is in force.
    change_id
        Id of this change; a change that is sent again with the same id isn't applied twice.
    output
        ``text`` or ``json``.
    """
    _load_configuration(file)
    body = {"configuration": load_yaml(file), "base": base, "change_id": change_id}
    _print_outcome(output, _call("POST", "apply", body))


def shift(
    verb: Literal["start", "step", "pause", "back"],
    name: str,
    *,
    position: float | None = None,
    change_id: str = "",
    output: Output = "text",
) -> None:
    """Start, step, pause or revert a shift.

    Parameters
    ----------
    verb
        ``start`` or resume, ``step`` to a position, ``pause`` there, or go ``back`` to 0.
    name
        Name of the shift.
    position
        Share of client blocks to shift, from 0 up to the cap.
    change_id
        Id of this change.
    output
        ``text`` or ``json``.
    """
    body = {"name": name, "verb": verb, "position": position, "change_id": change_id}
    _print_outcome(output, _call("POST", "shift", body))


def drain(target: str, *, back: bool = False, change_id: str = "", output: Output = "text") -> None:
    """Drain a target: it receives no new requests, and finishes those it has.

    Parameters
    ----------
    target
        Name of the target.
    back
        Undo the drain.
    change_id
        Id of this change.
    output
        ``text`` or ``json``.
    """
    body = {"target": target, "leaving": not back, "change_id": change_id}
    _print_outcome(output, _call("POST", "drain", body))


def status(*, output: Output = "text") -> None:
    """Show the states of entries, drains, and requests moved by shifts.

    Parameters
    ----------
    output
        ``text`` or ``json``.
    """
    answer = _call("GET", "status")
    _print(output, answer, lambda: _describe_status(answer))


def fleet(*addresses: str, over: float = 0.0, output: Output = "text") -> None:
    """Show a fleet of gateways: which lag or can't be reached, and which targets are excluded.

    Parameters
    ----------
    addresses
        ``IP:PORT`` of each gateway's metrics.
    over
        Seconds over which requests are counted by region; 0 counts since each gateway's start.
    output
        ``text`` or ``json``.
    """
    if not addresses:
        _fail(BAD_INPUT, "No address was given. Pass the gateways' metrics addresses, as IP:PORT.")
    if not 0.0 <= over <= MAX_OVER_S:
        _fail(BAD_INPUT, f"--over {over:g}: pass 0 to {MAX_OVER_S:g} seconds.")

    def look() -> list[GatewayView]:
        """Fetch the states of all gateways, showing the progress."""
        return fetch_fleet(addresses, lambda count: show_progress(count, len(addresses)))

    gateways = look()
    if over:
        time.sleep(over)
        gateways = count_since(gateways, look())
    _print(output, [g._asdict() for g in gateways], lambda: describe_fleet(gateways))
    if not any(gateway.is_reached for gateway in gateways):
        sys.exit(UNREACHABLE)


def explain(
    decision: str,
    *,
    log: Path | None = None,
    fleet: Sequence[Path] = (),
    output: Output = "text",
) -> None:
    """Explain why a request was sent to its target, or refused.

    Parameters
    ----------
    decision
        Decision id or Halldoor-Decision-Record header; with logs, the caller's attempt id.
    log
        File with gateways' log lines, or ``-`` for standard input.
    fleet
        Files with log lines of all gateways, since the caller may have called several.
    output
        ``text`` or ``json``.
    """
    logs = [*fleet, log] if log is not None else fleet
    if logs:
        _explain_from_logs(decision, logs, output)
        return
    key = "id" if len(decision) <= 40 else "record"
    answer = _call("GET", f"explain?{urlencode({key: decision})}")
    _print(output, answer, lambda: answer["sentences"])


def report(*logs: Path, output: Output = "text") -> None:
    """Report where requests lose time, by service, time window, kind of target, and reason.

    Parameters
    ----------
    logs
        Files with gateways' log lines, or ``-`` for standard input.
    output
        ``text`` or ``json``.
    """
    if not logs:
        _fail(BAD_INPUT, "No log was given. Pass files with log lines, or - for standard input.")
    built = build_report(read_log_lines(logs))
    _print(output, built._asdict(), lambda: describe_report(built))


def replay(
    pattern: Path,
    *,
    policy: Sequence[Path] = (),
    seed: int = 1,
    plot: Path | None = None,
    output: Output = "text",
) -> None:
    """Simulate a load pattern in virtual time, under the default policy and others.

    Parameters
    ----------
    pattern
        YAML file that describes a fleet and its load, such as those in examples/patterns.
    policy
        Policy files as for entries; only their section ``choice`` is used.
    seed
        Seed of all random numbers; the same seed gives the same result.
    plot
        Plot file to write, .svg or .png.
    output
        ``text`` or ``json``.
    """
    played = play_policies(load_pattern(pattern), load_policies(policy), seed=seed)
    if plot is not None:
        draw(played, plot)
    _print(output, [one.to_fields() for one in played], lambda: describe_played(played))


def audit(*, limit: int = 20, output: Output = "text") -> None:
    """List changes, the newest first: team, time, operation, and values before and after.

    Parameters
    ----------
    limit
        Largest number of changes to list.
    output
        ``text`` or ``json``.
    """
    answer = _call("GET", f"audit?limit={limit}")
    _print(output, answer, lambda: [line for r in answer for line in _describe_record(r)])


def _load_configuration(file: Path) -> Configuration:
    """Return a validated configuration from a file; raise `SettingsError` if it is invalid."""
    return Configuration.from_data(load_yaml(file), origin=str(file))


def _call(method: str, path: str, body: Any = None) -> Any:
    """Call the administration API and return its answer; exit with a code after an error."""
    api = os.environ.get(API_VARIABLE, "http://127.0.0.1:7400").rstrip("/")
    headers = {"Authorization": f"Bearer {os.environ.get(TOKEN_VARIABLE, '')}"}
    try:
        response = PoolManager(timeout=30.0).fetch(
            method,
            f"{api}/v1/{path}",
            max_bytes=MAX_ANSWER_BYTES,
            body=msgspec.json.encode(body) if body is not None else None,
            headers=headers,
        )
        answer = decode_json(response.data, Any, origin="its answer")
    except (urllib3.exceptions.HTTPError, DecodingError) as exc:
        message = f"The administration API at {api} can't be used: {type(exc).__name__}."
        _fail(UNREACHABLE, f"{message} Set {API_VARIABLE}, and check that halldoor-admin runs.")
    if response.status != 200:
        fields = answer if isinstance(answer, dict) else {}
        text = fields.get("error") or fields.get("message") or str(answer)
        _fail(_CODES.get(response.status, REFUSED), f"{text} {fields.get('remedy', '')}".strip())
    return answer


def _fail(code: int, message: str) -> NoReturn:
    """Print an error message and exit with a code."""
    print(f"halldoor: {message}", file=sys.stderr)
    sys.exit(code)


def _print(output: Output, value: Any, describe: Callable[[], list[str]]) -> None:
    """Print a value as JSON, or the lines that describe it."""
    with decoding("the answer"):
        text = msgspec.json.encode(value).decode() if output == "json" else "\n".join(describe())
    print(text)


def _print_outcome(output: Output, answer: Any) -> None:
    """Print an accepted change with its differences."""
    head = f"Accepted as revision {answer['revision']} (change {answer['change_id']})."
    _print(output, answer, lambda: [head, *answer["differences"]])


def _join_counts(counts: dict[str, int]) -> str:
    """Format counts by name as one line."""
    return ", ".join(f"{v} {k}" for k, v in counts.items())


def _describe_status(answer: Any) -> list[str]:
    """Describe the answer of ``/v1/status`` in lines of text."""
    lines = [f"Revision {answer['revision']} is accepted."]
    for e in answer["entries"]:
        busy = sum(t["in_flight"] for t in e.get("targets", {}).values())
        lines.append(
            f"{e['name']}: {e['state']}, revision {e.get('revision', '?')}, {busy} in flight"
        )
    for d in answer["draining"]:
        waits = "; ".join(d["waits_for"]) or "nothing: it can be stopped"
        lines.append(f"Draining {d['target']}: {d['in_flight']} in flight; waits for {waits}")
    for m in answer["moves"]:
        share = m["moved"] / m["total"] if m["total"] else 0.0
        lines.append(
            f"{m['service']}, cap of {m['cap_of']}: {m['moved']} of {m['total']} moved "
            f"({share:.1%} against {m['cap']:.1%})"
        )
    return lines


def _describe_record(record: Any) -> list[str]:
    """Describe one audit record in lines of text."""
    head = (
        f"{record['when']} revision {record['revision']} {record['who']}: "
        f"{record['verb']} ({record['outcome']})"
    )
    pairs = zip(record["before"], record["after"], strict=False)
    return [head, *(f"  was {b}\n  now {a}" for b, a in pairs)]


def _explain_from_logs(attempt_id: str, logs: Sequence[Path], output: Output) -> None:
    """Print the explanation of a request from gateways' log lines."""
    lines = list(read_log_lines(logs))
    sentences = explain_request(lines, attempt_id) + judge_refusals(lines, attempt_id)
    if not sentences:
        _fail(
            BAD_INPUT,
            f"No log line has {attempt_id}. Search the logs of every entry in the caller's region; "
            "of successful requests only a sample is logged.",
        )
    _print(output, {"sentences": sentences}, lambda: sentences)


def main() -> None:
    """Parse the command line and run its command."""
    commands = [validate, plan, apply, shift, drain, status, fleet, explain, report, replay, audit]
    try:
        defopt.run(commands)
    except HalldoorError as exc:
        _fail(BAD_INPUT if isinstance(exc, SettingsError) else REFUSED, str(exc))


if __name__ == "__main__":
    main()
