"""Search the models with spin: `check.py model` or `check.py mutants`.

`model` searches each model to its end and fails on a violation or an unfinished search. `mutants`
leaves out one rule at a time and fails unless a counterexample is found.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

SPEC = Path(__file__).resolve().parent
MEMORY_LIMIT_MIB = 4_000
MAX_DEPTH = 1_000_000
SEARCH_FLAGS = ("-O3", "-w", "-DSAFETY", "-DNOREDUCE", f"-DMEMLIM={MEMORY_LIMIT_MIB}")
BREADTH_FIRST = ("-DBFS",)


@dataclass(frozen=True)
class Model:
    """One specification with the bounds of its full search and of the search for mutants."""

    name: str
    bounds: tuple[str, ...]
    mutant_bounds: tuple[str, ...]
    mutants: tuple[str, ...]


MODELS = (
    Model(
        "leadership",
        ("VERSIONS=2", "LEASE=2", "PROMISE=2", "HORIZON=3"),
        ("VERSIONS=2", "LEASE=1", "PROMISE=2", "HORIZON=3"),
        (
            "MARGIN",
            "SENT_TIME",
            "UNCLEAR",
            "PROMISE",
            "KEEPS_PROMISE",
            "REFUSAL",
            "UNION",
            "BOUND",
            "NEWCOMER",
            "RESTART",
            "RELEASE",
        ),
    ),
    Model(
        "workers",
        ("CALM_LIMIT=3",),
        ("CALM_LIMIT=3",),
        (
            "LEASE_MARGIN",
            "COMMAND_MARGIN",
            "NOT_AFTER",
            "RELEASE_WAIT",
            "UNSETTLED_RELEASE",
            "STALE_REPORT",
            "ASSUME_EMPTY",
            "UNREACHABLE",
            "REPORT_IGNORED",
        ),
    ),
    Model(
        "pool",
        ("TICKS=6",),
        ("TICKS=7",),
        (
            "CONFIRMED",
            "FENCE",
            "SENT_LEASE",
            "UNSETTLED",
            "LAPSE_MARGIN",
            "UNSTORED_END",
        ),
    ),
)


@dataclass(frozen=True)
class Search:
    """What one run of the checker said."""

    errors: int
    states: int
    depth: int
    seconds: float
    finished: bool


def search_model(model: Model, macros: tuple[str, ...], flags: tuple[str, ...]) -> Search:
    """Build the checker of `model` with `macros` set and run it to its end."""
    with tempfile.TemporaryDirectory() as directory:
        source = SPEC / f"{model.name}.pml"
        run(["spin", "-a", *(f"-D{macro}" for macro in macros), str(source)], directory)
        run(["gcc", *SEARCH_FLAGS, *flags, "-o", "pan", "pan.c"], directory)
        output = run(["./pan", f"-m{MAX_DEPTH}"], directory)
    return read_output(output)


def run(command: list[str], directory: str) -> str:
    """Run `command` and return what it printed."""
    result = subprocess.run(command, cwd=directory, capture_output=True, text=True, check=True)
    return result.stdout


def read_output(output: str) -> Search:
    """Read the checker's summary. A search that hit a limit is not finished."""
    unfinished = ("Search not completed", "max search depth too small", "out of memory")
    return Search(
        errors=int(find(r"errors: (\d+)", output)),
        states=int(float(find(r"([\d.e+]+) states, stored", output))),
        depth=int(find(r"depth reached (\d+)", output)),
        seconds=float(find(r"elapsed time ([\d.e+]+) seconds", output)),
        finished=not any(text in output for text in unfinished),
    )


def find(pattern: str, output: str) -> str:
    """Return the first group of `pattern`."""
    match = re.search(pattern, output)
    if match is None:
        raise SystemExit(f"the checker printed no {pattern!r}:\n{output}")
    return match.group(1)


def check_models() -> bool:
    """Search all models; return whether every search finished without a violation."""
    good = True
    for model in MODELS:
        search = search_model(model, model.bounds, ())
        passed = search.finished and search.errors == 0
        good = good and passed
        print(
            f"{model.name}: {'no violation' if passed else 'FAILED'}, "
            f"search {'finished' if search.finished else 'NOT finished'}, "
            f"{search.states} states, depth {search.depth}, bounds {' '.join(model.bounds)}, "
            f"{search.seconds:.1f} s",
            flush=True,
        )
    return good


def check_mutants() -> bool:
    """Leave out each rule in turn; return whether each gave a counterexample."""
    good = True
    for model in MODELS:
        for mutant in model.mutants:
            macros = (*model.mutant_bounds, f"MUTANT_{mutant}")
            search = search_model(model, macros, BREADTH_FIRST)
            good = good and search.errors > 0
            verdict = "counterexample" if search.errors else "NO COUNTEREXAMPLE"
            print(
                f"{model.name} without {mutant}: {verdict} at depth {search.depth}, "
                f"{search.states} states, {search.seconds:.1f} s",
                flush=True,
            )
    return good


def main() -> None:
    """Run the check named on the command line."""
    checks = {"model": check_models, "mutants": check_mutants}
    if len(sys.argv) != 2 or sys.argv[1] not in checks:
        raise SystemExit("usage: check.py model|mutants")
    for program in ("spin", "gcc"):
        if shutil.which(program) is None:
            raise SystemExit(f"{program} is not installed; on Debian: apt-get install spin gcc")
    if not checks[sys.argv[1]]():
        raise SystemExit(1)


if __name__ == "__main__":
    main()
