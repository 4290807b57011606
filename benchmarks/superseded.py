"""Processor time of decoding an answer that holds several configurations, as the platform's."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from random import Random
from typing import cast

from halldoor_platform.records import CONFIG_KEY, PlatformCodec
from halldoor_platform.standin import encode_config, encode_route

from benchmarks.common import format_table, write_result
from halldoor.core.targets.changes import RoutingSeen
from halldoor.gateway.decoder import RecordDecoder
from halldoor.gateway.eventlog import EventLog
from halldoor.gateway.metrics import GatewayMetrics
from halldoor.gateway.store import StoredItem
from halldoor.standins.modelentry import CountingLog

COUNTS = (1, 3, 8)
"""Numbers of configurations in an answer."""
ROUTES = 5_400
ROUNDS = 9
NOTE = "Needs the folder `platform` in PYTHONPATH.  Medians of 9 calls on one core."
HEADER = ["configurations", "MB", "each decoded, ms", "superseded ones skipped, ms"]


def build_configuration(version: int) -> StoredItem:
    """Build the record of a configuration with `ROUTES` routes."""
    source = Random(version)
    routes = [
        encode_route(
            f"route-{i:05}",
            f"{source.randbytes(4).hex()}.example",
            "decks",
            pathPrefix=f"/{source.randbytes(5).hex()}/",
        )
        for i in range(ROUTES)
    ]
    return StoredItem(CONFIG_KEY, encode_config(version, routes, ["decks"]))


def measure_ms(decode: Callable[[], object]) -> float:
    """Return the median processor time of a call, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        decode()
        times.append(time.process_time() - began)
    return 1000 * statistics.median(times)


def main() -> None:
    """Run all measurements and write the table."""
    decoder = RecordDecoder(
        PlatformCodec(),
        log=cast(EventLog, CountingLog()),
        metrics=GatewayMetrics(),
        get_version=lambda: 0,
    )
    rows = []
    for count in COUNTS:
        items = [build_configuration(version) for version in range(1, count + 1)]
        (last,) = decoder.decode_all(items)
        assert isinstance(last, RoutingSeen) and last.routing.version == count
        size_mb = sum(len(item.value or b"") for item in items) / 1e6
        each_ms = measure_ms(lambda items=items: [decoder.decode_all([item]) for item in items])
        all_ms = measure_ms(lambda items=items: decoder.decode_all(items))
        rows.append([count, size_mb, round(each_ms), round(all_ms)])
    write_result("superseded", __doc__ or "", format_table(HEADER, rows), NOTE)


if __name__ == "__main__":
    main()
