"""Routing data that an entry derives from the configuration, once per revision."""

from __future__ import annotations

from typing import NamedTuple

from halldoor.core.hall.link import LinkLimit
from halldoor.core.steering.block import BlockTable
from halldoor.core.steering.configuration import (
    Configuration,
    Hall,
    Operation,
    Service,
    Shift,
    Target,
)
from halldoor.core.steering.selector import Selector

FAR_MS = 50.0
"""Latency assumed between halls without a link in the configuration, in milliseconds."""


class Destination(NamedTuple):
    """The targets that a selector matches, by hall.

    Attributes
    ----------
    selector : str
        The selector's text.
    halls : dict of str to tuple of str
        Target names by hall, halls nearest first.
    names : frozenset of str
        All target names.
    """

    selector: str
    halls: dict[str, tuple[str, ...]]
    names: frozenset[str]


class ShiftView(NamedTuple):
    """A running or paused shift and the targets that it moves requests to."""

    shift: Shift
    to: Destination


class ServiceView(NamedTuple):
    """A service with its selectors resolved to targets.

    Attributes
    ----------
    home_halls : frozenset of str
        Halls of the home region: the entry's own, or the nearest with targets of the service.
    """

    service: Service
    default: Destination
    failover: Destination
    shifts: tuple[ShiftView, ...]
    home_halls: frozenset[str]

    def find_operation(self, method: str, path: str) -> Operation | None:
        """Return the operation of a request: of those with its method, the longest path prefix."""
        fits = [
            op
            for op in self.service.operations
            if method in op.methods and _is_below(path, op.path)
        ]
        return max(fits, key=lambda op: len(op.path), default=None)


class Snapshot(NamedTuple):
    """All data by which an entry routes requests under one revision.

    Attributes
    ----------
    hall : Hall
        The entry's own hall.
    services : dict of str to ServiceView
        Services by name.
    targets, hall_targets : dict of str to Target
        All targets, and those of the own hall, by name.
    hall_order : tuple of str
        All halls by latency from the own hall, which is first.
    links : dict of str to LinkLimit
        Limits of the links from the own hall, by destination.
    rest_s : dict of str to float
        Longest time that a request to each target of the own hall can last, in seconds.
    blocks : BlockTable
        Nearest hall by client address.
    hall_by_entry : dict of str to str
        Hall of each entry, by name.
    """

    revision: int
    configuration: Configuration
    hall: Hall
    services: dict[str, ServiceView]
    targets: dict[str, Target]
    hall_targets: dict[str, Target]
    hall_order: tuple[str, ...]
    links: dict[str, LinkLimit]
    rest_s: dict[str, float]
    blocks: BlockTable
    hall_by_entry: dict[str, str]

    @classmethod
    def from_configuration(
        cls, configuration: Configuration, *, revision: int, hall: str, blocks: BlockTable
    ) -> Snapshot:
        """Derive the snapshot of an entry in ``hall``."""
        own_hall = configuration.find_hall(hall) or Hall(name=hall, region="none", entries=[])
        order = order_halls(configuration, hall)
        resolver = _SelectorResolver(configuration, order)
        services = {s.name: _resolve_service(resolver, s, own_hall) for s in configuration.services}
        hall_targets = {t.name: t for t in configuration.targets if t.hall == hall}
        return cls(
            revision=revision,
            configuration=configuration,
            hall=own_hall,
            services=services,
            targets={t.name: t for t in configuration.targets},
            hall_targets=hall_targets,
            hall_order=order,
            links={
                k.destination: LinkLimit(k.requests, k.bytes)
                for k in configuration.links
                if k.origin == hall
            },
            rest_s={name: _compute_longest_request_s(services, name) for name in hall_targets},
            blocks=blocks,
            hall_by_entry={e.name: h.name for h in configuration.halls for e in h.entries},
        )


def order_halls(configuration: Configuration, hall: str) -> tuple[str, ...]:
    """Return the names of all halls by latency from one of them, which is first."""
    latency = {k.destination: k.latency_ms for k in configuration.links if k.origin == hall}
    latency[hall] = -1.0
    names = [h.name for h in configuration.halls]
    return tuple(sorted(names, key=lambda n: (latency.get(n, FAR_MS), n)))


class _SelectorResolver:
    """Resolver of selectors to targets, ordered by distance from one hall."""

    def __init__(self, configuration: Configuration, order: tuple[str, ...]) -> None:
        self.regions = {h.name: h.region for h in configuration.halls}
        self.shifts: dict[str, list[Shift]] = {}
        for shift in sorted(configuration.shifts, key=lambda s: s.name):
            if shift.state != "planned":
                self.shifts.setdefault(shift.service, []).append(shift)
        self._halls = {t.name: t.hall for t in configuration.targets}
        self._index = configuration.index_labels()
        self._order = {hall: i for i, hall in enumerate(order)}

    def resolve(self, text: str) -> Destination:
        """Resolve a selector to targets by hall, the nearest hall first."""
        found: dict[str, list[str]] = {}
        for name in self._index.find(Selector.from_text(text)):
            found.setdefault(self._halls[name], []).append(name)
        halls = {h: tuple(found[h]) for h in sorted(found, key=self._order.__getitem__)}
        return Destination(text, halls, frozenset(t for names in halls.values() for t in names))


def _resolve_service(resolver: _SelectorResolver, service: Service, hall: Hall) -> ServiceView:
    """Resolve the selectors of one service."""
    default = resolver.resolve(service.selector)
    regions = resolver.regions
    # The home region is the entry's own, or else the nearest one with targets of the service.
    home = hall.region
    if default.halls and not any(regions[h] == home for h in default.halls):
        home = regions[next(iter(default.halls))]
    empty = Destination("", {}, frozenset())
    return ServiceView(
        service=service,
        default=default,
        failover=resolver.resolve(service.failover) if service.failover else empty,
        shifts=tuple(
            ShiftView(s, resolver.resolve(s.to)) for s in resolver.shifts.get(service.name, [])
        ),
        home_halls=frozenset(h for h, region in regions.items() if region == home),
    )


def _compute_longest_request_s(services: dict[str, ServiceView], target: str) -> float:
    """Return the longest time that a request to a target can last, in seconds."""
    deadlines = [
        op.deadline_s
        for view in services.values()
        if any(
            target in d.names for d in (view.default, view.failover, *(s.to for s in view.shifts))
        )
        for op in view.service.operations
    ]
    return max(deadlines, default=0.0)


def _is_below(path: str, prefix: str) -> bool:
    """Check whether a path equals a prefix or continues it after a slash."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
