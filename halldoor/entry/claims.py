"""A task that claims operation ids in the platform, many with one write."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from halldoor.core.errors import PlatformError
from halldoor.core.orders.claim import (
    Claim,
    Shard,
    claim,
    decode_shard,
    encode_shard,
    find_shard,
    to_key,
)
from halldoor.entry.task import Task
from halldoor.keyvalue.base import Platform, UncertainWriteError, WriteConflictError

TRIES = 6
PAUSE_S = 0.3
"""Longest time after a slow failure in which requests fail at once, so nobody waits in vain."""
WAIT_S = 3.0

Holder = Result[Claim | None, PlatformError]


class ClaimRequest(NamedTuple):
    """A request to claim one id; the reply goes into its queue."""

    operation: str
    reply: queue.SimpleQueue[Holder]


class Claims(Task[ClaimRequest]):
    """Owns the platform connection for claims.

    Requests that come while a write is under way are taken together by the next,
    so writes per order fall as load rises.

    Parameters
    ----------
    platform : Platform
        The key-value service.
    me : Claim
        This process.

    Attributes
    ----------
    on_new : callable
        Called with each id that this process has just claimed, before anyone is
        told, so that whoever learns of the claim finds the ticket.  An id claimed
        earlier, whose ticket was since forgotten, is never given to it again.
    """

    def __init__(self, platform: Platform, me: Claim) -> None:
        super().__init__("claims", period_s=1.0)
        self._platform = platform
        self._me = me
        # What the last write left there; saves the read where nobody else wrote since.
        self._known: dict[int, tuple[Shard, int]] = {}
        # Ids whose claim may have been written although this process was told nothing.
        self._uncertain: set[str] = set()
        self.on_new: Callable[[str], None] = lambda operation: None
        self._down_until = 0.0
        self.writes = 0
        self.claimed = 0

    def ask(self, operation: str) -> Holder:
        """Claim an id and wait for its holder; ``Failure`` where the platform can't tell."""
        reply: queue.SimpleQueue[Holder] = queue.SimpleQueue()
        self.tell(ClaimRequest(operation, reply))
        try:
            return reply.get(timeout=WAIT_S)
        except queue.Empty:
            return Failure(PlatformError("The platform is slow.", remedy="Repeat the same id."))

    def handle(self, messages: list[ClaimRequest]) -> None:
        """Claim a batch, shard by shard."""
        by_shard: dict[int, list[ClaimRequest]] = {}
        for message in messages:
            by_shard.setdefault(find_shard(message.operation), []).append(message)
        for shard, requests in by_shard.items():
            operations = {r.operation for r in requests}
            if time.monotonic() < self._down_until:
                error = PlatformError("The platform failed just now.", remedy="Come back.")
                for request in requests:
                    request.reply.put(Failure(error))
                continue
            started = time.monotonic()
            try:
                holders = self._claim(shard, operations)
            except PlatformError as exc:
                # A platform that refuses at once costs nobody any time: it is asked again.
                now = time.monotonic()
                self._down_until = now + min(PAUSE_S, (now - started) / 2)
                self._known.pop(shard, None)
                self._uncertain |= operations
                for request in requests:
                    request.reply.put(Failure(exc))
                continue
            for request in requests:
                request.reply.put(Success(holders[request.operation]))

    def _claim(self, number: int, operations: set[str]) -> dict[str, Claim | None]:
        """Claim ids of one shard by compare-and-swap.

        A write whose answer was lost is read back by the next turn of the loop: if
        it took effect, the ids have this process as their holder.
        """
        new: set[str] = set()
        for _ in range(TRIES):
            known = self._known.pop(number) if number in self._known else self._read(number)
            shard, version = known
            new |= {op for op in operations if op not in shard.claims or op in self._uncertain}
            outcome = claim(shard, operations, self._me)
            if outcome.shard != shard:
                try:
                    self.writes += 1
                    data = encode_shard(outcome.shard)
                    version = self._platform.put(to_key(number), data, expected=version)
                except (WriteConflictError, UncertainWriteError):
                    continue
                self.claimed += len(operations)
            self._known[number] = (outcome.shard, version)
            self._uncertain -= operations
            for operation in new:
                if outcome.holders[operation] == self._me:
                    self.on_new(operation)
            return outcome.holders
        raise PlatformError("Many write the same shard at once.", remedy="Repeat the same id.")

    def _read(self, number: int) -> tuple[Shard, int]:
        """Read a shard and its version."""
        value = self._platform.get(to_key(number))
        if value is None:
            return Shard(), 0
        try:
            return decode_shard(value.data), value.version
        except ValueError as exc:
            raise PlatformError(
                f"Shard {number} of the claims can't be read.",
                remedy="Look at the platform's value of that key; it must not be edited.",
            ) from exc
