"""Reads the list of registered workers from the platform's registry again and again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Instant, WorkerId
from lentilpath_core.pool import ListedWorker, PoolState, WorkersListed
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event
from lentilpathd._pool._ports import Registry
from lentilpathd._pool._recovery import READ_TIMEOUT_SECONDS

INTERVAL_SECONDS = 0.7
"""Half of the interval between workers' own reports."""
REMOVAL_DELAY_MS = 2_500
"""A worker whose registry entry is missing for this long is removed. Entries that expired in an
outage of the platform's table are back within 2 s after it."""
TIMEOUT_SECONDS = 2.3
"""Starts on a draining worker must stop within 2.5 s. A read does not wait for the one before it,
so a slow table delays each list but does not thin them out."""
MAX_READS = 4
"""Reads in flight. More of them would slow down a list that takes long to arrive."""
MAX_LIST_AGE_MS = 1_700
"""A start that is sent by an older list may reach its worker over 2.5 s after the worker has begun
to leave: a command takes up to 0.8 s."""
LATE_LOOP_MS = 200
"""The event loop is late by this much only if the host is short of processor time."""
LATE_LOOP_MEMORY_MS = 2_000
"""How long a late loop may have delayed a list, which takes several turns of it."""
CATCH_UP_INTERVAL_SECONDS = 0.2
"""After an outage, starts on a worker wait for a list that shows a report made since. The first
list should come soon, since reports that it shows may have been made before the outage."""
CATCH_UP_MS = 1_700
"""In this time after the last failed read, each worker reports once."""


async def read_list(registry: Registry) -> tuple[tuple[ListedWorker, ...], Instant]:
    """Return the list and when it was requested; raises `Unavailable` or `OutcomeUnknown`."""
    sent_at = read_instant()
    return await registry.read_workers(READ_TIMEOUT_SECONDS), sent_at


class WorkerWatch:
    """Delivers the list of workers until cancelled, without those that have long been missing."""

    def __init__(
        self,
        registry: Registry,
        state: PoolState,
        handle_list: Callable[[WorkersListed], None],
    ) -> None:
        self._registry = registry
        self._state = state
        self._handle_list = handle_list
        self._missing_since: dict[WorkerId, Instant] = {}
        self._handled_sent_at = Instant(0)
        self._failed_at: Instant | None = None
        self._loop_late_at: Instant | None = None

    def note_loop_delay(self, delay_ms: int, now: Instant) -> None:
        """Note by how much the event loop was late."""
        if delay_ms >= LATE_LOOP_MS:
            self._loop_late_at = now

    def may_start(self, now: Instant) -> bool:
        """Return whether starts may be sent by the last list.

        Not if it is old because this host is slow: workers may have begun to leave since. While the
        table is slow or away, they cannot report that either.
        """
        is_recent = now <= self._handled_sent_at + MAX_LIST_AGE_MS
        late_at, failed_at = self._loop_late_at, self._failed_at
        if is_recent or late_at is None or now > late_at + LATE_LOOP_MEMORY_MS:
            return True
        return failed_at is not None and failed_at >= self._handled_sent_at

    async def run(self) -> None:
        """Read the list at each interval until cancelled."""
        reads: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                read = group.create_task(self._read())
                reads.add(read)
                done, _ = await asyncio.wait({read}, timeout=INTERVAL_SECONDS)
                if done:
                    await asyncio.sleep(self._get_pause_seconds())
                reads = {each for each in reads if not each.done()}
                if len(reads) >= MAX_READS:
                    await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)

    def _get_pause_seconds(self) -> float:
        failed_at = self._failed_at
        if failed_at is not None and read_instant() < failed_at + CATCH_UP_MS:
            return CATCH_UP_INTERVAL_SECONDS
        return INTERVAL_SECONDS

    async def _read(self) -> None:
        sent_at = read_instant()
        try:
            listed = await self._registry.read_workers(TIMEOUT_SECONDS)
        except (Unavailable, OutcomeUnknown) as error:
            self._failed_at = read_instant()
            log_event(Event.HOST_LIST_UNAVAILABLE, error=str(error))
            return
        # Answers may overtake each other.
        if sent_at >= self._handled_sent_at:
            self._handled_sent_at = sent_at
            self._handle(listed, sent_at)

    def _handle(self, listed: tuple[ListedWorker, ...], sent_at: Instant) -> None:
        now = read_instant()
        present = {each.worker for each in listed}
        kept: list[ListedWorker] = []
        former, self._missing_since = self._missing_since, {}
        for worker in self._state.workers.values():
            if worker.worker in present or not worker.is_listed:
                continue
            since = self._missing_since[worker.worker] = former.get(worker.worker, now)
            if now < since + REMOVAL_DELAY_MS:
                kept.append(worker.listed)
        missing = frozenset(each.worker for each in kept)
        self._handle_list(WorkersListed((*listed, *kept), sent_at, missing))
