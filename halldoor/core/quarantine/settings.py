"""Bounds of the quarantine, as operators may set them."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """When a request is blocked, and for how long.

    Attributes
    ----------
    limit : int
        Targets that end under a request before it is blocked.  0: none is ever blocked.
    limit_once_sound : int
        The same for a request that a target has lately answered: targets that end for reasons of
        their own, each under one of its runs, must not block it.
    memory_s : float
        How long an end speaks against a request, in seconds; the longest that the store keeps a
        record without renewal.
    sound_s : float
        How long an answer speaks for a request, in seconds.
    """

    limit: int = 3
    limit_once_sound: int = 6
    memory_s: float = 600.0
    sound_s: float = 60.0
