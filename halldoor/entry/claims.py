"""A task that claims operation ids in the platform, in batches of one write per shard."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from halldoor.core.decoding import DecodingError
from halldoor.core.errors import PlatformError
from halldoor.core.orders.claim import (
    Claim,
    Shard,
    claim_operations,
    decode_shard,
    encode_shard,
    find_shard,
    format_shard_key,
)
from halldoor.entry.task import Task
from halldoor.keyvalue.base import Platform, UncertainWriteError, WriteConflictError

MAX_WRITE_ATTEMPTS = 6
"""Attempts to write a shard that other processes write at the same time."""
MAX_FAIL_FAST_S = 0.3
"""Most seconds after a slow failure in which claim requests fail at once, without waiting."""
REPLY_TIMEOUT_S = 3.0
"""Seconds that a request for a claim waits for its result."""

HolderResult = Result[Claim | None, PlatformError]


class ClaimRequest(NamedTuple):
    """A request to claim one id; the result is put into its reply queue."""

    operation: str
    reply: queue.SimpleQueue[HolderResult]


class ClaimTask(Task[ClaimRequest]):
    """Claims operation ids in the platform, in batches.

    Requests that arrive during a write are claimed together by the next write, so writes
    per order fall as load rises.

    Parameters
    ----------
    platform : Platform
        The key-value service.
    own_claim : Claim
        The claim that names this process as the holder.

    Attributes
    ----------
    on_claimed : callable
        Called with each id that this process has just claimed, before the waiting
        requests receive the claim, so that its ticket exists by then.  Never called again for
        an id claimed earlier, even if its ticket has been dropped since.
    """

    def __init__(self, platform: Platform, own_claim: Claim) -> None:
        super().__init__("claims", period_s=1.0)
        self._platform = platform
        self._own_claim = own_claim
        # Shard and version after the last write; saves a read if no other process wrote since.
        self._cached_shards: dict[int, tuple[Shard, int]] = {}
        # Ids whose claim may have been written although the write failed here.
        self._maybe_claimed: set[str] = set()
        self.on_claimed: Callable[[str], None] = lambda operation: None
        self._down_until = 0.0
        self.writes = 0
        self.claimed = 0
        self.odd_shards = 0

    def request_claim(self, operation: str) -> HolderResult:
        """Claim an id and return its holder; ``Failure`` if the platform fails or is slow."""
        reply: queue.SimpleQueue[HolderResult] = queue.SimpleQueue()
        self.enqueue(ClaimRequest(operation, reply))
        try:
            return reply.get(timeout=REPLY_TIMEOUT_S)
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
                error = PlatformError("The platform failed just now.", remedy="Retry later.")
                for request in requests:
                    request.reply.put(Failure(error))
                continue
            started = time.monotonic()
            try:
                holders = self._claim(shard, operations)
            except DecodingError as exc:
                # Only orders with an id of this shard fail: the platform itself answers.
                self.odd_shards += 1
                self.log.warning("Orders are refused: a shard can't be read.", error=str(exc)[:300])
                error = PlatformError(exc.message, remedy=exc.remedy)
                for request in requests:
                    request.reply.put(Failure(error))
                continue
            except PlatformError as exc:
                # Fail fast for half the failed call's time, so an instant failure blocks nothing.
                now = time.monotonic()
                self._down_until = now + min(MAX_FAIL_FAST_S, (now - started) / 2)
                self._cached_shards.pop(shard, None)
                self._maybe_claimed |= operations
                for request in requests:
                    request.reply.put(Failure(exc))
                continue
            for request in requests:
                request.reply.put(Success(holders[request.operation]))

    def reject(self, message: ClaimRequest) -> None:
        """Fail a claim at once; its id stays claimed if that was written."""
        error = PlatformError("An id can't be claimed here.", remedy="Repeat the same id.")
        message.reply.put(Failure(error))

    def _claim(self, number: int, operations: set[str]) -> dict[str, Claim | None]:
        """Claim ids of one shard by compare-and-swap, and return their holders.

        After a write whose answer was lost, the next iteration reads the shard back: if the
        write took effect, this process is the holder of the ids.
        """
        new: set[str] = set()
        for _ in range(MAX_WRITE_ATTEMPTS):
            cached = (
                self._cached_shards.pop(number)
                if number in self._cached_shards
                else self._read(number)
            )
            shard, version = cached
            new |= {op for op in operations if op not in shard.claims or op in self._maybe_claimed}
            outcome = claim_operations(shard, operations, self._own_claim)
            if outcome.shard != shard:
                try:
                    self.writes += 1
                    data = encode_shard(outcome.shard)
                    version = self._platform.put(format_shard_key(number), data, expected=version)
                except (WriteConflictError, UncertainWriteError):
                    continue
                self.claimed += len(operations)
            self._cached_shards[number] = (outcome.shard, version)
            self._maybe_claimed -= operations
            for operation in new:
                if outcome.holders[operation] == self._own_claim:
                    self.on_claimed(operation)
            return outcome.holders
        raise PlatformError("Many write the same shard at once.", remedy="Repeat the same id.")

    def _read(self, number: int) -> tuple[Shard, int]:
        """Read a shard and its version from the platform."""
        value = self._platform.get(format_shard_key(number))
        if value is None:
            return Shard(), 0
        try:
            return decode_shard(value.data), value.version
        except DecodingError as exc:
            raise DecodingError(
                f"Shard {number} of the claims can't be read: {exc.message}",
                remedy="Look at the platform's value of that key; it must not be edited.",
            ) from exc
