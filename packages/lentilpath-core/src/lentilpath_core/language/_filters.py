"""Conditions of a `where`, applied to rows."""

from __future__ import annotations

from lentilpath_core.language._commands import Comparison, Condition
from lentilpath_core.language._tables import Cell, Table


def filter_table(table: Table, conditions: tuple[Condition, ...], limit: int | None) -> Table:
    """Return the rows of `table` that meet all conditions, at most `limit` of them."""
    places = {column: index for index, column in enumerate(table.columns)}
    checks = [(places[condition.field], condition) for condition in conditions]
    rows = [row for row in table.rows if all(meets(row[place], c) for place, c in checks)]
    return Table(table.columns, tuple(rows if limit is None else rows[:limit]))


def meets(cell: Cell, condition: Condition) -> bool:
    """Return whether `cell` meets `condition`; numbers compare as numbers, text as text."""
    comparison = condition.comparison
    matches = any(_compare(cell, comparison, value) for value in condition.values)
    if comparison is Comparison.UNEQUAL:
        return all(_compare(cell, comparison, value) for value in condition.values)
    return matches


def _compare(cell: Cell, comparison: Comparison, value: str) -> bool:
    text = "" if cell is None else str(cell)
    if comparison is Comparison.CONTAINS:
        return value.lower() in text.lower()
    if comparison is Comparison.EQUAL:
        return text.lower() == value.lower()
    if comparison is Comparison.UNEQUAL:
        return text.lower() != value.lower()
    left: int | str = text
    right: int | str = value
    if isinstance(cell, int) and value.lstrip("-").isdigit():
        left, right = cell, int(value)
    return _is_ordered(left, comparison, right)


def _is_ordered(left: int | str, comparison: Comparison, right: int | str) -> bool:
    if type(left) is not type(right):
        left, right = str(left), str(right)
    below: bool = left < right  # type: ignore[operator]
    equal = left == right
    if comparison is Comparison.LESS:
        return below
    if comparison is Comparison.AT_MOST:
        return below or equal
    if comparison is Comparison.GREATER:
        return not below and not equal
    return not below
