"""Property: decoders of data from outside return a bounded value or raise a `HalldoorError`."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.errors import HalldoorError
from halldoor.gateway.store import StoredItem
from properties import decoders, entry_decoders
from properties.decoders import PLAIN, PLATFORM, TEXT
from properties.oddvalues import (
    ODD_JSON,
    ODD_MESSAGEPACK,
    ODD_TEXT,
    Decoder,
    assert_bounded,
    assert_decodes_or_rejects,
    assert_odd_values_rejected,
)


def join_tables(name: str) -> dict[str, Decoder]:
    """Join the decoders of gateways and of entries for a format."""
    entries = getattr(entry_decoders, name).items()
    return getattr(decoders, name) | {f"entry-{key}": decoder for key, decoder in entries}


JSON, MESSAGEPACK = join_tables("JSON"), join_tables("MESSAGEPACK")
ALL = JSON | MESSAGEPACK | join_tables("TEXT")


@pytest.mark.parametrize("name", JSON)
def test_odd_value_in_json_is_bounded_or_rejected(name):
    assert_odd_values_rejected(JSON[name], msgspec.json, ODD_JSON)


@pytest.mark.parametrize("name", MESSAGEPACK)
def test_odd_value_in_messagepack_is_bounded_or_rejected(name):
    assert_odd_values_rejected(MESSAGEPACK[name], msgspec.msgpack, ODD_MESSAGEPACK)


@pytest.mark.parametrize("name", TEXT)
def test_odd_figure_in_text_is_bounded_or_rejected(name):
    """Each run of digits or letters of the example is replaced."""
    decoder = TEXT[name]
    assert_bounded(decoder.decode(decoder.example))
    example = decoder.example
    for start, end in itertools.combinations(range(min(len(example), 40) + 1), 2):
        for odd in ODD_TEXT if end - start <= 4 else ():
            assert_decodes_or_rejects(decoder, example[:start] + odd + example[end:])


@settings(max_examples=60)
@pytest.mark.parametrize("name", ALL)
@given(noise=st.binary(max_size=300), at=st.integers(0, 400), length=st.integers(0, 20))
def test_any_bytes_are_decoded_or_rejected(name, noise, at, length):
    """Random bytes, and the example with some of its bytes replaced."""
    decoder = ALL[name]
    for data in (noise, decoder.example[:at] + noise[:20] + decoder.example[at + length :]):
        assert_decodes_or_rejects(decoder, data)


@settings(max_examples=200)
@given(
    prefix=st.sampled_from(
        ["op/config", "op/evacuate/", "servers/", "halldoor/entries/", "targets/", "entries/", ""]
    ),
    rest=st.text(max_size=20),
    value=st.one_of(st.none(), st.sampled_from([d.example for d in decoders.JSON.values()])),
)
def test_any_key_is_decoded_or_rejected(prefix, rest, value):
    for codec in (PLATFORM, PLAIN):
        decode: Callable[[StoredItem], Any] = codec.decode
        with contextlib.suppress(HalldoorError):
            assert_bounded(decode(StoredItem(prefix + rest, value)))


def test_list_of_decoders_has_no_gap():
    """Each message that entries send each other has a decoder in the list."""
    names = {"Report", "Shares", "Observation", "Evidence", "ColdNotice", "LimitNotice"}
    assert names | {"LeavingNotice", "StoreNotice", "EntryLoad"} <= decoders.MESSAGEPACK.keys()
