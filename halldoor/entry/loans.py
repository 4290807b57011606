"""A task that borrows idle slots from the hall's other entries, and returns them."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from halldoor.core.errors import PeerError
from halldoor.core.hall.membership import Member
from halldoor.core.hall.slots import Hold
from halldoor.core.steering.configuration import EntryHost
from halldoor.entry.hall import build_borrowed_hold
from halldoor.entry.task import Task
from halldoor.wire.client import PeerPool
from halldoor.wire.protocol import idl

MAX_LENDERS_ASKED = 3
BORROW_TIMEOUT_S = 0.15
EMPTY_PAUSE_S = 0.02
"""Seconds for which a lender without a free slot isn't asked again, to bound calls in overload."""
NO_ANSWER_PAUSE_S = 0.5
"""Seconds for which a lender that did not answer isn't asked again."""


class SlotReturn(NamedTuple):
    """A borrowed slot to be returned to its lender; unusable until ``rest_until``."""

    hold: Hold
    rest_until: float


class LoanTask(Task[SlotReturn]):
    """Borrows slots in the calling thread, and returns them in the background.

    Parameters
    ----------
    entry_name : str
        Name of this entry.
    peers : PeerPool
        Connections to other entries.
    list_lenders : callable
        Lists the hall's other live entries with their last slot reports.
    find_entry : callable
        Finds an entry's addresses by name.
    """

    def __init__(
        self,
        entry_name: str,
        *,
        peers: PeerPool,
        list_lenders: Callable[[], list[Member]],
        find_entry: Callable[[str], EntryHost | None],
    ) -> None:
        super().__init__("loans", period_s=1.0)
        self._entry_name = entry_name
        self._peers = peers
        self._list_lenders = list_lenders
        self._find_entry = find_entry
        self._random = random.Random(entry_name)
        # Request threads write it without a lock; a lost update is harmless.
        self._pause_until: dict[str, float] = {}
        self.borrow_calls = 0
        self.borrowed = 0

    def borrow(self, targets: Sequence[str], until: float) -> Hold | None:
        """Borrow a slot of any of the targets from one of at most `MAX_LENDERS_ASKED` peers.

        The loan's time starts here before the call, so that it expires here before it expires
        at the lender, however late the reply.
        """
        for lender in self._order_lenders(targets)[:MAX_LENDERS_ASKED]:
            entry = self._find_entry(lender)
            now = time.monotonic()
            if entry is None or now >= until or now < self._pause_until.get(lender, 0.0):
                continue
            request = idl.LoanRequest(
                targets=list(targets),
                borrower=self._entry_name,
                duration_ms=int((until - now) * 1000) + 1,
            )
            self.borrow_calls += 1
            try:
                loan = self._peers.call(
                    entry.wire, "borrow", timeout_s=BORROW_TIMEOUT_S, request=request
                )
            except PeerError:
                self._pause_until[lender] = time.monotonic() + NO_ANSWER_PAUSE_S
                continue
            if loan.number:
                self.borrowed += 1
                return build_borrowed_hold(loan.target, loan.index, lender, loan.number, until)
            self._pause_until[lender] = time.monotonic() + EMPTY_PAUSE_S
        return None

    def _order_lenders(self, targets: Sequence[str]) -> list[str]:
        """Order the peers by the free slots they last reported, most first, ties at random."""
        wanted = set(targets)
        lenders = self._list_lenders()
        self._random.shuffle(lenders)
        free = {m.name: sum(r.free for r in m.reports if r.target in wanted) for m in lenders}
        return sorted(free, key=lambda name: -free[name])

    def give_back(self, hold: Hold, rest_until: float) -> None:
        """Return a borrowed slot in the background; if the message is lost the loan expires."""
        self.enqueue(SlotReturn(hold, rest_until))

    def handle(self, messages: list[SlotReturn]) -> None:
        """Return the borrowed slots of finished requests to their lenders."""
        for message in messages:
            entry = self._find_entry(message.hold.lender)
            if entry is None:
                continue
            rest_s = max(0.0, message.rest_until - time.monotonic())
            try:
                self._peers.call(
                    entry.wire,
                    "give_back",
                    timeout_s=0.5,
                    target=message.hold.key.target,
                    number=message.hold.loan,
                    borrower=self._entry_name,
                    rest_ms=int(rest_s * 1000),
                )
            except PeerError as exc:
                self.log.info(
                    "Could not return a borrowed slot; its loan will expire.", error=exc.message
                )
