"""Settings of the choice of targets, which operators may change."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.targets.regionshare import RegionShares


class ChoiceSettings(NamedTuple):
    """Settings of the choice of targets.

    Each rule can be switched off, except those of `load_factor` and the cold rate.

    Attributes
    ----------
    load_factor : float
        Requests that all entries together may have on a target that does not report its load, in
        multiples of its slots.
    full_load : float
        Requests on a target from which it is passed over, in multiples of its slots.
    spill_choices : int
        Number of targets that share a key's requests; each of them is cold for the key until it has
        served a request of it.
    spare_load : float
        Average load below which any other target of the order may help out, if the first ones
        can't answer in time.  0: none may.  Such a target is cold for the key, and its requests
        occupy a slot three times as long.
    wait_limit : float
        Time that a request may wait for a slot, in multiples of the time that its route's aim
        leaves after travel and warm work.  0: no limit but `full_load`.  Loads are known only
        roughly: some requests that a limit of 1 would refuse are answered in time.
    ejected_share : float
        Part of a service's targets that may be passed over as unhealthy; if more look unhealthy,
        none is passed over.  0: none ever is.
    region_fill, near_region_fill, near_share, most_local : float
        Preference for the own region; see `RegionShares`.  Fills of 0: no preference.
    max_shift : float
        Part of a region's requests that may change its region from one window of 2 s to the next.
    cold_excess, cold_slack : float
        All entries together may send a cold target its rate times `cold_excess`, plus `cold_slack`
        requests a second.
    cold_margin : float
        Part of this rate to use; the remainder covers entries that don't know yet that the target
        is cold.
    uses_keys : bool
        Whether requests of a key are sent to the key's targets.
    uses_reports : bool
        Whether the loads that targets report are used.
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
        """The settings for the share of requests that stay in the own region."""
        return RegionShares(
            self.region_fill, self.near_region_fill, self.near_share, self.most_local
        )
