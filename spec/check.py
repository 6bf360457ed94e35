"""Check the Promela models with spin: `check.py model` or `check.py mutants`.

`model` searches all states of each model and fails on a violation or an incomplete search.
`mutants` leaves out one rule of a model at a time and fails unless spin finds a counterexample.
The head of each model describes its mutants.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

SPEC_DIRECTORY = Path(__file__).resolve().parent
MEMORY_LIMIT_MIB = 8_000
MAX_DEPTH = 1_000_000
SEARCH_FLAGS = ("-O3", "-w", "-DSAFETY", "-DNOREDUCE", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_LIMIT_MIB}")
BREADTH_FIRST_FLAGS = ("-DBFS",)


@dataclass(frozen=True)
class Model:
    """A Promela model with its mutants and the bounds of the searches for both."""

    name: str
    bounds: tuple[str, ...]
    mutant_bounds: tuple[str, ...]
    mutants: tuple[str, ...]
    mutant_flags: tuple[str, ...] = BREADTH_FIRST_FLAGS
    """Compiler options for mutants. A depth-first search reaches long counterexamples sooner."""


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
    # A worker is partitioned from both leaders.
    Model(
        "pool",
        ("TICKS=6",),
        ("TICKS=7", "LEASE=2"),
        ("CONFIRMED", "FENCE", "SENT_LEASE", "UNSETTLED", "LAPSE_MARGIN", "UNSTORED_END"),
    ),
    # A leader is cut off from the table, and from the other leader with its worker.
    Model(
        "pool",
        ("TICKS=7", "CUT", "EPOCHS=2"),
        ("TICKS=9", "CUT", "EPOCHS=2", "IN_TOUCH=3"),
        ("MAJORITY", "NOTICE_WAIT"),
        (),
    ),
    # The same with leases that are longer than what is left of them without word from the table.
    Model(
        "pool",
        ("TICKS=9", "CUT", "EPOCHS=2", "IN_TOUCH=3", "LEASE=2", "UNCONFIRMED_LEASE=3"),
        ("TICKS=9", "CUT", "EPOCHS=2", "IN_TOUCH=3", "LEASE=2", "UNCONFIRMED_LEASE=3"),
        ("UNCONFIRMED_LEASE",),
        (),
    ),
    # Silent workers are suspended, while a leader is cut off from the table with one or both.
    Model(
        "pool",
        ("TICKS=7", "SUSPEND", "CUT"),
        ("TICKS=6", "SUSPEND", "CUT", "IN_TOUCH=2"),
        ("EARLY_RESUME", "STALE_LIST", "SUSPENSION_BOUND", "SUSPENSION_RESTART"),
        (),
    ),
    # A renewal of the leadership is done late, after newer ones, or never.
    Model(
        "pool",
        ("TICKS=6", "LATE", "EPOCHS=2", "LEADERSHIP_LEASE=2"),
        ("TICKS=6", "LATE", "EPOCHS=2", "LEADERSHIP_LEASE=2"),
        ("ROW_END",),
    ),
    # The same while a leader is cut off, and with silent workers that are suspended.
    Model("pool", ("TICKS=6", "CUT", "EPOCHS=2", "LATE"), (), ()),
    Model("pool", ("TICKS=6", "SUSPEND", "CUT", "LATE"), (), ()),
    # The table is away for all.
    Model("pool", ("TICKS=6", "OUTAGE", "EPOCHS=2"), (), ()),
)


@dataclass(frozen=True)
class Search:
    """Result of one run of the verifier that spin generated."""

    errors: int
    states: int
    depth: int
    seconds: float
    finished: bool


def search_model(model: Model, macros: tuple[str, ...], flags: tuple[str, ...]) -> Search:
    """Build the verifier of `model` with `macros` defined, run it and return its result.

    `flags` are further compiler options. Raises `CalledProcessError` if spin, gcc or the verifier
    fails.
    """
    with tempfile.TemporaryDirectory() as directory:
        source = SPEC_DIRECTORY / f"{model.name}.pml"
        run(["spin", "-a", *(f"-D{macro}" for macro in macros), str(source)], directory)
        run(["gcc", *SEARCH_FLAGS, *flags, "-o", "pan", "pan.c"], directory)
        output = run(["./pan", f"-m{MAX_DEPTH}"], directory)
    return parse_output(output)


def run(command: list[str], directory: str) -> str:
    """Run `command` in `directory` and return its standard output."""
    result = subprocess.run(command, cwd=directory, capture_output=True, text=True, check=True)
    return result.stdout


def parse_output(output: str) -> Search:
    """Parse the verifier's summary. A search that hit a memory or depth limit is not finished."""
    unfinished = ("Search not completed", "max search depth too small", "out of memory")
    return Search(
        errors=int(match_group(r"errors: (\d+)", output)),
        states=int(float(match_group(r"([\d.e+]+) states, stored", output))),
        depth=int(match_group(r"depth reached (\d+)", output)),
        seconds=float(match_group(r"elapsed time ([\d.e+]+) seconds", output)),
        finished=not any(text in output for text in unfinished),
    )


def match_group(pattern: str, output: str) -> str:
    """Return the first group of `pattern` in `output`. Exits if nothing matches."""
    match = re.search(pattern, output)
    if match is None:
        raise SystemExit(f"the verifier's output does not match {pattern!r}:\n{output}")
    return match.group(1)


def check_models() -> bool:
    """Search all models and return whether every search finished without a violation."""
    all_passed = True
    for model in MODELS:
        search = search_model(model, model.bounds, ())
        passed = search.finished and search.errors == 0
        all_passed = all_passed and passed
        print(
            f"{model.name}: {'no violation' if passed else 'FAILED'}, "
            f"search {'finished' if search.finished else 'NOT finished'}, "
            f"{search.states} states, depth {search.depth}, bounds {' '.join(model.bounds)}, "
            f"{search.seconds:.1f} s",
            flush=True,
        )
    return all_passed


def check_mutants() -> bool:
    """Search every mutant and return whether each search found a counterexample."""
    all_found = True
    for model in MODELS:
        for mutant in model.mutants:
            macros = (*model.mutant_bounds, f"MUTANT_{mutant}")
            search = search_model(model, macros, model.mutant_flags)
            all_found = all_found and search.errors > 0
            verdict = "counterexample" if search.errors else "NO COUNTEREXAMPLE"
            print(
                f"{model.name} without {mutant}: {verdict} at depth {search.depth}, "
                f"{search.states} states, {search.seconds:.1f} s",
                flush=True,
            )
    return all_found


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
