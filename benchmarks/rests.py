"""Ways to respect a back-off that a target requests, and to resume after it, in virtual time."""

from __future__ import annotations

from benchmarks.common import format_table, write_result
from halldoor.standins.ratefleet import Bound, Faults, Run
from halldoor.standins.restways import (
    DoublingShares,
    LocalBackoff,
    NotifiedBackoff,
    RefusalPhase,
    SingleTrials,
    SlowStart,
    SpreadRetries,
)

FLEETS = (10, 75, 300)
"""Numbers of entries."""
SEEDS = range(4)
"""Seeds of the runs; each row reports the worst run unless its column says otherwise."""
UNTIL_S = 18.0
"""Length of a run, in seconds."""
RESUME_S = 6.0
"""Time after the target accepts requests again that is evaluated, in seconds."""
BURST_WINDOW_S = 0.25
"""Window in which the largest number of requests is counted, in seconds."""
ASKED_PER_S = 40.0
"""Requests a second for the target, over all entries: about what its slots can serve."""
NEEDS = {
    "all turned away for 6 s": RefusalPhase(),
    "one entry turned away": RefusalPhase(only_first=True),
}
"""When and whom the target refuses, by the name in the table."""
TROUBLES = {
    "none": Faults(),
    "half isolated": Faults(cut_share=0.5, is_isolated=True),
    "a fifth of the messages lost": Faults(loss=0.2),
    "all restart": Faults(restart_s=5.0),
}
"""Faults by the name in the table."""
WAYS: dict[str, type[LocalBackoff]] = {
    "own rests": LocalBackoff,
    "notices": NotifiedBackoff,
    "own rests, callers spread": SpreadRetries,
    "the same, single trials": SingleTrials,
    "the same, slow start": SlowStart,
    "the same, doubling shares": DoublingShares,
}
"""Ways to back off and resume, by the name in the table."""


def count_burst(run: Run, need: RefusalPhase) -> int:
    """Return the most requests in any `BURST_WINDOW_S` after the target accepts requests again."""
    times = sorted(at for at, _ in run.sent if need.to_s <= at < need.to_s + RESUME_S)
    return max((sum(at <= t < at + BURST_WINDOW_S for t in times) for at in times), default=0)


def build_row(need: str, entries: int, trouble: str, way: str) -> list[object]:
    """Return the row of one way to back off and resume, with the worst of the seeds.

    The shares of requests that were sent are means over the seeds.

    Parameters
    ----------
    need, trouble, way : str
        Keys of `NEEDS`, `TROUBLES` and `WAYS`.
    entries : int
        Number of entries.
    """
    bound = Bound(ASKED_PER_S, 1.0, 0.0, 1.0)
    ways = [WAYS[way](NEEDS[need]) for _ in SEEDS]
    for seed, played in zip(SEEDS, ways, strict=True):
        run = Run(entries, bound, TROUBLES[trouble], asked_per_s=ASKED_PER_S, seed=seed)
        run.play(played, until_s=UNTIL_S)
    begin, end = NEEDS[need].to_s, NEEDS[need].to_s + RESUME_S
    asked = sum(begin <= at < end for played in ways for at, _ in played.run.asked)
    sent = sum(begin <= at < end for played in ways for at, _ in played.run.sent)
    others = [
        [e for at, e in requests if e and NEEDS[need].from_s <= at < begin]
        for played in ways
        for requests in (played.run.asked, played.run.sent)
    ]
    others_asked, others_sent = (sum(map(len, others[i::2])) for i in (0, 1))
    spared = f"{others_sent / others_asked:.2f}" if NEEDS[need].only_first else ""
    return [
        need,
        entries,
        trouble,
        way,
        max(len(played.refusals) for played in ways),
        max(played.find_most_during_backoff() for played in ways),
        max(count_burst(played.run, NEEDS[need]) for played in ways),
        f"{sent / asked:.2f}",
        spared,
        max(played.run.messages for played in ways),
    ]


def main() -> None:
    """Run all measurements and write the table."""
    rows = [build_row(n, e, t, w) for n in NEEDS for e in FLEETS for t in TROUBLES for w in WAYS]
    header = [
        "need",
        "entries",
        "trouble",
        "way",
        "requests turned away",
        "most of one entry within a rest",
        f"most in {BURST_WINDOW_S:g} s after the need",
        f"part sent in the {RESUME_S:.0f} s after it",
        "part sent by entries that were not turned away",
        "messages",
    ]
    write_result("rests", __doc__ or "", format_table(header, rows))


if __name__ == "__main__":
    main()
