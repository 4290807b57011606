"""Label selectors, such as ``service=reading,region!=north``."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from halldoor.core.errors import SettingsError

_REMEDY = "Try terms such as 'service=reading', 'tier!=old' or 'region in (west|east)', by commas."


class Term(NamedTuple):
    """One condition on one label."""

    key: str
    values: tuple[str, ...]
    negated: bool

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether the labels meet the condition."""
        return (labels.get(self.key) in self.values) != self.negated


class Selector(NamedTuple):
    """A conjunction of terms; without terms it matches everything."""

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
            Where a term can't be read.

        Examples
        --------
        >>> Selector.from_text("service=reading").matches({"service": "reading"})
        True
        """
        terms = tuple(_parse_term(part.strip()) for part in text.split(",") if part.strip())
        return cls(text, terms)

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether the labels meet every term."""
        return all(term.matches(labels) for term in self.terms)


def _parse_term(part: str) -> Term:
    """Parse one term."""
    if " in (" in part and part.endswith(")"):
        key, _, rest = part.partition(" in (")
        values = tuple(v.strip() for v in rest[:-1].split("|") if v.strip())
        negated = False
    else:
        operator = "!=" if "!=" in part else "="
        key, found, value = part.partition(operator)
        values = (value.strip(),) if found and value.strip() else ()
        negated = operator == "!="
    if not key.strip() or not values:
        raise SettingsError(f"Selector term {part!r} can't be read.", remedy=_REMEDY)
    return Term(key.strip(), values, negated)
