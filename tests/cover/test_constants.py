"""Every number that the platform's code is tuned by says where it comes from."""

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
NAMED_BY_A_STANDARD = ("HTTP_", "EXIT_", "MS_PER_", "_MS_PER_")
"""Status codes, exit codes and units have no choice in them."""


def list_modules() -> list[Path]:
    return sorted(path for folder in FOLDERS for path in (ROOT / folder).glob("*.py"))


def is_number(node: ast.expr) -> bool:
    return isinstance(node, ast.Constant) and type(node.value) in (int, float)


def list_unexplained(source: str) -> list[str]:
    """Return the numeric constants of a module that no text of their own follows."""
    body = ast.parse(source).body
    found: list[str] = []
    for node, after in zip(body, [*body[1:], ast.Pass()], strict=True):
        if not isinstance(node, ast.Assign) or not is_number(node.value):
            continue
        target = node.targets[0]
        assert isinstance(target, ast.Name)
        has_text = isinstance(after, ast.Expr) and isinstance(after.value, ast.Constant)
        if not has_text and not target.id.startswith(NAMED_BY_A_STANDARD):
            found.append(target.id)
    return found


@pytest.mark.parametrize("path", list_modules(), ids=lambda path: path.name)
def test_every_numeric_constant_is_explained(path: Path) -> None:
    assert list_unexplained(path.read_text()) == []


def test_a_constant_without_a_text_is_found() -> None:
    assert list_unexplained("A = 1\nB = 2.0\n") == ["A", "B"]
    assert list_unexplained('A = 1\n"""Why."""\nB = 2\n') == ["B"]
