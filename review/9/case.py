"""A runner begins to drain while the starts of many small tasks are being sent to it."""

from __future__ import annotations

import asyncio
import time

from standins2.case import is_troubled, run_case
from standins2.runner import Runner
from standins2.system import System, make_route

HOSTS, RUNNERS = 3, 24
JOBS, TASKS = 12, 50
"""Jobs that come at once, and the tasks of each; the widest step on the sheet has 48."""
WAY_SECONDS = 0.020
"""One way between regions, by the sheet."""
DRAIN_SECONDS = 2.5
STAY_SECONDS = 9.0
"""A runner stays for `drainMs` and a little longer, at times many seconds."""
FINISH_SECONDS = 14.0


def work(task: str, spec: str) -> tuple[float, str]:
    """Return how long a task works."""
    return 4.0, "done"


def find_busiest(system: System) -> Runner:
    """Return the runner with the most tasks."""
    return max(system.runners, key=lambda runner: len(runner.running))


async def find_open_jobs(system: System, jobs: list[str]) -> list[str]:
    """Return the jobs that are not completed."""
    broken = []
    for job in jobs:
        status, answer = await system.hosts[0].call("GET", f"/q/{job}")
        system.note(f"GET {job}: {status} {answer}")
        if status != 200 or answer["state"] != "completed":
            broken.append(f"{job} is not completed")
    return broken


async def play(system: System) -> list[str]:
    """Return the broken rules."""
    await system.open(HOSTS, RUNNERS, cpu=32_000, mem_mb=65_536, way_seconds=WAY_SECONDS)
    step = {"count": TASKS, "cpu": 50, "memMb": 64, "estRuntimeMs": 4_000}
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    answers = await asyncio.gather(
        *(
            system.hosts[number % HOSTS].call(
                "POST", f"/q/{job}", {"spec": "batch", "steps": [step]}
            )
            for number, job in enumerate(jobs)
        )
    )
    system.note(f"POST of {JOBS} jobs: {[status for status, _ in answers]}")
    if any(status != 200 for status, _ in answers):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(0.5)
    runner = find_busiest(system)
    if is_troubled():
        runner.state, runner.remaining_ms = "draining", int(DRAIN_SECONDS * 1_000)
        runner.register()
        system.note(f"{runner.name} reports `draining`, with {len(runner.running)} tasks")
    drains_at = time.monotonic()
    await asyncio.sleep(STAY_SECONDS)
    late = [
        run
        for run in system.runs
        if run.runner == runner.name and run.began > drains_at + DRAIN_SECONDS
    ]
    last = max((run.began - drains_at for run in late), default=0.0)
    if not is_troubled():
        await asyncio.sleep(FINISH_SECONDS)
        return await find_open_jobs(system, jobs)
    system.note(f"{runner.name} leaves with {len(runner.running)} tasks on it")
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} tasks were started on {runner.name} later than 2.5 s after it reported"
        f" `draining`, the last one {last:.1f} s after it"
    ]


if __name__ == "__main__":
    run_case(__file__, System([make_route("q")], work), play)
