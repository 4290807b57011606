"""Share with the entries of the hall what this one learns of targets."""

from __future__ import annotations

import asyncio

from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.observation import Observation, SharingSettings, choose_peers
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.feedback import TargetFeedback


class ObservationSharing:
    """The task that tells others, and takes what they tell.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
    feedback : TargetFeedback
        Learns from observations, and makes them.
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
        self._waiting: list[Observation] = []
        if settings.peers:
            feedback.on_observation = self.add
            port.receive(MessageKind.OBSERVATIONS, list[Observation], self._take)

    def add(self, observation: Observation) -> None:
        """Keep an observation for the next message; what is too much for it is dropped."""
        if len(self._waiting) < self._settings.most:
            self._waiting.append(observation)

    async def run(self) -> None:
        """Tell the peers, in each period in which there is something to tell."""
        while True:
            await asyncio.sleep(self._settings.period_s)
            observations, self._waiting = self._waiting, []
            if observations:
                self._port.send(MessageKind.OBSERVATIONS, observations, *self._get_peers())

    def _get_peers(self) -> list[Address | None]:
        """Return the addresses of the peers."""
        if self._members_version != self._catalog.members_version:
            self._members_version = self._catalog.members_version
            members = self._catalog.members.values()
            peers = choose_peers(members, self._own, self._settings)
            self._peers = [peer.relay for peer in peers]
        return self._peers

    def _take(self, observations: list[Observation], sender: Address) -> None:
        """Learn from what another entry saw."""
        now = asyncio.get_running_loop().time()
        for observation in observations:
            self._feedback.add_observation(observation, now)
