"""Admission of callers' requests by the current configuration, and the answers to refused ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.split import Splitter
from halldoor.core.teams.admission import (
    AccessSettings,
    AccessTable,
    AdmittedRequest,
    ConfigurationAge,
    Refusal,
    RefusalReason,
)
from halldoor.core.teams.gate import QuotaGate
from halldoor.gateway.attempt import build_gateway_answer
from halldoor.gateway.caller import Answer, Head
from halldoor.gateway.headers import HeaderNames, find
from halldoor.gateway.retryafter import RETRY_AFTER_S, randomize_retry_after
from halldoor.gateway.sizes import skip_confirmation


class CallerAccess:
    """Admission check of requests against routes, teams and quotas.

    Parameters
    ----------
    catalog : Catalog
        Provides the current configuration and the number of entries that share the quotas.
    gate : QuotaGate
        This entry's share of the quotas.
    splitter : Splitter
        Notified when the set of routes changes.
    is_confirming : callable
        Returns whether the process was suspended and has not reached the store since.

    Attributes
    ----------
    confirm : callable
        Called to confirm the configuration where a refusal depends on its age.
    wait_for_confirmation : callable
        As `confirm`; waits for the answer for a short time.
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
        self.confirm: Callable[[], None] = lambda: None
        self.wait_for_confirmation: Callable[[], Awaitable[None]] = skip_confirmation
        self._table: AccessTable | None = None

    @property
    def has_teams(self) -> bool:
        """Check whether the configuration has teams, so that callers need keys."""
        table = self.find_table()
        return table is not None and table.has_teams

    @property
    def is_strict(self) -> bool:
        """Check whether callers' keys are refused where the configuration may be old."""
        return self.settings.is_strict and self.has_teams

    def find_table(self) -> AccessTable | None:
        """Return the current routes and teams; None before a configuration was received."""
        routing = self._catalog.routing
        if routing is None:
            return None
        if self._table is None or self._table.routing is not routing:
            self._table = AccessTable(routing)
            self._splitter.forget_except(routing.routes)
            self.gate.set_limits(self._table.teams.get_limits())
        return self._table

    def may_be_outdated(self) -> bool:
        """Check whether operators may have allowed since what this entry would refuse."""
        return self._is_unsettled() or self._is_stale()

    async def confirm_limits(self) -> None:
        """Confirm the limits that a request exceeds; wait for a short time where they may be old.

        Before the first configuration, and after a suspension, all records are read in any case.
        """
        if self._is_unsettled():
            return
        if self._is_stale():
            await self.wait_for_confirmation()
        else:
            self.confirm()

    def _is_unsettled(self) -> bool:
        """Check whether no configuration was read yet, or since a suspension."""
        return self._catalog.routing is None or self._is_confirming()

    def _is_stale(self) -> bool:
        """Check whether the configuration may be old."""
        now = asyncio.get_running_loop().time()
        return self.find_age(now).is_stale(self.settings.stale_s)

    def find_age(self, now: float) -> ConfigurationAge:
        """Return the age of the configuration in force."""
        proof = self._catalog.proof
        is_behind = proof.is_behind or self._catalog.has_rejected_routing
        return ConfigurationAge(now - proof.proven_at, is_behind)

    def is_repeatable(self, head: Head) -> bool:
        """Check whether a request belongs to a route whose requests may run more than once."""
        table = self.find_table()
        host = find(head.headers, b"host").decode("latin-1")
        return table is not None and table.is_repeatable(host, head.target.decode("latin-1"))

    def admit(self, head: Head, now: float) -> AdmittedRequest | Refusal:
        """Admit a request by its head: return its route and team, or the refusal."""
        if self._is_confirming():
            # The request may have waited unread during the suspension; its caller may have left.
            return Refusal(RefusalReason.STOOD_STILL)
        if head.method == b"CONNECT":
            # A target's success would be the beginning of a tunnel.
            return Refusal(RefusalReason.NO_TUNNEL)
        table = self.find_table()
        if table is None:
            return Refusal(RefusalReason.NO_CONFIGURATION)
        return table.admit_request(
            find(head.headers, b"host").decode("latin-1"),
            head.target.decode("latin-1"),
            find(head.headers, self._names.credentials),
            gate=self.gate,
            now=now,
            age=self.find_age(now),
            entries=self._catalog.count_sharers(now),
            settings=self.settings,
        )

    def build_answer(self, refusal: Refusal) -> Answer:
        """Build the answer to a refused request, with the quota's retry time if it has one."""
        after_s = RETRY_AFTER_S
        if refusal.quota is not None:
            after_s = refusal.quota.retry_after_s
        return build_gateway_answer(
            refusal.status,
            refusal.reason.value,
            retry_after_s=randomize_retry_after(after_s, self._random),
        )
