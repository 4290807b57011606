"""Measures how long the kernel lets this thread wait for a processor.

Entries, targets and callers of a test share a thread.  On a busy machine it waits while it could
run, which no entry causes; bounds on time concern the rest.
"""

from __future__ import annotations

from pathlib import Path

SCHEDULING = Path("/proc/thread-self/schedstat")
"""Times of the thread on a processor and waiting for one, in nanoseconds, and its time slices."""


def read_processor_delay():
    """Return the time this thread has waited for a processor, in seconds; 0 if it is unknown."""
    try:
        return int(SCHEDULING.read_text().split()[1]) / 1e9
    except FileNotFoundError:
        return 0.0
