"""Format of halldoor's own records: configuration, targets, evacuations and entries as JSON."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any, Literal, TypeVar

import msgspec

from halldoor.core.bounds import (
    Bytes,
    Count,
    Rate,
    Revision,
    Seconds,
    SignedSeconds,
    Slots,
    UnixMs,
    Weight,
    is_field_value,
)
from halldoor.core.decoding import DecodingError, decode_json
from halldoor.core.settings import Address
from halldoor.core.targets.changes import (
    Change,
    EvacuationSet,
    MemberRecord,
    MemberRemoved,
    MemberSeen,
    RoutingRejected,
    RoutingSeen,
    TargetRecord,
    TargetRemoved,
    TargetSeen,
)
from halldoor.core.targets.entryweights import read_figure
from halldoor.core.targets.route import (
    CallerLimits,
    RequestKind,
    Route,
    Routing,
    SplitPart,
    TargetService,
    check_routing,
)
from halldoor.core.teams.team import Team, TeamLimit
from halldoor.gateway.records import EVIDENCE_PREFIX, decode_evidence
from halldoor.gateway.store import RecordCodec, StoredItem

T = TypeVar("T")

ROUTING_KEY = "routing"
TARGET_PREFIX = "targets/"
EVACUATION_PREFIX = "evacuated/"
MEMBER_PREFIX = "entries/"


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the models; unknown fields are errors."""


class SplitModel(_Model, frozen=True, kw_only=True):
    """A service and its weight in a route's split."""

    service: str
    weight: Weight


class RouteModel(_Model, frozen=True, kw_only=True):
    """A route; its requests go to ``service``, or to the services in ``split`` by weight."""

    name: str
    host: str
    path_prefix: str = "/"
    kind: Literal["repeatable", "download", "at-most-once", "upload"]
    service: str = ""
    split: list[SplitModel] = []
    timeout_s: Seconds = 10.0
    aim_s: Seconds = 1.0
    priority: Count = 0
    max_attempts: Count = 2
    has_affinity: bool = True
    home_regions: list[str] = []
    is_public: bool = False
    is_hedged: bool = False


class TeamModel(_Model, frozen=True, kw_only=True):
    """A team; its keys are stored as SHA-256 digests in hexadecimal."""

    name: str
    key_digests: list[str] = []
    priority: Count | None = None
    rate_per_s: Rate = 0.0
    """Quota in requests per second; 0: no limit."""
    burst: Rate = 0.0
    home_regions: list[str] = []


class ServiceModel(_Model, frozen=True, kw_only=True):
    """A service, and the settings of its targets."""

    name: str
    health_path: str = "/health"
    max_connections: Count = 400
    cold_start_s: Seconds = 0.0
    cold_rate_per_s: Rate = 1000.0


class LimitsModel(_Model, frozen=True, kw_only=True):
    """Limits on callers' requests and connections."""

    head_bytes: Bytes = 16_384
    body_bytes: Bytes = 67_108_864
    head_timeout_s: Seconds = 3.0
    idle_timeout_s: Seconds = 15.0


class RoutingModel(_Model, frozen=True, kw_only=True):
    """One version of the configuration: routes, services, limits and teams."""

    version: Revision
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel = LimitsModel()
    teams: list[TeamModel] = []

    def to_routing(self) -> Routing:
        """Build the core's `Routing`, and check it."""
        routes = tuple(_build_route(route) for route in self.routes)
        services = {s.name: TargetService(**msgspec.structs.asdict(s)) for s in self.services}
        limits = CallerLimits(**msgspec.structs.asdict(self.limits))
        teams = tuple(_build_team(team) for team in self.teams)
        routing = Routing(self.version, routes, services, limits, teams)
        check_routing(routing)
        return routing


class TargetModel(_Model, frozen=True, kw_only=True):
    """A target's record; its incarnation is in the key."""

    service: str
    address: Address
    hall: str
    slots: Slots
    is_draining: bool = False
    cold_left_s: SignedSeconds = 0.0
    started_ms: UnixMs = 0


class MemberModel(_Model, frozen=True, kw_only=True):
    """An entry's record; its name is in the key."""

    front: Address
    hall: str
    region: str
    relay: Address | None = None
    cores: Any = msgspec.UNSET
    """Left out unless it is set: older entries reject a record with it."""
    link_mbps: Any = msgspec.UNSET

    def to_record(self, name: str) -> MemberRecord:
        """Build the core's `MemberRecord`; an invalid capacity counts as not set."""
        cores, link_mbps = read_figure(self.cores), read_figure(self.link_mbps)
        return MemberRecord(name, self.front, self.hall, self.region, self.relay, cores, link_mbps)


def _build_route(model: RouteModel) -> Route:
    """Build the core's `Route` from its model."""
    parts = tuple(SplitPart(p.service, p.weight) for p in model.split)
    return Route(
        name=model.name,
        host=model.host,
        path_prefix=model.path_prefix,
        kind=RequestKind(model.kind),
        parts=parts or (SplitPart(model.service, 1.0),),
        timeout_s=model.timeout_s,
        aim_s=model.aim_s,
        priority=model.priority,
        max_attempts=model.max_attempts,
        has_affinity=model.has_affinity,
        home_regions=tuple(model.home_regions),
        is_public=model.is_public,
        is_hedged=model.is_hedged,
    )


def _build_team(model: TeamModel) -> Team:
    """Build the core's `Team` from its model."""
    return Team(
        name=model.name,
        key_digests=tuple(bytes.fromhex(digest) for digest in model.key_digests),
        priority=model.priority,
        limit=TeamLimit(model.rate_per_s, model.burst) if model.rate_per_s > 0 else None,
        home_regions=tuple(model.home_regions),
    )


class PlainCodec(RecordCodec):
    """Codec of records as JSON under halldoor's own keys."""

    routing_key = ROUTING_KEY

    def decode_item(self, item: StoredItem) -> Change | None:
        """Decode an item to a change; return None for an unknown key."""
        key, value = item
        kind, _, name = key.partition("/")
        if key.startswith(EVIDENCE_PREFIX):
            return decode_evidence(item)
        if key == ROUTING_KEY:
            return RoutingSeen(_read(value, RoutingModel).to_routing()) if value else None
        if kind == "evacuated":
            return EvacuationSet(name, value is not None)
        if kind == "targets":
            if value is None:
                return TargetRemoved(name)
            return TargetSeen(_build_target(name, _read(value, TargetModel)))
        if kind == "entries":
            if value is None:
                return MemberRemoved(name)
            return MemberSeen(_read(value, MemberModel).to_record(name))
        return None

    def decode_rejected(self, item: StoredItem) -> Change | None:
        """Return the change for an item that can't be decoded: an older configuration stays."""
        return RoutingRejected() if item.key == ROUTING_KEY else super().decode_rejected(item)

    def encode_member(self, member: MemberRecord) -> StoredItem:
        """Encode this entry's record as an item of the store."""
        model = MemberModel(
            front=member.front,
            hall=member.hall,
            region=member.region,
            relay=member.relay,
            cores=msgspec.UNSET if member.cores is None else member.cores,
            link_mbps=msgspec.UNSET if member.link_mbps is None else member.link_mbps,
        )
        return StoredItem(MEMBER_PREFIX + member.name, msgspec.json.encode(model))


def _build_target(incarnation: str, model: TargetModel) -> TargetRecord:
    """Build a target's record; raise an error if requests can't be sent to it."""
    if not is_field_value(incarnation):
        raise DecodingError("Its name can't be sent in a header field.")
    ip_address(model.address.ip)
    return TargetRecord(incarnation=incarnation, **msgspec.structs.asdict(model))


def _read(value: bytes, kind: type[T]) -> T:
    """Decode JSON of a type; raise `DecodingError` if it does not match."""
    return decode_json(value, kind, origin="record")
