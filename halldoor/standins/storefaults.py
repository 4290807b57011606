"""Faults of simulated entries and their store, scheduled at random around a given moment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple

from halldoor.standins.storefleet import StoreFleet

SPAN_S = 2.0
"""Time for which most faults last, in seconds."""
SLOW_STORE_FACTOR = 60.0
"""Factor by which a slow store's processing time for a call grows."""
REFUSED_SHARE = 1 / 3
"""Share of the calls that a throttling store refuses."""
GAP_S = 1.0
"""Time for which watches receive no changes before the history is dropped, in seconds."""
ENTRY_DELAY_S = 0.3
"""Delay before a slow entry processes a message that arrived, in seconds."""
LOSS_SHARE = 0.3
"""Share of the messages of a hall's entries that are lost on a bad link."""
DEAD_CONNECTION_S = 2.0
"""Time until an idle connection is detected as dead, in seconds; see `HttpConnection`."""
ENTRIES_PER_VICTIM = 8
"""Number of entries of the fleet for each one that a fault is applied to."""


class FaultContext(NamedTuple):
    """What a fault needs: the fleet, the random source and the record of affected entries.

    Attributes
    ----------
    victims : set of int
        Ports of the entries that a fault affects directly; each fault adds its own.
    """

    fleet: StoreFleet
    random: Random
    victims: set[int]


class Fault(NamedTuple):
    """A fault, and the range of times before the measured moment at which it starts, in seconds."""

    begin: Callable[[FaultContext], None]
    earliest_s: float
    latest_s: float

    def schedule(self, context: FaultContext, moment: float) -> None:
        """Schedule the fault at a random time before a moment of the event loop's clock."""
        at = moment - context.random.uniform(self.latest_s, self.earliest_s)
        asyncio.get_running_loop().call_at(at, self.begin, context)


def _call_later(after_s: float, callback: Callable[..., object], *args: object) -> None:
    """Schedule a callback after a delay in seconds."""
    asyncio.get_running_loop().call_later(after_s, callback, *args)


def _set_temporarily(
    subjects: Iterable[object], attribute: str, value: object, for_s: float
) -> None:
    """Set an attribute of some objects, and restore it after ``for_s`` seconds."""
    for subject in subjects:
        before = getattr(subject, attribute)
        setattr(subject, attribute, value)
        _call_later(for_s, setattr, subject, attribute, before)


def _choose_entries(context: FaultContext, *, are_victims: bool = True) -> list[int]:
    """Choose entries at random, with up to two readers among them, and return their ports."""
    ports = sorted(context.fleet.entries)
    readers = context.fleet.list_readers()
    count = max(1, len(ports) // ENTRIES_PER_VICTIM)
    drawn = set(context.random.sample(ports, count))
    drawn |= set(context.random.sample(readers, min(len(readers), 2)))
    if are_victims:
        context.victims.update(drawn)
    return sorted(drawn)


def _change_another_target(context: FaultContext) -> None:
    """Write an unrelated target record, since entries pause after reading a change."""
    fleet = context.fleet
    fleet.write_target(fleet.targets - 1, "h0", slots=context.random.randrange(7, 10_000))


def _slow_store(context: FaultContext) -> None:
    """Slow the store down for every call."""
    _set_temporarily([context.fleet.server], "slowness", SLOW_STORE_FACTOR, 3 * SPAN_S)


def _throttle_store(context: FaultContext) -> None:
    """Refuse a share of the calls to the store."""
    _set_temporarily([context.fleet.server], "refused", REFUSED_SHARE, 3 * SPAN_S)


def _open_gap(context: FaultContext) -> None:
    """Withhold changes from watches, then fail the watches and drop the history."""
    context.fleet.store.open_gap()
    _call_later(GAP_S, context.fleet.store.close_gap)


def _drop_history(context: FaultContext) -> None:
    """Drop the store's history, and fail all watches."""
    context.fleet.store.close_gap()


def _slow_entries(context: FaultContext) -> None:
    """Delay the processing of messages at some entries."""
    nodes = [context.fleet.nodes[port] for port in _choose_entries(context)]
    _set_temporarily(nodes, "slow_s", ENTRY_DELAY_S, 3 * SPAN_S)


def _suspend_entries(context: FaultContext) -> None:
    """Suspend some entries for `SPAN_S` seconds."""
    for port in _choose_entries(context):
        context.fleet.nodes[port].suspend(SPAN_S)


def _isolate_entries(context: FaultContext) -> None:
    """Isolate some entries from the store and from all other entries."""
    nodes = [context.fleet.nodes[port] for port in _choose_entries(context)]
    _set_temporarily(nodes, "is_isolated", True, SPAN_S)


def _cut_from_store(context: FaultContext) -> None:
    """Block the traffic between some entries and the store only."""
    links = [context.fleet.entries[port].link for port in _choose_entries(context)]
    _set_temporarily(links, "is_silent", True, SPAN_S)


def _lose_messages(context: FaultContext) -> None:
    """Lose a share of the messages from and to the entries of one hall."""
    entries = context.fleet.entries
    hall = context.random.choice(sorted({entry.node.location.hall for entry in entries.values()}))
    ports = [port for port, entry in entries.items() if entry.node.location.hall == hall]
    context.victims.update(ports)
    _set_temporarily([context.fleet.nodes[port] for port in ports], "loss", LOSS_SHARE, 3 * SPAN_S)


def _kill_entries(context: FaultContext) -> None:
    """Kill some entries, and restart them after `SPAN_S`."""
    for port in _choose_entries(context):
        context.fleet.entries[port].stop()
        _call_later(SPAN_S, context.fleet.restart_entry, port)


def _restart_entries(context: FaultContext) -> None:
    """Restart some entries one after the other."""
    ports = _choose_entries(context)
    for i, port in enumerate(ports):
        _call_later(2 * SPAN_S * i / len(ports), context.fleet.restart_entry, port)


def _silence_connections(context: FaultContext) -> None:
    """Break the connections of some watches silently; new connections work."""
    for port in _choose_entries(context, are_victims=False):
        context.fleet.entries[port].link.silence_watch(detection_s=DEAD_CONNECTION_S)


def _drop_watches(context: FaultContext) -> None:
    """Drop some watches in the store while their connections stay open."""
    for port in _choose_entries(context, are_victims=False):
        entry = context.fleet.entries[port]
        entry.link.silence_watch()
        # The next measurement must start without this fault.
        _call_later(5 * SPAN_S, entry.sync.restart_watch, "the fault is over")


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
    "watches stuck": Fault(_drop_watches, 1.5, 0.05),
}
