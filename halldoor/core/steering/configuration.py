"""Model of the operators' configuration, and checks that its parts fit together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Any, Literal

import msgspec

from halldoor.core.bounds import PositiveSeconds
from halldoor.core.errors import SettingsError
from halldoor.core.settings import Address, parse
from halldoor.core.steering.block import pack_blocks
from halldoor.core.steering.selector import LabelIndex, Selector

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class _Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the parts of the configuration."""


class Region(_Model, frozen=True, kw_only=True):
    """A region and its labels."""

    name: Name
    labels: dict[str, str] = {}


class EntryHost(_Model, frozen=True, kw_only=True):
    """A host that runs an entry, with its addresses for callers (HTTP) and for other entries."""

    name: Name
    http: Address
    wire: Address


class Hall(_Model, frozen=True, kw_only=True):
    """A hall with its entry hosts.

    The roster is the list of the hall's entries.  A slot moves to another entry only after the
    entry that held it before is known to have adopted the new roster.

    Attributes
    ----------
    stopped_entries : list of str
        Former entries that an operator has declared stopped for good.
    former_rosters : list of list of str
        Earlier rosters, the latest first; written by the administration API.
    roster_revision : int
        Revision that introduced the current roster; written by the administration API.
    """

    name: Name
    region: Name
    entries: list[EntryHost]
    labels: dict[str, str] = {}
    stopped_entries: list[str] = []
    former_rosters: list[list[str]] = []
    roster_revision: int = 0


class Target(_Model, frozen=True, kw_only=True):
    """A target with its address, number of slots and labels.

    Attributes
    ----------
    leaving : bool
        Whether it is being drained and gets no new requests.
    """

    name: Name
    hall: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    labels: dict[str, str] = {}
    leaving: bool = False


class Operation(_Model, frozen=True, kw_only=True):
    """A kind of request of a service.

    Attributes
    ----------
    repeatable : bool
        Whether it may run more than once; False for operations that must run at most once.
    deadline_s : float
        Longest time it may take, in seconds; callers may ask for less.
    """

    name: Name
    methods: list[str]
    path: str = "/"
    repeatable: bool = False
    deadline_s: PositiveSeconds = 5.0


class Service(_Model, frozen=True, kw_only=True):
    """A service, its operations and where its requests may go.

    Attributes
    ----------
    selector : str
        Selector of the targets that serve it when no shift applies.
    failover : str
        Selector of further targets that may serve it when those have no free slot; may be empty.
    failover_cap : float
        Largest share of requests that failover may move, from 0 to 1.
    """

    name: Name
    team: Name
    operations: list[Operation]
    selector: str
    failover: str = ""
    failover_cap: Share = 1.0


class Shift(_Model, frozen=True, kw_only=True):
    """A planned move of a share of a service's requests.

    Attributes
    ----------
    to : str
        Selector of the targets that receive them.
    cap : float
        Largest share of requests that may move, from 0 to 1; never exceeded.
    position : float
        Share of client blocks chosen so far, from 0 to 1; set by ``halldoor shift step``.
    """

    name: Name
    service: Name
    to: str
    cap: Share
    position: Share = 0.0
    state: Literal["planned", "running", "paused"] = "planned"


class Link(_Model, frozen=True, kw_only=True):
    """The link from one hall to another: its one-way latency and its limits.

    Attributes
    ----------
    requests, bytes : int
        Most requests, and most body bytes, in flight on the link.
    """

    origin: Name
    destination: Name
    latency_ms: Annotated[float, msgspec.Meta(ge=0.0, le=3_600_000.0)]
    requests: Annotated[int, msgspec.Meta(ge=0)] = 1000
    bytes: Annotated[int, msgspec.Meta(ge=0)] = 100_000_000


class ClientBlocks(_Model, frozen=True, kw_only=True):
    """Client networks that are nearest to a hall."""

    hall: Name
    networks: list[str]


class Team(_Model, frozen=True, kw_only=True):
    """A team of operators, whose tokens may change only the team's own services.

    Attributes
    ----------
    token_sha256 : list of str
        SHA-256 digests of its tokens, in hexadecimal.
    administrator : bool
        Whether its tokens may change everything.
    """

    name: Name
    token_sha256: list[Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]] = []
    administrator: bool = False


class Configuration(_Model, frozen=True, kw_only=True):
    """The whole configuration that operators set; each change makes a new revision of it."""

    regions: list[Region]
    halls: list[Hall]
    targets: list[Target]
    services: list[Service]
    teams: list[Team]
    shifts: list[Shift] = []
    links: list[Link] = []
    client_blocks: list[ClientBlocks] = []

    @classmethod
    def from_data(cls, data: Any, *, origin: str = "configuration") -> Configuration:
        """Build the configuration from plain data, and check it.

        Parameters
        ----------
        data : object
            Plain data, as parsed from YAML or JSON.
        origin : str, optional
            Name of its source, for error messages.

        Raises
        ------
        SettingsError
            If the data is wrong; names the place, the given and the expected value and the remedy.
        """
        configuration = parse(data, cls, origin=origin)
        check_configuration(configuration, origin=origin)
        return configuration

    def find_service(self, name: str) -> Service | None:
        """Return the service with a name; None if there is none."""
        return next((s for s in self.services if s.name == name), None)

    def find_hall(self, name: str) -> Hall | None:
        """Return the hall with a name; None if there is none."""
        return next((h for h in self.halls if h.name == name), None)

    def list_labels(self, target: Target) -> dict[str, str]:
        """Return a target's labels, including those of its hall and region."""
        return self._list_hall_labels(self.find_hall(target.hall)) | _list_own_labels(target)

    def index_labels(self) -> LabelIndex:
        """Build the index of all targets by their labels, including those of hall and region."""
        by_hall = {h.name: self._list_hall_labels(h) for h in self.halls}
        return LabelIndex(
            (t.name, by_hall.get(t.hall, {}) | _list_own_labels(t)) for t in self.targets
        )

    def _list_hall_labels(self, hall: Hall | None) -> dict[str, str]:
        """Return the labels that targets inherit from a hall and its region."""
        region = next((r for r in self.regions if hall and r.name == hall.region), None)
        labels = {"region": region.name, **region.labels} if region is not None else {}
        return labels | hall.labels if hall is not None else labels


def _list_own_labels(target: Target) -> dict[str, str]:
    """Return a target's labels without those inherited from its hall and region."""
    return {"target": target.name, "hall": target.hall, **target.labels}


def check_configuration(configuration: Configuration, *, origin: str) -> None:
    """Check what the schema can't express: unique names, valid references, selectors and shifts.

    Raises
    ------
    SettingsError
        For the first problem found.
    """
    for problem, remedy in _list_problems(configuration):
        raise SettingsError(f"{origin}: {problem}.", remedy=remedy)


def _list_problems(c: Configuration) -> Iterator[tuple[str, str]]:
    """Yield the problems of a configuration, each with its remedy."""
    yield from _list_duplicates(c)
    halls = {h.name for h in c.halls}
    regions = {r.name for r in c.regions}
    services = {s.name for s in c.services}
    teams = {t.name for t in c.teams}
    references = [
        *(("halls", h.name, "region", h.region, regions) for h in c.halls),
        *(("targets", t.name, "hall", t.hall, halls) for t in c.targets),
        *(("services", s.name, "team", s.team, teams) for s in c.services),
        *(("shifts", s.name, "service", s.service, services) for s in c.shifts),
        *(("links", k.origin, "origin", k.origin, halls) for k in c.links),
        *(("links", k.origin, "destination", k.destination, halls) for k in c.links),
        *(("client_blocks", b.hall, "hall", b.hall, halls) for b in c.client_blocks),
    ]
    for kind, name, field, given, known in references:
        if given not in known:
            wanted = ", ".join(sorted(known)[:8]) or "none yet"
            yield (
                f"{kind}.{name}.{field} is {given!r}, which is not defined",
                f"Use one of: {wanted}; or add it.",
            )
    yield from _list_selector_problems(c)
    yield from _list_shift_problems(c)
    pack_blocks((n, 0) for b in c.client_blocks for n in b.networks)


def _list_duplicates(c: Configuration) -> Iterator[tuple[str, str]]:
    """Yield a problem for each name that is used more than once."""
    groups = {
        "regions": [r.name for r in c.regions],
        "halls": [h.name for h in c.halls],
        "entries": [e.name for h in c.halls for e in h.entries],
        "targets": [t.name for t in c.targets],
        "services": [s.name for s in c.services],
        "shifts": [s.name for s in c.shifts],
        "teams": [t.name for t in c.teams],
        "links": [f"{k.origin}->{k.destination}" for k in c.links],
    }
    for kind, names in groups.items():
        for name, count in Counter(names).items():
            if count > 1:
                yield f"{kind} has {name!r} {count} times", "Give each its own name."


def _list_selector_problems(c: Configuration) -> Iterator[tuple[str, str]]:
    """Yield a problem for each selector that can't be parsed or selects no target."""
    texts = [
        *((f"services.{s.name}.selector", s.selector) for s in c.services),
        *((f"services.{s.name}.failover", s.failover) for s in c.services if s.failover),
        *((f"shifts.{s.name}.to", s.to) for s in c.shifts),
    ]
    index = c.index_labels()
    for path, text in texts:
        try:
            selector = Selector.from_text(text)
        except SettingsError as exc:
            yield f"{path}: {exc.message.rstrip('.')}", exc.remedy
            continue
        if not index.find(selector):
            yield f"{path} {text!r} selects no target", "Check the labels of the targets."


def _list_shift_problems(c: Configuration) -> Iterator[tuple[str, str]]:
    """Yield a problem for each shift whose position exceeds its cap."""
    for shift in c.shifts:
        if shift.position > shift.cap:
            yield (
                f"shifts.{shift.name}.position {shift.position} is past its cap {shift.cap}",
                "Lower the position or raise the cap.",
            )


def to_data(configuration: Configuration) -> Any:
    """Convert the configuration to plain data, for YAML and JSON."""
    return msgspec.to_builtins(configuration)


def to_display_data(configuration: Configuration | None) -> Any:
    """Convert the configuration to plain data for display, with the digests of tokens shortened."""
    data = to_data(configuration) if configuration is not None else {}
    for team in data.get("teams", []):
        team["token_sha256"] = [f"{digest[:12]}..." for digest in team["token_sha256"]]
    return data
