"""Builds the tasks that follow the store, notify other entries of it and register this entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from halldoor.core.targets.catalog import Catalog
from halldoor.core.targets.changes import Change, MemberRecord
from halldoor.gateway.datagrams import DatagramPort
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.registration import Registration
from halldoor.gateway.relay import ChangeFeed
from halldoor.gateway.settings import GatewaySettings
from halldoor.gateway.store import MetadataStore, RecordCodec
from halldoor.gateway.storenotices import StoreNoticeExchange
from halldoor.gateway.sync import StoreSync


class StoreTasks(NamedTuple):
    """The tasks of a gateway that call the store or exchange its changes with other entries."""

    feed: ChangeFeed
    sync: StoreSync
    notices: StoreNoticeExchange
    registration: Registration

    @classmethod
    def from_config(
        cls,
        settings: GatewaySettings,
        *,
        store: MetadataStore,
        codec: RecordCodec,
        member: MemberRecord,
        catalog: Catalog,
        port: DatagramPort,
        on_change: Callable[[Change], None],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> StoreTasks:
        """Build and connect the tasks.

        Parameters
        ----------
        settings : GatewaySettings
            Settings of the gateway.
        on_change : callable
            Called with each change that was applied to the catalog.
        """
        feed = ChangeFeed(
            store,
            member,
            catalog,
            settings=settings.relaying,
            batch_s=settings.batch_s,
            log=log,
            metrics=metrics,
            routing_key=codec.routing_key,
        )
        sync = StoreSync(
            store,
            codec,
            catalog,
            log=log,
            metrics=metrics,
            on_change=on_change,
            feed=feed,
        )
        notices = StoreNoticeExchange(
            member,
            catalog,
            port,
            get_view=lambda: sync.view,
            skip_pause=feed.skip_pause,
            renew_watch=sync.renew_watch,
            log=log,
            metrics=metrics,
        )
        sync.on_update.append(notices.queue_notices)
        name = member.name
        registration = Registration(
            store,
            codec,
            member,
            log=log,
            metrics=metrics,
            is_loaded=sync.is_loaded,
            on_contact=lambda: catalog.record_answer(asyncio.get_running_loop().time()),
            on_return=sync.restart_watch,
            is_missing=lambda since: store.keeps_entries and catalog.lacks_member(name, since),
        )
        return cls(feed, sync, notices, registration)
