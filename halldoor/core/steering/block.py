"""Client blocks (IPv4 networks and the hall nearest to each) as packed arrays.

2.5 million blocks take 15 MB packed and many times that as objects.  The table is split into chunks
by address range, so that a change transfers only the chunks that it affects, and a whole new table
is loaded chunk by chunk without doubling memory.
"""

from __future__ import annotations

import contextlib
import re
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator
from ipaddress import IPv4Address, ip_network, summarize_address_range
from typing import NamedTuple

from halldoor.core.decoding import DecodingError
from halldoor.core.errors import SettingsError

CHUNK_BLOCKS = 8_192
"""Most rows in one chunk: 49 kB."""
NO_HALL = 0xFFFF
"""Hall number of addresses that no block holds."""
_ROW_BYTES = 6
_ADDRESS_BITS = 32
_RANGE = re.compile(r"([0-9a-f]{8})-([0-9]{1,2})")


class BlockMatch(NamedTuple):
    """The block that holds an address: its first address and the number of its hall."""

    start: int
    hall: int


class _Chunk(NamedTuple):
    """Rows of one address range (``end`` excluded); the views share the memory of the packed bytes.

    Each row is the first address of a block and the number of its hall, `NO_HALL` for a gap.
    """

    first: int
    end: int
    starts: memoryview
    halls: memoryview


class BlockTable:
    """Map from IPv4 addresses to hall numbers.

    Readers need no lock: the list of chunks is replaced as a whole.
    """

    def __init__(self) -> None:
        self._chunks: list[_Chunk] = []
        self._firsts: list[int] = []

    def __len__(self) -> int:
        return sum(len(chunk.starts) for chunk in self._chunks)

    def replace_chunk(self, name: str, data: bytes) -> None:
        """Add a chunk and remove all chunks that it overlaps.

        Parameters
        ----------
        name : str
            Address range of the chunk, in the form returned by `pack_blocks`.
        data : bytes
            First addresses (uint32) and then hall numbers (uint16).

        Raises
        ------
        DecodingError
            If the name is no address range or the data has no whole number of rows.
        """
        first, end = parse_range(name)
        count, rest = divmod(len(data), _ROW_BYTES)
        if rest:
            raise DecodingError(f"Chunk {name} of the client blocks ends within a row.")
        view = memoryview(data)
        new = _Chunk(first, end, view[: count * 4].cast("I"), view[count * 4 :].cast("H"))
        kept = [c for c in self._chunks if c.end <= first or c.first >= end]
        chunks = sorted([*kept, new], key=lambda c: c.first)
        self._set_chunks(chunks)

    def retain_chunks(self, names: Iterable[str]) -> None:
        """Remove all chunks except those with the given names."""
        ranges = set()
        for name in names:
            with contextlib.suppress(DecodingError):
                ranges.add(parse_range(name))
        self._set_chunks([c for c in self._chunks if (c.first, c.end) in ranges])

    def _set_chunks(self, chunks: list[_Chunk]) -> None:
        """Replace the lists of chunks and of their first addresses.

        A concurrent reader may see the two lists differ; see `find`.
        """
        self._firsts = []
        self._chunks = chunks
        self._firsts = [c.first for c in chunks]

    def find(self, address: int) -> BlockMatch | None:
        """Return the block that holds an IPv4 address, given as an integer; None if none does."""
        i = bisect_right(self._firsts, address) - 1
        if i < 0:
            return None
        try:
            chunk = self._chunks[i]
        except IndexError:  # The list was replaced meanwhile; a miss is harmless.
            return None
        row = bisect_right(chunk.starts, address) - 1
        if row < 0 or address >= chunk.end:
            return None
        hall = chunk.halls[row]
        return None if hall == NO_HALL else BlockMatch(chunk.starts[row], hall)


def parse_range(name: str) -> tuple[int, int]:
    """Parse a chunk's name, ``START-BITS``, into its first address and its end (excluded).

    Raises
    ------
    DecodingError
        If the name is anything else.
    """
    match = _RANGE.fullmatch(name)
    if match is None or int(match[2]) > _ADDRESS_BITS:
        raise DecodingError(f"{name[:40]!r} is no range of addresses.")
    first = int(match[1], 16)
    return first, first + (1 << int(match[2]))


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
        If blocks overlap or one is not an IPv4 CIDR.
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
    if starts and end < 1 << _ADDRESS_BITS:
        starts.append(end)
        halls.append(NO_HALL)
    return dict(_split_range(starts, halls, 0, _ADDRESS_BITS)) if starts else {}


def _split_range(
    starts: array[int], halls: array[int], first: int, bits: int
) -> Iterator[tuple[str, bytes]]:
    """Yield the chunks of an address range, halving it until the rows fit a chunk."""
    low = bisect_left(starts, first)
    high = bisect_left(starts, first + (1 << bits))
    if high - low >= CHUNK_BLOCKS and bits > 0:
        yield from _split_range(starts, halls, first, bits - 1)
        yield from _split_range(starts, halls, first + (1 << (bits - 1)), bits - 1)
        return
    rows, numbers = starts[low:high], halls[low:high]
    # A block that begins before the range is split: the chunk starts with its remainder.
    if (not rows or rows[0] > first) and low > 0 and halls[low - 1] != NO_HALL:
        rows.insert(0, first)
        numbers.insert(0, halls[low - 1])
    if rows:
        yield f"{first:08x}-{bits}", rows.tobytes() + numbers.tobytes()


def unpack_blocks(chunks: dict[str, bytes]) -> Iterator[tuple[str, int]]:
    """Yield the CIDR blocks and hall numbers of packed chunks."""
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
    """Return first address, last address, hall and text of a CIDR block, in this order.

    Raises
    ------
    SettingsError
        If ``cidr`` is not an IPv4 network.
    """
    try:
        network = ip_network(cidr)
    except ValueError as exc:
        raise SettingsError(
            f"Client block {cidr!r} is no network: {exc}.", remedy="Try '10.1.0.0/16'."
        ) from exc
    if network.version != 4:
        raise SettingsError(
            f"Client block {cidr} is not IPv4.",
            remedy="Give IPv4 blocks; callers with other addresses count as near their entry.",
        )
    return int(network.network_address), int(network.broadcast_address), hall, cidr


def parse_address(text: str) -> int | None:
    """Parse an IPv4 address into an integer; return None for other text."""
    try:
        return int(IPv4Address(text))
    except ValueError:
        return None
