"""halldoor: global traffic steering for operators.

Operators label services, regions, halls and targets, and write selectors and capped shifts.
Entry processes send each request to a healthy target with free slots.
"""

from __future__ import annotations

from halldoor.core.errors import HalldoorError, Reason, Refusal
from halldoor.core.explaining.decision import Decision, explain
from halldoor.core.settings import AdminSettings, EntrySettings
from halldoor.core.steering.configuration import Configuration
from halldoor.core.steering.selector import Selector

__all__ = [
    "AdminSettings",
    "Configuration",
    "Decision",
    "EntrySettings",
    "HalldoorError",
    "Reason",
    "Refusal",
    "Selector",
    "explain",
]
