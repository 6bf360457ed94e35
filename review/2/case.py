"""More than 500 runs end on one runner while the leader is being replaced."""

from __future__ import annotations

import asyncio

from review.standins.case import (
    BROKEN,
    HELD,
    CannotRun,
    Case,
    find_double_runs,
    make_config,
    make_route,
    play,
)

JOBS, TASKS = 28, 25
"""700 tasks of 20 thousandths of a core, which fill 14 of the 16 cores of one runner."""
STEP = {"count": TASKS, "cpu": 20, "memMb": 32, "estRuntimeMs": 8_000}
ENDS_FROM, ENDS_OVER = 20.0, 1.2
"""The tasks end one after another in this time of the case, in seconds."""
DARK_SECONDS = 3.5
"""`node_kill` of the site file's `troubles`."""


async def act(case: Case) -> int:
    planned: dict[tuple[str, int], float] = {}

    def plan(task: str, run: int) -> tuple[float, str]:
        ends_at = ENDS_FROM + ENDS_OVER * (len(planned) % (JOBS * TASKS)) / (JOBS * TASKS)
        return planned.setdefault((task, run), max(0.3, ends_at - case.now())), "done"

    config = make_config(7, make_route("batch", "/batch/"))
    await case.open(3, 1, plan, config, cpu=16_000, mem_mb=65_536)
    body = {"spec": "statement", "steps": [STEP]}
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for number, job in enumerate(jobs):
        if await case.submit(case.hosts[number % 3], "/batch/", job, body) != 200:
            raise CannotRun("a job was not accepted")

    async def all_run() -> bool:
        return len(case.list_runs()) >= JOBS * TASKS

    await case.wait_for("all tasks run", all_run, ENDS_FROM - case.now() - 0.5)
    await case.sleep_until(ENDS_FROM)
    if case.has_trouble:
        leader = case.find_leader()
        await leader.kill()
        case.log("killed", host=leader.name)
        await asyncio.sleep(DARK_SECONDS)
        await leader.start()
        case.log("restarted", host=leader.name)
    await case.sleep_until(ENDS_FROM + 20.0)
    for job in jobs:
        found = await case.ask_fully(case.hosts[int(job, 16) % 3], "GET", f"/batch/{job}")
        if found is None or found[0] != 200:
            raise CannotRun("the state of a job could not be read")
    overlapping, after_done = find_double_runs(case.list_runs())
    case.log("most ends that a runner held", count=case.runners[0].most_ends_held)
    case.log("lapses", count=len(case.runners[0].lapses))
    case.log("TWICE at one time", count=len(overlapping), tasks=overlapping[:3])
    case.log("TWICE after done", count=len(after_done), tasks=after_done[:3])
    return BROKEN if overlapping or after_done else HELD


play(__file__, act)
