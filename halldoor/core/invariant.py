"""Invariants that are checked at run time.

A violation is counted and logged in production, and raises an error in tests
(``Invariants.strict``).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from halldoor.core.errors import InvariantError


class Invariants:
    """Checker that counts violated invariants by name.

    Parameters
    ----------
    strict : bool
        Whether to raise an error on a violation.
    on_violation : callable, optional
        Called with the invariant's name and a detail, to log the violation.
    """

    def __init__(
        self, *, strict: bool = False, on_violation: Callable[[str, str], None] | None = None
    ) -> None:
        self.strict = strict
        self.violations: Counter[str] = Counter()
        self._on_violation = on_violation

    def check(self, holds: bool, name: str, detail: str = "") -> bool:
        """Record a violation of an invariant unless ``holds``.

        Returns
        -------
        bool
            ``holds`` itself, so that the caller can act on it.

        Raises
        ------
        InvariantError
            If the invariant is violated, in strict mode.
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
