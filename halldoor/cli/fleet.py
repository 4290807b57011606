"""State of a fleet of gateways, read from their metrics: the part behind ``halldoor fleet``."""

from __future__ import annotations

import re
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from typing import NamedTuple

import urllib3

from halldoor.client import PoolManager
from halldoor.core.decoding import DecodingError, decoding, parse_float
from halldoor.core.targets.excluded import ExcludedTarget

TIMEOUT_S = 2.0
"""Longest wait for the answer of one gateway, in seconds."""
MAX_CONCURRENT_FETCHES = 256
"""Gateways fetched at the same time, so that 200 that don't answer cost one time-out together."""
MAX_LISTED_LINES = 20
"""Lines shown of each list; further lines are only counted."""
MAX_ANSWER_BYTES = 16_000_000
"""Longest text of metrics that is accepted, in bytes."""
MAX_FIGURE = 1e18
"""Greatest absolute value of a metric."""
WATCH_LIMIT_S = 32.0
"""Age of the proof from which a gateway that watches the store is listed as lagging, in seconds: a
quiet watch lasts up to 30 s."""
VERSIONS_SHOWN = 8
"""Newest versions that are listed where gateways differ; the others are counted."""
LAG_LIMIT_S = 5.0
"""Age of the store's last message from which a gateway is listed as lagging, in seconds: the time
in which a change must be in force everywhere."""

_STATE = re.compile(r'^halldoor_state\{name="(\w+)"\} (\S+)')
_TARGET_OUT = re.compile(r"^halldoor_target_out\{(.*)\} 1")
_OVER_QUOTA = re.compile(r'^halldoor_over_quota\{team="([^"]*)"\} (\S+)')
_REGION_REQUESTS = re.compile(r"^halldoor_region_requests\{(.*)\} (\S+)")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class GatewayView(NamedTuple):
    """State of one gateway, from its metrics.

    Attributes
    ----------
    store_age_s : float
        Time since its last message from the store, in seconds.
    proven_age_s : float
        Time since the moment up to which it knows every change, in seconds.
    store_era : int
        Number of the store's copy that it uses, which rises when the store is restored; -1 if the
        store has no such number.
    blocked : int
        Distinct requests that it blocks, since targets crash on them.
    region_requests : tuple of (str, str, int)
        Requests sent since its start, by region of the caller and of the target.
    over_quota : tuple of (str, int)
        Requests refused since its start because their team was over its quota, by team.
    error : str
        Why its metrics could not be fetched; empty if they were.
    """

    address: str
    version: int = 0
    store_age_s: float = 0.0
    proven_age_s: float = 0.0
    store_era: int = -1
    members: int = 0
    targets: int = 0
    running: int = 0
    blocked: int = 0
    watches_store: bool = False
    targets_out: tuple[ExcludedTarget, ...] = ()
    over_quota: tuple[tuple[str, int], ...] = ()
    region_requests: tuple[tuple[str, str, int], ...] = ()
    error: str = ""

    @property
    def is_reached(self) -> bool:
        """Whether the gateway answered."""
        return not self.error


def fetch_fleet(
    addresses: Sequence[str], on_progress: Callable[[int], None] = lambda _: None
) -> list[GatewayView]:
    """Fetch the metrics of all gateways concurrently, and return their states in order.

    Parameters
    ----------
    on_progress : callable, optional
        Called with the number of gateways that have answered or failed so far.
    """
    pool = PoolManager(len(addresses), timeout=TIMEOUT_S)
    views: dict[int, GatewayView] = {}
    with pool, ThreadPoolExecutor(min(MAX_CONCURRENT_FETCHES, len(addresses))) as executor:
        asked = {executor.submit(_fetch_gateway, pool, a): i for i, a in enumerate(addresses)}
        for done in as_completed(asked):
            views[asked[done]] = done.result()
            on_progress(len(views))
    return [views[i] for i in range(len(addresses))]


def show_progress(count: int, total: int) -> None:
    """Show the number of gateways fetched so far, if standard error is a terminal."""
    if sys.stderr.isatty():
        end = "\n" if count == total else ""
        print(f"\r{count} of {total} gateways asked", end=end, file=sys.stderr, flush=True)


def count_since(earlier: Sequence[GatewayView], later: Sequence[GatewayView]) -> list[GatewayView]:
    """Return the later states, with only the requests since the earlier ones.

    A gateway that restarted in between counts with all its requests, and one that was not reached
    the first time with none.
    """
    return [
        new._replace(region_requests=_subtract_requests(old, new))
        for old, new in zip(earlier, later, strict=True)
    ]


def _subtract_requests(old: GatewayView, new: GatewayView) -> tuple[tuple[str, str, int], ...]:
    """Return the requests of a gateway since its earlier state, by region of caller and target."""
    if not old.is_reached:
        return ()
    before = {(origin, to): count for origin, to, count in old.region_requests}
    counts = [(o, to, count - before.get((o, to), 0)) for o, to, count in new.region_requests]
    if any(count < 0 for _, _, count in counts):
        return new.region_requests
    return tuple((o, to, count) for o, to, count in counts if count)


def _fetch_gateway(pool: PoolManager, address: str) -> GatewayView:
    """Fetch the metrics of one gateway; a failure is returned as the state's error."""
    try:
        answer = pool.fetch("GET", f"http://{address}/", max_bytes=MAX_ANSWER_BYTES)
    except urllib3.exceptions.HTTPError as exc:
        return GatewayView(address, error=type(exc).__name__)
    if answer.status != 200:
        return GatewayView(address, error=f"answered {answer.status}")
    try:
        return parse_metrics(address, answer.data.decode(errors="replace"))
    except DecodingError as exc:
        return GatewayView(address, error=f"odd metrics: {exc.message[:80]}")


def parse_metrics(address: str, text: str) -> GatewayView:
    """Parse the state of a gateway from the text of its metrics.

    Raises
    ------
    DecodingError
        If a figure or a label is missing or odd.
    """
    with decoding("its metrics"):
        return _parse_metrics(address, text)


def _parse_metrics(address: str, text: str) -> GatewayView:
    """Parse the state of a gateway; raises many types for odd text."""
    state: dict[str, float] = {}
    out: list[ExcludedTarget] = []
    over_quota: list[tuple[str, int]] = []
    region_requests: Counter[tuple[str, str]] = Counter()
    for line in text.splitlines():
        if match := _STATE.match(line):
            state[match[1]] = _parse_figure(match[2])
        elif match := _TARGET_OUT.match(line):
            labels = dict(_LABEL.findall(match[1]))
            out.append(ExcludedTarget(labels["target"], labels["service"], labels["reason"]))
        elif match := _OVER_QUOTA.match(line):
            over_quota.append((match[1], int(_parse_figure(match[2]))))
        elif match := _REGION_REQUESTS.match(line):
            labels = dict(_LABEL.findall(match[1]))
            region_requests[(labels["from"], labels["to"])] += int(_parse_figure(match[2]))
    return GatewayView(
        address,
        version=int(state.get("configuration_version", 0)),
        store_age_s=state.get("store_age_seconds", 0.0),
        proven_age_s=state.get("proven_age_seconds", 0.0),
        store_era=int(state.get("store_era", -1)),
        members=int(state.get("members", 0)),
        targets=int(state.get("targets", 0)),
        blocked=int(state.get("blocked", 0)),
        running=int(state.get("running", 0)),
        watches_store=bool(state.get("watches_store", 0)),
        targets_out=tuple(out),
        over_quota=tuple(over_quota),
        region_requests=tuple((*pair, count) for pair, count in region_requests.items()),
    )


def _parse_figure(text: str) -> float:
    """Return the value of a metric; an infinite one is `MAX_FIGURE`."""
    if text in ("inf", "+Inf"):
        return MAX_FIGURE
    return parse_float(text, lowest=-MAX_FIGURE, highest=MAX_FIGURE, origin="a metric")


def describe_fleet(gateways: Sequence[GatewayView]) -> list[str]:
    """Describe a fleet in lines of text: totals, lagging gateways, then excluded targets."""
    reached = [g for g in gateways if g.is_reached]
    newest = max((g.version for g in reached), default=0)
    lines = [
        f"{len(reached)} of {len(gateways)} gateways answered; configuration {newest}; "
        f"{sum(g.watches_store for g in reached)} watch the store; "
        f"{sum(g.running for g in reached)} requests running."
    ]
    lines += _describe_versions(reached)
    lines += _truncate_lines([f"{g.address}: not reached ({g.error})" for g in gateways if g.error])
    lines += _truncate_lines(_describe_lag(g, newest) for g in reached if _is_lagging(g, newest))
    lines += _truncate_lines(_describe_eras(reached))
    lines += _truncate_lines(_describe_blocked(reached))
    lines += _truncate_lines(_describe_quotas(reached))
    lines += _truncate_lines(_describe_region_requests(reached))
    return lines + _truncate_lines(_describe_excluded_targets(reached))


def _is_lagging(gateway: GatewayView, newest: int) -> bool:
    """Check whether a gateway's configuration, contact with the store or proof is old."""
    is_behind = gateway.version < newest or gateway.store_age_s > LAG_LIMIT_S
    return is_behind or _has_old_proof(gateway)


def _has_old_proof(gateway: GatewayView) -> bool:
    """Check whether a gateway may lack changes; a watch proves nothing until it returns."""
    return gateway.proven_age_s > (WATCH_LIMIT_S if gateway.watches_store else LAG_LIMIT_S)


def _describe_lag(gateway: GatewayView, newest: int) -> str:
    """Describe a lagging gateway."""
    behind = f"configuration {gateway.version} of {newest}"
    proof = "no proof yet"
    if gateway.proven_age_s < MAX_FIGURE:
        proof = f"all changes known until {gateway.proven_age_s:.1f} s ago"
    return (
        f"{gateway.address}: {behind}, last message from the store {gateway.store_age_s:.1f} s ago,"
        f" {proof}"
    )


def _describe_versions(reached: Sequence[GatewayView]) -> list[str]:
    """Warn if gateways have different configurations or old proofs; empty if they don't."""
    lines = []
    versions = Counter(g.version for g in reached)
    if len(versions) > 1:
        shown = sorted(versions.items(), reverse=True)[:VERSIONS_SHOWN]
        counts = ", ".join(f"{version} at {count}" for version, count in shown)
        rest = len(versions) - len(shown)
        counts += f", {rest} others" if rest else ""
        lines.append(f"WARNING: different configurations are in force: {counts}")
    old = sum(map(_has_old_proof, reached))
    if old:
        lines.append(
            f"WARNING: {old} of {len(reached)} gateways may lack changes of the last "
            f"{LAG_LIMIT_S:g} s, and may refuse proper requests"
        )
    return lines


def _describe_eras(reached: Sequence[GatewayView]) -> list[str]:
    """Describe the gateways that use another copy of the store than the newest in use."""
    newest = max((g.store_era for g in reached), default=-1)
    return [
        f"{g.address}: uses copy {g.store_era} of the store, other gateways use copy {newest}"
        for g in reached
        if g.store_era != newest
    ]


def _describe_blocked(reached: Sequence[GatewayView]) -> list[str]:
    """Describe how many distinct requests are blocked, and by how many gateways."""
    blocking = [g.blocked for g in reached if g.blocked]
    if not blocking:
        return []
    return [
        f"{max(blocking)} requests that crash targets, blocked by "
        f"{len(blocking)} of {len(reached)} gateways"
    ]


def _describe_quotas(reached: Sequence[GatewayView]) -> list[str]:
    """Describe the teams over their quotas, those with the most refused requests first."""
    refused: Counter[str] = Counter()
    gateways: Counter[str] = Counter()
    for gateway in reached:
        for team, count in gateway.over_quota:
            refused[team] += count
            gateways[team] += 1
    return [
        f"Team {team}: {count} requests over its quota, refused by {gateways[team]} gateways"
        for team, count in refused.most_common()
    ]


def _describe_region_requests(reached: Sequence[GatewayView]) -> list[str]:
    """Describe the regions to which each region's requests were sent."""
    counts: Counter[tuple[str, str]] = Counter()
    totals: Counter[str] = Counter()
    for gateway in reached:
        for region, to, count in gateway.region_requests:
            counts[(region, to)] += count
            totals[region] += count
    return [
        f"Requests of {region}: "
        + ", ".join(
            f"{count / totals[region]:.0%} in {to}"
            for (origin, to), count in sorted(counts.items())
            if origin == region
        )
        for region in sorted(totals)
    ]


def _describe_excluded_targets(reached: Sequence[GatewayView]) -> list[str]:
    """Describe the excluded targets, those that most gateways exclude first."""
    counts = Counter(out for gateway in reached for out in gateway.targets_out)
    return [
        f"{out.target} of {out.service}: {out.reason} at {count} of {len(reached)}"
        for out, count in counts.most_common()
    ]


def _truncate_lines(lines: Iterable[str]) -> list[str]:
    """Return the first `MAX_LISTED_LINES` lines, and a line with the number of the others."""
    shown = list(lines)
    rest = len(shown) - MAX_LISTED_LINES
    return [*shown[:MAX_LISTED_LINES], f"... and {rest} more"] if rest > 0 else shown
