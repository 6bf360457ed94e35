"""Logs for how long recovered jobs wait for workers that may still run their tasks."""

from __future__ import annotations

from lentilpath_core.ids import Epoch, Instant, WorkerId
from lentilpath_core.pool import PoolState
from lentilpathd._events import Event, log_event

MAX_LISTED_WORKERS = 20
"""Workers that a line names; a field of the log is cut off after 500 characters."""


class HoldLog:
    """Logs for which workers a term's recovered jobs wait, and which may hold their runs."""

    def __init__(self, epoch: Epoch, began_at: Instant) -> None:
        self._epoch = epoch
        self._began_at = began_at
        self._awaited: frozenset[WorkerId] = frozenset()
        self._held: dict[WorkerId, Instant] = {}

    def observe(self, state: PoolState, now: Instant) -> None:
        """Log what has changed since the last call."""
        self._observe_awaited(state, now)
        self._observe_held(state, now)

    def _observe_held(self, state: PoolState, now: Instant) -> None:
        """Log the restarted workers that are new among those that may hold their runs."""
        held = {each.worker: each for each in state.workers.values() if each.held_until > now}
        for name, worker in held.items():
            if self._held.get(name) != worker.held_until:
                log_event(
                    Event.RUNS_HELD,
                    epoch=self._epoch,
                    worker=name,
                    life=worker.life,
                    held_ms=worker.held_until - now,
                    rests_ms=max(0, worker.rests_until - now),
                )
        self._held = {name: worker.held_until for name, worker in held.items()}

    def _observe_awaited(self, state: PoolState, now: Instant) -> None:
        """Log a change of the set; `waited_ms` counts from the start of the term."""
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
