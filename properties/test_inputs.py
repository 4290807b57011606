"""Property: any input from outside is accepted or raises a `HalldoorError`, nothing else."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from halldoor.core.errors import HalldoorError, PeerError
from halldoor.core.explaining.decision import (
    Decision,
    DecisionError,
    PassedOver,
    read_decision,
    sign_decision,
)
from halldoor.core.orders import claim as claims
from halldoor.core.orders.claim import Claim, Shard, claim_operations, decode_shard, encode_shard
from halldoor.core.orders.ticket import decode_ticket
from halldoor.core.steering.configuration import Configuration
from halldoor.core.steering.selector import Selector
from halldoor.files import parse_yaml
from halldoor.standins.sample import make_configuration
from halldoor.wire.protocol import answer_call, decode_reply, encode_call, idl

KEY = b"key" * 6
# Values of types that most fields of the configuration don't have.
WRONG = st.one_of(
    st.none(), st.integers(), st.text(max_size=5), st.lists(st.integers(), max_size=2)
)


class Anything:
    """Handler of calls that accepts every method."""

    def __getattr__(self, name):
        return lambda *args, **kwargs: None


@given(st.binary(max_size=300), st.binary(max_size=40), st.integers(0, 80))
def test_damaged_frames_raise_only_peer_errors(noise, patch, at):
    """Frames of random bytes, and valid calls with some bytes replaced."""
    request = idl.LoanRequest(targets=["t1", "t2"], borrower="e", duration_ms=5)
    call = encode_call("borrow", 1, {"request": request})
    patched = call[:at] + patch + call[at + len(patch) :]
    for frame in (noise, patched):
        with contextlib.suppress(PeerError):
            answer_call(Anything(), frame)
        with contextlib.suppress(PeerError):
            decode_reply("borrow", 1, frame)


@given(st.text(max_size=200))
def test_any_text_decodes_as_a_ticket_or_none(text):
    assert decode_ticket(text) is None or decode_ticket(text)[0].issuer is not None


@given(st.text(max_size=120))
def test_unsigned_decision_records_are_refused(text):
    with pytest.raises(DecisionError):
        read_decision(text, KEY)


@given(st.lists(st.text(max_size=20), max_size=30))
def test_signed_decision_is_read_back(names):
    decision = Decision(
        *("id", "e", 3, "s", "op", "net", "a=b", "default", "", "h", "t", "served", 1),
        [PassedOver(n, "why") for n in names],
    )
    read = read_decision(sign_decision(decision, KEY), KEY)
    assert read.id == "id"
    assert read.passed_over == decision.passed_over[:12]


@given(st.text(max_size=60))
def test_invalid_selectors_raise_only_halldoor_errors(text):
    with contextlib.suppress(HalldoorError):
        Selector.from_text(text).matches({"a": "b"})


@given(st.text(alphabet="[]{}:,-&*ab1 \n'\"!", max_size=80))
def test_invalid_yaml_raises_only_halldoor_errors(text):
    with contextlib.suppress(HalldoorError):
        Configuration.from_data(parse_yaml(text, origin="x"))


@settings(max_examples=120)
@given(st.data())
def test_configuration_with_one_replaced_value_raises_only_halldoor_errors(data):
    whole = make_configuration(halls={"a1": 1})
    section = data.draw(st.sampled_from(sorted(whole)))
    row = data.draw(st.sampled_from(whole[section])) if whole[section] else None
    if row is None:
        return
    field = data.draw(st.sampled_from(sorted(row)))
    row[field] = data.draw(WRONG)
    with contextlib.suppress(HalldoorError):
        Configuration.from_data(whole)


def make_id(number):
    """Build an operation id whose time, in its first 48 bits, is a number of milliseconds."""
    value = f"{number:012x}"
    return f"{value[:8]}-{value[8:]}-7000-8000-000000000000"


@given(st.lists(st.integers(1, 60), min_size=1, max_size=120))
def test_an_id_is_never_claimed_twice_even_when_shards_overflow(numbers):
    """Shards drop old claims; a dropped claim is below the floor, so it is unknown, not free."""
    limit, claims.CLAIMS_PER_SHARD = claims.CLAIMS_PER_SHARD, 8
    try:
        shard, granted = Shard(), {}
        for turn, number in enumerate(numbers):
            me, operation = Claim("e", f"i{turn}"), make_id(number)
            outcome = claim_operations(shard, [operation], me)
            shard = decode_shard(encode_shard(outcome.shard))
            if outcome.holders[operation] == me:
                assert operation not in granted
                granted[operation] = me
            assert len(shard.claims) <= 9
    finally:
        claims.CLAIMS_PER_SHARD = limit
