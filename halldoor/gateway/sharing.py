"""Shares observations of targets with other entries of the hall."""

from __future__ import annotations

import asyncio

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.observation import Observation, SharingSettings, choose_peers
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.feedback import TargetFeedback


class ObservationSharing:
    """Task that sends observations to peers, and applies theirs.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Lists the other entries.
    feedback : TargetFeedback
        Creates this entry's observations, and applies those of others.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        feedback: TargetFeedback,
        port: DatagramPort,
        *,
        settings: SharingSettings,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._feedback = feedback
        self._port = port
        self._settings = settings
        self._peers: list[Address | None] = []
        self._members_version = -1
        self._pending: list[Observation] = []
        if settings.peers:
            feedback.on_observation = self.add
            port.register_receiver(MessageKind.OBSERVATIONS, list[Observation], self._receive)

    def add(self, observation: Observation) -> None:
        """Queue an observation for the next message; drop it where the message is full."""
        if len(self._pending) < self._settings.most:
            self._pending.append(observation)

    def reset(self) -> None:
        """Drop the queued observations, and choose the peers again."""
        self._pending = []
        self._members_version = -1

    async def run(self) -> None:
        """Send the queued observations to the peers once in each period, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.period_s)
            observations, self._pending = self._pending, []
            if observations:
                self._port.send(MessageKind.OBSERVATIONS, observations, *self._get_peers())

    def _get_peers(self) -> list[Address | None]:
        """Return the peers' addresses, updated when entries come or go."""
        if self._members_version != self._catalog.members_version:
            self._members_version = self._catalog.members_version
            members = self._catalog.members.values()
            peers = choose_peers(members, self._own, self._settings)
            self._peers = [peer.relay for peer in peers]
        return self._peers

    def _receive(self, observations: list[Observation], sender: Address) -> None:
        """Apply the observations of another entry."""
        now = asyncio.get_running_loop().time()
        for observation in observations:
            self._feedback.add_observation(observation, now)
