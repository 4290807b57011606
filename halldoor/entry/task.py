"""A task: a thread that owns its state and takes messages."""

from __future__ import annotations

import queue
import threading
from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import structlog

M = TypeVar("M")


class Task(ABC, Generic[M]):
    """Base of the tasks of a process.

    Parameters
    ----------
    name : str
        Name of the thread, and prefix of its log lines.
    period_s : float
        Longest time between two calls of `tick`.
    """

    def __init__(self, name: str, *, period_s: float) -> None:
        self.name = name
        self.log = structlog.get_logger(part=name)
        self._period_s = period_s
        self._inbox: queue.Queue[M | None] = queue.Queue(maxsize=10_000)
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it does after the message at hand."""
        self._is_stopped.set()
        self._inbox.put(None)

    def join(self, timeout_s: float) -> None:
        """Wait for the thread."""
        self._thread.join(timeout_s)

    @property
    def is_stopping(self) -> bool:
        """Whether the task was asked to end."""
        return self._is_stopped.is_set()

    def tell(self, message: M) -> None:
        """Send a message to the task."""
        self._inbox.put(message)

    def _run(self) -> None:
        """Take messages in batches, and tick."""
        while not self.is_stopping:
            messages = self._collect(self.get_pause_s())
            try:
                if messages:
                    self.handle(messages)
                self.tick()
            except Exception:
                self.log.exception("Task failed once; it goes on.")

    def _collect(self, pause_s: float) -> list[M]:
        """Wait for a message and take all that are there."""
        messages: list[M] = []
        try:
            first = self._inbox.get(timeout=pause_s)
            while True:
                if first is not None:
                    messages.append(first)
                first = self._inbox.get_nowait()
        except queue.Empty:
            return messages

    def get_pause_s(self) -> float:
        """Return the time to wait for messages before the next `tick`."""
        return self._period_s

    @abstractmethod
    def handle(self, messages: list[M]) -> None:
        """Handle all messages that came since the last time."""

    def tick(self) -> None:
        """Do what is due."""
