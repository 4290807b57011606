"""Simulated network between entries and their store in virtual time, with node faults."""

from __future__ import annotations

import asyncio
import contextvars
import math
from collections.abc import Callable, Coroutine, Generator
from random import Random
from typing import Any, NamedTuple

CUT_CHECK_S = 0.05
"""Interval at which a transmission held up by isolation checks whether it may pass, in seconds."""
RETRANSMISSION_S = 0.2
"""Time until a lost segment of a call is retransmitted, in seconds; it doubles each time."""

CHUNK_BYTES = 16_384
"""Bytes after which another transmission gets its turn on a link."""

MAX_RETRANSMISSIONS = 8
"""Most times that a lost segment of a call is retransmitted."""


class Location(NamedTuple):
    """Hall and region of a node."""

    hall: str
    region: str


class Delays(NamedTuple):
    """One-way delays within a hall, within a region, and between regions, in seconds."""

    hall_s: float = 0.004
    region_s: float = 0.004
    far_s: float = 0.004

    def find(self, a: Location, b: Location) -> float:
        """Return the one-way delay between two locations, in seconds."""
        if a.region != b.region:
            return self.far_s
        return self.hall_s if a.hall == b.hall else self.region_s


class Link:
    """One direction of a node's link; transmissions share its bandwidth.

    Attributes
    ----------
    rate : float
        Bandwidth, in bytes per second.
    carried : int
        Bytes that were carried.
    """

    def __init__(self, rate: float = math.inf) -> None:
        self.rate = rate
        self.carried = 0
        self._free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Reserve the next free time for some bytes; return when they have passed."""
        self.carried += size
        self._free_at = max(self._free_at, now) + size / self.rate
        return self._free_at


class Node:
    """An entry or the store, as the network sees it.

    Attributes
    ----------
    slow_s : float
        Delay before it processes a message that arrived, in seconds.
    loss : float
        Share of the messages from and to it that are lost.
    is_isolated : bool
        No message from or to it arrives.
    inwards, outwards : Link
        The two directions of its link, which carry the bodies of answers.
    """

    def __init__(self, location: Location) -> None:
        self.location = location
        self.slow_s = 0.0
        self.loss = 0.0
        self.is_isolated = False
        self.inwards, self.outwards = Link(), Link()
        self._resumed: asyncio.Event | None = None
        self._unread: list[Callable[[], None]] = []

    @property
    def is_suspended(self) -> bool:
        """Whether the node is suspended: none of its tasks runs."""
        return self._resumed is not None

    def suspend(self, for_s: float) -> None:
        """Suspend all tasks of the node for a time, in seconds."""
        if self._resumed is None:
            self._resumed = asyncio.Event()
            asyncio.get_running_loop().call_later(for_s, self._resume)

    def _resume(self) -> None:
        """Resume the tasks, and process the messages that arrived during the suspension."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None
        unread, self._unread = self._unread, []
        for receive in unread:
            receive()

    async def wait_until_resumed(self) -> None:
        """Wait while the node is suspended."""
        while self._resumed is not None:
            await self._resumed.wait()

    def receive(self, receive: Callable[[], None]) -> None:
        """Process a message, or keep it until the node is resumed."""
        if self.is_suspended:
            self._unread.append(receive)
        else:
            receive()


class Network:
    """Transmission between nodes, with delays, losses and isolation.

    Parameters
    ----------
    delays : Delays
        Delays without any fault.
    """

    def __init__(self, delays: Delays, random: Random) -> None:
        self._delays = delays
        self._random = random

    async def transmit(self, sender: Node, receiver: Node) -> None:
        """Transmit a segment of a call over a connection; lost segments are retransmitted."""
        delay_s = self._delays.find(sender.location, receiver.location)
        for attempt in range(MAX_RETRANSMISSIONS):
            if not self._is_lost(sender, receiver):
                break
            delay_s += RETRANSMISSION_S * 2**attempt
        await asyncio.sleep(delay_s + receiver.slow_s)
        while sender.is_isolated or receiver.is_isolated:
            await asyncio.sleep(CUT_CHECK_S)

    async def transmit_body(
        self, sender: Node, receiver: Node, size: int, *, on_part: Callable[[int], None]
    ) -> None:
        """Transmit the body of an answer, in bytes, over the links of both nodes.

        Parameters
        ----------
        on_part : callable
            Called with the size of each part when it arrives, in bytes.
        """
        loop = asyncio.get_running_loop()
        for first in range(0, size, CHUNK_BYTES):
            chunk, now = min(CHUNK_BYTES, size - first), loop.time()
            passed_at = max(
                link.reserve(chunk, now) for link in (sender.outwards, receiver.inwards)
            )
            await asyncio.sleep(passed_at - now)
            while sender.is_isolated or receiver.is_isolated:
                await asyncio.sleep(CUT_CHECK_S)
            on_part(chunk)

    def send_datagram(self, sender: Node, receiver: Node, receive: Callable[[], None]) -> None:
        """Send a datagram, which may be lost."""
        is_cut = sender.is_isolated or receiver.is_isolated
        if is_cut or self._is_lost(sender, receiver):
            return
        delay_s = self._delays.find(sender.location, receiver.location) + receiver.slow_s
        asyncio.get_running_loop().call_later(delay_s, receiver.receive, receive)

    def _is_lost(self, sender: Node, receiver: Node) -> bool:
        """Draw at random whether a message is lost."""
        kept = (1 - sender.loss) * (1 - receiver.loss)
        return kept < 1 and self._random.random() >= kept


_node: contextvars.ContextVar[Node | None] = contextvars.ContextVar("node", default=None)


class _NodeCoroutine(Coroutine[Any, Any, Any]):
    """A wrapper that pauses a coroutine while its node is suspended."""

    def __init__(self, inner: Coroutine[Any, Any, Any], node: Node) -> None:
        self._inner = inner
        self._node = node
        self._steps = self._run()
        self._has_started = False

    def _run(self) -> Generator[Any, Any, Any]:
        """Step through the inner coroutine, waiting while the node is suspended."""
        error: BaseException | None = None
        while True:
            while self._node.is_suspended:
                try:
                    yield from self._node.wait_until_resumed().__await__()
                except asyncio.CancelledError as exc:
                    error = exc
            try:
                step = self._inner.send(None) if error is None else self._inner.throw(error)
            except StopIteration as stop:
                return stop.value
            error = None
            try:
                yield step
            except (Exception, asyncio.CancelledError) as exc:
                # Errors of the awaited future arrive here as well.
                error = exc

    def send(self, value: Any) -> Any:
        """Resume the coroutine until it next waits."""
        self._has_started = True
        return self._steps.send(value)

    def throw(self, *error: Any) -> Any:
        """Raise an error in the inner coroutine."""
        if not self._has_started:
            # An error thrown into an unstarted `_run` doesn't reach the inner coroutine.
            self._inner.close()
        return self._steps.throw(*error)

    def close(self) -> None:
        """Close the wrapper and the inner coroutine."""
        self._steps.close()
        self._inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        return self._steps


def create_task(
    loop: asyncio.AbstractEventLoop,
    coroutine: Any,
    *,
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """Create a task that is suspended with its node; used as an event loop's task factory."""
    node = _node.get() if context is None else context.get(_node)
    if node is not None:
        coroutine = _NodeCoroutine(coroutine, node)
    return asyncio.Task(coroutine, loop=loop, context=context)


def start_task_on(node: Node, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a task on a node; tasks that it starts run on the same node."""
    context = contextvars.copy_context()
    context.run(_node.set, node)
    return asyncio.get_running_loop().create_task(coroutine, context=context)
