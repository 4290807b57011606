"""Ways for entries to learn that a target leaves, in virtual time.

A model for measurements, on the runs of `ratefleet`: the target says so in each answer from a
moment on, and its record never does.
"""

from __future__ import annotations

from halldoor.standins.ratefleet import RateWay, Run, list_receivers

LEAVES_S = 4.0
"""When the target begins to say that it leaves, in seconds of a run."""
ANSWER_S = 0.15
"""Time from a request to its answer, in seconds."""
PERIOD_S = 0.25
"""Time between two messages of an entry, in seconds."""
REPEATS = 3
"""Messages in which an entry sends the same."""


class OwnAnswers(RateWay):
    """Each entry learns by an answer of its own."""

    def restart(self, now: float) -> None:
        """Begin with nothing known."""
        self._has_heard = [False] * len(self.run.names)
        self._has_read = [False] * len(self.run.names)

    def take(self, now: float, entry: int) -> bool:
        """Send the request unless the target is known to leave."""
        if self._has_heard[entry] or self._has_read[entry]:
            return False
        if now >= LEAVES_S:
            self.run.at(now + ANSWER_S, self._read, entry)
        return True

    def _read(self, now: float, entry: int) -> None:
        """Read an answer."""
        is_news = not (self._has_heard[entry] or self._has_read[entry])
        self._has_read[entry] = True
        if is_news:
            self.notify(now, entry)

    def notify(self, now: float, entry: int) -> None:
        """Notify others: here nobody."""


class NotifiedEntries(OwnAnswers):
    """An entry that read it notifies others."""

    forwards = False

    def start(self, run: Run) -> None:
        """Begin a run."""
        super().start(run)
        self._receivers = list_receivers(run.names)

    def notify(self, now: float, entry: int) -> None:
        """Send a notice to those that this entry notifies."""
        first = self.run.random.uniform(0.0, PERIOD_S)
        for repeat in range(REPEATS):
            self.run.at(now + first + repeat * PERIOD_S, self._send, entry)

    def _send(self, now: float, entry: int) -> None:
        """Send one message to each of them."""
        for to in self._receivers[entry]:
            self.run.send(now, entry, to, self._hear)

    def _hear(self, now: float, entry: int) -> None:
        """Receive a notice."""
        is_news = not (self._has_heard[entry] or self._has_read[entry])
        self._has_heard[entry] = True
        if is_news and self.forwards:
            self.notify(now, entry)


class ForwardedNotices(NotifiedEntries):
    """An entry passes on what is news to it."""

    forwards = True
