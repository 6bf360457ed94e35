"""Plays seeds by hand: `python -m tests.soak --seeds 50`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import typer

from tests.soak.plans import make_plan
from tests.soak.runs import play_seed

JOBS = 4
"""Runs at a time; each has three hosts of its own."""


def main(seeds: int = 50, first: int = 0, jobs: int = JOBS) -> None:
    """Play `seeds` seeds from `first` on (0 for a fresh one); ends with 1 if any was broken."""
    begin = first or int(time.time())
    failed = asyncio.run(_play(range(begin, begin + seeds), jobs))
    print(f"{seeds} seeds from {begin}: {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


async def _play(seeds: range, jobs: int) -> list[int]:
    slots = asyncio.Semaphore(jobs)
    failed: list[int] = []

    async def play(seed: int) -> None:
        async with slots:
            directory = Path(tempfile.mkdtemp(prefix=f"lentilpath-soak-{seed}-"))
            problems = await play_seed(seed, directory)
        if problems:
            failed.append(seed)
            print(f"seed {seed}: logs in {directory}")
            for fault in make_plan(seed):
                print(f"  {fault}")
            for problem in problems:
                print(f"  {problem}")

    await asyncio.gather(*(play(seed) for seed in seeds))
    return sorted(failed)


if __name__ == "__main__":
    typer.run(main)
