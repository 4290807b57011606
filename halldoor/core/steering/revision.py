"""Revisions of the configuration: a small head, and immutable parts stored under their digests.

The head is replaced by compare-and-swap only.  It names every part, the last change and its audit
record, so that a change and its record are committed together.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from halldoor.core.errors import SettingsError
from halldoor.core.settings import parse
from halldoor.core.steering.block import pack_blocks, unpack_blocks
from halldoor.core.steering.configuration import Configuration, to_data

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
PART_LIMIT = 1_000_000
"""Largest part that the platform stores, in bytes."""
BLOCK_INDEX = "block_index"
"""Name of the part that lists the chunks of client blocks with their digests."""
_TARGETS_PER_PART = 500
_SECTIONS = ("regions", "halls", "services", "teams", "shifts", "links")


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

    revision: int
    change_id: str
    parts: dict[str, str]
    audit: str = ""


class ConfigurationParts(NamedTuple):
    """Parts of a configuration: names to digests, and digests to bytes."""

    names: dict[str, str]
    parts: dict[str, bytes]


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
    head: Head, parts: Mapping[str, bytes], *, with_blocks: bool = False
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

    Raises
    ------
    SettingsError
        If a part is missing, damaged or wrong.
    """
    data: dict[str, Any] = {name: _read_part(head, parts, name) for name in _SECTIONS}
    data["targets"] = []
    for name in sorted((n for n in head.parts if n.startswith("targets/")), key=_get_number):
        data["targets"] += _read_part(head, parts, name)
    data["client_blocks"] = _list_client_blocks(head, parts, data["halls"]) if with_blocks else []
    # Names and selectors were checked before the commit, and digests detect changes since.
    # Checking them again at each entry would cost more than all its other control work.
    return parse(data, Configuration, origin=f"revision {head.revision}")


def _list_client_blocks(head: Head, parts: Mapping[str, bytes], halls: list[Any]) -> list[Any]:
    """Rebuild the operators' list of client blocks from the packed chunks."""
    index = read_block_index(head, parts)
    networks: dict[int, list[str]] = {}
    for block, hall in unpack_blocks({name: parts[d] for name, d in index.items()}):
        networks.setdefault(hall, []).append(block)
    return [{"hall": halls[i]["name"], "networks": networks[i]} for i in sorted(networks)]


def read_block_index(head: Head, parts: Mapping[str, bytes]) -> dict[str, str]:
    """Return the digests of the chunks of client blocks, by chunk name."""
    return dict(_read_part(head, parts, BLOCK_INDEX))


def list_missing(head: Head, parts: Mapping[str, bytes]) -> list[str]:
    """List the digests of a head's parts that are not in ``parts`` and must be fetched."""
    return sorted(set(head.parts.values()) - set(parts))


def is_newer(head: Head, current: Head | None) -> bool:
    """Check whether a head is newer than the current one, since an entry applies no older one."""
    return current is None or head.revision > current.revision


def _get_number(name: str) -> int:
    """Return the number of a chunk such as ``targets/3``."""
    return int(name.rpartition("/")[2])


def _read_part(head: Head, parts: Mapping[str, bytes], name: str) -> Any:
    """Check a part against its digest and decode it.

    Raises
    ------
    SettingsError
        If the part is missing or damaged.
    """
    wanted = head.parts.get(name, "")
    value = parts.get(wanted)
    if value is None or digest(value) != wanted:
        raise SettingsError(
            f"Part {name} of revision {head.revision} is missing or damaged.",
            remedy="Fetch it again from the platform or a peer.",
        )
    return msgspec.msgpack.decode(value)
