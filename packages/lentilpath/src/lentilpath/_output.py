"""Formats answers of the API as text tables."""

from __future__ import annotations

from typing import Any

MAX_CELL_WIDTH = 72


def format_answer(answer: dict[str, Any]) -> str:
    """Return the table and the message of an answer as text."""
    parts: list[str] = []
    table = answer.get("table")
    if table is not None:
        parts.append(format_table(table["columns"], table["rows"]))
    if answer.get("message"):
        parts.append(f"{answer['outcome']}: {answer['message']}")
    if answer.get("id"):
        parts.append(f"id {answer['id']}")
    if answer.get("partial"):
        parts.append(
            "no answer from zone " + ", ".join(answer["partial"]) + "; rows may be missing"
        )
    return "\n".join(parts)


def format_table(columns: list[str], rows: list[list[Any]]) -> str:
    """Return a text table with a header and a row count; columns of integers align right."""
    if not rows:
        return "(no rows)"
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(column), *(len(row[index]) for row in texts))
        for index, column in enumerate(columns)
    ]
    numeric = [all(isinstance(row[index], int) for row in rows) for index in range(len(columns))]
    lines = [_format_line(columns, widths, numeric)]
    lines.append("  ".join("-" * width for width in widths))
    lines.extend(_format_line(row, widths, numeric) for row in texts)
    lines.append(f"({len(rows)} row{'' if len(rows) == 1 else 's'})")
    return "\n".join(lines)


def _format_line(cells: list[str], widths: list[int], numeric: list[bool]) -> str:
    padded = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    ]
    return "  ".join(padded).rstrip()


def _format_cell(cell: Any) -> str:
    if cell is None:
        return "?"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    text = " ".join(str(cell).split())
    return text if len(text) <= MAX_CELL_WIDTH else text[: MAX_CELL_WIDTH - 1] + "…"
