"""Settings of the quarantine, as operators may set them."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Number of crashes that blocks a request, and how long crashes and answers count.

    Attributes
    ----------
    limit : int
        Number of targets that must crash while running a request before it is blocked.
        0: no request is ever blocked.
    limit_once_sound : int
        The same for a request that a target has answered recently.  It is higher, so that targets
        that happen to crash for other reasons while running a harmless request don't block it.
    memory_s : float
        How long a crash counts against a request, in seconds; also the longest time for which the
        store keeps a record that is not renewed.
    sound_s : float
        How long an answer clears a request of crashes that become known later, in seconds.
    """

    limit: int = 3
    limit_once_sound: int = 6
    memory_s: float = 600.0
    sound_s: float = 60.0
