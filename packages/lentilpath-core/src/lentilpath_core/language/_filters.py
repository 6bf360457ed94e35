"""Filtering of rows by the conditions of a `where` clause."""

from __future__ import annotations

from lentilpath_core.language._commands import Comparison, Condition
from lentilpath_core.language._tables import Cell, Table


def filter_table(table: Table, conditions: tuple[Condition, ...], limit: int | None) -> Table:
    """Return the first rows of `table` that match all conditions, at most `limit` of them."""
    column_indexes = {column: index for index, column in enumerate(table.columns)}
    checks = [(column_indexes[condition.field], condition) for condition in conditions]
    rows = [
        row
        for row in table.rows
        if all(matches_condition(row[position], check) for position, check in checks)
    ]
    return Table(table.columns, tuple(rows if limit is None else rows[:limit]))


def matches_condition(cell: Cell, condition: Condition) -> bool:
    """Return whether `cell` matches `condition`; numbers compare as numbers, text as text."""
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
    return _compare_order(left, comparison, right)


def _compare_order(left: int | str, comparison: Comparison, right: int | str) -> bool:
    if type(left) is not type(right):
        left, right = str(left), str(right)
    is_less: bool = left < right  # type: ignore[operator]
    is_equal = left == right
    if comparison is Comparison.LESS:
        return is_less
    if comparison is Comparison.AT_MOST:
        return is_less or is_equal
    if comparison is Comparison.GREATER:
        return not is_less and not is_equal
    return not is_less
