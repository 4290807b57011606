"""Let callers' requests in by the configuration in force, and tell callers why not."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.split import Splitter
from halldoor.core.teams.admission import (
    AccessSettings,
    AccessTable,
    Entrance,
    Refusal,
    RefusalReason,
)
from halldoor.core.teams.gate import QuotaGate
from halldoor.gateway.attempt import RETRY_AFTER_S, build_own_answer, spread
from halldoor.gateway.caller import Answer, Head
from halldoor.gateway.headers import HeaderNames, find


class CallerAccess:
    """Decide which requests are let in.

    Parameters
    ----------
    catalog : Catalog
        The configuration in force, and how many entries share the quotas.
    gate : QuotaGate
        This entry's part of the quotas.
    splitter : Splitter
        Told which routes there are.
    is_confirming : callable
        Tells whether the process stood still and has not asked the store since.
    """

    def __init__(
        self,
        catalog: Catalog,
        gate: QuotaGate,
        splitter: Splitter,
        *,
        names: HeaderNames,
        settings: AccessSettings,
        is_confirming: Callable[[], bool],
    ) -> None:
        self._catalog = catalog
        self.gate = gate
        self._splitter = splitter
        self._names = names
        self.settings = settings
        self._random = Random()
        self._is_confirming = is_confirming
        self._table: AccessTable | None = None

    @property
    def has_teams(self) -> bool:
        """Check whether callers need keys."""
        table = self.find_table()
        return table is not None and table.has_teams

    def find_table(self) -> AccessTable | None:
        """Return the routes and teams in force; None where no configuration is known."""
        routing = self._catalog.routing
        if routing is None:
            return None
        if self._table is None or self._table.routing is not routing:
            self._table = AccessTable(routing)
            self._splitter.forget_except(routing.routes)
            self.gate.use(self._table.teams.get_limits())
        return self._table

    def enter(self, head: Head, now: float) -> Entrance | Refusal:
        """Decide about a request by its head."""
        if self._is_confirming():
            # Nobody knows how long it lay unread: its caller may have given up long ago.
            return Refusal(RefusalReason.STOOD_STILL)
        table = self.find_table()
        if table is None:
            return Refusal(RefusalReason.NO_CONFIGURATION)
        return table.enter(
            find(head.headers, b"host").decode("latin-1"),
            head.target.decode("latin-1"),
            find(head.headers, self._names.credentials),
            gate=self.gate,
            now=now,
            age_s=now - self._catalog.fresh_at,
            entries=self._catalog.count_sharers(now),
            settings=self.settings,
        )

    def build_answer(self, refusal: Refusal) -> Answer:
        """Build the answer to a refused request; one over its quota says when to come back."""
        after_s = RETRY_AFTER_S
        if refusal.quota is not None:
            after_s = refusal.quota.retry_after_s
        return build_own_answer(
            refusal.status,
            refusal.reason.value,
            retry_after_s=spread(after_s, self._random),
        )
