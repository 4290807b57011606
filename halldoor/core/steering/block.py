"""Client blocks as packed arrays: which hall is near a caller.

2.5 million blocks take 15 MB packed and many times that as objects.  The table
is cut into chunks by address range, so that a change ships only the chunks that
it touches, and a whole new table is taken chunk by chunk without doubling memory.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator
from ipaddress import IPv4Address, ip_network, summarize_address_range
from typing import NamedTuple

from halldoor.core.errors import SettingsError

CHUNK_BLOCKS = 8_192
"""Rows in one chunk at most: 49 kB."""
NO_HALL = 0xFFFF
_ROW_BYTES = 6
_SPACE_BITS = 32


class BlockMatch(NamedTuple):
    """A block found: its first address and the number of its hall."""

    start: int
    hall: int


class _Chunk(NamedTuple):
    """A run of rows; the views share the memory of the bytes they came in."""

    first: int
    end: int
    starts: memoryview
    halls: memoryview


class BlockTable:
    """Map IPv4 addresses to hall numbers.

    Readers need no lock: the list of chunks is replaced as a whole.
    """

    def __init__(self) -> None:
        self._chunks: list[_Chunk] = []
        self._firsts: list[int] = []

    def __len__(self) -> int:
        return sum(len(chunk.starts) for chunk in self._chunks)

    def replace(self, name: str, data: bytes) -> None:
        """Take one chunk in place of all that it overlaps.

        Parameters
        ----------
        name : str
            Address range, as `pack_blocks` names it.
        data : bytes
            First addresses (uint32) and then hall numbers (uint16).
        """
        first, end = parse_range(name)
        count = len(data) // _ROW_BYTES
        view = memoryview(data)
        new = _Chunk(first, end, view[: count * 4].cast("I"), view[count * 4 :].cast("H"))
        rest = [c for c in self._chunks if c.end <= first or c.first >= end]
        chunks = sorted([*rest, new], key=lambda c: c.first)
        self._set(chunks)

    def keep_only(self, names: Iterable[str]) -> None:
        """Drop the chunks that are not among the names."""
        ranges = {parse_range(name) for name in names}
        self._set([c for c in self._chunks if (c.first, c.end) in ranges])

    def _set(self, chunks: list[_Chunk]) -> None:
        """Put a new list in force; the two lists may differ for an instant."""
        self._firsts = []
        self._chunks = chunks
        self._firsts = [c.first for c in chunks]

    def find(self, address: int) -> BlockMatch | None:
        """Find the block that holds an IPv4 address given as an integer."""
        i = bisect_right(self._firsts, address) - 1
        if i < 0:
            return None
        try:
            chunk = self._chunks[i]
        except IndexError:  # the list was replaced in between; a miss is harmless
            return None
        row = bisect_right(chunk.starts, address) - 1
        if row < 0 or address >= chunk.end:
            return None
        hall = chunk.halls[row]
        return None if hall == NO_HALL else BlockMatch(chunk.starts[row], hall)


def parse_range(name: str) -> tuple[int, int]:
    """Read a chunk's name, ``START-BITS``: its first address and its end."""
    start, _, bits = name.partition("-")
    first = int(start, 16)
    return first, first + (1 << int(bits))


def pack_blocks(blocks: Iterable[tuple[str, int]]) -> dict[str, bytes]:
    """Pack CIDR blocks with hall numbers into chunks by address range.

    Parameters
    ----------
    blocks : iterable of (str, int)
        IPv4 CIDR and the number of the hall.

    Returns
    -------
    dict of str to bytes
        Chunk by name; the same blocks always give the same chunks.

    Raises
    ------
    SettingsError
        Where blocks overlap or are no IPv4 CIDR.
    """
    starts, halls = array("I"), array("H")
    end = 0
    for first, last, hall, cidr in sorted(_to_range(cidr, hall) for cidr, hall in blocks):
        if starts and first < end:
            raise SettingsError(
                f"Client block {cidr} overlaps another.", remedy="Remove or narrow one of them."
            )
        if first > end and starts:
            starts.append(end)
            halls.append(NO_HALL)
        starts.append(first)
        halls.append(hall)
        end = last + 1
    if starts and end < 1 << _SPACE_BITS:
        starts.append(end)
        halls.append(NO_HALL)
    return dict(_cut(starts, halls, 0, _SPACE_BITS)) if starts else {}


def _cut(
    starts: array[int], halls: array[int], first: int, bits: int
) -> Iterator[tuple[str, bytes]]:
    """Halve an address range until its rows fit a chunk."""
    low = bisect_left(starts, first)
    high = bisect_left(starts, first + (1 << bits))
    if high - low >= CHUNK_BLOCKS and bits > 0:
        yield from _cut(starts, halls, first, bits - 1)
        yield from _cut(starts, halls, first + (1 << (bits - 1)), bits - 1)
        return
    rows, numbers = starts[low:high], halls[low:high]
    # A block that reaches in from the left starts again at the chunk's edge.
    if (not rows or rows[0] > first) and low > 0 and halls[low - 1] != NO_HALL:
        rows.insert(0, first)
        numbers.insert(0, halls[low - 1])
    if rows:
        yield f"{first:08x}-{bits}", rows.tobytes() + numbers.tobytes()


def unpack_blocks(chunks: dict[str, bytes]) -> Iterator[tuple[str, int]]:
    """Turn chunks back into CIDR blocks with hall numbers."""
    for name, data in sorted(chunks.items(), key=lambda item: parse_range(item[0])):
        count = len(data) // _ROW_BYTES
        view = memoryview(data)
        starts, halls = view[: count * 4].cast("I"), view[count * 4 :].cast("H")
        ends = [*starts[1:], parse_range(name)[1]]
        for start, end, hall in zip(starts, ends, halls, strict=True):
            if hall != NO_HALL:
                blocks = summarize_address_range(IPv4Address(start), IPv4Address(end - 1))
                yield from ((str(block), hall) for block in blocks)


def _to_range(cidr: str, hall: int) -> tuple[int, int, int, str]:
    """Turn a CIDR into first and last address."""
    try:
        network = ip_network(cidr)
    except ValueError as exc:
        raise SettingsError(
            f"Client block {cidr!r} is no network: {exc}.", remedy="Try '10.1.0.0/16'."
        ) from exc
    if network.version != 4:
        raise SettingsError(
            f"Client block {cidr} is not IPv4.", remedy="Give IPv4 blocks; others go by hall."
        )
    return int(network.network_address), int(network.broadcast_address), hall, cidr


def parse_address(text: str) -> int | None:
    """Read an IPv4 address as an integer; None for anything else."""
    try:
        return int(IPv4Address(text))
    except ValueError:
        return None
