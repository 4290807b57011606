"""Which entries count for all what speaks against a request.

Load pattern: any entry may meet the request next, and of each it sees one sending in many.  With
everybody told of every end, an end would cost a message for each entry, also the hundreds of a hall
that loses power; so a few count for all, and tell all once two targets have ended under the same
request.  Which ones follows from the request and the registered entries alone.
"""

from __future__ import annotations

from collections.abc import Iterable

from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord

FLEET_COLLECTORS = 2
"""Entries of the whole fleet that count, so that the death of one costs nothing."""


def choose_collectors(digest: str, own_hall: str, members: Iterable[MemberRecord]) -> list[str]:
    """Choose a request's collectors for an entry of a hall: two of the fleet, one of its hall.

    The one of the hall counts on where the hall is cut off from the others.

    Returns
    -------
    list of str
        Names, the fleet's first.
    """
    halls = {m.name: m.hall for m in members if m.relay is not None}
    order = rank(digest, halls)
    near = [name for name in order if halls[name] == own_hall]
    collectors = order[:FLEET_COLLECTORS]
    return collectors + [name for name in near[:1] if name not in collectors]
