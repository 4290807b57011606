"""Keep requests under which targets end from being sent on, together with the other entries."""

from __future__ import annotations

import asyncio
import time

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.quarantine import Audience, BlockChange, Message, Quarantine
from halldoor.core.quarantine.record import EvidenceRecord, from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.quarantine.unanswered import UnansweredRequests
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.target import Target
from halldoor.gateway.attempt import Ending
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.exchange import (
    AnswerLost,
    ConnectFailed,
    Outcome,
    TimedOut,
    WholeAnswer,
)
from halldoor.gateway.feedback import SERVER_ERROR
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.records import encode_evidence, name_trial
from halldoor.gateway.store import LeaseGoneError, MetadataStore, StoreError

LEASE_S = 600.0
"""Lifetime of a record, in seconds: the longest that the store keeps one without renewal."""
LEASE_USE_S = 60.0
"""Time for which records go under one lease, in seconds; a lease is a call of its own."""
RETRY_S = 0.5
"""Pause after a failed call to the store, in seconds."""
RECORD_PAUSE_S = 0.1
"""Pause between two records, in seconds, so that a hall's end does not fill the store's rate."""


class RequestQuarantine:
    """The task that keeps the evidence, and tells and records it.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Who else is there.
    port : DatagramPort
        Messages of other entries.
    store : MetadataStore
        Keeps what all entries must know after all have started again.
    """

    def __init__(
        self,
        own: MemberRecord,
        catalog: Catalog,
        port: DatagramPort,
        store: MetadataStore,
        *,
        settings: QuarantineSettings,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._own = own
        self._catalog = catalog
        self._port = port
        self._store = store
        self._log = log
        self._metrics = metrics
        self._core = Quarantine(
            own.name, settings, self._find_collectors, on_change=self._note_block_change
        )
        self._unanswered = UnansweredRequests()
        self._lease = ""
        self._lease_until = 0.0
        self._lease_era = ""
        self._wake = asyncio.Event()
        port.receive(MessageKind.EVIDENCE, Evidence, self._take_report)
        port.receive(MessageKind.EVIDENCE_FOR_ALL, Evidence, self._take_told_to_all)

    def use(self, settings: QuarantineSettings) -> None:
        """Use other bounds from now on; what was counted stays counted."""
        self._core.settings = settings

    def _find_collectors(self, digest: str) -> list[str]:
        """Name the entries that count for a request."""
        return choose_collectors(digest, self._own.hall, self._catalog.members.values())

    # What callers' requests ask

    async def admit(self, request: Identity) -> Ending | None:
        """Decide whether a request may be sent; give its refusal where it may not.

        A blocked one may run once more after a while, at the one entry that claims that run in the
        store: what ended its targets may have been mended.
        """
        block = self._core.find_block(request, _now())
        if block is None:
            return None
        if block.trial is not None and await self._claim_trial(request.digest, block.trial):
            return None
        self._count("refused")
        # It is known not to be served: its caller is told when it may be, which is no time soon.
        return Ending(
            503, f"{block.ends} targets ended under it", retry_after_s=block.retry_after_s
        )

    def is_blocked(self, request: Identity) -> bool:
        """Check whether a request must not be sent once more."""
        return self._core.find_block(request, _now()) is not None

    async def _claim_trial(self, digest: str, trial: int) -> bool:
        """Claim a run of a blocked request; False where another entry has it, or none may."""
        # Taken whatever the store says: a claim whose answer is lost may hold.
        self._core.note_trial(digest, trial)
        try:
            lease = await self._get_lease()
            is_own = await self._store.claim(name_trial(digest, trial), lease=lease)
        except StoreError as exc:
            self._metrics.add_store_call("claim", "failed")
            self._log.event("quarantine", "Can't claim a trial.", digest=digest, cause=exc.message)
            return False
        self._metrics.add_store_call("claim", "ok" if is_own else "taken")
        if is_own:
            self._count("trial")
            self._log.event("quarantine", "Tries a blocked request.", digest=digest, trial=trial)
        return is_own

    # What becomes of them

    def add_outcome(self, request: Identity, target: Target, outcome: Outcome) -> None:
        """Learn from one attempt whether its target ended under the request."""
        match outcome:
            case WholeAnswer(answer) if answer.status < SERVER_ERROR:
                self.note_answer(request)
            case AnswerLost(is_closed=True):
                self.note_end(request, target)
            case TimedOut():
                self.note_unanswered(request, target)
            case ConnectFailed(is_refused=True):
                # A full target lets connections hang, or resets them; only a dead one refuses.
                self.note_gone(target.name)
            case _:
                return

    def note_answer(self, request: Identity) -> None:
        """Record that a target answered a request soundly."""
        # Most answers change nothing, and must not cost a look at every request under suspicion.
        if self._core.note_answer(request.digest, _now()):
            self._plan()

    def note_end(self, request: Identity, target: Target) -> None:
        """Record that a target ended under a request."""
        if not self._core.note_end(request, _name_start(target), _now()):
            return
        self._count("target ended")
        self._log.event("quarantine", "A target ended.", target=target.name, **request._asdict())
        self._plan()

    def note_unanswered(self, request: Identity, target: Target) -> None:
        """Record that a caller left, or the time ran out, while a target had the request."""
        self._unanswered.add(request, target, _now())

    def note_gone(self, incarnation: str) -> None:
        """Record that a target is gone: it may have ended under what it left unanswered."""
        for request, target, _ in self._unanswered.take(incarnation, _now()):
            self.note_end(request, target)

    # What others know

    def _take_report(self, evidence: Evidence, sender: Address) -> None:
        """Take what an entry tells collectors."""
        self._core.take(evidence, _now())
        self._plan()

    def _take_told_to_all(self, evidence: Evidence, sender: Address) -> None:
        """Take what a collector tells everybody."""
        self._core.take(evidence, _now(), is_for_all=True)
        self._plan()

    def take_record(self, record: EvidenceRecord) -> None:
        """Take what the store holds."""
        self._core.take_record(from_record(record, _read_clock_ms()), _now())
        self._plan()

    def lose_record(self, digest: str) -> None:
        """Record that the store holds it no longer."""
        self._core.lose_record(digest, _now())
        self._plan()

    def note_members(self) -> None:
        """Follow the entries that are there: others may count now."""
        self._core.recheck_collectors(_now())
        self._plan()

    # Telling others

    def _plan(self) -> None:
        """Send what is to be sent at once, and let the task see to the rest."""
        for message in self._core.take_messages(_now()):
            self._send(message)
        if self._core.find_due() is not None:
            self._wake.set()

    async def run(self) -> None:
        """Tell again and record what is due; wait while nothing is."""
        while True:
            due_at = self._core.find_due()
            if due_at is None or due_at > _now():
                await self._wait_until(due_at)
                continue
            self._plan()
            evidence = self._core.take_record_due(_now())
            if evidence is not None:
                await self._record(evidence)
                await asyncio.sleep(RECORD_PAUSE_S)

    async def _wait_until(self, due_at: float | None) -> None:
        """Wait until something is due, or may be due earlier."""
        self._wake.clear()
        try:
            async with asyncio.timeout_at(due_at):
                await self._wake.wait()
        except TimeoutError:
            return  # It is due now.

    def _send(self, message: Message) -> None:
        """Send evidence to other entries."""
        members = self._catalog.members
        if isinstance(message.to, Audience):
            kind = MessageKind.EVIDENCE_FOR_ALL
            others = [m for m in members.values() if m.name != self._own.name]
            if message.to is Audience.HALL:
                others = [m for m in others if m.hall == self._own.hall]
        else:
            kind = MessageKind.EVIDENCE
            others = [members[name] for name in message.to if name in members]
        self._port.send(kind, message.evidence, *(member.relay for member in others))

    async def _record(self, evidence: Evidence) -> None:
        """Record evidence, so that entries that start later know."""
        item = encode_evidence(to_record(evidence, _read_clock_ms()))
        try:
            lease = await self._get_lease()
            await self._store.write(item.key, item.value or b"", lease=lease)
        except StoreError as exc:
            if isinstance(exc, LeaseGoneError):
                self._lease = ""
            self._metrics.add_store_call("record", "failed")
            self._log.event(
                "quarantine", "Can't record.", digest=evidence.digest, cause=exc.message
            )
            self._core.retry_record(evidence.digest, _now() + RETRY_S)
            return
        self._metrics.add_store_call("record", "ok")
        self._core.note_recorded(evidence)

    async def _get_lease(self) -> str:
        """Return a lease for records; a new one each minute at most."""
        is_of_old = self._lease_era != self._store.era
        if not self._lease or is_of_old or _now() >= self._lease_until:
            lease = await self._store.create_lease(LEASE_S)
            self._metrics.add_store_call("lease", "created")
            self._lease, self._lease_until = lease.name, _now() + LEASE_USE_S
            self._lease_era = self._store.era
        return self._lease

    # Sight

    def get_figures(self) -> dict[str, float]:
        """Return the figures of the moment."""
        self._core.forget_old(_now())
        return {"suspects": self._core.count_suspects(), "blocked": self._core.count_blocked()}

    def _count(self, what: str) -> None:
        """Count an event."""
        self._metrics.add_quarantine(what)

    def _note_block_change(self, change: BlockChange) -> None:
        """Log that a request is blocked now, or no longer is."""
        self._count("blocked" if change.is_blocked else "lifted")
        evidence = change.evidence
        self._log.event(
            "quarantine",
            "Blocks a request." if change.is_blocked else "Lifts a block.",
            digest=evidence.digest,
            ended_ms_ago={end.target: round(end.age_s * 1000) for end in evidence.ends},
            callers=len({end.caller for end in evidence.ends}),
            cleared=evidence.cleared,
            was_sound=evidence.was_sound,
        )


def _name_start(target: Target) -> str:
    """Name one start of a target, which may start again under its name."""
    return f"{target.name}/{target.record.started_ms}"


def _now() -> float:
    """Return the time of the loop's clock."""
    return asyncio.get_running_loop().time()


def _read_clock_ms() -> int:
    """Read the time of day, in Unix milliseconds."""
    return round(time.time() * 1000)
