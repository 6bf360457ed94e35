"""Runs a case: the record, the time limit and the exit code."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins2.runner import Run
from standins2.system import System

LIMIT_SECONDS = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_LISTED_RUNS = 400


def is_troubled() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(file: str, system: System, play: Callable[[System], Awaitable[list[str]]]) -> None:
    """Play, write `record.txt` beside `file`, and exit: 1 if the play returns broken rules."""
    code, result = asyncio.run(_run(system, play))
    record = Path(file).resolve().parent / "record.txt"
    lines = [f"TROUBLE={int(is_troubled())}", *system.lines, "", "runs:"]
    runs = system.runs[:MAX_LISTED_RUNS]
    lines += [_show_run(run, system.began) for run in runs]
    if len(system.runs) > len(runs):
        lines.append(f"... and {len(system.runs) - len(runs)} more")
    lines += ["", "result:", *result]
    record.write_text("\n".join(lines) + "\n")
    print("\n".join(result))
    shutil.rmtree(system.folder, ignore_errors=True)
    sys.exit(code)


async def _run(
    system: System, play: Callable[[System], Awaitable[list[str]]]
) -> tuple[int, list[str]]:
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            broken = await play(system)
    except Exception:
        return NOT_RUN, ["the case could not run", traceback.format_exc()]
    finally:
        await system.close()
    if broken:
        return BROKEN, broken
    return HELD, ["the rule held"]


def _show_run(run: Run, began: float) -> str:
    ended = f"{run.ended - began:8.3f}" if run.ended is not None else "   (on)"
    noted = f", noted at {run.noted - began:.3f}" if run.noted is not None else ""
    return (
        f"{run.began - began:8.3f} to {ended} {run.runner} {run.task} run {run.number}"
        f" {run.how}{noted}"
    )
