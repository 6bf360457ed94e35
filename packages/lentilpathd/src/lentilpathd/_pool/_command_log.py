"""Logs commands to workers that got no answer."""

from __future__ import annotations

from lentilpath_core.pool import PaceRun, StartRun, StopRun
from lentilpathd._events import Event, log_event
from lentilpathd._pool._records import format_task


def log_unanswered(event: Event, effect: StartRun | StopRun | PaceRun, error: Exception) -> None:
    """Log that the command of an effect failed, or may have failed, with this error."""
    log_event(
        event,
        worker=effect.worker,
        task=format_task(effect.task),
        run=effect.run,
        error=str(error),
    )
