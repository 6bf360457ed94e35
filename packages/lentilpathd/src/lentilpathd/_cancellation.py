"""Cancellations that were swallowed on their way, and have to be raised again."""

import asyncio


def raise_swallowed_cancellation() -> None:
    """Raise `CancelledError` if the current task was asked to end and goes on all the same.

    pynng drops a cancellation that meets the end of its operation, and a task group drops one that
    meets the failure of a member. A loop that goes on after either would never end.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
