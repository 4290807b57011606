"""The entry process: creates its components, connects them, starts and stops them."""

from __future__ import annotations

import random
import secrets
import time
from typing import Any

import cherrypy
import structlog
from cherrypy.process.servers import ServerAdapter

from halldoor.core.errors import PeerError
from halldoor.core.explaining.decision import Decision, DecisionError, DecisionLog, decode_decision
from halldoor.core.hall.membership import Member, Membership
from halldoor.core.hall.policy import Policy
from halldoor.core.invariant import Invariants
from halldoor.core.orders.claim import Claim
from halldoor.core.orders.ticket import Ledger
from halldoor.core.settings import EntrySettings
from halldoor.core.steering.configuration import EntryHost
from halldoor.core.steering.snapshot import Snapshot
from halldoor.entry.activity import RunningRequests
from halldoor.entry.cancel import CallerWatcher
from halldoor.entry.claims import ClaimTask
from halldoor.entry.configuration import ConfigurationTask
from halldoor.entry.dispatch import Dispatcher
from halldoor.entry.gossip import GossipTask, HeartbeatRequest, find_entry
from halldoor.entry.hall import AdmissionController
from halldoor.entry.loans import LoanTask
from halldoor.entry.local import LocalHall
from halldoor.entry.lookups import LookupTable
from halldoor.entry.metrics import Metrics, read_gauges
from halldoor.entry.orders import Orders
from halldoor.entry.probe import ProbeTask
from halldoor.entry.remote import RequestForwarder
from halldoor.entry.sessions import Session, SessionComponents
from halldoor.entry.targets import TargetClient
from halldoor.entry.web import WebApp, WebComponents
from halldoor.keyvalue.base import Platform
from halldoor.keyvalue.client import HttpPlatform
from halldoor.server import HttpServer
from halldoor.threads import failures
from halldoor.wire.client import PeerPool
from halldoor.wire.protocol import traffic
from halldoor.wire.server import WireServer

log = structlog.get_logger(part="entry")

STOP_LIMIT_S = 60.0
"""Most seconds that a stopping entry waits for its last request."""
IDLE_BEFORE_EXIT_S = 0.5
"""Seconds without any running request after which a stopping entry exits."""


class EntryProcess:
    """The ``halldoor-entry`` process: its components, and how they start and stop.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    platform : Platform
        The key-value service.
    unread_settings : int, optional
        Number of settings that can't be read and have their defaults.
    """

    def __init__(
        self, settings: EntrySettings, platform: Platform, *, unread_settings: int = 0
    ) -> None:
        self.settings = settings
        self._unread_settings = unread_settings
        self.incarnation = secrets.token_hex(8)
        self.invariants = Invariants(strict=settings.strict_invariants, on_violation=_log_violation)
        self.snapshot: Snapshot | None = None
        self._lookups: LookupTable | None = None
        self._is_leaving = False
        self._is_stopping = False
        self.peers = PeerPool(source_ip=settings.source_ip)
        self.watcher = CallerWatcher()
        self.activity = RunningRequests()
        self.decisions = DecisionLog()
        self.metrics = Metrics()
        self._build_control(platform)
        self._build_requests(platform)
        self._connect_components()

    @classmethod
    def from_config(cls, settings: EntrySettings, *, unread_settings: int = 0) -> EntryProcess:
        """Build the process from its settings."""
        platform = HttpPlatform(settings.platform, source_ip=settings.source_ip)
        return cls(settings, platform, unread_settings=unread_settings)

    def _build_control(self, platform: Platform) -> None:
        """Create membership, configuration, loans, admission and probes."""
        s = self.settings
        generation = int(time.time() * 1000)
        me = Member(s.name, s.hall, self.incarnation, generation, 0, 0, 0, False)
        self.gossip = GossipTask(
            Membership(me), peers=self.peers, seeds=s.peers, period_s=s.gossip_period_s
        )
        self.configuration = ConfigurationTask(
            s.name,
            s.hall,
            platform=platform,
            peers=self.peers,
            gossip=self.gossip,
            invariants=self.invariants,
            on_snapshot=self._adopt,
            rotate_relays=s.rotate_relays,
        )
        self.loans = LoanTask(
            s.name,
            peers=self.peers,
            list_lenders=self.gossip.list_alive,
            find_entry=self.find_entry,
        )
        self.controller = AdmissionController(
            s.name,
            policy=Policy.from_name(s.policy, random.Random(self.incarnation)),
            invariants=self.invariants,
            borrow=self.loans.borrow,
            give_back=self.loans.give_back,
            rest_at_start=s.rest_at_start,
        )
        self.probe = ProbeTask(
            s.name,
            self.controller,
            platform=platform,
            list_alive=self.gossip.list_alive,
            is_relay=self.configuration.is_relay,
            period_s=s.probe_period_s,
        )

    def _build_requests(self, platform: Platform) -> None:
        """Create the components that serve requests: dispatch, claims and orders."""
        s = self.settings
        self.targets = TargetClient()
        self.local = LocalHall(self.controller, self.targets, queue_s=s.queue_s)
        remote = RequestForwarder(self.peers)
        self.dispatcher = Dispatcher(
            s.name,
            local=self.local,
            remote=remote,
            invariants=self.invariants,
            is_avoided=self.gossip.is_avoided,
        )
        self.claims = ClaimTask(platform, Claim(s.name, self.incarnation))
        self.orders = Orders(
            Ledger(
                s.name,
                self.incarnation,
                secrets.token_bytes(32),
                lifetime_s=s.ticket_lifetime_s,
            ),
            claims=self.claims,
            serve=self.dispatcher.serve,
            remote=remote,
            peers=self.peers,
            find_entry=self.find_entry,
            invariants=self.invariants,
        )

    def _connect_components(self) -> None:
        """Connect the components' callbacks, and create the wire and HTTP servers."""
        s = self.settings
        self.gossip.get_reports = self.probe.build_reports
        self.gossip.on_reports = self.probe.apply_peer_reports
        self.gossip.on_revision = self.configuration.receive_gossip
        self.gossip.on_revisions = self.controller.confirm_roster
        self.gossip.on_change = self._refresh_lookups
        self.metrics.read_gauges = lambda: read_gauges(
            self.metrics,
            controller=self.controller,
            dispatcher=self.dispatcher,
            configuration=self.configuration,
            invariants=self.invariants,
            count_odd_items=self.count_odd_items,
        )
        services = SessionComponents(
            room=self.controller,
            local=self.local,
            orders=self.orders,
            gossip=self.gossip,
            configuration=self.configuration,
            decisions=self.decisions,
            watcher=self.watcher,
            activity=self.activity,
            get_snapshot=lambda: self.snapshot,
        )
        app = WebApp(
            WebComponents(
                dispatcher=self.dispatcher,
                orders=self.orders,
                decisions=self.decisions,
                metrics=self.metrics,
                watcher=self.watcher,
                activity=self.activity,
                get_lookups=lambda: self._lookups,
                get_status=self.get_status,
                find_decision=self.find_decision,
                is_outdated=self.configuration.may_be_outdated,
                decision_key=s.decision_key.encode(),
            )
        )
        cherrypy.tree.graft(app, "")
        self.http = HttpServer(
            s.http,
            cherrypy.tree,
            threads=s.workers,
            body_limit=s.max_body_bytes,
            timeout_s=s.caller_timeout_s,
            memory_mb=s.memory_mb,
        )
        self.wire = WireServer(
            s.wire, lambda sock: Session(services, sock), window=self.http.window
        )

    def _adopt(self, snapshot: Snapshot) -> None:
        """Apply a configuration snapshot to every component."""
        self.controller.adopt(snapshot)
        self.dispatcher.adopt(snapshot)
        self.gossip.adopt(snapshot)
        self.probe.adopt(snapshot)
        self.snapshot = snapshot
        self._refresh_lookups()

    def _refresh_lookups(self) -> None:
        """Replace the table of look-up answers after a change."""
        if self.snapshot is not None:
            self._lookups = LookupTable(
                self.snapshot,
                is_avoided=self.gossip.is_avoided,
                max_age_s=self.settings.lookup_max_age_s,
            )

    def find_entry(self, name: str) -> EntryHost | None:
        """Find an entry's addresses by name."""
        return find_entry(self.snapshot, name) if self.snapshot is not None else None

    def find_decision(self, decision_id: str) -> Decision | None:
        """Find a decision record here or at any other reachable entry."""
        found = self.decisions.find(decision_id)
        if found is not None or self.snapshot is None:
            return found
        for hall in self.snapshot.configuration.halls:
            for entry in hall.entries:
                if entry.name == self.settings.name:
                    continue
                try:
                    data = self.peers.call(
                        entry.wire, "find_decision", timeout_s=0.5, decision_id=decision_id
                    )
                    if data:
                        return decode_decision(data)
                except (PeerError, DecisionError) as exc:
                    log.info("No decision from a peer.", peer=entry.name, error=str(exc)[:200])
        return None

    def start(self) -> None:
        """Start every task and open the ports to callers."""
        for task in (self.gossip, self.configuration, self.loans, self.probe, self.claims):
            task.start()
        self.watcher.start()
        self.wire.start()
        cherrypy.engine.autoreload.unsubscribe()
        # CherryPy's own default server would take port 8080.
        cherrypy.server.unsubscribe()
        cherrypy.log.screen = False
        # Without the address: a stop must not wait until no other process listens there.
        ServerAdapter(cherrypy.engine, self.http).subscribe()
        cherrypy.engine.start()
        log.info(
            "Started.",
            name=self.settings.name,
            hall=self.settings.hall,
            incarnation=self.incarnation,
        )

    def stop(self) -> None:
        """Stop without cutting off a request.

        First the entry removes itself from look-up answers and notifies its peers, and keeps
        serving until the answers that callers have cached expire.  Then it waits, up to
        `STOP_LIMIT_S`, for the last request, and shuts down.
        """
        if self._is_leaving:
            return
        self._is_leaving = True
        log.info("Stopping; still serving callers with cached look-up answers.")
        self.gossip.set_flags(is_leaving=True)
        self._refresh_lookups()
        self.gossip.enqueue(HeartbeatRequest())
        ends = time.monotonic() + self.settings.lookup_max_age_s + 2 * self.settings.gossip_period_s
        limit = time.monotonic() + STOP_LIMIT_S
        while time.monotonic() < ends:
            time.sleep(0.05)
        self._is_stopping = True
        quiet_since = time.monotonic()
        while time.monotonic() < limit and time.monotonic() - quiet_since < IDLE_BEFORE_EXIT_S:
            if self._count_running():
                quiet_since = time.monotonic()
            time.sleep(0.02)
        self._shut_down()

    def _count_running(self) -> int:
        """Count the requests and orders that still run in this process."""
        return self.activity.count + self.controller.count_in_flight() + self.orders.count_running()

    def _shut_down(self) -> None:
        """Close the ports and stop the tasks."""
        cherrypy.engine.exit()
        for task in (self.probe, self.claims, self.loans, self.gossip, self.configuration):
            task.stop()
        self.loans.join(1.0)
        self.wire.stop()
        self.watcher.stop()
        self.peers.close()
        self.targets.close()
        log.info("Stopped.")

    def count_odd_items(self) -> dict[str, int]:
        """Count the items from outside that were left out, by kind."""
        return {
            "configuration": self.configuration.odd_items,
            "members": self.gossip.odd_items,
            "shards": self.claims.odd_shards,
            "settings": self._unread_settings,
        }

    @property
    def state(self) -> str:
        """``starting``, ``serving`` or ``leaving``."""
        if self._is_leaving:
            return "leaving"
        return "serving" if self.snapshot is not None else "starting"

    def get_status(self) -> dict[str, Any]:
        """Return this entry's state for operators, as served at ``/v1/status``."""
        counts = self.controller.count_slots()
        return {
            "name": self.settings.name,
            "hall": self.settings.hall,
            "state": self.state,
            "incarnation": self.incarnation,
            "revision": self.configuration.revision,
            "adopted_at": self.configuration.adopted_at,
            "members": [
                {"name": m.name, "revision": m.revision, "leaving": m.is_leaving}
                for m in self.gossip.list_members()
            ],
            "relays": self.configuration.choose_relays(),
            "targets": {
                name: {**count._asdict(), "leaving": self.controller.is_leaving(name)}
                for name, count in counts.items()
            },
            "moves": [
                {"service": s, "cap_of": name, "total": t, "moved": m, "cap": cap}
                for (s, name), (t, m, cap) in self.dispatcher.count_moves().items()
            ],
            "slots_wait_for": self.controller.list_unconfirmed_entries(),
            "orders_running": self.orders.count_running(),
            "loans": {"asked": self.loans.borrow_calls, "borrowed": self.loans.borrowed},
            "claims": {"claimed": self.claims.claimed, "writes": self.claims.writes},
            "control": {
                "gossip_messages": self.gossip.messages_sent,
                "probes": self.probe.probes,
                "platform_calls": self.configuration.platform_calls,
                "wire_sent_bytes": traffic.sent_bytes,
                "wire_received_bytes": traffic.received_bytes,
                "wire_frames": traffic.frames,
            },
            "violations": dict(self.invariants.violations),
            "odd_items": self.count_odd_items(),
            "thread_failures": dict(failures),
        }


def _log_violation(name: str, detail: str) -> None:
    """Log a violated invariant."""
    log.error("Invariant broken.", invariant=name, detail=detail)
