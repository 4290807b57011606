"""Slots of the hall's targets, divided among the hall's entries.

Each slot of a target has one home entry, by rendezvous hash over the roster in
the configuration.  A home uses its slots itself or lends one to a peer for one
request, for no longer than that request can last.  A lender that hears nothing
waits until the loan has lapsed plus a clock margin; a borrower counts the loan
from before it asked, so its end always comes first.  Both sides of a cut
therefore keep to disjoint slots.  See docs/design/slots.md.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from halldoor.core.placement import rank

CLOCK_MARGIN = 0.02
"""Share by which a loan is held longer at the lender than at the borrower (clock drift)."""
CLOCK_MARGIN_S = 0.2
"""Seconds added to it, for scheduling."""


class SlotKey(NamedTuple):
    """One slot: target name and number from 0."""

    target: str
    number: int


class Hold(NamedTuple):
    """The right to send one request to one target.

    Attributes
    ----------
    key : SlotKey
        The slot that is held.
    lender : str
        Name of the entry that lent it, or empty where this entry is its home.
    loan : int
        Number of the loan at the lender.
    until : float
        Monotonic seconds at this entry after which nothing may be sent on it.
    """

    key: SlotKey
    lender: str
    loan: int
    until: float


class Loan(NamedTuple):
    """A slot that this entry lent to a peer."""

    key: SlotKey
    borrower: str
    number: int
    ends: float


def assign_homes(target: str, slots: int, roster: Sequence[str]) -> list[str]:
    """Return the home entry of every slot of a target.

    Slots go round the roster in rendezvous order, so that no entry has more than
    one slot more than another and different targets start at different entries.
    """
    order = rank(target, roster)
    return [order[i % len(order)] for i in range(slots)] if order else []


class SlotTable:
    """The slots that this entry is home to, and the loans of them.

    Parameters
    ----------
    me : str
        Name of this entry.
    """

    def __init__(self, me: str) -> None:
        self.me = me
        # Slots free for use, each with the time before which it must rest.
        self._free: dict[str, dict[int, float]] = {}
        self._busy: dict[SlotKey, float] = {}
        self._loans: dict[int, Loan] = {}
        self._next_loan = 1
        self._homes: dict[str, frozenset[int]] = {}
        # Slots that wait for former homes to adopt the roster, with the names of those.
        self._pending: dict[SlotKey, frozenset[str]] = {}
        self._rest_s: dict[str, float] = {}

    def set_roster(
        self,
        slots: Mapping[str, int],
        roster: Sequence[str],
        *,
        now: float,
        rest_s: Mapping[str, float],
        former: Sequence[Sequence[str]] = (),
    ) -> None:
        """Adopt the hall's roster and slot counts.

        Parameters
        ----------
        slots : mapping of str to int
            Slots of each target of the hall.
        roster : sequence of str
            Names of the hall's entries.
        now : float
            Monotonic seconds.
        rest_s : mapping of str to float
            Longest time a request to the target can last.  A slot that is new to
            this entry rests that long, since its last home, or an earlier process
            of this name, may still have a request running on it.
        former : sequence of sequence of str, optional
            Earlier rosters whose members may not know the present one yet.
        """
        self._rest_s = dict(rest_s)
        for target, count in slots.items():
            homes = assign_homes(target, count, roster)
            mine = frozenset(i for i, home in enumerate(homes) if home == self.me)
            earlier = [assign_homes(target, count, r) for r in former]
            waits = {i: frozenset(h[i] for h in earlier if h) - {self.me} for i in mine}
            self._adopt(target, waits, now=now)
        for target in [t for t in self._homes if t not in slots]:
            self._adopt(target, {}, now=now)

    def _adopt(self, target: str, waits: Mapping[int, frozenset[str]], *, now: float) -> None:
        """Replace the own slots of one target; each with the former homes to wait for."""
        known = self._homes.get(target, frozenset())
        free = self._free.setdefault(target, {})
        for i in known - waits.keys():
            free.pop(i, None)
            self._pending.pop(SlotKey(target, i), None)
        lent = {loan.key for loan in self._loans.values()}
        self._homes[target] = frozenset(waits)
        for i in waits.keys() - known:
            key = SlotKey(target, i)
            if key in self._busy or key in lent:
                continue
            if waits[i]:
                self._pending[key] = waits[i]
            else:
                free[i] = now + _add_margin(self._rest_s.get(target, 0.0))

    def confirm(self, adopted: Collection[str], *, now: float) -> None:
        """Free the slots whose former homes have all adopted the roster.

        What those sent before may still run, so the slots rest first.

        Parameters
        ----------
        adopted : collection of str
            Entries known to have adopted it, or known to be stopped.
        now : float
            Monotonic seconds.
        """
        for key, names in list(self._pending.items()):
            if names.issubset(adopted):
                del self._pending[key]
                rest_s = _add_margin(self._rest_s.get(key.target, 0.0))
                self._free[key.target][key.number] = now + rest_s

    def list_pending(self) -> frozenset[str]:
        """List the former homes that slots wait for."""
        return frozenset(name for names in self._pending.values() for name in names)

    def acquire(self, target: str, *, now: float, until: float) -> Hold | None:
        """Take one of this entry's own slots for a request that ends by ``until``."""
        index = self._pick(target, now)
        if index is None:
            return None
        del self._free[target][index]
        key = SlotKey(target, index)
        self._busy[key] = until
        return Hold(key, "", 0, until)

    def release(self, key: SlotKey, *, rest_until: float = 0.0) -> None:
        """Return an own slot back; it rests until ``rest_until`` where work may go on."""
        if self._busy.pop(key, None) is not None:
            self._put_back(key, rest_until)

    def lend(self, target: str, borrower: str, *, duration_s: float, now: float) -> Loan | None:
        """Lend an idle slot to a peer for ``duration_s`` of the borrower's clock."""
        index = self._pick(target, now)
        if index is None:
            return None
        del self._free[target][index]
        loan = Loan(
            SlotKey(target, index), borrower, self._next_loan, now + _add_margin(duration_s)
        )
        self._next_loan += 1
        self._loans[loan.number] = loan
        return loan

    def end_loan(self, number: int, borrower: str, *, rest_until: float = 0.0) -> None:
        """Take a lent slot back from the borrower that returns it."""
        loan = self._loans.get(number)
        if loan is not None and loan.borrower == borrower:
            del self._loans[number]
            self._put_back(loan.key, rest_until)

    def expire_loans(self, now: float) -> list[Loan]:
        """Take back the loans that have lapsed."""
        lapsed = [loan for loan in self._loans.values() if loan.ends <= now]
        for loan in lapsed:
            del self._loans[loan.number]
            self._put_back(loan.key, 0.0)
        return lapsed

    def _pick(self, target: str, now: float) -> int | None:
        """Find a free slot that has rested long enough."""
        for index, rest_until in self._free.get(target, {}).items():
            if rest_until <= now:
                return index
        return None

    def _put_back(self, key: SlotKey, rest_until: float) -> None:
        """Make a slot free again, if it is still this entry's."""
        if key.number in self._homes.get(key.target, frozenset()):
            self._free[key.target][key.number] = rest_until

    def count_free(self, target: str, now: float) -> int:
        """Count own slots that could be taken now."""
        return sum(1 for rest in self._free.get(target, {}).values() if rest <= now)

    def count_busy(self, target: str) -> int:
        """Count own slots in use by this entry."""
        return sum(1 for key in self._busy if key.target == target)

    def count_lent(self, target: str) -> int:
        """Count own slots lent to peers."""
        return sum(1 for loan in self._loans.values() if loan.key.target == target)

    def count_home(self, target: str) -> int:
        """Count the slots of a target that this entry is home to."""
        return len(self._homes.get(target, frozenset()))

    def is_consistent(self) -> bool:
        """Check whether every own slot is in exactly one place."""
        lent = [loan.key for loan in self._loans.values()]
        free = [SlotKey(t, i) for t, indexes in self._free.items() for i in indexes]
        everything = [*lent, *free, *self._busy, *self._pending]
        return len(everything) == len(set(everything))


def _add_margin(duration_s: float) -> float:
    """Lengthen a duration by the clock margin."""
    return duration_s * (1.0 + CLOCK_MARGIN) + CLOCK_MARGIN_S if duration_s > 0 else 0.0
