"""The last changes that an entry applied, for the entries that poll it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")

BATCHES_KEPT = 64
"""Batches of changes that an entry keeps for its followers: 20 s at three batches a second."""
HISTORY_BYTES = 8_000_000
"""Size of the changes that it keeps for them, in bytes; the last batch is kept in any case."""


class Batch(NamedTuple, Generic[T]):
    """The changes of one update.

    Attributes
    ----------
    after, revision : int
        The batch contains all changes after the first revision up to the second.
    is_difference : bool
        Whether changes undone between the two revisions are left out, so that the batch can be
        applied only to the state at the first revision, not to one in between.
    """

    after: int
    revision: int
    items: Sequence[T]
    is_difference: bool = False


class ChangeHistory(Generic[T]):
    """The last changes that an entry applied, in order and without a gap.

    Parameters
    ----------
    measure : callable, optional
        Returns the size of the changes of a batch, in bytes.
    """

    def __init__(self, measure: Callable[[Sequence[T]], int] = lambda _: 0) -> None:
        self._measure = measure
        self._batches: deque[Batch[T]] = deque(maxlen=BATCHES_KEPT)

    def has_changes_after(self, after: int) -> bool:
        """Check whether a follower at a revision gets its answer at once, without waiting."""
        return not self._batches or self._batches[-1].revision > after

    def add(self, batch: Batch[T]) -> None:
        """Add a batch; one that does not follow the last one starts a new history."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
        can_extend = self._batches and not self._batches[-1].is_difference
        if batch.items or batch.is_difference or not can_extend:
            self._batches.append(batch)
        else:
            last = self._batches.pop()
            self._batches.append(last._replace(revision=batch.revision))
        while len(self._batches) > 1 and self._count_bytes() > HISTORY_BYTES:
            self._batches.popleft()

    def _count_bytes(self) -> int:
        """Return the size of all changes, in bytes."""
        return sum(self._measure(batch.items) for batch in self._batches)

    def replace_items(self, replace: Callable[[Sequence[T]], Sequence[T]]) -> None:
        """Replace the changes of each batch by what a function returns for them."""
        for i, batch in enumerate(self._batches):
            self._batches[i] = batch._replace(items=replace(batch.items))

    def select(self, after: int) -> list[Batch[T]] | None:
        """Return the batches with changes after a revision; None if the history lacks some."""
        if not self._batches or after < self._batches[0].after:
            return None
        wanted = [batch for batch in self._batches if batch.revision > after]
        if wanted and wanted[0].is_difference and wanted[0].after < after:
            return None
        return wanted

    def collect(self, after: int) -> Batch[T] | None:
        """Return all changes after a revision; None if the history lacks some of them.

        A follower that is ahead of its reader gets an empty batch.  If the revision lies within a
        batch, changes up to it are repeated: applied in order they lead to the same state.
        """
        wanted = self.select(after)
        if wanted is None:
            return None
        return Batch(
            after=after,
            revision=max(after, self._batches[-1].revision),
            items=[item for batch in wanted for item in batch.items],
            is_difference=any(batch.is_difference for batch in wanted),
        )
