"""Assertions of what must always hold.

A broken one is counted and logged in production and raised under test
(``Invariants.strict``).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from halldoor.core.errors import InvariantError


class Invariants:
    """Count broken promises by name.

    Parameters
    ----------
    strict : bool
        Raise on the first broken promise.
    on_violation : callable, optional
        Called with the name and the detail, for the log.
    """

    def __init__(
        self, *, strict: bool = False, on_violation: Callable[[str, str], None] | None = None
    ) -> None:
        self.strict = strict
        self.violations: Counter[str] = Counter()
        self._on_violation = on_violation

    def check(self, holds: bool, name: str, detail: str = "") -> bool:
        """Record a violation unless ``holds``.

        Returns
        -------
        bool
            ``holds`` itself, so that the caller can act on it.

        Raises
        ------
        InvariantError
            In strict mode.
        """
        if holds:
            return True
        self.violations[name] += 1
        if self._on_violation is not None:
            self._on_violation(name, detail)
        if self.strict:
            raise InvariantError(
                f"Invariant {name} broken: {detail}.", remedy="Report it with the log lines above."
            )
        return False
