"""Benches call the product as it is today: each can be imported, and mypy checks their calls."""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest
from benches.lateness import Phase, read_jobs, read_lines

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


@pytest.mark.parametrize("name", list_modules())
def test_importing_a_bench_runs_nothing(name: str) -> None:
    """A bench that ran when it was imported spoke over ports that another run of CI also used."""
    tree = ast.parse((ROOT / name.replace(".", "/")).with_suffix(".py").read_text())
    calls = [each for each in tree.body if isinstance(each, ast.Expr | ast.For | ast.While)]
    assert [each.lineno for each in calls if not _is_docstring(each)] == []


def _is_docstring(node: ast.stmt) -> bool:
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


LOG = """
   1.0000 h1 {"at": 101.0, "event": 522, "job": "a", "queue": "q"}
   1.1000 h1 {"at": 101.1, "event": 523, "job": "a"}
   1.2000 h1 {"at": 101.2, "event": 525, "task": "a/0/0/0", "run": 1}
   2.5 h1 {"at": 102.5, "event": 527, "task": "a/0/0/0", "run": 1, "end": "done", "stored_ms": 300}
   2.7000 h1 {"at": 102.6, "event": 524, "job": "a", "state": "completed", "stored_ms": 100}
a line of the bench
   3.0000 h1 {"at": 103.0, "event": 5
"""


def test_the_phases_of_a_job_add_up_to_the_time_until_its_final_state_is_stored():
    job = read_jobs(read_lines(LOG.splitlines()))["a"]
    phases = job.measure_phases()
    assert sum(phases.values()) == pytest.approx(1.6)
    assert phases[Phase.WORK] == pytest.approx(1.0)
    assert phases[Phase.STORING] == pytest.approx(0.3)
    assert phases[Phase.FINAL] == pytest.approx(0.1)
