"""Numeric constants of the pool and of the platform adapter have a docstring with their reason."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
FOLDERS = (
    "packages/lentilpathd/src/lentilpathd/_pool",
    "packages/lentilpath-core/src/lentilpath_core/pool",
    "platform/lentilpath_platform",
)
EXEMPT_PREFIXES = ("HTTP_", "EXIT_", "MS_PER_", "_MS_PER_")
"""Status codes, exit codes and units are fixed by a standard or by definition."""


def list_modules() -> list[Path]:
    return sorted(path for folder in FOLDERS for path in (ROOT / folder).glob("*.py"))


def is_number(node: ast.expr) -> bool:
    return isinstance(node, ast.Constant) and type(node.value) in (int, float)


def list_undocumented(source: str) -> list[str]:
    """Return the names of the numeric module constants that no docstring follows."""
    body = ast.parse(source).body
    found: list[str] = []
    for node, next_node in zip(body, [*body[1:], ast.Pass()], strict=True):
        if not isinstance(node, ast.Assign) or not is_number(node.value):
            continue
        target = node.targets[0]
        assert isinstance(target, ast.Name)
        has_docstring = isinstance(next_node, ast.Expr) and isinstance(
            next_node.value, ast.Constant
        )
        if not has_docstring and not target.id.startswith(EXEMPT_PREFIXES):
            found.append(target.id)
    return found


@pytest.mark.parametrize("path", list_modules(), ids=lambda path: path.name)
def test_every_numeric_constant_is_explained(path: Path) -> None:
    assert list_undocumented(path.read_text()) == []


def test_a_constant_without_a_docstring_is_found() -> None:
    assert list_undocumented("A = 1\nB = 2.0\n") == ["A", "B"]
    assert list_undocumented('A = 1\n"""Why."""\nB = 2\n') == ["B"]
