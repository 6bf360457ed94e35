"""Runs the soak test with many seeds: `python -m tests.soak --seeds 50`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import typer

from tests.soak.cuts import make_leader_cut
from tests.soak.plans import make_customer_plan, make_plan, make_worker_plan
from tests.soak.runs import run_leader_cut, run_lost_renewals, run_seed

RunSeed = Callable[[int, Path], Awaitable[list[str]]]
"""Runs a seed and returns the violations; keeps logs in the directory."""
JOBS = 4
"""Number of concurrent runs; each has its own three entry hosts."""


def main(
    seeds: int = 50,
    first: int = 0,
    jobs: int = JOBS,
    disrupts_workers: bool = True,
    cuts_leader: bool = False,
    loses_renewals: bool = False,
) -> None:
    """Run `seeds` seeds from `first` on (0: from the current time); exits with 1 if any fails.

    With `--cuts-leader` the leader is cut off with some of the workers, and nothing else happens.
    With `--loses-renewals` writes of the leader get no answer, and are done late or never.
    The seeds in `regressions.py` need `--no-disrupts-workers`.
    """
    first_seed = first or int(time.time())
    chosen = range(first_seed, first_seed + seeds)
    if cuts_leader:
        failed = asyncio.run(_run_alone(run_leader_cut, make_leader_cut, chosen, jobs))
    elif loses_renewals:
        lost = "writes of the leader get no answer"
        failed = asyncio.run(_run_alone(run_lost_renewals, lambda seed: lost, chosen, jobs))
    else:
        failed = asyncio.run(_run_seeds(chosen, jobs, disrupts_workers))
    print(f"{seeds} seeds from {first_seed}: {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


async def _run_seeds(seeds: range, jobs: int, disrupts_workers: bool) -> list[int]:
    slots = asyncio.Semaphore(jobs)
    failed: list[int] = []

    async def run_one(seed: int) -> None:
        async with slots:
            directory = Path(tempfile.mkdtemp(prefix=f"lentilpath-soak-{seed}-"))
            problems = await run_seed(seed, directory, disrupts_workers=disrupts_workers)
        if problems:
            failed.append(seed)
            print(f"seed {seed}: logs in {directory}")
            for fault in make_plan(seed):
                print(f"  {fault}")
            if disrupts_workers:
                print(f"  {make_worker_plan(seed)}")
                print(f"  {make_customer_plan(seed)}")
            for problem in problems:
                print(f"  {problem}")

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    return sorted(failed)


async def _run_alone(
    run: RunSeed, describe: Callable[[int], object], seeds: range, jobs: int
) -> list[int]:
    """Run seeds that have one kind of fault; return those that failed."""
    slots = asyncio.Semaphore(jobs)
    failed: list[int] = []

    async def run_one(seed: int) -> None:
        async with slots:
            directory = Path(tempfile.mkdtemp(prefix=f"lentilpath-soak-{seed}-"))
            problems = await run(seed, directory)
        if problems:
            failed.append(seed)
            print(f"seed {seed}: {describe(seed)}, logs in {directory}")
            for problem in problems:
                print(f"  {problem}")

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    return sorted(failed)


if __name__ == "__main__":
    typer.run(main)
