"""Supervises the parts of a process: restarts a failed part, and ends all if one keeps failing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from lentilpath_core.errors import LentilpathError
from lentilpathd._cancellation import run_in_own_task
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_warning_event

FIRST_RESTART_DELAY_MS = 100
MAX_RESTART_DELAY_MS = 5_000
STABLE_AFTER_MS = 30_000
MAX_RESTARTS = 20
MS_PER_SECOND = 1_000


class PartEnded(LentilpathError):
    """A supervised part returned, although only a failure or a cancellation may end it."""

    code = "part-ended"


class PartGivenUp(LentilpathError):
    """A supervised part failed more than `MAX_RESTARTS` times without a stable run in between."""

    code = "part-given-up"


@dataclass(frozen=True, slots=True)
class Part:
    """One supervised part. `run` ends only by failure or by cancellation."""

    name: str
    run: Callable[[], Coroutine[Any, Any, None]]


async def supervise_parts(parts: tuple[Part, ...]) -> None:
    """Run all parts until cancelled; raises `PartGivenUp` in an exception group."""
    async with asyncio.TaskGroup() as group:
        for part in parts:
            group.create_task(supervise_part(part), name=part.name)


async def supervise_part(part: Part) -> None:
    """Run one part and restart it after failures with exponential backoff.

    A part that returns, or is cancelled by anything but this task, has failed too. Raises
    `PartGivenUp` after more than `MAX_RESTARTS` failures without a run of more than
    `STABLE_AFTER_MS` in between.
    """
    restarts = 0
    while True:
        started = read_instant()
        try:
            await run_in_own_task(part.run, part.name)
            raise PartEnded(f"{part.name} returned")
        except Exception as error:
            if read_instant() - started > STABLE_AFTER_MS:
                restarts = 0
            restarts += 1
            log_warning_event(Event.PART_FAILED, part=part.name, error=repr(error))
            if restarts > MAX_RESTARTS:
                log_warning_event(Event.PART_GIVEN_UP, part=part.name)
                raise PartGivenUp(
                    f"{part.name} failed {restarts} times; last: {error!r}"
                ) from error
        delay_ms = min(FIRST_RESTART_DELAY_MS * 2 ** (restarts - 1), MAX_RESTART_DELAY_MS)
        await asyncio.sleep(delay_ms / MS_PER_SECOND)
