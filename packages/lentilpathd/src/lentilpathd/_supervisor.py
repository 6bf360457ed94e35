"""Supervises the parts of a process: restarts a failed part, and ends all if one keeps failing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lentilpath_core.errors import LentilpathError
from lentilpathd._cancellation import raise_swallowed_cancellation
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_warning_event

FIRST_RESTART_DELAY_MS = 100
MAX_RESTART_DELAY_MS = 5_000
STABLE_AFTER_MS = 30_000
MAX_RESTARTS = 20
MS_PER_SECOND = 1_000


class PartGivenUp(LentilpathError):
    """A supervised part failed more than `MAX_RESTARTS` times without a stable run in between."""

    code = "part-given-up"


@dataclass(frozen=True, slots=True)
class Part:
    """One supervised part. `run` ends only by failure or by cancellation."""

    name: str
    run: Callable[[], Awaitable[None]]


async def supervise_parts(parts: tuple[Part, ...]) -> None:
    """Run all parts until cancelled; raises `PartGivenUp` in an exception group."""
    async with asyncio.TaskGroup() as group:
        for part in parts:
            group.create_task(supervise_part(part), name=part.name)


async def supervise_part(part: Part) -> None:
    """Run one part and restart it after failures with exponential backoff.

    Raises `PartGivenUp` after more than `MAX_RESTARTS` failures without a run of more than
    `STABLE_AFTER_MS` in between.
    """
    restarts = 0
    while True:
        started = read_instant()
        try:
            await part.run()
            return
        except Exception as error:
            raise_swallowed_cancellation()
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
