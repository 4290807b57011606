"""Slots of the hall's targets, divided among the hall's entries.

Each slot of a target has one home entry, by rendezvous hash over the roster in the configuration.
The home entry uses the slot itself or lends it to a peer for one request, for no longer than that
request can last.  A lender that gets no answer takes the slot back when the loan has expired plus a
clock margin.  A borrower counts the loan from before its request, so the loan always expires
first at the borrower.  Entries that can't reach each other therefore never use the same slot.  See
docs/design/slots.md.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from halldoor.core.placement import rank

CLOCK_MARGIN = 0.02
"""Share by which a loan lasts longer at the lender than at the borrower, against clock drift."""
CLOCK_MARGIN_S = 0.2
"""Time by which a loan lasts longer at the lender in addition, in seconds, against delays in
scheduling."""


class SlotKey(NamedTuple):
    """The identity of a slot: name of its target, and number from 0."""

    target: str
    number: int


class Hold(NamedTuple):
    """The right to send one request to one target.

    Attributes
    ----------
    key : SlotKey
        The slot that is held.
    lender : str
        Name of the entry that lent it, or empty if this entry is its home.
    loan : int
        Number of the loan at the lender; 0 if this entry is the slot's home.
    until : float
        Monotonic time at this entry, in seconds, after which no request may be sent on the slot.
    """

    key: SlotKey
    lender: str
    loan: int
    until: float


class Loan(NamedTuple):
    """A slot that this entry has lent to a peer.

    Attributes
    ----------
    number : int
        Number of the loan at this entry, from 1.
    ends : float
        Monotonic time at which the slot returns to this entry, in seconds.
    """

    key: SlotKey
    borrower: str
    number: int
    ends: float


def assign_homes(target: str, slots: int, roster: Sequence[str]) -> list[str]:
    """Return the home entry of every slot of a target.

    Slots are assigned round-robin in the rendezvous order of the roster, so that entries differ by
    at most one slot and different targets start at different entries.
    """
    order = rank(target, roster)
    return [order[i % len(order)] for i in range(slots)] if order else []


class SlotTable:
    """The slots that this entry is home to, and its loans of them.

    Parameters
    ----------
    me : str
        Name of this entry.
    """

    def __init__(self, me: str) -> None:
        self.me = me
        # Free slots by target and number, each with the time before which it must not be used.
        self._free: dict[str, dict[int, float]] = {}
        self._busy: dict[SlotKey, float] = {}
        self._loans: dict[int, Loan] = {}
        self._next_loan = 1
        self._homes: dict[str, frozenset[int]] = {}
        # Slots that can't be used before their former home entries have adopted the roster.
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
            Monotonic time, in seconds.
        rest_s : mapping of str to float
            Longest time that a request to each target can last, in seconds.  A slot that is new to
            this entry is not used for that long, since a request of its last home entry, or of an
            earlier process of this name, may still be running on it.
        former : sequence of sequence of str, optional
            Earlier rosters whose members may not have adopted the current one yet.
        """
        self._rest_s = dict(rest_s)
        for target, count in slots.items():
            homes = assign_homes(target, count, roster)
            own_numbers = frozenset(i for i, home in enumerate(homes) if home == self.me)
            earlier = [assign_homes(target, count, r) for r in former]
            former_homes = {
                i: frozenset(h[i] for h in earlier if h) - {self.me} for i in own_numbers
            }
            self._replace_slots(target, former_homes, now=now)
        for target in [t for t in self._homes if t not in slots]:
            self._replace_slots(target, {}, now=now)

    def _replace_slots(
        self, target: str, former_homes: Mapping[int, frozenset[str]], *, now: float
    ) -> None:
        """Replace this entry's slots of one target.

        Parameters
        ----------
        former_homes : mapping of int to frozenset of str
            Number of each slot, with the former home entries that must adopt the roster first.
        """
        previous = self._homes.get(target, frozenset())
        free = self._free.setdefault(target, {})
        for i in previous - former_homes.keys():
            free.pop(i, None)
            self._pending.pop(SlotKey(target, i), None)
        lent = {loan.key for loan in self._loans.values()}
        self._homes[target] = frozenset(former_homes)
        for i in former_homes.keys() - previous:
            key = SlotKey(target, i)
            if key in self._busy or key in lent:
                continue
            if former_homes[i]:
                self._pending[key] = former_homes[i]
            else:
                free[i] = now + _add_margin(self._rest_s.get(target, 0.0))

    def confirm(self, adopted: Collection[str], *, now: float) -> None:
        """Free the slots whose former home entries have all adopted the roster.

        Requests of those entries may still be running, so the slots are not used for the longest
        time of a request.

        Parameters
        ----------
        adopted : collection of str
            Entries that have certainly adopted the roster or have certainly stopped.
        now : float
            Monotonic time, in seconds.
        """
        for key, names in list(self._pending.items()):
            if names.issubset(adopted):
                del self._pending[key]
                rest_s = _add_margin(self._rest_s.get(key.target, 0.0))
                self._free[key.target][key.number] = now + rest_s

    def list_pending(self) -> frozenset[str]:
        """Return the former home entries that slots wait for."""
        return frozenset(name for names in self._pending.values() for name in names)

    def acquire(self, target: str, *, now: float, until: float) -> Hold | None:
        """Acquire one of this entry's own slots for a request that ends by ``until``.

        Returns
        -------
        Hold or None
            None if no own slot is free.
        """
        index = self._find_free(target, now)
        if index is None:
            return None
        del self._free[target][index]
        key = SlotKey(target, index)
        self._busy[key] = until
        return Hold(key, "", 0, until)

    def release(self, key: SlotKey, *, rest_until: float = 0.0) -> None:
        """Release an own slot.

        Parameters
        ----------
        rest_until : float, optional
            Monotonic time before which the slot is not used again, in seconds, for a request that
            may still be running at the target.
        """
        if self._busy.pop(key, None) is not None:
            self._return_slot(key, rest_until)

    def lend(self, target: str, borrower: str, *, duration_s: float, now: float) -> Loan | None:
        """Lend an idle slot to a peer for ``duration_s`` of its clock; None if no slot is idle."""
        index = self._find_free(target, now)
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
        """End a loan whose borrower returns the slot; see `release` for ``rest_until``."""
        loan = self._loans.get(number)
        if loan is not None and loan.borrower == borrower:
            del self._loans[number]
            self._return_slot(loan.key, rest_until)

    def expire_loans(self, now: float) -> list[Loan]:
        """End and return the loans that have expired."""
        expired = [loan for loan in self._loans.values() if loan.ends <= now]
        for loan in expired:
            del self._loans[loan.number]
            self._return_slot(loan.key, 0.0)
        return expired

    def _find_free(self, target: str, now: float) -> int | None:
        """Return the number of a free slot that may be used now; None if there is none."""
        for index, rest_until in self._free.get(target, {}).items():
            if rest_until <= now:
                return index
        return None

    def _return_slot(self, key: SlotKey, rest_until: float) -> None:
        """Make a slot free again if this entry is still its home."""
        if key.number in self._homes.get(key.target, frozenset()):
            self._free[key.target][key.number] = rest_until

    def count_free(self, target: str, now: float) -> int:
        """Count own slots that could be acquired now."""
        return sum(1 for usable_at in self._free.get(target, {}).values() if usable_at <= now)

    def count_busy(self, target: str) -> int:
        """Count own slots in use by this entry."""
        return sum(1 for key in self._busy if key.target == target)

    def count_lent(self, target: str) -> int:
        """Count own slots lent to peers."""
        return sum(1 for loan in self._loans.values() if loan.key.target == target)

    def count_own(self, target: str) -> int:
        """Count the slots of a target that this entry is home to."""
        return len(self._homes.get(target, frozenset()))

    def is_consistent(self) -> bool:
        """Check that every own slot is exactly one of free, busy, lent and pending."""
        lent = [loan.key for loan in self._loans.values()]
        free = [SlotKey(t, i) for t, indexes in self._free.items() for i in indexes]
        everything = [*lent, *free, *self._busy, *self._pending]
        return len(everything) == len(set(everything))


def _add_margin(duration_s: float) -> float:
    """Return a duration in seconds lengthened by the clock margin; 0 stays 0."""
    return duration_s * (1.0 + CLOCK_MARGIN) + CLOCK_MARGIN_S if duration_s > 0 else 0.0
