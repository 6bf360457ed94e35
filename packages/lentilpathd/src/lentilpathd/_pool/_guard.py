"""Keeps an unexpected error in one part of a leader's work from ending the whole term."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lentilpath_core.errors import LentilpathError
from lentilpathd._cancellation import run_in_own_task
from lentilpathd._pool._adapter_log import log_internal_error
from lentilpathd._pool._ports import Deposed
from lentilpathd._supervisor import PartEnded

RESTART_SECONDS = 0.25
"""Pause before a part that has failed starts again, so that a lasting fault costs little."""


def report_unexpected(part: str, error: Exception) -> None:
    """Log an error that is not one of `lentilpath_core.errors`; others are logged by the caller."""
    if not isinstance(error, LentilpathError):
        log_internal_error(part, error)


async def run_guarded(part: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a part of a term, again after an unexpected error or return; raises `Deposed`."""
    while True:
        try:
            await run_in_own_task(run, part)
            raise PartEnded(f"{part} returned")
        except Deposed:
            raise
        except Exception as error:
            if isinstance(error, ExceptionGroup) and error.subgroup(Deposed) is not None:
                raise
            log_internal_error(part, error)
        await asyncio.sleep(RESTART_SECONDS)
