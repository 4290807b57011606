"""Writes log lines from a thread, so that a slow or broken reader never delays the program."""

from __future__ import annotations

import os
import queue
import threading

QUEUE_LIMIT = 2_000
"""Greatest number of queued lines; about 600 kB."""
BATCH_LINES = 64
"""Greatest number of lines that are written at once."""


class LineWriter:
    """Writer of lines to a file descriptor.

    Lines are dropped, and counted, while the queue is full or the descriptor can't be written to.

    Parameters
    ----------
    fd : int
        File descriptor to write to.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._queue: queue.Queue[bytes | None] = queue.Queue(QUEUE_LIMIT)
        self._thread: threading.Thread | None = None
        self._dropped = 0
        self._reported = 0

    def put(self, line: bytes) -> None:
        """Queue a line, or drop it; never waits."""
        try:
            self._start()
            self._queue.put_nowait(line)
        except (queue.Full, RuntimeError):
            self._dropped += 1  # RuntimeError: the system has no memory for the thread yet.

    def _start(self) -> None:
        """Start the thread if it isn't running; raises `RuntimeError`."""
        if self._thread is None:
            thread = threading.Thread(target=self._write, name="log", daemon=True)
            thread.start()
            self._thread = thread

    def count_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, reported = self._dropped, self._reported
        self._reported = dropped
        return dropped - reported

    def close(self, *, timeout_s: float = 0.2) -> None:
        """Write the queued lines and stop the thread, waiting at most `timeout_s` seconds."""
        if self._thread is None:
            return
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _write(self) -> None:
        """Write queued lines until the writer is closed; runs in the thread."""
        is_open = True
        while is_open:
            lines = [self._queue.get()]
            while len(lines) < BATCH_LINES and lines[-1] is not None and not self._queue.empty():
                lines.append(self._queue.get())
            is_open = lines[-1] is not None
            written = [line for line in lines if line is not None]
            if not write_all(self._fd, b"".join(written)):
                self._dropped += len(written)


def write_all(fd: int, data: bytes) -> bool:
    """Write all data to a file descriptor; return False if that fails for whatever reason."""
    while data:
        try:
            data = data[os.write(fd, data) :]
        except Exception:
            return False
    return True
