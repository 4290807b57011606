"""Base of the test fleets: several gateways with their targets, which end with the test."""

from __future__ import annotations

import contextlib
from abc import ABC, abstractmethod


class Fleet(ABC):
    """Gateways and targets that are started for a test and stopped after it.

    A subclass sets ``_tasks``, the tasks to cancel at exit, ``_stack``, which holds its gateways
    unless it stops them itself, and ``targets``, a list or a dict of them.
    """

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, **options):
        """Start the fleet, and stop it at exit."""
        fleet = cls(**options)
        try:
            await fleet._start()
            yield fleet
        finally:
            for task in fleet._tasks:
                task.cancel()
            await fleet._stop_gateways()
            targets = fleet.targets
            for target in targets.values() if isinstance(targets, dict) else targets:
                await target.stop()

    @abstractmethod
    async def _start(self):
        """Start the targets and the gateways."""

    async def _stop_gateways(self):
        """Stop the gateways."""
        await self._stack.aclose()
