"""Choice of the collectors: the few entries that count the crashes caused by one request.

A request that crashes targets is retried at any entry, so each entry sees only some of its
attempts.  Broadcasting every crash would cost one message per entry, also for each of the hundreds
of crashes when a hall loses power.  So entries report crashes to a few collectors, which notify all
entries once two targets have crashed while running the same request.  The choice of collectors
depends only on the request and the registered entries.
"""

from __future__ import annotations

from collections.abc import Iterable

from halldoor.core.placement import rank
from halldoor.core.targets.changes import MemberRecord

FLEET_COLLECTORS = 2
"""Collectors for the whole fleet; with two, the crash of one loses no evidence."""


def choose_collectors(digest: str, own_hall: str, members: Iterable[MemberRecord]) -> list[str]:
    """Choose a request's collectors for an entry: two of the whole fleet and one of its own hall.

    The hall's own collector still works while the hall is cut off from the others.

    Returns
    -------
    list of str
        Names of entries: first the collectors of the fleet, then that of the hall unless it is
        one of those.
    """
    halls = {m.name: m.hall for m in members if m.relay is not None}
    order = rank(digest, halls)
    near = [name for name in order if halls[name] == own_hall]
    collectors = order[:FLEET_COLLECTORS]
    return collectors + [name for name in near[:1] if name not in collectors]
