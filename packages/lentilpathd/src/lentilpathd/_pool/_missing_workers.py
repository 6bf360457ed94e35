"""Workers whose registry entries are missing, but not for long enough to count as gone."""

from __future__ import annotations

from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import ListedWorker, PoolState

WORKER_REMOVAL_DELAY_MS = 2_500
"""A worker whose registry entry is missing for this long is removed. Entries that expired in an
outage of the platform's table are back within 2 s after it."""


class MissingWorkers:
    """Remembers since when the entry of each known worker is missing."""

    def __init__(self) -> None:
        self._since: dict[WorkerId, Instant] = {}

    def complete(
        self, listed: tuple[ListedWorker, ...], state: PoolState, now: Instant
    ) -> tuple[ListedWorker, ...]:
        """Return the list with the entries that went missing only just before."""
        present = {each.worker for each in listed}
        kept = list(listed)
        for worker in state.workers.values():
            if worker.worker in present or not worker.is_listed:
                self._since.pop(worker.worker, None)
            elif now < self._since.setdefault(worker.worker, now) + WORKER_REMOVAL_DELAY_MS:
                kept.append(worker.listed)
        return tuple(kept)
