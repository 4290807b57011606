"""Eras: the names of the copies of the store, numbers in most stores."""

from __future__ import annotations

from halldoor.core.decoding import MAX_DIGITS


def parse_era(era: str) -> int | None:
    """Return the number of a copy of the store; None if its era is not a number."""
    is_number = era.isascii() and era.isdecimal() and len(era) <= MAX_DIGITS
    return int(era) if is_number else None


def find_era_problem(before: str, era: str) -> str:
    """Return why the era of a restored store is not as expected; empty where it rose."""
    if not era:
        return "the store no longer says which copy it is"
    number, known = parse_era(era), parse_era(before)
    if number is None:
        return "it is not a number"
    if known is not None and number < known:
        return "it is lower than before"
    return ""
