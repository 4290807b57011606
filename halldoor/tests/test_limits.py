"""The table of the limits that targets state, and their parsing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from halldoor.core.decoding import DecodingError
from halldoor.core.targets.limits import PROBE_S, LimitNotice, LimitTable, parse_limit


def make_table(limit_per_s=6.0):
    table = LimitTable("e1")
    table.add("t1", limit_per_s, 10.0, entries=10)
    return table


class TestLimitTable:
    def test_older_statement_is_ignored(self):
        table = make_table()
        assert not table.add("t1", None, 9.0, entries=10)
        assert table.get_limit("t1", 11.0) == 6.0

    def test_newer_statement_changes_the_limit(self):
        table = make_table()
        assert table.add("t1", 3.0, 11.0, entries=10)
        assert table.get_limit("t1", 11.0) == 3.0

    def test_rate_doubles_each_second_after_the_end_of_a_limit(self):
        table = make_table(0.0)
        table.add("t1", None, 20.0, entries=10)
        limits = [table.get_limit("t1", 20.0 + s) for s in range(5)]
        assert limits == [1.0, 2.0, 4.0, 8.0, None]

    def test_first_statement_without_a_limit_changes_nothing(self):
        assert not LimitTable("e1").add("t1", None, 1.0, entries=3)

    @pytest.mark.parametrize(("limit_per_s", "entries"), [(6.0, 10), (0.0, 10), (0.3, 300)])
    def test_probes_without_statements_stay_below_the_limit(self, limit_per_s, entries):
        table = make_table()
        table.add("t1", limit_per_s, 11.0, entries=entries)
        least_s = max(PROBE_S, entries / max(limit_per_s, 0.25))
        assert not table.can_probe("t1", 11.0 + 0.99 * least_s)
        assert table.can_probe("t1", 11.0 + 1.5 * least_s)

    @given(
        statements=st.permutations(range(6)),
        limits=st.lists(st.one_of(st.none(), st.floats(0, 50)), min_size=6, max_size=6),
    )
    def test_the_order_in_which_statements_arrive_does_not_matter(self, statements, limits):
        """The newest statement counts, even if others are lost, late or duplicated."""
        table = make_table()
        for i in [*statements, *statements]:
            table.add("t1", limits[i], 20.0 + i, entries=10)
        if limits[5] is None:
            # The ramp-up after the limit is over, or the limit ended before.
            assert table.get_limit("t1", 25.0 + 4.0) is None
        else:
            assert table.get_limit("t1", 25.0) == limits[5]


class TestParsing:
    @pytest.mark.parametrize("value", [b"none", b"-0.1", b"nan", b"inf", b"1,5"])
    def test_invalid_limit_raises_decoding_error(self, value):
        with pytest.raises(DecodingError, match=r"not a number|is not from 0"):
            parse_limit(value)

    def test_missing_field_is_no_limit(self):
        assert parse_limit(b"") is None
        assert parse_limit(b"0") == 0.0

    @pytest.mark.parametrize(("limit", "age"), [(-1.0, 0.0), (float("nan"), 0.0), (1.0, -1.0)])
    def test_notice_with_a_limit_or_age_out_of_range_is_invalid(self, limit, age):
        assert not LimitNotice("t1", 0, limit, age).is_valid
