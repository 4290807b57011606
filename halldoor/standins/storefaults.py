"""Faults of entries and of their store, drawn at random around a moment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from halldoor.standins.storefleet import StoreFleet

SPAN_S = 2.0
"""Time for which most faults last, in seconds."""
SLOW_STORE = 60.0
"""Factor of the store's time for a call while it is slow."""
REFUSED = 1 / 3
"""Share of the calls that a throttling store turns away."""
GAP_S = 1.0
"""Time for which watches hear nothing before the history is dropped, in seconds."""
SLOW_ENTRY_S = 0.3
"""Time until a slow entry turns to what arrives, in seconds."""
LOSS = 0.3
"""Share of the messages that a hall on a bad link loses."""
DEAD_CONNECTION_S = 2.0
"""Time until an idle connection is found dead, in seconds; see `HttpConnection`."""
ENTRIES_PER_VICTIM = 8


class Scene(NamedTuple):
    """What a fault acts on.

    Attributes
    ----------
    victims : set of int
        Ports of entries that have a fault of their own; faults add theirs.
    """

    fleet: StoreFleet
    random: Random
    victims: set[int]


class Fault(NamedTuple):
    """A fault, and when it begins before the moment that matters, in seconds."""

    begin: Callable[[Scene], None]
    earliest_s: float
    latest_s: float

    def schedule(self, scene: Scene, moment: float) -> None:
        """Let the fault begin before a moment of the loop's clock."""
        at = moment - scene.random.uniform(self.latest_s, self.earliest_s)
        asyncio.get_running_loop().call_at(at, self.begin, scene)


def _later(after_s: float, callback: Callable[..., object], *args: object) -> None:
    """Call back after a time."""
    asyncio.get_running_loop().call_later(after_s, callback, *args)


def _set_for(subjects: Iterable[object], attribute: str, value: object, for_s: float) -> None:
    """Set an attribute of some objects for a time."""
    for subject in subjects:
        before = getattr(subject, attribute)
        setattr(subject, attribute, value)
        _later(for_s, setattr, subject, attribute, before)


def _draw(scene: Scene, *, are_victims: bool = True) -> list[int]:
    """Draw entries, a reader for others among them where there is one."""
    ports = sorted(scene.fleet.entries)
    readers = scene.fleet.list_readers()
    count = max(1, len(ports) // ENTRIES_PER_VICTIM)
    drawn = set(scene.random.sample(ports, count))
    drawn |= set(scene.random.sample(readers, min(len(readers), 2)))
    if are_victims:
        scene.victims.update(drawn)
    return sorted(drawn)


def _change_another_target(scene: Scene) -> None:
    """Write a record that has nothing to do with the moment: entries pause after it."""
    fleet = scene.fleet
    fleet.write_target(fleet.targets - 1, "h0", slots=scene.random.randrange(7, 10_000))


def _slow_store(scene: Scene) -> None:
    """Let every call take the store longer."""
    _set_for([scene.fleet.server], "slowness", SLOW_STORE, 3 * SPAN_S)


def _throttle_store(scene: Scene) -> None:
    """Let the store turn some calls away."""
    _set_for([scene.fleet.server], "refused", REFUSED, 3 * SPAN_S)


def _open_gap(scene: Scene) -> None:
    """Let watches hear nothing until the history is dropped and they are cut."""
    scene.fleet.store.open_gap()
    _later(GAP_S, scene.fleet.store.close_gap)


def _drop_history(scene: Scene) -> None:
    """Drop the history, and cut all watches."""
    scene.fleet.store.close_gap()


def _slow_entries(scene: Scene) -> None:
    """Slow some entries down."""
    nodes = [scene.fleet.nodes[port] for port in _draw(scene)]
    _set_for(nodes, "slow_s", SLOW_ENTRY_S, 3 * SPAN_S)


def _suspend_entries(scene: Scene) -> None:
    """Suspend some entries."""
    for port in _draw(scene):
        scene.fleet.nodes[port].suspend(SPAN_S)


def _isolate_entries(scene: Scene) -> None:
    """Cut some entries off from all."""
    nodes = [scene.fleet.nodes[port] for port in _draw(scene)]
    _set_for(nodes, "is_isolated", True, SPAN_S)


def _cut_from_store(scene: Scene) -> None:
    """Cut some entries off from the store alone."""
    links = [scene.fleet.entries[port].link for port in _draw(scene)]
    _set_for(links, "is_silent", True, SPAN_S)


def _lose_messages(scene: Scene) -> None:
    """Let one hall lose messages."""
    entries = scene.fleet.entries
    hall = scene.random.choice(sorted({entry.node.place.hall for entry in entries.values()}))
    ports = [port for port, entry in entries.items() if entry.node.place.hall == hall]
    scene.victims.update(ports)
    _set_for([scene.fleet.nodes[port] for port in ports], "loss", LOSS, 3 * SPAN_S)


def _kill_entries(scene: Scene) -> None:
    """Kill some entries, and start them a while later."""
    for port in _draw(scene):
        scene.fleet.entries[port].stop()
        _later(SPAN_S, scene.fleet.replace, port)


def _restart_entries(scene: Scene) -> None:
    """Start some entries anew, one after the other."""
    ports = _draw(scene)
    for i, port in enumerate(ports):
        _later(2 * SPAN_S * i / len(ports), scene.fleet.replace, port)


def _silence_connections(scene: Scene) -> None:
    """Let the connections of some watches die without a word; new ones work."""
    for port in _draw(scene, are_victims=False):
        scene.fleet.entries[port].link.silence_watch(noticed_s=DEAD_CONNECTION_S)


def _stick_watches(scene: Scene) -> None:
    """Let the store forget some watches, though their connections stand."""
    for port in _draw(scene, are_victims=False):
        entry = scene.fleet.entries[port]
        entry.link.silence_watch()
        # So that the next measurement begins without it.
        _later(5 * SPAN_S, entry.sync.restart_watch, "the fault is over")


FAULTS = {
    "unrelated change": Fault(_change_another_target, 0.3, 0.02),
    "store slow": Fault(_slow_store, 3.0, 0.1),
    "store throttles": Fault(_throttle_store, 3.0, 0.1),
    "store gap": Fault(_open_gap, 0.95, -1.15),
    "history dropped": Fault(_drop_history, 0.3, -1.2),
    "entries slow": Fault(_slow_entries, 3.0, 0.1),
    "entries suspended": Fault(_suspend_entries, 1.8, -0.5),
    "entries isolated": Fault(_isolate_entries, 1.8, -0.5),
    "entries cut from the store": Fault(_cut_from_store, 1.8, -0.5),
    "hall loses messages": Fault(_lose_messages, 3.0, 0.1),
    "entries killed": Fault(_kill_entries, 1.8, -0.5),
    "entries restarted": Fault(_restart_entries, 3.0, 0.1),
    "connections silent": Fault(_silence_connections, 1.5, 0.05),
    "watches stuck": Fault(_stick_watches, 1.5, 0.05),
}
