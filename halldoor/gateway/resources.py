"""Memory and descriptors that all accepted connections of a process share."""

from __future__ import annotations

import math
from collections.abc import Callable

from halldoor.core.buffers import BufferBudget


class SharedResources:
    """What accepted connections share.

    Parameters
    ----------
    buffers : BufferBudget, optional
        Counts what is buffered for connections.
    unread_bytes : float, optional
        Most bytes that may arrive from all clients before they are read.
    spare_descriptors : callable, optional
        Closes what can be spared, and returns the number of descriptors that it freed.
    """

    def __init__(
        self,
        buffers: BufferBudget | None = None,
        unread_bytes: float = math.inf,
        spare_descriptors: Callable[[], int] = lambda: 0,
    ) -> None:
        self.buffers = buffers or BufferBudget()
        self.unread_bytes = unread_bytes
        self.spare_descriptors = spare_descriptors
