"""Load patterns for `halldoor.standins.replay`, built in or read from YAML."""

from __future__ import annotations

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class _PatternData(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the classes that may be read from a YAML file."""


class Slowdown(_PatternData, frozen=True, kw_only=True):
    """A period in which a share of the targets takes ``factor`` times as long for a request."""

    at_s: float
    for_s: float
    share: float
    factor: float


class Evacuation(_PatternData, frozen=True, kw_only=True):
    """A period in which a hall's targets receive no requests; they are cold when it ends.

    Attributes
    ----------
    cold_s : float
        Time for which the targets stay cold after the evacuation, in seconds.
    """

    hall: str
    at_s: float
    for_s: float
    cold_s: float

    @property
    def until_s(self) -> float:
        """End of the evacuation, in seconds from the start of the run."""
        return self.at_s + self.for_s


class Burst(_PatternData, frozen=True, kw_only=True):
    """A period in which the request rate is multiplied by ``factor``."""

    at_s: float
    for_s: float
    factor: float


class HallLoad(_PatternData, frozen=True, kw_only=True):
    """Size and load of a hall.

    Attributes
    ----------
    callers : float
        Relative weight of the hall's callers: its share of requests is this over the sum.
    """

    region: str
    entries: Count
    targets: Annotated[int, msgspec.Meta(ge=0)]
    callers: Annotated[float, msgspec.Meta(ge=0)]


class Pattern(_PatternData, frozen=True, kw_only=True):
    """A fleet, its load and its faults.

    Attributes
    ----------
    halls : dict of str to HallLoad
        The halls by name.
    rate_per_s : float
        Requests a second of all callers.
    keys : int
        Number of keys of each region; all are requested equally often.
    warm_s, cold_s, aim_s, timeout_s, far_s, near_s : float
        Work time with a warm and with a cold key, the route's aim and timeout, and the round trip
        times to another region and within one, in seconds.
    warm_keys : int
        Number of keys that a target keeps warm; the least recently used one is dropped.
    sharing_s : float or None
        Delay after which the other entries of a hall record an answer, in seconds; None: never.
    cold_rate_per_s : float
        Requests a second that a cold target accepts.
    """

    halls: Annotated[dict[str, HallLoad], msgspec.Meta(min_length=1)]
    rate_per_s: Positive
    length_s: Positive
    keys: Count
    warm_s: Positive
    cold_s: Positive
    aim_s: Positive
    timeout_s: Positive
    far_s: Positive = 0.024
    near_s: Positive = 0.001
    slots: Count = 6
    queue: int = 18
    warm_keys: int = 16
    sharing_s: Positive | None = None
    slowdowns: tuple[Slowdown, ...] = ()
    bursts: tuple[Burst, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    cold_rate_per_s: float = 0.0

    def __post_init__(self) -> None:
        """Check that some hall has callers and that evacuations name existing halls."""
        if not sum(hall.callers for hall in self.halls.values()):
            raise ValueError("no hall has callers")
        unknown = {e.hall for e in self.evacuations} - self.halls.keys()
        if unknown:
            raise ValueError(
                f"evacuations name no hall of this pattern: {', '.join(sorted(unknown))}"
            )

    def get_rate(self, now: float) -> float:
        """Return the request rate at a time, in requests a second."""
        rate = self.rate_per_s
        for burst in self.bursts:
            if burst.at_s <= now < burst.at_s + burst.for_s:
                rate *= burst.factor
        return rate


LARGE = Pattern(
    # A region with a tenth of the targets and a third of the callers; 60 entries and 66 targets,
    # 0.6 of the slots busy once every key is warm.
    halls={
        "ams-a": HallLoad(region="ams", entries=20, targets=7, callers=1 / 3),
        "ehv-a": HallLoad(region="ehv", entries=20, targets=27, callers=1 / 3),
        "grq-a": HallLoad(region="grq", entries=20, targets=32, callers=1 / 3),
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
    # 12 entries and 20 targets with a third of the work time.
    halls={
        "ams-a": HallLoad(region="ams", entries=4, targets=2, callers=1 / 3),
        "ehv-a": HallLoad(region="ehv", entries=4, targets=8, callers=1 / 3),
        "grq-a": HallLoad(region="grq", entries=4, targets=10, callers=1 / 3),
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
    # 75 entries and 68 targets with few slots and short work times; each keeps 25 keys warm.  0.5
    # of the slots are busy once every key is warm, more than all of them while none is.
    halls={
        "ams-a": HallLoad(region="ams", entries=25, targets=7, callers=1 / 3),
        "ehv-a": HallLoad(region="ehv", entries=25, targets=28, callers=1 / 3),
        "grq-a": HallLoad(region="grq", entries=25, targets=33, callers=1 / 3),
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
RETURN = Pattern(
    # Read requests at 10 entries and 20 targets.  One hall of a region with two is evacuated at
    # the region's daily peak; 10 s later its targets return and are cold for 6 s.
    halls={
        "ams-a": HallLoad(region="ams", entries=2, targets=4, callers=0.24),
        "ams-b": HallLoad(region="ams", entries=2, targets=4, callers=0.24),
        "ehv-a": HallLoad(region="ehv", entries=3, targets=10, callers=0.21),
        "grq-a": HallLoad(region="grq", entries=3, targets=2, callers=0.31),
    },
    rate_per_s=285.0,
    length_s=28.0,
    keys=24,
    warm_s=0.144,
    cold_s=0.48,
    aim_s=0.4,
    timeout_s=2.5,
    far_s=0.07,
    warm_keys=47,
    sharing_s=0.15,
    evacuations=(Evacuation(hall="ams-a", at_s=4.0, for_s=10.0, cold_s=6.0),),
    cold_rate_per_s=9.2,
)
RETURN_REGION = msgspec.structs.replace(
    RETURN,
    # Both halls of the region are evacuated, at a rate below the daily peak: all requests of the
    # region ran elsewhere.
    rate_per_s=220.0,
    length_s=44.0,
    evacuations=(
        Evacuation(hall="ams-a", at_s=4.0, for_s=10.0, cold_s=6.0),
        Evacuation(hall="ams-b", at_s=4.0, for_s=10.0, cold_s=6.0),
    ),
)
PATTERNS = {
    "75 entries, few slots, cold at the start": SHIFTED,
    "the same, each entry knows only its own answers": msgspec.structs.replace(
        SHIFTED, sharing_s=None
    ),
    "large fleet, 0.6 of the slots busy": LARGE,
    "the same, twice the callers for 3 s": msgspec.structs.replace(
        LARGE, rate_per_s=360.0, bursts=(Burst(at_s=6.0, for_s=3.0, factor=2.0),)
    ),
    "the same, 15% of the targets 4.4 times slower for 5 s": msgspec.structs.replace(
        LARGE, rate_per_s=300.0, slowdowns=(Slowdown(at_s=5.0, for_s=5.0, share=0.15, factor=4.4),)
    ),
    "small fleet, 0.5 of the slots busy": SMALL,
    "a hall of two returns cold": RETURN,
}
"""Built-in patterns by description."""
