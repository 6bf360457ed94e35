"""Keeps an unexpected error in one part of a leader's work from ending the whole term."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilpath_core.errors import LentilpathError
from lentilpathd._pool._adapter_log import log_internal_error
from lentilpathd._pool._ports import Deposed

RESTART_SECONDS = 0.25
"""Pause before a part that has failed starts again, so that a lasting fault costs little."""


def report_unexpected(part: str, error: Exception) -> None:
    """Log an error that is not one of `lentilpath_core.errors`; others are logged by the caller."""
    if not isinstance(error, LentilpathError):
        log_internal_error(part, error)


async def run_guarded(part: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a part of a term, again after each unexpected error; raises `Deposed`."""
    while True:
        try:
            await run()
            return
        except Deposed:
            raise
        except Exception as error:
            if isinstance(error, ExceptionGroup) and error.subgroup(Deposed) is not None:
                raise
            log_internal_error(part, error)
        await asyncio.sleep(RESTART_SECONDS)
