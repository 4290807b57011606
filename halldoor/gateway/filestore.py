"""Store that reads its records from a YAML file, for a gateway without a metadata store."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

from halldoor.core.bounds import Revision, Seconds
from halldoor.core.decoding import decoding
from halldoor.core.errors import HalldoorError, SettingsError
from halldoor.core.settings import Address, parse
from halldoor.files import load_yaml
from halldoor.gateway.plain import (
    EVACUATION_PREFIX,
    MEMBER_PREFIX,
    ROUTING_KEY,
    TARGET_PREFIX,
    LimitsModel,
    MemberModel,
    RouteModel,
    RoutingModel,
    ServiceModel,
    TargetModel,
    TeamModel,
)
from halldoor.gateway.store import (
    Events,
    HistoryGoneError,
    Lease,
    MetadataStore,
    Page,
    StoredItem,
    StoreError,
)

REVISIONS_KEPT = 8
"""Revisions of the file from which changes can be told."""
POLL_S = 0.2
"""Period of checking the file for changes, in seconds."""


class NamedTarget(TargetModel, frozen=True, kw_only=True):
    """A target as written in the file, with its name."""

    name: str


class NamedMember(MemberModel, frozen=True, kw_only=True):
    """An entry as written in the file, with its name."""

    name: str


class GatewayConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Content of the YAML file; each change needs a higher ``version``.

    Attributes
    ----------
    evacuated_halls : list of str
        Halls whose targets get no requests.
    entries : list of NamedMember
        Entries that look-ups return.
    """

    version: Revision
    routes: list[RouteModel]
    services: list[ServiceModel]
    targets: list[NamedTarget]
    limits: LimitsModel = LimitsModel()
    teams: list[TeamModel] = []
    evacuated_halls: list[str] = []
    entries: list[NamedMember] = []

    def to_model(self) -> RoutingModel:
        """Return the routes, services, limits and teams as a model."""
        return RoutingModel(
            version=self.version,
            routes=self.routes,
            services=self.services,
            limits=self.limits,
            teams=self.teams,
        )

    def to_records(self) -> dict[str, bytes]:
        """Return the encoded records by key."""
        routing = self.to_model()
        records = {ROUTING_KEY: msgspec.json.encode(routing)}
        records |= {EVACUATION_PREFIX + hall: b"{}" for hall in self.evacuated_halls}
        records |= {TARGET_PREFIX + t.name: _encode_unnamed(t) for t in self.targets}
        records |= {MEMBER_PREFIX + e.name: _encode_unnamed(e) for e in self.entries}
        return records


def _encode_unnamed(model: NamedTarget | NamedMember) -> bytes:
    """Encode a record without its name, which is part of the key."""
    data = msgspec.to_builtins(model)
    del data["name"]
    return msgspec.json.encode(data)


def load_configuration(path: Path) -> GatewayConfiguration:
    """Read and check the YAML file.

    Raises
    ------
    SettingsError
        If the file is invalid; names the fault, its place and the remedy.
    """
    configuration: GatewayConfiguration = parse(
        load_yaml(path), GatewayConfiguration, origin=str(path)
    )
    try:
        configuration.to_model().to_routing()
    except ValueError as exc:
        raise SettingsError(
            f"{path}: {exc}.", remedy="Correct it; the last valid one stays in force."
        ) from exc
    return configuration


class FileStore(MetadataStore):
    """Store whose records are in a file that operators edit.

    Parameters
    ----------
    path : Path
        The YAML file.
    """

    keeps_entries = False

    def __init__(self, path: Path) -> None:
        self._path = path
        self._records: dict[str, bytes] = {}
        self._read_at = 0.0
        self._revision = 0
        self._history = {0: self._records}

    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Read all records with a prefix, as a single page."""
        self._read()
        items = [StoredItem(k, v) for k, v in self._records.items() if k.startswith(prefix)]
        return Page(items, False, self._revision)

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait until the file differs from a revision, and return the changed records."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait_s
        while loop.time() < ends:
            self._read()
            if self._revision > after:
                return self._find_changes(after)
            await asyncio.sleep(POLL_S)
        return Events([], self._revision)

    def _find_changes(self, after: int) -> Events:
        """Return the records that changed since a revision."""
        before = self._history.get(after)
        if before is None:
            raise HistoryGoneError("The revision is not kept.", remedy="Read all records again.")
        items = [StoredItem(k, v) for k, v in self._records.items() if v != before.get(k)]
        items += [StoredItem(k, None) for k in before if k not in self._records]
        return Events(items, self._revision)

    def _read(self) -> None:
        """Read the file if it changed; an invalid one leaves the records unchanged."""
        try:
            changed_at = self._path.stat().st_mtime
            if changed_at == self._read_at:
                return
            with decoding(str(self._path)):
                self._records = load_configuration(self._path).to_records()
        except (HalldoorError, OSError) as exc:
            raise StoreError(
                str(exc), remedy="Correct the file; the previous records stay in force."
            ) from exc
        self._read_at = changed_at
        self._revision += 1
        self._history[self._revision] = self._records
        self._history.pop(self._revision - REVISIONS_KEPT, None)

    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Do nothing: the file lists the entries."""

    async def claim(self, key: str, *, lease: str) -> bool:
        """Return False: entries share no state here, so each of them could claim the key."""
        return False

    async def create_lease(self, ttl_s: float) -> Lease:
        """Return a lease that never expires."""
        return Lease("file", ttl_s)

    async def renew_lease(self, lease: str) -> None:
        """Do nothing: leases never expire here."""

    async def end_lease(self, lease: str) -> None:
        """Do nothing: leases never expire here."""


class CapacityModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Processor of the host in cores of usual speed, and its network link in Mbit/s."""

    cores: Any = None
    link_mbps: Any = None


class GatewayFileSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of ``halldoor-gateway``.

    Attributes
    ----------
    configuration : str
        YAML file with routes, services and targets; changes take effect without a restart.
    regions : dict of str to str
        Region of each hall.
    policy : dict
        Settings of the policy by section; docs/reference.md lists them.
    capacity : CapacityModel
        Processor and link of the host; not set by default.
    """

    name: str
    hall: str
    region: str
    front: Address
    ready: Address
    directory: Address
    configuration: str
    regions: dict[str, str]
    metrics: Address | None = None
    lookup_ttl_s: Seconds = 1.0
    grace_s: Seconds = 6.0
    policy: dict[str, Any] = {}
    capacity: CapacityModel = CapacityModel()
