"""Memory and look-up time of up to 2.5 million client blocks, and memory during replacement."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc

from benchmarks.common import fit_line, format_table, write_plot, write_result
from halldoor.core.steering.block import BlockTable, pack_blocks

SIZES = [100_000, 500_000, 1_000_000, 2_500_000]
"""Numbers of client blocks."""
LOOKUPS = 200_000
"""Look-ups that are timed for each size."""


def main() -> None:
    """Run all measurements and write the table."""
    rows = [_measure(size) for size in SIZES]
    head = [
        "blocks",
        "chunks",
        "table MB",
        "greatest MB while replaced",
        "bytes in one changed chunk",
        "median look-up µs",
        "p99 look-up µs",
    ]
    xs = [float(r[0]) for r in rows]
    _, slope, residual = fit_line(xs, [r[2] for r in rows])
    note = f"Table: {slope * 1e6:.2f} bytes a block (greatest residual {residual:.2f} MB)."
    write_result("blocks", "Client blocks on one node", format_table(head, rows), note)
    write_plot("blocks", "client blocks", "MB", {"table": (xs, [r[2] for r in rows])})


def _make_blocks(size: int, shift: int) -> list[tuple[str, int]]:
    """Build consecutive /28 blocks, each with another of 30 halls than the one before it.

    Another ``shift`` gives every block another hall, so that all chunks change.
    """
    return [
        (f"{a >> 24}.{a >> 16 & 255}.{a >> 8 & 255}.{a & 255}/28", (i + shift) % 30)
        for i in range(size)
        for a in [0x01000000 + i * 16]
    ]


def _measure(size: int) -> list[float]:
    """Return the row for one size: load a table, replace all its chunks, and time look-ups."""
    old, new = pack_blocks(_make_blocks(size, 0)), pack_blocks(_make_blocks(size, 1))
    # An entry receives chunks one at a time and keeps no other copy; copying imitates that.
    gc.collect()
    tracemalloc.start()
    held = {name: bytes(bytearray(data)) for name, data in old.items()}
    table = BlockTable()
    for name, data in held.items():
        table.replace_chunk(name, data)
    size_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.reset_peak()
    for name, data in new.items():
        held[name] = bytes(bytearray(data))
        table.replace_chunk(name, held[name])
    peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    times = _time_lookups(table, size)
    largest = float(max(len(d) for d in new.values()))
    return [size, len(old), size_mb, peak_mb, largest, *times]


def _time_lookups(table: BlockTable, size: int) -> list[float]:
    """Return the median and 99th percentile of a look-up in µs, from batches of 100."""
    rng = random.Random(1)
    addresses = [0x01000000 + rng.randrange(size) * 16 for _ in range(LOOKUPS)]
    batches = []
    for start in range(0, LOOKUPS, 100):
        started = time.perf_counter()
        for address in addresses[start : start + 100]:
            table.find(address)
        batches.append((time.perf_counter() - started) * 1e4)
    batches.sort()
    return [batches[len(batches) // 2], batches[int(len(batches) * 0.99)]]


if __name__ == "__main__":
    main()
