"""A client leaves while its submission is being stored, and cancels the job; then it runs."""

from __future__ import annotations

import asyncio
from typing import Any

from review.standins.case import BROKEN, HELD, CannotRun, Case, make_config, make_route, play
from review.standins.store import SERVE

JOB = "00000000000000c1"
STEP = {"count": 2, "cpu": 1_000, "memMb": 256, "estRuntimeMs": 500}
BODY = {"spec": "notice", "steps": [STEP]}
LATE_SECONDS = 5.8
CLIENT_LEAVES_SECONDS = 0.1
CANCEL_SECONDS = 3.0


async def act(case: Case) -> int:
    config = make_config(7, make_route("notices", "/notices/"))
    await case.open(3, 2, lambda task, run: (0.5, "done"), config)
    if case.has_trouble:

        def choose(message: dict[str, Any]) -> str | float:
            keys = {each["key"] for each in message.get("setKeys", ())}
            if JOB not in keys:
                return SERVE
            case.log("write answered to nobody, done later", seconds=LATE_SECONDS)
            return LATE_SECONDS

        for faults in case.faults:
            faults.choose = choose
    await case.ask(case.hosts[0], "POST", f"/notices/{JOB}", BODY, timeout=CLIENT_LEAVES_SECONDS)
    for faults in case.faults:
        faults.choose = None
    acknowledged_at = None
    for attempt in range(5):
        status = await case.ask(case.hosts[1 + attempt % 2], "DELETE", f"/notices/{JOB}")
        if status in (200, 410):
            acknowledged_at = case.now()
            case.log("cancelling acknowledged", status=status)
            break
        await asyncio.sleep(0.5)
    if acknowledged_at is None:
        raise CannotRun("the cancelling was not acknowledged")
    await case.sleep_until(acknowledged_at + 15.0)
    began = case._began
    late = [
        run for run in case.list_runs() if run.started_at - began > acknowledged_at + CANCEL_SECONDS
    ]
    case.log("UNASKED", starts_after_cancel=len(late))
    return BROKEN if late else HELD


play(__file__, act)
