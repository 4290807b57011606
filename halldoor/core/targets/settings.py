"""Bounds of the choice of targets, as operators may set them."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.targets.regionshare import RegionShares


class ChoiceSettings(NamedTuple):
    """Bounds of the choice.  Each but `load_factor` and the cold rate can be switched off.

    Attributes
    ----------
    load_factor : float
        Requests that all entries together may have on a target that does not report its load,
        in multiples of its slots.
    full_load : float
        Requests on a target from which it is passed over, in multiples of its slots.
    spill_choices : int
        Targets that share a key's requests; each of them has to see the key once to be warm for
        it.
    spare_load : float
        Pressure below which any other target of the order may help out, once the first ones
        can't answer in time.  0: none may.  What helps out is cold for the key and occupies a slot
        three times as long.
    wait_limit : float
        Time that a request may wait for a slot, in multiples of what its route's aim leaves
        after travelling and warm work.  0: no limit but `full_load`.  Loads are known
        roughly, so that some of what would be refused at 1 can be in time.
    ejected_share : float
        Part of a service's targets that may be passed over as broken; beyond it none is.
        0: none is passed over.
    region_fill, near_region_fill, near_share, most_local : float
        How many requests stay in the own region; see `RegionShares`.  Fills of 0: no preference.
    max_shift : float
        Part of a region's requests that may change its region from one window of 2 s to the next.
    cold_excess, cold_slack : float
        All entries together may send a cold target its rate times the first plus the second.
    cold_margin : float
        Part of that to use; the rest covers entries that don't know yet that it is cold.
    uses_keys : bool
        Requests of a key go to the key's targets.
    uses_reports : bool
        What targets report of their load counts.
    """

    load_factor: float = 4.0
    full_load: float = 2.5
    spill_choices: int = 2
    spare_load: float = 0.3
    wait_limit: float = 2.2
    ejected_share: float = 0.5
    region_fill: float = RegionShares().fill
    near_region_fill: float = RegionShares().near_fill
    near_share: float = RegionShares().near_share
    most_local: float = RegionShares().most
    max_shift: float = 0.15
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    cold_margin: float = 0.6
    uses_keys: bool = True
    uses_reports: bool = True

    @property
    def region_shares(self) -> RegionShares:
        """How many requests stay in the own region."""
        return RegionShares(
            self.region_fill, self.near_region_fill, self.near_share, self.most_local
        )
