"""Tells cancellations of a task from what libraries and task groups make of them.

`Task.cancelling()` alone does not say that somebody wants the task to end: on some versions of
Python a task keeps the count that a failed `asyncio.TaskGroup` has left behind. So only its changes
during one operation are used here, and whatever runs a task group gets a task of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from lentilpath_core.errors import LentilpathError
from lentilpathd._events import Event, log_warning_event

T = TypeVar("T")


class StrayCancellation(LentilpathError):
    """Some work was cancelled although nobody asked the task that waits for it to end."""

    code = "stray-cancellation"


def count_cancellations() -> int:
    """Return how many cancellations of the current task are counted, to compare with later."""
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


def raise_swallowed_cancellation(counted: int) -> None:
    """Raise `CancelledError` if the current task was cancelled since `count_cancellations`.

    pynng drops a cancellation that arrives as its operation completes. A loop that continued after
    it would never end. No task group may run in the current task in between.
    """
    if count_cancellations() > counted:
        raise asyncio.CancelledError


async def run_in_own_task(work: Callable[[], Coroutine[Any, Any, T]], name: str) -> T:
    """Run `work` in a task of its own and return its result, or raise what it raises.

    A cancellation of the caller ends the work and is never swallowed, whatever the work makes of
    it. Raises `StrayCancellation` if the work was cancelled by anything else.
    """
    task = asyncio.create_task(work(), name=name)
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.wait((task,))
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log_warning_event(Event.FAILED_AS_CANCELLED, part=name, error=repr(error))
        raise
    if task.cancelled():
        raise StrayCancellation(f"{name} was cancelled, but not by what waits for it")
    return task.result()


def start_member(
    group: asyncio.TaskGroup, work: Callable[[], Coroutine[Any, Any, None]], name: str
) -> asyncio.Task[None]:
    """Run `work` as a member of a group that fails if the work is cancelled by anything else.

    A task group takes a member that was cancelled for one that has ended as intended.
    """
    return group.create_task(run_in_own_task(work, name), name=name)
