"""Reads the list of registered workers; keeps those that are missing for a short time only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import ListedWorker, PoolState
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._ports import Registry

WORKERS_INTERVAL_SECONDS = 0.7
"""Half of the interval between workers' own reports."""
WORKER_REMOVAL_DELAY_MS = 2_500
"""A worker whose registry entry is missing for this long is removed. Entries that expired in an
outage of the platform's table are back within 2 s after it."""
LIST_TIMEOUT_SECONDS = 1.0
"""With the pause between reads it stays under 2.5 s, in which starts on a draining worker must
stop."""


class WorkerListReader:
    """Passes on each list of workers, with those that are missing from it for a short time only."""

    def __init__(
        self,
        registry: Registry,
        state: PoolState,
        handle_workers: Callable[[tuple[ListedWorker, ...]], None],
    ) -> None:
        self._registry = registry
        self._state = state
        self._handle_workers = handle_workers
        self._missing_since: dict[WorkerId, Instant] = {}

    async def run(self) -> None:
        """Read lists until cancelled."""
        while True:
            try:
                listed = await self._registry.read_workers(LIST_TIMEOUT_SECONDS)
            except (Unavailable, OutcomeUnknown) as error:
                log_event(Event.HOST_LIST_UNAVAILABLE, error=str(error))
            else:
                self._handle_workers(self._keep_missing(listed))
            await asyncio.sleep(WORKERS_INTERVAL_SECONDS)

    def _keep_missing(self, listed: tuple[ListedWorker, ...]) -> tuple[ListedWorker, ...]:
        now = read_instant()
        present = {each.worker for each in listed}
        kept = list(listed)
        for worker in self._state.workers.values():
            if worker.worker in present or not worker.is_listed:
                self._missing_since.pop(worker.worker, None)
            elif now < self._missing_since.setdefault(worker.worker, now) + WORKER_REMOVAL_DELAY_MS:
                kept.append(worker.listed)
        return tuple(kept)
