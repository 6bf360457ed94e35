"""Raises cancellations again that a library has swallowed."""

import asyncio


def raise_swallowed_cancellation() -> None:
    """Raise `CancelledError` if the current task was cancelled but continues to run.

    pynng drops a cancellation that arrives as its operation completes, and a task group drops one
    that arrives as a member fails. A loop that continued after either would never end.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
