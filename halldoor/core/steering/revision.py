"""Revisions of the configuration: a small head, and immutable parts stored under their digests.

The head is replaced by compare-and-swap only.  It names every part, the last change and its audit
record, so that a change and its record are committed together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Annotated, Any, NamedTuple

import msgspec

from halldoor.core.decoding import DecodingError, decode_msgpack, decoding, parse_int
from halldoor.core.errors import HalldoorError, SettingsError
from halldoor.core.settings import parse
from halldoor.core.steering.block import pack_blocks, unpack_blocks
from halldoor.core.steering.configuration import (
    Configuration,
    Link,
    Service,
    Shift,
    Target,
    Team,
    to_data,
)
from halldoor.core.steering.selector import Selector

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
PART_LIMIT = 1_000_000
"""Largest part that the platform stores, in bytes."""
BLOCK_INDEX = "block_index"
"""Name of the part that lists the chunks of client blocks with their digests."""
_TARGETS_PER_PART = 500
MAX_REVISION = (1 << 31) - 1
"""Greatest number of a revision: entries exchange it in 32 bits."""
MAX_PARTS = 10_000
"""Most parts of a revision."""
_SECTIONS = ("regions", "halls", "services", "teams", "shifts", "links")
_ROW_TYPES: dict[str, Any] = {
    "targets": Target,
    "services": Service,
    "teams": Team,
    "shifts": Shift,
    "links": Link,
}
"""Type of the rows of each section of which a single row can be left out."""


class Head(msgspec.Struct, frozen=True):
    """The root of one revision.

    Attributes
    ----------
    revision : int
        Number of the revision; rises by one with each accepted change.
    change_id : str
        Id of the change that made it: an operator whose answer was lost can see that it was made.
    parts : dict of str to str
        Digest of each part by name, such as ``targets/0``.
    audit : str
        Digest of the audit record of this change.
    """

    revision: Annotated[int, msgspec.Meta(ge=1, le=MAX_REVISION)]
    change_id: str
    parts: Annotated[dict[str, str], msgspec.Meta(max_length=MAX_PARTS)]
    audit: str = ""


class ConfigurationParts(NamedTuple):
    """Parts of a configuration: names to digests, and digests to bytes."""

    names: dict[str, str]
    parts: dict[str, bytes]


def decode_head(data: bytes) -> Head:
    """Decode a head.

    Raises
    ------
    DecodingError
        If it can't be decoded, or a figure is out of bounds.
    """
    head: Head = decode_msgpack(data, Head, origin="the head of the configuration")
    return head


def encode_head(head: Head) -> bytes:
    """Encode a head."""
    return msgspec.msgpack.encode(head)


def digest(data: bytes) -> str:
    """Return the digest under which a part is stored, in hexadecimal."""
    return blake2b(data, digest_size=16).hexdigest()


def split_configuration(configuration: Configuration) -> ConfigurationParts:
    """Split a configuration into parts, each below the platform's size limit for a value.

    Large tables are split into chunks, so that a small change transfers a small part.

    Raises
    ------
    SettingsError
        If a part exceeds the limit.
    """
    data = to_data(configuration)
    named: dict[str, Any] = {name: data[name] for name in _SECTIONS}
    targets = data["targets"]
    for i in range(0, max(1, len(targets)), _TARGETS_PER_PART):
        named[f"targets/{i // _TARGETS_PER_PART}"] = targets[i : i + _TARGETS_PER_PART]
    halls = {h.name: i for i, h in enumerate(configuration.halls)}
    chunks = pack_blocks(
        (n, halls[b.hall]) for b in configuration.client_blocks for n in b.networks
    )
    named[BLOCK_INDEX] = {name: digest(chunk) for name, chunk in chunks.items()}
    encoded = {name: msgspec.msgpack.encode(value) for name, value in named.items()}
    for name, value in encoded.items():
        if len(value) > PART_LIMIT:
            raise SettingsError(
                f"Part {name} takes {len(value)} bytes; the platform holds {PART_LIMIT}.",
                remedy="Split it, or shorten labels and names.",
            )
    names = {name: digest(value) for name, value in encoded.items()}
    parts = {names[name]: value for name, value in encoded.items()}
    return ConfigurationParts(names, parts | {digest(chunk): chunk for chunk in chunks.values()})


def join_configuration(
    head: Head,
    parts: Mapping[str, bytes],
    *,
    with_blocks: bool = False,
    on_odd: Callable[[str], None] | None = None,
) -> Configuration:
    """Build the configuration of a revision from its parts.

    Parameters
    ----------
    head : Head
        Head of the revision.
    parts : mapping of str to bytes
        Parts by digest.
    with_blocks : bool, optional
        Whether to rebuild the list of client blocks too; entries use the packed chunks.
    on_odd : callable, optional
        Called with the description of each row that can't be used and is left out; without it,
        such a row raises.

    Raises
    ------
    SettingsError, DecodingError
        If a part is missing, damaged or wrong, or no row of a section can be used.
    """
    data: dict[str, Any] = {name: _read_rows(head, parts, name) for name in _SECTIONS}
    data["targets"] = []
    for name in sorted((n for n in head.parts if n.startswith("targets/")), key=_get_number):
        data["targets"] += _read_rows(head, parts, name)
    data["client_blocks"] = _list_client_blocks(head, parts, data["halls"]) if with_blocks else []
    # Names and selectors were checked before the commit, and digests detect changes since.
    # Checking them again at each entry would cost more than all its other control work.
    origin = f"revision {head.revision}"
    if on_odd is None:
        return parse(data, Configuration, origin=origin)
    try:
        configuration = parse(data, Configuration, origin=origin)
    except SettingsError:
        usable = {name: _keep_usable_rows(data[name], name, on_odd) for name in _ROW_TYPES}
        configuration = parse(data | usable, Configuration, origin=origin)
    return _drop_dangling_rows(configuration, on_odd)


def _keep_usable_rows(rows: list[Any], section: str, on_odd: Callable[[str], None]) -> list[Any]:
    """Return the rows of a section that match its schema."""
    usable = []
    for i, row in enumerate(rows):
        try:
            parse(row, _ROW_TYPES[section], origin=f"{section}[{i}]")
        except SettingsError as exc:
            on_odd(str(exc))
        else:
            usable.append(row)
    if rows and not usable:
        raise DecodingError(f"None of the {len(rows)} rows of {section} can be used.")
    return usable


def _drop_dangling_rows(
    configuration: Configuration, on_odd: Callable[[str], None]
) -> Configuration:
    """Leave out targets of unknown halls, and services and shifts with an invalid selector."""
    halls = {h.name for h in configuration.halls}
    problems = {
        "targets": {
            t.name: f"unknown hall {t.hall}" for t in configuration.targets if t.hall not in halls
        },
        "services": _list_selector_problems(
            (s.name, (s.selector, s.failover)) for s in configuration.services
        ),
        "shifts": _list_selector_problems((s.name, (s.to,)) for s in configuration.shifts),
    }
    changes: dict[str, Any] = {}
    for section, found in problems.items():
        for name, problem in found.items():
            on_odd(f"{section}.{name}: {problem}.")
        if found:
            rows = getattr(configuration, section)
            changes[section] = [row for row in rows if row.name not in found]
            if not changes[section]:
                raise DecodingError(f"None of the {len(rows)} rows of {section} can be used.")
    return msgspec.structs.replace(configuration, **changes) if changes else configuration


def _list_selector_problems(rows: Iterable[tuple[str, tuple[str, ...]]]) -> dict[str, str]:
    """Return the problem of each row with a selector that can't be parsed, by the row's name."""
    problems = {}
    for name, texts in rows:
        try:
            for text in texts:
                Selector.from_text(text)
        except HalldoorError as exc:
            problems[name] = exc.message
    return problems


def _list_client_blocks(head: Head, parts: Mapping[str, bytes], halls: list[Any]) -> list[Any]:
    """Rebuild the operators' list of client blocks from the packed chunks."""
    index = read_block_index(head, parts)
    networks: dict[int, list[str]] = {}
    with decoding("the client blocks"):
        for block, hall in unpack_blocks({name: parts[d] for name, d in index.items()}):
            networks.setdefault(hall, []).append(block)
        return [{"hall": halls[i]["name"], "networks": networks[i]} for i in sorted(networks)]


def read_block_index(head: Head, parts: Mapping[str, bytes]) -> dict[str, str]:
    """Return the digests of the chunks of client blocks, by chunk name."""
    index: dict[str, str] = _read_part(head, parts, BLOCK_INDEX, kind=dict[str, str])
    return index


def list_missing(head: Head, parts: Mapping[str, bytes]) -> list[str]:
    """List the digests of a head's parts that are not in ``parts`` and must be fetched."""
    return sorted(set(head.parts.values()) - set(parts))


def is_newer(head: Head, current: Head | None) -> bool:
    """Check whether a head is newer than the current one, since an entry applies no older one."""
    return current is None or head.revision > current.revision


def _get_number(name: str) -> int:
    """Return the number of a chunk such as ``targets/3``."""
    number = name.rpartition("/")[2]
    return parse_int(number, lowest=0, highest=MAX_PARTS, origin=f"part {name[:40]}")


def _read_rows(head: Head, parts: Mapping[str, bytes], name: str) -> list[Any]:
    """Return the rows of a part; see `_read_part`."""
    rows: list[Any] = _read_part(head, parts, name, kind=list[Any])
    return rows


def _read_part(head: Head, parts: Mapping[str, bytes], name: str, *, kind: Any) -> Any:
    """Check a part against its digest and decode it.

    Raises
    ------
    SettingsError
        If the part is missing or damaged.
    DecodingError
        If it is of another type.
    """
    wanted = head.parts.get(name, "")
    value = parts.get(wanted)
    if value is None or digest(value) != wanted:
        raise SettingsError(
            f"Part {name} of revision {head.revision} is missing or damaged.",
            remedy="Fetch it again from the platform or a peer.",
        )
    return decode_msgpack(value, kind, origin=f"part {name[:40]} of revision {head.revision}")
