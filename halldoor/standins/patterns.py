"""Load patterns for replays, as data."""

from __future__ import annotations

from halldoor.standins.replay import Burst, Pattern, Slowdown

LARGE = Pattern(
    # A region with a tenth of the targets and a third of the callers; 60 entries and 66 targets,
    # 0.6 of the slots busy once every key is warm.
    halls={
        "ams-a": ("ams", 20, 7, 1 / 3),
        "ehv-a": ("ehv", 20, 27, 1 / 3),
        "grq-a": ("grq", 20, 32, 1 / 3),
    },
    rate_per_s=480.0,
    length_s=12.0,
    keys=60,
    warm_s=0.456,
    cold_s=1.52,
    aim_s=1.0,
    timeout_s=3.0,
)
SMALL = Pattern(
    # 12 entries and 20 targets that work a third as long.
    halls={
        "ams-a": ("ams", 4, 2, 1 / 3),
        "ehv-a": ("ehv", 4, 8, 1 / 3),
        "grq-a": ("grq", 4, 10, 1 / 3),
    },
    rate_per_s=420.0,
    length_s=12.0,
    keys=25,
    warm_s=0.144,
    cold_s=0.48,
    aim_s=0.3,
    timeout_s=1.0,
)
SHIFTED = Pattern(
    # 75 entries and 68 targets of few slots that work briefly; each keeps a few dozen keys.  0.5
    # of the slots are busy once every key is warm, more than all of them while none is.
    halls={
        "ams-a": ("ams", 25, 7, 1 / 3),
        "ehv-a": ("ehv", 25, 28, 1 / 3),
        "grq-a": ("grq", 25, 33, 1 / 3),
    },
    rate_per_s=750.0,
    length_s=10.0,
    keys=90,
    warm_s=0.144,
    cold_s=0.48,
    aim_s=0.376,
    timeout_s=1.2,
    slots=3,
    queue=9,
    warm_keys=25,
    sharing_s=0.15,
)
PATTERNS = {
    "75 entries, few slots, cold at the start": SHIFTED,
    "the same, each entry knows only its own answers": SHIFTED._replace(sharing_s=None),
    "large fleet, 0.6 of the slots busy": LARGE,
    "the same, twice the callers for 3 s": LARGE._replace(
        rate_per_s=360.0, bursts=(Burst(at_s=6.0, for_s=3.0, factor=2.0),)
    ),
    "the same, 15% of the targets 4.4 times slower for 5 s": LARGE._replace(
        rate_per_s=300.0, slowdowns=(Slowdown(at_s=5.0, for_s=5.0, share=0.15, factor=4.4),)
    ),
    "small fleet, 0.5 of the slots busy": SMALL,
}
"""Patterns by what they are."""
