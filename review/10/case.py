"""A lasting task that has failed often on one runner stays down after its leader and runner."""

from __future__ import annotations

import asyncio

from review.standins.case import (
    BROKEN,
    HELD,
    SERVICE,
    CannotRun,
    Case,
    make_config,
    make_route,
    play,
)
from review.standins.runner import HEARTBEAT_SECONDS, Runner

JOB = "00000000000000d1"
STEP = {"count": 1, "cpu": 1_000, "memMb": 256, "estRuntimeMs": 500, "longRunning": True}
FAILURES = 250
FAILS_AFTER_SECONDS = 0.03
ROOM = {"cpu": 32_000, "mem_mb": 131_072, "hold_max_ms": 6_000}
GRACE_SECONDS, IDLE_SECONDS, CALM_BEFORE_SECONDS = 6.0, 3.0, 4.0
DARK_SECONDS = 3.5


async def act(case: Case) -> int:
    """The first runner fails the task again and again; it works on the second one."""

    def fail(task: str, run: int) -> tuple[float, str]:
        return (FAILS_AFTER_SECONDS, "failed") if run <= FAILURES else (float("inf"), "done")

    def last(task: str, run: int) -> tuple[float, str]:
        return float("inf"), "done"

    await case.open(3, 1, fail, make_config(7, make_route("feeds", "/feeds/")), **ROOM)
    if await case.submit(case.hosts[0], "/feeds/", JOB, {"spec": "feed", "steps": [STEP]}) != 200:
        raise CannotRun("the job was not accepted")

    async def has_failed_often() -> bool:
        return len(case.list_runs()) >= FAILURES - 20

    await case.wait_for("the task has failed often", has_failed_often, 60.0)
    added = Runner("w1", SERVICE, case.store, last, case.log, **ROOM)
    case.runners.append(added)
    await added.start()
    case.log("added", runner="w1")

    async def runs_there() -> bool:
        return bool(added.running)

    await case.wait_for("the task runs on the second runner", runs_there, 30.0)
    await asyncio.sleep(6.0)
    if case.has_trouble:
        await added.stop()
        for run in list(added.running.values()):
            added._end(run, "crashed")  # noqa: SLF001
        leader = case.find_leader()
        await leader.kill()
        case.log("killed", host=leader.name, runner="w1")
        await asyncio.sleep(DARK_SECONDS)
        await leader.start()
        case.log("restarted", host=leader.name)
        await asyncio.sleep(3 * HEARTBEAT_SECONDS - DARK_SECONDS)
        case.store.put("servers", "", "w1", None)
        case.log("the entry of the crashed runner is removed")
    await asyncio.sleep(GRACE_SECONDS + CALM_BEFORE_SECONDS + IDLE_SECONDS)
    ends_at = case.now() + 20.0
    idle_seconds = longest = 0.0
    while case.now() < ends_at:
        await asyncio.sleep(0.05)
        is_running = any(run.ended_at is None for run in case.list_runs())
        idle_seconds = 0.0 if is_running else idle_seconds + 0.05
        longest = max(longest, idle_seconds)
    case.log("LOST", longest_idle_seconds=round(longest, 1), watched_seconds=20)
    return BROKEN if longest > IDLE_SECONDS else HELD


play(__file__, act)
