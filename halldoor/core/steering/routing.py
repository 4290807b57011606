"""Order of the halls to try for a request, and the caps that limit moves between them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from halldoor.core.steering.shift import ShiftMeter, is_chosen
from halldoor.core.steering.snapshot import Destination, ServiceView

FAILOVER = "failover"
"""Name of the failover cap, and reason of moves that it limits."""


class RoutingStep(NamedTuple):
    """A hall to try for a request, with its candidate targets.

    Attributes
    ----------
    selector : str
        Text of the selector that chose the targets.
    because : str
        Reason for trying it: ``default``, ``shift NAME`` or ``failover``.
    charges : tuple of str
        Names of the caps that must allow the move; empty if the step is not a move.
    """

    hall: str
    targets: tuple[str, ...]
    selector: str
    because: str
    charges: tuple[str, ...]


def list_routing_steps(view: ServiceView, client: str) -> Iterator[RoutingStep]:
    """List the halls to try for a request of a client block, best first.

    The halls of a shift that applies come first, then the halls of the home region, then the other
    halls of the default selector and of the failover selector.  The last two are moves too: they
    are charged to the failover cap and to every shift to the same targets, so that moves of all
    kinds together stay below each cap.
    """
    for item in view.shifts:
        if is_chosen(item.shift.name, client, item.shift.position):
            because = f"shift {item.shift.name}"
            yield from _list_move_steps(view, item.to, because, (item.shift.name,))
            break
    default = view.default
    for hall, targets in default.halls.items():
        if hall in view.home_halls:
            yield RoutingStep(hall, targets, default.selector, "default", ())
    away = {h: t for h, t in default.halls.items() if h not in view.home_halls}
    yield from _list_move_steps(view, default._replace(halls=away), FAILOVER, (FAILOVER,))
    yield from _list_move_steps(view, view.failover, FAILOVER, (FAILOVER,))


def _list_move_steps(
    view: ServiceView, to: Destination, because: str, charges: tuple[str, ...]
) -> Iterator[RoutingStep]:
    """Yield the steps of a move, each with all the caps that it is charged to."""
    for hall, targets in to.halls.items():
        touched = tuple(
            s.shift.name
            for s in view.shifts
            if s.shift.name not in charges and not s.to.names.isdisjoint(targets)
        )
        yield RoutingStep(hall, targets, to.selector, because, charges + touched)


class ServiceMeters:
    """The counts of one service's requests at this entry, for each of its caps."""

    def __init__(self) -> None:
        self.meters: dict[str, ShiftMeter] = {FAILOVER: ShiftMeter(1.0)}

    def set_caps(self, view: ServiceView) -> None:
        """Set the caps of a revision; meters of shifts that no longer run are removed."""
        self.meters[FAILOVER].set_cap(view.service.failover_cap)
        names = {item.shift.name for item in view.shifts}
        for name in [n for n in self.meters if n != FAILOVER and n not in names]:
            del self.meters[name]
        for item in view.shifts:
            self.meters.setdefault(item.shift.name, ShiftMeter(item.shift.cap)).set_cap(
                item.shift.cap
            )

    def add_request(self) -> None:
        """Count one request for every cap of the service."""
        for meter in self.meters.values():
            meter.add_request()

    def charge_move(self, charges: tuple[str, ...]) -> str:
        """Charge a move to all its caps if each allows it, else to none.

        Returns
        -------
        str
            Empty if the move is allowed, else the name of the first cap that forbids it.
        """
        for name in charges:
            meter = self.meters.get(name)
            if meter is not None and not meter.can_move():
                meter.add_denial()
                return name
        for name in charges:
            if name in self.meters:
                self.meters[name].add_move()
        return ""

    def is_within_caps(self) -> bool:
        """Check whether every cap holds at this entry."""
        return all(meter.is_within_cap() for meter in self.meters.values())
