"""Label selectors, such as ``service=reading,region!=north``."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from halldoor.core.errors import SettingsError

_REMEDY = "Try terms such as 'service=reading', 'tier!=old' or 'region in (west|east)', by commas."


class Term(NamedTuple):
    """A condition on one label: its value must be, or must not be, one of ``values``."""

    key: str
    values: tuple[str, ...]
    negated: bool

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Check whether the labels meet the condition."""
        return (labels.get(self.key) in self.values) != self.negated


class Selector(NamedTuple):
    """A conjunction of terms; without terms it matches all labels."""

    text: str
    terms: tuple[Term, ...]

    @classmethod
    def from_text(cls, text: str) -> Selector:
        """Parse a selector.

        Parameters
        ----------
        text : str
            Terms separated by commas: ``k=v``, ``k!=v`` or ``k in (a|b)``.

        Raises
        ------
        SettingsError
            If a term can't be parsed.

        Examples
        --------
        >>> Selector.from_text("service=reading").matches({"service": "reading"})
        True
        """
        terms = tuple(_parse_term(part.strip()) for part in text.split(",") if part.strip())
        return cls(text, terms)

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Check whether the labels meet every term."""
        return all(term.matches(labels) for term in self.terms)


class LabelIndex:
    """Index that finds the matches of a selector without checking every item.

    Parameters
    ----------
    items : iterable of (str, mapping)
        Names with their labels, in the order in which `find` lists matches.
    """

    def __init__(self, items: Iterable[tuple[str, Mapping[str, str]]]) -> None:
        self._items = list(items)
        self._by_label: dict[tuple[str, str], set[int]] = {}
        for i, (_, labels) in enumerate(self._items):
            for label in labels.items():
                self._by_label.setdefault(label, set()).add(i)

    def find(self, selector: Selector) -> list[str]:
        """List the names whose labels match a selector, in the order of the items."""
        found: set[int] | None = None
        for term in selector.terms:
            if not term.negated:
                matches = set().union(
                    *(self._by_label.get((term.key, value), set()) for value in term.values)
                )
                found = matches if found is None else found & matches
        numbers = range(len(self._items)) if found is None else sorted(found)
        return [self._items[i][0] for i in numbers if selector.matches(self._items[i][1])]


def _parse_term(part: str) -> Term:
    """Parse one term of a selector.

    Raises
    ------
    SettingsError
        If it can't be parsed.
    """
    if " in (" in part and part.endswith(")"):
        key, _, values_text = part.partition(" in (")
        values = tuple(v.strip() for v in values_text[:-1].split("|") if v.strip())
        negated = False
    else:
        operator = "!=" if "!=" in part else "="
        key, found, value = part.partition(operator)
        values = (value.strip(),) if found and value.strip() else ()
        negated = operator == "!="
    if not key.strip() or not values:
        raise SettingsError(f"Selector term {part!r} can't be read.", remedy=_REMEDY)
    return Term(key.strip(), values, negated)
