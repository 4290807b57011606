"""Block requests that crash targets, sharing the evidence with the other entries and the store.

Without it a request that crashes each target would be retried until no target is left.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection

from halldoor.core.quarantine.collectors import choose_collectors
from halldoor.core.quarantine.evidence import Evidence
from halldoor.core.quarantine.identity import Identity
from halldoor.core.quarantine.message import Audience, Message
from halldoor.core.quarantine.quarantine import BlockChange, Quarantine
from halldoor.core.quarantine.record import EvidenceRecord, from_record, to_record
from halldoor.core.quarantine.settings import QuarantineSettings
from halldoor.core.quarantine.unanswered import UnansweredRequests
from halldoor.core.settings import Address
from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import MemberRecord
from halldoor.core.targets.target import Target
from halldoor.gateway.attempt import RequestResult
from halldoor.gateway.datagrams import DatagramPort, MessageKind
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.outcomes import (
    SERVER_ERROR,
    AnswerLost,
    ConnectFailed,
    Outcome,
    TimedOut,
    WholeAnswer,
)
from halldoor.gateway.records import build_trial_key, encode_evidence
from halldoor.gateway.store import LeaseGoneError, MetadataStore, StoreError

LEASE_S = 600.0
"""Lifetime of a stored record, in seconds: the longest that the store keeps one without renewal."""
LEASE_REUSE_S = 60.0
"""Time for which new records share one lease, in seconds, since creating one costs a call."""
RETRY_S = 0.5
"""Pause after a failed call to the store, in seconds."""
RECORD_PAUSE_S = 0.1
"""Pause between two writes, in seconds, so that the failure of a hall doesn't use up the store's
request rate."""


class RequestQuarantine:
    """Task that collects evidence on crashes, sends it to other entries and stores it.

    Parameters
    ----------
    own : MemberRecord
        This entry.
    catalog : Catalog
        Provides the other entries.
    port : DatagramPort
        Sends and receives messages between entries.
    store : MetadataStore
        Keeps the evidence when all entries restart.

    Attributes
    ----------
    on_sound_blocked : callable
        Called with the digest of each request that becomes blocked although a target has answered
        it recently.
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
            own.name, settings, self._find_collectors, on_change=self._report_block_change
        )
        self._unanswered = UnansweredRequests()
        self.on_sound_blocked: Callable[[str], None] = lambda digest: None
        self._lease = ""
        self._lease_until = 0.0
        self._lease_era = ""
        self._due_changed = asyncio.Event()
        port.register_receiver(MessageKind.EVIDENCE, Evidence, self._receive_collector_evidence)
        port.register_receiver(
            MessageKind.EVIDENCE_FOR_ALL, Evidence, self._receive_broadcast_evidence
        )

    def apply_settings(self, settings: QuarantineSettings) -> None:
        """Apply changed settings and keep the evidence."""
        self._core.settings = settings

    def _find_collectors(self, digest: str) -> list[str]:
        """Return the names of the entries that collect the evidence on a request."""
        return choose_collectors(digest, self._own.hall, self._catalog.members.values())

    async def admit(self, request: Identity) -> RequestResult | None:
        """Return the refusal of a blocked request; None if the request may be sent.

        A blocked request gets a trial run from time to time, at the one entry that claims it in
        the store, since the fault that crashed the targets may have been fixed.
        """
        block = self._core.find_block(request, _now())
        if block is None:
            return None
        if block.trial is not None and await self._claim_trial(request.digest, block.trial):
            return None
        self._count_event("refused")
        # The caller gets the time of the next trial, since retries before it are refused.
        return RequestResult(
            503, f"{block.ends} targets ended under it", retry_after_s=block.retry_after_s
        )

    def is_blocked(self, request: Identity) -> bool:
        """Check whether a request is blocked, so that it must not be retried."""
        return self._core.find_block(request, _now()) is not None

    async def _claim_trial(self, digest: str, trial: int) -> bool:
        """Claim a trial run in the store; return False if another entry has it or on failure."""
        # Recorded even if the call fails: a claim whose answer was lost may be valid.
        self._core.record_trial(digest, trial)
        try:
            lease = await self._get_lease()
            is_own = await self._store.claim(build_trial_key(digest, trial), lease=lease)
        except StoreError as exc:
            self._metrics.add_store_call("claim", "failed")
            self._log.event(
                "quarantine",
                "The store call to claim a trial failed.",
                digest=digest,
                cause=exc.message,
            )
            return False
        self._metrics.add_store_call("claim", "ok" if is_own else "taken")
        if is_own:
            self._count_event("trial")
            self._log.event(
                "quarantine", "Sends a blocked request as a trial.", digest=digest, trial=trial
            )
        return is_own

    def add_outcome(self, request: Identity, target: Target, outcome: Outcome) -> None:
        """Record whether one attempt crashed its target, was answered or stayed unanswered."""
        match outcome:
            case WholeAnswer(answer) if answer.status < SERVER_ERROR:
                self.record_successful_answer(request)
            case AnswerLost(is_closed=True):
                self.record_crash(request, target)
            case TimedOut():
                self.record_unanswered(request, target)
            case ConnectFailed(is_refused=True):
                # A full target ignores or resets connections; only a crashed one refuses them.
                self.record_target_removed(target.name)
            case _:
                return

    def record_successful_answer(self, request: Identity) -> None:
        """Record that a target answered a request successfully."""
        # Most answers change nothing and must not cost a scan of all suspected requests.
        if self._core.record_answer(request.digest, _now()):
            self._send_due_messages()

    def record_crash(self, request: Identity, target: Target) -> None:
        """Record that a target crashed while it ran a request."""
        if not self._core.record_crash(request, _build_start_id(target), _now()):
            return
        self._count_event("target ended")
        self._log.event(
            "quarantine",
            "A target crashed while running a request.",
            target=target.name,
            **request._asdict(),
        )
        self._send_due_messages()

    def record_unanswered(self, request: Identity, target: Target) -> None:
        """Record that the caller disconnected or time ran out while a target had the request."""
        self._unanswered.add(request, target, _now())

    def record_target_removed(self, incarnation: str) -> None:
        """Record that a target was removed: its unanswered requests may have crashed it."""
        for request, target, _ in self._unanswered.pop_crashed(incarnation, _now()):
            self.record_crash(request, target)

    def list_blamed_since(self, at: float) -> list[Target]:
        """List the known targets whose crashes since a time any request is blamed for."""
        blamed = self._core.list_blamed_since(at)
        return [t for t in self._catalog.list_targets() if _build_start_id(t) in blamed]

    def list_blamed_for(self, digest: str) -> list[Target]:
        """List the known targets whose crashes block a request."""
        blamed = self._core.list_blamed_for(digest)
        return [t for t in self._catalog.list_targets() if _build_start_id(t) in blamed]

    def refute_crashes(self, running: Collection[Target]) -> None:
        """Clear all requests of the crashes of targets that were found running."""
        requests = self._core.refute_crashes({_build_start_id(t) for t in running}, _now())
        self._count_event("refuted")
        self._log.event(
            "quarantine",
            "Targets that were blamed on requests are running.",
            targets=sorted(target.name for target in running),
            requests=requests,
        )
        self._send_due_messages()

    def _receive_collector_evidence(self, evidence: Evidence, sender: Address) -> None:
        """Apply evidence that an entry sent to this entry as a collector."""
        self._core.merge_evidence(evidence, _now())
        self._send_due_messages()

    def _receive_broadcast_evidence(self, evidence: Evidence, sender: Address) -> None:
        """Apply evidence that a collector broadcast to all entries."""
        self._core.merge_evidence(evidence, _now(), is_broadcast=True)
        self._send_due_messages()

    def apply_stored_record(self, record: EvidenceRecord) -> None:
        """Apply evidence read from the store.

        The task sends what follows from it, once for all records of an update.
        """
        self._core.merge_record(from_record(record, _read_clock_ms()), _now())
        self._due_changed.set()

    def remove_stored_record(self, digest: str) -> None:
        """Record that the store no longer holds the evidence on a request."""
        self._core.handle_removed_record(digest, _now())
        self._due_changed.set()

    def update_collectors(self) -> None:
        """Recompute the collectors of each request after the set of entries changed."""
        self._core.notify_new_collectors(_now())
        self._send_due_messages()

    def _send_due_messages(self) -> None:
        """Send the messages that are due now, and wake the task for later ones."""
        for message in self._core.pop_messages(_now()):
            self._send(message)
        if self._core.find_due() is not None:
            self._due_changed.set()

    def reset(self) -> None:
        """Create another lease for records; the evidence is kept, since it blocks requests."""
        self._lease = ""

    async def run(self) -> None:
        """Repeat messages and store evidence when they are due, until cancelled."""
        while True:
            due_at = self._core.find_due()
            if due_at is None or due_at > _now():
                await self._wait_until(due_at)
                continue
            self._send_due_messages()
            evidence = self._core.pop_due_record(_now())
            if evidence is not None:
                await self._store_evidence(evidence)
                await asyncio.sleep(RECORD_PAUSE_S)

    async def _wait_until(self, due_at: float | None) -> None:
        """Wait until the due time, or until `_send_due_messages` may have set an earlier one."""
        self._due_changed.clear()
        try:
            async with asyncio.timeout_at(due_at):
                await self._due_changed.wait()
        except TimeoutError:
            return  # The due time has come.

    def _send(self, message: Message) -> None:
        """Send evidence to the entries that the message is addressed to."""
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

    async def _store_evidence(self, evidence: Evidence) -> None:
        """Write evidence to the store, for entries that start later; retry later on failure."""
        item = encode_evidence(to_record(evidence, _read_clock_ms()))
        try:
            lease = await self._get_lease()
            await self._store.write(item.key, item.value or b"", lease=lease)
        except StoreError as exc:
            if isinstance(exc, LeaseGoneError):
                self._lease = ""
            self._metrics.add_store_call("record", "failed")
            self._log.event(
                "quarantine",
                "Writing evidence to the store failed.",
                digest=evidence.digest,
                cause=exc.message,
            )
            self._core.retry_record(evidence.digest, _now() + RETRY_S)
            return
        except Exception:
            self._core.retry_record(evidence.digest, _now() + RETRY_S)
            raise
        self._metrics.add_store_call("record", "ok")
        self._core.confirm_record(evidence)

    async def _get_lease(self) -> str:
        """Return a lease for records; create a new one every `LEASE_REUSE_S` at most."""
        is_other_era = self._lease_era != self._store.era
        if not self._lease or is_other_era or _now() >= self._lease_until:
            lease = await self._store.create_lease(LEASE_S)
            self._metrics.add_store_call("lease", "created")
            self._lease, self._lease_until = lease.name, _now() + LEASE_REUSE_S
            self._lease_era = self._store.era
        return self._lease

    def get_figures(self) -> dict[str, float]:
        """Return the current numbers of suspected and blocked requests, for the metrics."""
        self._core.remove_expired(_now())
        return {"suspects": self._core.count_suspects(), "blocked": self._core.count_blocked()}

    def _count_event(self, what: str) -> None:
        """Count a quarantine event in the metrics."""
        self._metrics.add_quarantine(what)

    def _report_block_change(self, change: BlockChange) -> None:
        """Log and count that a request was blocked or unblocked."""
        self._count_event("blocked" if change.is_blocked else "lifted")
        evidence = change.evidence
        self._log.event(
            "quarantine",
            "Blocked a request." if change.is_blocked else "Unblocked a request.",
            digest=evidence.digest,
            ended_ms_ago={end.target: round(end.age_s * 1000) for end in evidence.ends},
            callers=len({end.caller for end in evidence.ends}),
            cleared=evidence.cleared,
            was_sound=evidence.was_sound,
        )
        if change.is_blocked and evidence.was_sound:
            self.on_sound_blocked(evidence.digest)


def _build_start_id(target: Target) -> str:
    """Return an id of one start of a target, since a target may restart under the same name."""
    return f"{target.name}/{target.record.started_ms}"


def _now() -> float:
    """Return the time of the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()


def _read_clock_ms() -> int:
    """Read the time of day, in Unix milliseconds."""
    return round(time.time() * 1000)
