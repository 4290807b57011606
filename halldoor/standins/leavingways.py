"""Strategies by which entries find out that a target is leaving.

For measurements in virtual time, on the runs of `ratefleet`: from `LEAVES_S` on the target states
in each answer that it is leaving, and its record in the store never changes.
"""

from __future__ import annotations

from halldoor.standins.ratefleet import RateStrategy, Run, list_receivers

LEAVES_S = 4.0
"""Time from which the target states that it is leaving, in seconds from the start of a run."""
ANSWER_S = 0.15
"""Time from a request to its answer, in seconds."""
PERIOD_S = 0.25
"""Time between two messages of an entry, in seconds."""
REPEATS = 3
"""Number of messages in which an entry repeats a notice."""


class OwnAnswers(RateStrategy):
    """Each entry relies on the answers to its own requests."""

    def restart(self, now: float) -> None:
        """Reset the state of all entries."""
        self._is_notified = [False] * len(self.run.names)
        self._has_seen_answer = [False] * len(self.run.names)

    def admit(self, now: float, entry: int) -> bool:
        """Send a request unless the entry knows that the target is leaving."""
        if self._is_notified[entry] or self._has_seen_answer[entry]:
            return False
        if now >= LEAVES_S:
            self.run.schedule(now + ANSWER_S, self._receive_answer, entry)
        return True

    def _receive_answer(self, now: float, entry: int) -> None:
        """Receive an answer which states that the target is leaving."""
        is_new = not (self._is_notified[entry] or self._has_seen_answer[entry])
        self._has_seen_answer[entry] = True
        if is_new:
            self.notify(now, entry)

    def notify(self, now: float, entry: int) -> None:
        """Notify other entries; this strategy notifies none."""


class NotifiedEntries(OwnAnswers):
    """An entry whose request was answered by the leaving target notifies its receivers."""

    forwards = False

    def start(self, run: Run) -> None:
        """Initialize the strategy's state, and choose the receivers of each entry."""
        super().start(run)
        self._receivers = list_receivers(run.names)

    def notify(self, now: float, entry: int) -> None:
        """Schedule the notice and its repeats to the entry's receivers."""
        first = self.run.random.uniform(0.0, PERIOD_S)
        for repeat in range(REPEATS):
            self.run.schedule(now + first + repeat * PERIOD_S, self._send_notices, entry)

    def _send_notices(self, now: float, entry: int) -> None:
        """Send one notice to each receiver."""
        for to in self._receivers[entry]:
            self.run.send(now, entry, to, self._receive_notice)

    def _receive_notice(self, now: float, entry: int) -> None:
        """Receive a notice, and forward it if it is new and forwarding is on."""
        is_new = not (self._is_notified[entry] or self._has_seen_answer[entry])
        self._is_notified[entry] = True
        if is_new and self.forwards:
            self.notify(now, entry)


class ForwardedNotices(NotifiedEntries):
    """An entry also forwards each notice that is new to it."""

    forwards = True
