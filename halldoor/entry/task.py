"""Base class of tasks: a thread that owns its state and handles messages from a queue."""

from __future__ import annotations

import queue
import threading
from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import structlog

from halldoor.threads import RestartingThread, failures

M = TypeVar("M")


class Task(ABC, Generic[M]):
    """Base class of the tasks of an entry process.

    Parameters
    ----------
    name : str
        Name of the thread, logged as ``part``.
    period_s : float
        Longest wait for messages, in seconds, before the next call of `tick`.
    """

    def __init__(self, name: str, *, period_s: float) -> None:
        self.name = name
        self.log = structlog.get_logger(part=name)
        self._period_s = period_s
        self._inbox: queue.Queue[M | None] = queue.Queue(maxsize=10_000)
        self._is_stopped = threading.Event()
        self._thread = RestartingThread(name, self._run, is_stopping=self._is_stopped.is_set)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the batch of messages that it is handling."""
        self._is_stopped.set()
        self._inbox.put(None)

    def join(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for the thread to stop."""
        self._thread.join(timeout_s)

    @property
    def is_stopping(self) -> bool:
        """Whether the task was asked to stop."""
        return self._is_stopped.is_set()

    def enqueue(self, message: M) -> None:
        """Queue a message for the task; block while the queue is full."""
        self._inbox.put(message)

    def _run(self) -> None:
        """Handle messages in batches, and call `tick` after each batch or pause."""
        while not self.is_stopping:
            messages = self._collect(self.get_pause_s())
            if messages:
                self._handle_batch(messages)
            try:
                self.tick()
            except Exception:
                failures[self.name] += 1
                self.log.exception("Periodic work of a task failed; it continues.")

    def _handle_batch(self, messages: list[M]) -> None:
        """Handle a batch; if that fails, handle its messages singly and reject the odd ones."""
        try:
            self.handle(messages)
        except Exception as exc:
            if len(messages) > 1:
                self.log.warning("A batch failed; handles its messages singly.", error=repr(exc))
                for message in messages:
                    self._handle_batch([message])
                return
            failures[self.name] += 1
            self.log.exception("A task failed while handling a message; it continues.")
            self.reject(messages[0])

    def _collect(self, pause_s: float) -> list[M]:
        """Wait for a message, and return it with all others in the queue."""
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
        """Return the seconds to wait for messages before the next `tick`."""
        return self._period_s

    @abstractmethod
    def handle(self, messages: list[M]) -> None:
        """Handle all messages that arrived since the last call.

        If it raises it is called again for each of these messages, so a message that it has
        handled before must change nothing.
        """

    def reject(self, message: M) -> None:
        """Answer whoever waits for a message that can't be handled."""

    def tick(self) -> None:
        """Do periodic work."""
