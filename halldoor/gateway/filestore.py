"""Records from a YAML file, for a gateway that runs without a metadata store."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

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
from halldoor.gateway.store import Events, Lease, MetadataStore, Page, StoredItem, StoreError

POLL_S = 0.2
"""Period of looking at the file, in seconds."""


class NamedTarget(TargetModel, frozen=True, kw_only=True):
    """A target with its name."""

    name: str


class NamedMember(MemberModel, frozen=True, kw_only=True):
    """An entry with its name."""

    name: str


class GatewayConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the YAML file holds; a change takes a higher ``version``.

    Attributes
    ----------
    evacuated_halls : list of str
        Halls whose targets get nothing.
    entries : list of NamedMember
        What look-ups name.
    """

    version: int
    routes: list[RouteModel]
    services: list[ServiceModel]
    targets: list[NamedTarget]
    limits: LimitsModel = LimitsModel()
    teams: list[TeamModel] = []
    evacuated_halls: list[str] = []
    entries: list[NamedMember] = []

    def to_model(self) -> RoutingModel:
        """Return the part that is the routes, services, limits and teams."""
        return RoutingModel(
            version=self.version,
            routes=self.routes,
            services=self.services,
            limits=self.limits,
            teams=self.teams,
        )

    def to_records(self) -> dict[str, bytes]:
        """Return the records by key."""
        routing = self.to_model()
        records = {ROUTING_KEY: msgspec.json.encode(routing)}
        records |= {EVACUATION_PREFIX + hall: b"{}" for hall in self.evacuated_halls}
        records |= {TARGET_PREFIX + t.name: _encode_unnamed(t) for t in self.targets}
        records |= {MEMBER_PREFIX + e.name: _encode_unnamed(e) for e in self.entries}
        return records


def _encode_unnamed(model: NamedTarget | NamedMember) -> bytes:
    """Encode a record whose name is its key."""
    data = msgspec.to_builtins(model)
    del data["name"]
    return msgspec.json.encode(data)


def load_configuration(path: Path) -> GatewayConfiguration:
    """Read and check the file.

    Raises
    ------
    SettingsError
        Names what is wrong, where, and the remedy.
    """
    configuration: GatewayConfiguration = parse(
        load_yaml(path), GatewayConfiguration, origin=str(path)
    )
    try:
        configuration.to_model().to_routing()
    except ValueError as exc:
        raise SettingsError(f"{path}: {exc}.", remedy="Correct it; the last one holds on.") from exc
    return configuration


class FileStore(MetadataStore):
    """A store whose records stand in a file that operators change.

    Parameters
    ----------
    path : Path
        The YAML file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._records: dict[str, bytes] = {}
        self._read_at = 0.0
        self._revision = 0

    async def read_range(self, prefix: str, *, after: str = "") -> Page:
        """Read all records with a prefix."""
        self._read()
        items = [StoredItem(k, v) for k, v in self._records.items() if k.startswith(prefix)]
        return Page(items, False, self._revision)

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> Events:
        """Wait until the file changes."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait_s
        while loop.time() < ends:
            before = dict(self._records)
            self._read()
            changed = [k for k in self._records if self._records[k] != before.get(k)]
            items = [StoredItem(k, self._records[k]) for k in changed]
            items += [StoredItem(k, None) for k in before if k not in self._records]
            if items:
                return Events(items, self._revision)
            await asyncio.sleep(POLL_S)
        return Events([], self._revision)

    def _read(self) -> None:
        """Read the file if it changed; a broken one leaves the records as they are."""
        try:
            changed_at = self._path.stat().st_mtime
            if changed_at == self._read_at:
                return
            self._records = load_configuration(self._path).to_records()
        except (HalldoorError, OSError) as exc:
            raise StoreError(str(exc), remedy="The records before stay in force.") from exc
        self._read_at = changed_at
        self._revision += 1

    async def write(self, key: str, value: bytes, *, lease: str) -> None:
        """Do nothing: the file names the entries."""

    async def claim(self, key: str, *, lease: str) -> bool:
        """Refuse: entries share nothing here, so that each would hold the key."""
        return False

    async def create_lease(self, ttl_s: float) -> Lease:
        """Return a lease that never lapses."""
        return Lease("file", ttl_s)

    async def renew_lease(self, lease: str) -> None:
        """Do nothing."""

    async def end_lease(self, lease: str) -> None:
        """Do nothing."""


class GatewayFileSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of ``halldoor-gateway``.

    Attributes
    ----------
    configuration : str
        YAML file with routes, services and targets; changes in it are taken up.
    regions : dict of str to str
        Region of each hall.
    policy : dict
        Settings of the policy by section; docs/reference.md lists them.
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
    lookup_ttl_s: float = 1.0
    grace_s: float = 6.0
    policy: dict[str, dict[str, Any]] = {}
