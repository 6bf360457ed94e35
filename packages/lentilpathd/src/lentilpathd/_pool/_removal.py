"""Deletes the rows of jobs that ended long ago, to bound the table's size and recovery time."""

from __future__ import annotations

import asyncio
from collections import deque

from lentilpath_core.errors import OutcomeUnknown, Unavailable
from lentilpath_core.ids import Epoch, JobId, RowVersion
from lentilpathd._events import Event, log_event
from lentilpathd._pool._ports import Deposed, PartitionedTable, PartitionTransaction
from lentilpathd._pool._records import (
    EPOCH_KEY,
    JOBS_TABLE,
    POOL_PARTITION,
    POOL_TABLE,
    get_cancel_key,
    get_job_partitions,
    make_final_key,
)

BATCH_DELAY_SECONDS = 1.0
"""Finished jobs are kept for minutes, so a delay of the deletion does no harm."""
MAX_JOBS_PER_BATCH = 40
"""A transaction accepts 100 entries, and a job has up to two rows in the jobs table."""
TIMEOUT_SECONDS = 1.0
"""Twice the duration of a transaction while the table is 100 times slower than its usual 5 ms."""


class JobRemover:
    """Deletes a job's own rows before its final state, so that no job row lacks a final state."""

    def __init__(self, table: PartitionedTable, epoch: Epoch, epoch_version: RowVersion) -> None:
        self._table = table
        self._epoch = epoch
        self._epoch_version = epoch_version
        self._queue: deque[JobId] = deque()
        self._queued = asyncio.Event()

    def queue(self, job: JobId) -> None:
        """Queue a job's rows for deletion."""
        self._queue.append(job)
        self._queued.set()

    async def run(self) -> None:
        """Delete queued jobs until cancelled; raises `Deposed`."""
        while True:
            await self._queued.wait()
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            batch = [
                self._queue.popleft() for _ in range(min(MAX_JOBS_PER_BATCH, len(self._queue)))
            ]
            if not self._queue:
                self._queued.clear()
            try:
                await self._remove(batch)
            except (Unavailable, OutcomeUnknown) as error:
                # Deletion is idempotent, so the whole batch is retried.
                log_event(Event.JOBS_NOT_REMOVED, count=len(batch), error=str(error))
                for job in batch:
                    self.queue(job)

    async def _remove(self, jobs: list[JobId]) -> None:
        jobs_by_partition: dict[str, list[JobId]] = {}
        for job in jobs:
            for partition in get_job_partitions(job):
                jobs_by_partition.setdefault(partition, []).append(job)
        for partition, members in jobs_by_partition.items():
            keys = [key for job in members for key in (job, get_cancel_key(job))]
            await self._table.commit(
                PartitionTransaction(JOBS_TABLE, partition, deletes=tuple(keys)), TIMEOUT_SECONDS
            )
        finals = tuple(make_final_key(job) for job in jobs)
        commit = await self._table.commit(
            PartitionTransaction(
                POOL_TABLE,
                POOL_PARTITION,
                checks=((EPOCH_KEY, self._epoch_version),),
                deletes=finals,
            ),
            TIMEOUT_SECONDS,
        )
        if not commit.applied:
            raise Deposed(f"epoch {self._epoch} was superseded by another leader")
