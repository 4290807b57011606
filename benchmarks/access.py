"""Processor time of admitting one request: route, API key, home regions and quota."""

from __future__ import annotations

import time
from random import Random

from benchmarks.common import format_table, write_result
from halldoor.core.targets.route import CallerLimits, Routing
from halldoor.core.teams.admission import (
    AccessSettings,
    AccessTable,
    AdmittedRequest,
    ConfigurationAge,
)
from halldoor.core.teams.gate import QuotaGate
from halldoor.core.teams.team import Team, TeamLimit, digest_key
from halldoor.tests.choicekit import SERVICE, make_route

FLEETS = (8, 80, 8_000)
"""Numbers of teams."""
REQUESTS = 20_000
"""Requests in a round."""
ROUNDS = 5
"""Rounds, of which the fastest is reported: other load on the machine only adds time."""


def measure(teams: int) -> list[object]:
    """Return the row for a configuration with a number of teams."""
    team_list = [
        Team(f"team{i}", (digest_key(f"key{i}".encode()),), 1, TeamLimit(1e6, 1e6))
        for i in range(teams)
    ]
    routing = Routing(1, (make_route(),), {"deck": SERVICE}, CallerLimits(), tuple(team_list))
    table = AccessTable(routing)
    gate = QuotaGate("e1", 1, Random(1).random)
    gate.set_limits(table.teams.get_limits())
    fields = [f"Bearer key{i % teams}".encode() for i in range(REQUESTS)]
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for field in fields:
            admission = table.admit_request(
                "decks.example",
                "/a/b",
                field,
                gate=gate,
                now=1.0,
                age=ConfigurationAge(0.1),
                entries=75,
                settings=AccessSettings(),
            )
        best = min(best, time.process_time() - began)
        assert isinstance(admission, AdmittedRequest)
    return [teams, f"{best / REQUESTS * 1e6:.1f}"]


def main() -> None:
    """Run all measurements and write the table."""
    table = format_table(["teams", "µs a request"], [measure(teams) for teams in FLEETS])
    write_result("access", __doc__ or "", table)


if __name__ == "__main__":
    main()
