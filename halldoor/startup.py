"""Start of a program: early signals, settings that are not sound yet, and ports that are held."""

from __future__ import annotations

import contextlib
import errno
import os
import queue
import resource
import select
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterable
from enum import IntEnum
from types import FrameType
from typing import NoReturn, TypeVar

from halldoor.core.errors import HalldoorError
from halldoor.core.settings import Address
from halldoor.lines import write_all

T = TypeVar("T")

RETRY_S = 0.1
"""Pause between two attempts, in seconds."""
REPORT_S = 10.0
"""Period of reporting what is still awaited, in seconds."""
CHANGED_S = 1.0
"""Shortest time between two lines with different causes, in seconds."""
SIGNAL_WAIT_S = 0.5
"""Longest wait in one piece for a signal, in seconds."""
TRANSIENT_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENETDOWN,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Errors in opening a port that end without a change of the settings: another process holds it,
the address is not the machine's yet, or the machine lacks memory or descriptors."""


STANDARD_ERROR = 2
"""File descriptor of standard error."""
LINE_BYTES = select.PIPE_BUF
"""Greatest length of a line; a pipe that can be written to takes as much without waiting."""
MAX_DESCRIPTORS = 65_536
"""Descriptors of a process for which neither settings nor the system say less."""
MIN_DESCRIPTORS = 256
"""Descriptors with fewer of which an entry can hardly serve."""


class ExitStatus(IntEnum):
    """Exit statuses of processes that can't start."""

    SETTINGS = 2
    LIBRARIES = 3


def end_on_signals() -> None:
    """End with status 0 on SIGTERM and SIGINT and ignore SIGHUP, until other handlers are set."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end)


class StopSignals:
    """SIGTERM and SIGINT to a program whose main thread waits for them.

    They are kept from the construction on.  A handler interrupts the main thread anywhere, even
    in a handler, so that it must not take a lock: `threading.Event` has one that isn't reentrant.
    """

    def __init__(self) -> None:
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, _: self._received.put(number))

    def wait(self) -> None:
        """Wait for a signal, and ignore all further ones.

        While Python ends, it resets handlers, so that a late signal would change the exit status.
        """
        is_received = False
        while not is_received:
            # A signal that comes just before the wait doesn't end it.
            with contextlib.suppress(queue.Empty):
                self._received.get(timeout=SIGNAL_WAIT_S)
                is_received = True
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)


def _end(number: int, frame: FrameType | None) -> NoReturn:
    """End the process, which has not begun to serve."""
    os._exit(0)


def exit_with_error(program: str, error: Exception | str, status: ExitStatus) -> NoReturn:
    """Write an error in one line, and exit."""
    write_line(program, str(error))
    sys.exit(status)


def write_line(program: str, text: str) -> None:
    """Write one line to standard error; drop it if that is broken, full or not read."""
    line = f"{program}: {' '.join(text.split())}\n".encode(errors="replace")
    poll = select.poll()
    poll.register(STANDARD_ERROR, select.POLLOUT)
    if any(event & select.POLLOUT for _, event in poll.poll(0)):
        write_all(STANDARD_ERROR, line[:LINE_BYTES])


def open_standard_streams() -> None:
    """Open the null device at standard streams that are closed.

    Otherwise the next sockets get their numbers, and what is printed would be sent to them.
    """
    for number in range(STANDARD_ERROR + 1):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # Gets the lowest number that is free.


def load_when_sound(load: Callable[[], T], *, program: str) -> T:
    """Load settings; while they are missing or not sound, wait and say so.

    The process waits without end: ended, it would be started again with the same settings, and
    it starts sooner after they are repaired.

    Parameters
    ----------
    load : callable
        Reads and checks the settings; raises any exception if they are not sound.
    program : str
        Name of the program, for its messages.
    """
    limit = ReportLimit(changed_s=CHANGED_S)
    while True:
        try:
            return load()
        except Exception as exc:
            problem = describe_problem(exc)
            if limit.is_due(problem):
                write_line(program, f"{problem} Waits until the settings are sound.")
        time.sleep(RETRY_S)


def wait_for_ports(read_addresses: Callable[[], Iterable[Address]], *, program: str) -> None:
    """Wait until ports can be opened.

    Parameters
    ----------
    read_addresses : callable
        Returns the addresses; called before each attempt, since the settings may change.
    program : str
        Name of the program, for its messages.

    Raises
    ------
    OSError
        If one can't be opened until the settings are changed.
    """
    limit = ReportLimit(changed_s=CHANGED_S)
    while (problem := _find_held_port(read_addresses())) is not None:
        if limit.is_due(problem):
            write_line(program, problem)
        time.sleep(RETRY_S)


def _find_held_port(addresses: Iterable[Address]) -> str | None:
    """Return why a port can't be opened yet; None if all can."""
    for address in addresses:
        try:
            open_listener(address).close()
        except OSError as exc:
            if exc.errno not in TRANSIENT_ERRORS:
                raise
            return f"{describe_problem(exc)}. Waits for the address {address}."
    return None


def set_descriptor_limit(wanted: int | None = None) -> None:
    """Set how many descriptors this process may open, within the hard limit of the system.

    Parameters
    ----------
    wanted : int, optional
        Number that the machine allows the process; as many as the hard limit by default, up to
        `MAX_DESCRIPTORS`.  One below `MIN_DESCRIPTORS` counts as not set.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = MAX_DESCRIPTORS if wanted is None or wanted < MIN_DESCRIPTORS else wanted
    if hard != resource.RLIM_INFINITY:
        limit = min(limit, hard)
    # Where the system refuses it, the limit stays as it is.
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))


def open_listener(address: Address, *, backlog: int = 1024) -> socket.socket:
    """Open a listening socket; raises `OSError`."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    return socket.create_server((address.ip, address.port), family=family, backlog=backlog)


def describe_problem(problem: Exception) -> str:
    """Return a short text of an error, and its remedy if it names one."""
    if isinstance(problem, HalldoorError):
        return str(problem)
    if isinstance(problem, OSError):
        is_system = problem.errno in errno.errorcode
        text = os.strerror(problem.errno or 0) if is_system else problem.strerror
        if text:
            return f"{problem.filename}: {text}" if problem.filename else text
    return f"{type(problem).__name__}: {str(problem)[:200]}"


class ReportLimit:
    """Limits how often the same report is written, and how often any is.

    Parameters
    ----------
    changed_s : float, optional
        Shortest time between two different reports, in seconds.
    """

    def __init__(self, *, changed_s: float = 0.0) -> None:
        self._changed_s = changed_s
        self._last: object = None
        self._written_at = float("-inf")

    def is_due(self, report: object) -> bool:
        """Check whether to write a report: it is the first, differs, or `REPORT_S` have passed."""
        now = time.monotonic()
        due_s = REPORT_S if report == self._last else self._changed_s
        if now - self._written_at < due_s:
            return False
        self._last, self._written_at = report, now
        return True
