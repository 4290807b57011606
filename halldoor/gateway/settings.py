"""Settings of a gateway, and which of them a running process applies when they change."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, get_type_hints

from halldoor.core.errors import SettingsError
from halldoor.core.fields import NAME_CHARS
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.settings import Address, parse
from halldoor.core.targets.budget import RetrySettings
from halldoor.core.targets.catalog import CatalogTimings
from halldoor.core.targets.entryweights import EntryCapacity, WeightSettings
from halldoor.core.targets.hedging import HedgeSettings
from halldoor.core.targets.observation import SharingSettings
from halldoor.core.targets.outlier import OutlierSettings
from halldoor.core.targets.peers import ForwardingSettings
from halldoor.core.targets.relay import RelaySettings
from halldoor.core.targets.settings import ChoiceSettings
from halldoor.core.teams.admission import AccessSettings
from halldoor.gateway.pipeline import PipelineSettings
from halldoor.gateway.pool import ConnectionSettings
from halldoor.gateway.room import MemorySettings
from halldoor.gateway.sync import BATCH_S

LIVE_SETTINGS = (
    "regions",
    "lookup_ttl_s",
    "grace_s",
    "batch_s",
    "timings",
    "choice",
    "retries",
    "pipelining",
    "relaying",
    "access",
    "quarantine",
    "memory",
)
"""Settings that a running process applies; addresses and names need a restart."""


POLICY_SECTIONS = (
    "choice",
    "outliers",
    "connections",
    "pipelining",
    "retries",
    "relaying",
    "access",
    "sharing",
    "quarantine",
    "forwarding",
    "hedging",
    "weights",
    "memory",
)
"""Settings that a policy file may change."""
MAX_FIGURE = 1e12
"""Greatest number that a policy file may set."""


class GatewaySettings(NamedTuple):
    """Settings of a gateway.

    Attributes
    ----------
    front, ready, directory : Address
        Addresses that serve callers, readiness checks and look-ups.
    metrics : Address or None
        Address that serves its metrics; None: it does not serve them.
    relay : Address or None
        Address for messages between entries and for relaying changes; None: not used.
    regions : dict of str to str
        Region of each hall.
    lookup_ttl_s : float
        How long callers may keep a look-up's answer, in seconds.
    batch_s : float
        Pause between a change in the store and the next watch, in seconds.
    grace_s : float
        Time from the request to stop until the process is killed, in seconds.
    capacity : EntryCapacity
        Processor and link of the host, by which look-ups name this entry; not set by default.
    unread : tuple of str
        Settings that can't be read, and whose previous values or defaults are used.
    """

    name: str
    hall: str
    region: str
    front: Address
    ready: Address
    directory: Address
    regions: dict[str, str]
    metrics: Address | None = None
    relay: Address | None = None
    lookup_ttl_s: float = 1.0
    grace_s: float = 6.0
    batch_s: float = BATCH_S
    timings: CatalogTimings = CatalogTimings()
    choice: ChoiceSettings = ChoiceSettings()
    retries: RetrySettings = RetrySettings()
    relaying: RelaySettings = RelaySettings()
    outliers: OutlierSettings = OutlierSettings()
    connections: ConnectionSettings = ConnectionSettings()
    pipelining: PipelineSettings = PipelineSettings()
    access: AccessSettings = AccessSettings()
    sharing: SharingSettings = SharingSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    forwarding: ForwardingSettings = ForwardingSettings()
    hedging: HedgeSettings = HedgeSettings()
    weights: WeightSettings = WeightSettings()
    memory: MemorySettings = MemorySettings()
    capacity: EntryCapacity = EntryCapacity()
    unread: tuple[str, ...] = ()

    def apply_policy(self, policy: Mapping[str, Any], *, origin: str) -> GatewaySettings:
        """Return these settings with those of a policy file applied.

        Parameters
        ----------
        policy : mapping
            Settings by section, as read from the file.
        origin : str
            File name for error messages.

        Raises
        ------
        SettingsError
            If a section or setting is unknown, or has a wrong type.
        """
        checked = parse(policy, dict[str, dict[str, Any]], origin=origin)
        settings = self
        for section, values in checked.items():
            _check_name(section, POLICY_SECTIONS, origin=origin)
            for name, value in values.items():
                settings = settings._replace_setting(section, name, value, origin=origin)
        return settings

    def apply_readable_policy(
        self, policy: Any, previous: GatewaySettings | None, *, origin: str
    ) -> GatewaySettings:
        """Return these settings with all of a policy file applied that can be read.

        A setting that can't be read keeps its value of `previous`, or takes its default if there
        are no previous settings; it is added to `unread`.  Other parameters as of `apply_policy`.

        Raises
        ------
        SettingsError
            If the policy is not a table.
        """
        settings, unread = self, list(self.unread)
        for section, values in parse(policy, dict[str, Any], origin=origin).items():
            if section not in POLICY_SECTIONS or not isinstance(values, dict):
                unread.append(f"policy.{section[:NAME_CHARS]}")
                if previous is not None and section in POLICY_SECTIONS:
                    settings = settings._replace(**{section: getattr(previous, section)})
                continue
            for name, value in values.items():
                try:
                    settings = settings._replace_setting(section, name, value, origin=origin)
                except SettingsError:
                    unread.append(f"policy.{section}.{str(name)[:NAME_CHARS]}")
                    settings = settings._keep(section, name, previous)
        return settings._replace(unread=tuple(unread))

    def _replace_setting(
        self, section: str, name: str, value: Any, *, origin: str
    ) -> GatewaySettings:
        """Return these settings with one of them replaced; raise `SettingsError` if it is odd."""
        known = getattr(self, section)
        hints = get_type_hints(type(known))
        _check_name(name, hints, origin=f"{origin}, {section}")
        typed = parse(value, hints[name], origin=f"{origin}, {section}.{name}")
        _check_figure(typed, origin=f"{origin}, {section}.{name}")
        return self._replace(**{section: known._replace(**{name: typed})})

    def _keep(self, section: str, name: str, previous: GatewaySettings | None) -> GatewaySettings:
        """Return these settings with the previous value of one of them, if there is one."""
        known = getattr(self, section)
        if previous is None or name not in known._fields:
            return self
        value = getattr(getattr(previous, section), name)
        return self._replace(**{section: known._replace(**{name: value})})

    def find_changes(self, other: GatewaySettings) -> list[str]:
        """Return the names of the settings that differ from other settings."""
        return [n for n in self._fields if getattr(self, n) != getattr(other, n)]


def _check_figure(value: Any, *, origin: str) -> None:
    """Raise `SettingsError` if a number is not finite or too large to calculate with."""
    if isinstance(value, int | float) and not abs(value) <= MAX_FIGURE:
        raise SettingsError(
            f"{origin}: the number is not from {-MAX_FIGURE:g} to {MAX_FIGURE:g}.",
            remedy="Correct it.",
        )


def _check_name(name: str, known: Iterable[str], *, origin: str) -> None:
    """Raise `SettingsError` if a name is not among the known ones."""
    if name not in known:
        names = ", ".join(sorted(known))
        raise SettingsError(f"{origin}: {name!r} is not known.", remedy=f"Known are: {names}.")
