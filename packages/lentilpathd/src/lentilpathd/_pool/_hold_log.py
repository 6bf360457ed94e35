"""Logs for how long recovered jobs wait for workers that may still run their tasks."""

from __future__ import annotations

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import PoolState
from lentilpathd._events import Event, log_event

MAX_LISTED_WORKERS = 20
"""Workers that a line names; a field of the log is cut off after 500 characters."""


class HoldLog:
    """Logs when the set of workers changes for which a term's recovered jobs wait."""

    def __init__(self, epoch: Epoch, began_at: Instant) -> None:
        self._epoch = epoch
        self._began_at = began_at
        self._awaited: frozenset[WorkerId] = frozenset()

    def observe(self, state: PoolState, now: Instant) -> None:
        """Log a change since the last call; `waited_ms` counts from the start of the term."""
        awaited = frozenset(state.unconfirmed_workers)
        if awaited == self._awaited:
            return
        self._awaited = awaited
        event = Event.RECOVERED_JOBS_HELD if awaited else Event.RECOVERED_JOBS_RELEASED
        log_event(
            event,
            epoch=self._epoch,
            waited_ms=now - self._began_at,
            jobs=sum(job.is_recovered for job in state.jobs.values()),
            count=len(awaited),
            workers=sorted(awaited)[:MAX_LISTED_WORKERS],
        )
