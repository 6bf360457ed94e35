"""A host that has lost the leadership once stops looking for it, and never leads again."""

from __future__ import annotations

import asyncio
import signal

from review.standins.case import (
    BROKEN,
    HELD,
    CannotRun,
    Case,
    make_config,
    make_route,
    play,
)

FREEZE_SECONDS = 3.5
"""`node_freeze` of the site file's `troubles`."""
TURNED_AWAY_SECONDS = 4.0
"""Under the 9 s of `platform_down`, `how = "nodes ..."`, there; one of three hosts is its share."""
CALM_SECONDS = 6.0
WAIT_SECONDS = 25.0
"""Longer than `finish_s`, 14 s, and the 3 s for which a job may have nothing running."""


def plan(task: str, run: int) -> tuple[float, str]:
    return 0.5, "done"


async def act(case: Case) -> int:
    await case.open(3, 2, plan, make_config(3, make_route("notices", "/notices/")))
    step = {"count": 2, "cpu": 1_000, "memMb": 64, "estRuntimeMs": 500}
    body = {"spec": "notice", "steps": [step]}
    first = case.find_leader()
    if not case.has_trouble:
        # A host that does not lead yet has to take over once the others are removed.
        first = next(host for host in case.hosts if host is not first)
    else:
        case.log("SIGSTOP", host=first.name)
        first.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_SECONDS)
        first.signal(signal.SIGCONT)
        case.log("SIGCONT", host=first.name)
        await asyncio.sleep(CALM_SECONDS)
        if case.find_leader() is first:
            raise CannotRun("nobody took over from the frozen leader")
        case.log("leads now", host=case.find_leader().name)
        faults = case.faults[case.hosts.index(first)]
        faults.down = "busy"
        case.log("store turns away", host=first.name)
        await asyncio.sleep(TURNED_AWAY_SECONDS)
        faults.down = ""
        case.log("store serves again", host=first.name)
        await asyncio.sleep(CALM_SECONDS)
    earlier = f"{0xD0:016x}"
    if await case.submit(first, "/notices/", earlier, body) != 200:
        raise CannotRun(f"{earlier} was not accepted")
    await asyncio.sleep(3.0)
    for host in case.hosts:
        if host is not first:
            case.log("SIGTERM, removed", host=host.name)
            await host.terminate()
            await asyncio.sleep(1.0)
    jobs = [f"{number:016x}" for number in range(0xD1, 0xD4)]
    accepted = [
        job for job in jobs if await case.ask(first, "POST", "/notices/" + job, body) == 200
    ]
    case.log("accepted by the host that is left", count=len(accepted))
    await asyncio.sleep(WAIT_SECONDS)
    for job in (earlier, *accepted):
        await case.ask_fully(first, "GET", "/notices/" + job)
    case.log("leader by the store", host=case.find_leader().name)
    ended = {run.task for run in case.list_runs() if run.how == "done"}
    lost = [
        f"{job}.0.0.{index}"
        for job in (earlier, *accepted)
        for index in range(2)
        if f"{job}.0.0.{index}" not in ended
    ]
    case.log("accepted tasks that never ran", tasks=lost)
    return BROKEN if lost else HELD


if __name__ == "__main__":
    play(__file__, act)
