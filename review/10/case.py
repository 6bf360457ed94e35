"""A quarter of many jobs of small tasks is cancelled at once."""

from __future__ import annotations

import asyncio
import time

from standins2.case import is_troubled, run_case
from standins2.system import System, make_route

HOSTS, RUNNERS = 3, 24
JOBS, TASKS = 32, 50
"""Jobs, and the tasks of each; the widest step on the sheet of the site has 48."""
CANCELLED = 8
WAY_SECONDS = 0.020
"""One way between regions, by the sheet."""
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4
START_SECONDS = 45.0
"""Time for all tasks to be started."""


def work(task: str, spec: str) -> tuple[float, str]:
    """Return how long a task works."""
    return 100.0, "done"


async def submit_all(system: System, jobs: list[str]) -> None:
    """Hand in the jobs, and wait until all their tasks run."""
    step = {"count": TASKS, "cpu": 20, "memMb": 32, "estRuntimeMs": 100_000}
    for number, job in enumerate(jobs):
        host = system.hosts[number % HOSTS]
        status, _ = await host.call("POST", f"/q/{job}", {"spec": "batch", "steps": [step]})
        if status != 200:
            raise RuntimeError(f"{job} was not accepted: {status}")
    system.note(f"{JOBS} jobs are accepted")
    async with asyncio.timeout(START_SECONDS):
        while (
            sum(len(runner.running) for runner in system.runners) < JOBS * TASKS
        ):  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    busy = {runner.name: len(runner.running) for runner in system.runners if runner.running}
    system.note(f"all tasks run, by runner: {busy}")


async def cancel(system: System, jobs: list[str]) -> dict[str, float]:
    """Cancel the jobs at once; return when each cancelling was acknowledged."""
    acknowledged: dict[str, float] = {}

    async def cancel_one(number: int, job: str) -> None:
        status, _ = await system.hosts[number % HOSTS].call("DELETE", f"/q/{job}")
        if status == 200:
            acknowledged[job] = time.monotonic()
        system.note(f"DELETE {job}: {status}")

    await asyncio.gather(*(cancel_one(number, job) for number, job in enumerate(jobs)))
    return acknowledged


async def play(system: System) -> list[str]:
    """Return the broken rules."""
    await system.open(
        HOSTS, RUNNERS, cpu=32_000, mem_mb=65_536, way_seconds=WAY_SECONDS, stop_seconds=0.1
    )
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    await submit_all(system, jobs)
    acknowledged = await cancel(system, jobs[::4] if is_troubled() else [])
    await asyncio.sleep(12.0)
    late = []
    for run in system.runs:
        cancelled_at = acknowledged.get(run.task.split(".")[0])
        if cancelled_at is not None:
            late.append((run.ended or time.monotonic()) - cancelled_at)
    late = [each for each in late if each > CANCEL_SECONDS + STOP_SECONDS]
    others = [run for run in system.runs if run.task.split(".")[0] not in acknowledged]
    stopped = sum(run.ended is not None for run in others)
    system.note(f"{stopped} tasks of other jobs have ended")
    if not late:
        return []
    return [
        f"UNASKED: {len(late)} tasks of cancelled jobs ran on for more than 3.4 s after the"
        f" cancelling was acknowledged, the last one for {max(late):.1f} s"
    ]


if __name__ == "__main__":
    run_case(__file__, System([make_route("q")], work), play)
