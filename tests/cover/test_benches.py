"""Benches call the product as it is today: each can be imported, and mypy checks their calls."""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SCRIPTS = ROOT / "benches" / "requests"
"""Scripts that import each other by their bare names."""


def list_modules() -> list[str]:
    paths = sorted((ROOT / "benches").rglob("*.py"))
    return [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in paths
        if path.name != "__init__.py"
    ]


@pytest.mark.parametrize("name", list_modules())
def test_a_bench_can_be_imported(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.syspath_prepend(str(SCRIPTS))
    importlib.import_module(name)
