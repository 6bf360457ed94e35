"""Recovers the stored state of a pool at the start of a leader's term."""

from __future__ import annotations

import asyncio
from collections.abc import Container
from dataclasses import dataclass

import msgspec

from lentilpath_core.ids import JobId, RowVersion, WallTime
from lentilpath_core.pool import (
    FinalRecord,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobRecord,
    JobState,
    ListedWorker,
    PoolEvent,
    RunRecord,
    RunsRecovered,
    TaskKey,
)
from lentilpathd._events import Event, log_warning_event
from lentilpathd._pool._ports import PartitionedTable, PartitionRow, PartitionRows
from lentilpathd._pool._records import (
    CANCEL_SUFFIX,
    END_PREFIX,
    FINAL_PREFIX,
    JOBS_TABLE,
    POOL_PARTITION,
    POOL_TABLE,
    WORKERS_KEY,
    decode_acceptance,
    decode_end,
    decode_final,
    decode_job,
    list_job_partitions,
    parse_end_key,
)
from lentilpathd._pool._worker_rows import WORKER_KEYS_END, decode_workers

READ_TIMEOUT_SECONDS = 3.0
"""All partitions are read concurrently; a read takes 0.4 s while the table is 100 times slower."""
MAX_CONCURRENT_READS = 32
"""All partitions at once: a leader far from the table would pay a round trip for each further
batch."""

STOPPED_RUNS_MS = 15_000
"""Runs that an earlier leader stopped may go on this long, if the stop was lost: the longest lease,
10.4 s, and the difference between the hosts' clocks."""


@dataclass(frozen=True, slots=True)
class RecoveredPool:
    """The stored state of a pool, as events for the decision core."""

    events: tuple[PoolEvent, ...]
    """To be handled in this order."""
    former_workers: tuple[ListedWorker, ...]
    worker_keys: tuple[str, ...]
    """Keys of the rows that hold the former workers."""
    end_keys: tuple[str, ...]
    """Keys of the stored ends of runs."""
    ended_jobs: frozenset[JobId]
    """Jobs whose final state is stored."""
    jobs_version: RowVersion
    """Version from which changes of the jobs table are followed."""


async def read_pool(table: PartitionedTable) -> RecoveredPool:
    """Read all rows of a pool; raises `Unavailable` or `OutcomeUnknown`."""
    reads = await read_all_jobs(table)
    job_rows = [row for read in reads for row in read.rows]
    jobs_version = min(read.version for read in reads)
    pool_rows = await table.read_partition(POOL_TABLE, POOL_PARTITION, "", "", READ_TIMEOUT_SECONDS)
    finals: dict[JobId, FinalRecord] = {}
    ends: list[tuple[TaskKey, RunRecord]] = []
    worker_rows: dict[str, bytes] = {}
    for row in pool_rows.rows:
        if row.key.startswith(FINAL_PREFIX):
            finals[JobId(row.key.removeprefix(FINAL_PREFIX))] = decode_final(row.value)
        elif row.key.startswith(END_PREFIX):
            ends.append((parse_end_key(row.key), decode_end(row.value)))
        elif row.key.startswith(WORKERS_KEY):
            worker_rows[row.key] = row.value
    recent = _read_recently_ended(job_rows, finals, pool_rows.clock_ms)
    accepted_at = _read_acceptance(job_rows, finals)
    events: list[PoolEvent] = [
        JobEnded(job, final, recent.get(job), accepted_at.get(job)) for job, final in finals.items()
    ]
    events.extend(make_job_events(tuple(job_rows), finals.keys(), recovered=True))
    open_ends = tuple((task, record) for task, record in ends if task.job not in finals)
    events.append(RunsRecovered(open_ends))
    end_keys = tuple(row.key for row in pool_rows.rows if row.key.startswith(END_PREFIX))
    return RecoveredPool(
        tuple(events),
        decode_workers(worker_rows),
        tuple(worker_rows),
        end_keys,
        frozenset(finals),
        jobs_version,
    )


def _read_recently_ended(
    rows: list[PartitionRow], finals: dict[JobId, FinalRecord], clock_ms: int
) -> dict[JobId, JobRecord]:
    """Return the jobs whose runs were stopped so recently that some may not have ended.

    A completed job has no run that holds resources much longer than its last task.
    """
    since_ms = clock_ms - STOPPED_RUNS_MS
    recent = {
        job
        for job, final in finals.items()
        if final.at >= since_ms and final.customer and final.state is not JobState.COMPLETED
    }
    accepted = make_job_events(
        tuple(row for row in rows if row.key in recent), ended=(), recovered=True
    )
    return {each.record.job: each.record for each in accepted if isinstance(each, JobAccepted)}


def _read_acceptance(
    rows: list[PartitionRow], finals: dict[JobId, FinalRecord]
) -> dict[JobId, WallTime]:
    """Return when the ended jobs of customers were accepted."""
    found: dict[JobId, WallTime] = {}
    for row in rows:
        final = finals.get(JobId(row.key))
        if final is not None and final.customer and not row.is_deleted:
            try:
                found[JobId(row.key)] = decode_acceptance(row.value)
            except msgspec.DecodeError as error:
                log_warning_event(Event.COMMAND_REFUSED, key=row.key, error=str(error))
    return found


async def read_former_workers(table: PartitionedTable) -> tuple[ListedWorker, ...]:
    """Read the workers that an earlier leader used; raises `Unavailable` or `OutcomeUnknown`."""
    read = await table.read_partition(
        POOL_TABLE, POOL_PARTITION, WORKERS_KEY, WORKER_KEYS_END, READ_TIMEOUT_SECONDS
    )
    return decode_workers({row.key: row.value for row in read.rows})


async def read_all_jobs(table: PartitionedTable) -> tuple[PartitionRows, ...]:
    """Read all partitions of the jobs table, at most `MAX_CONCURRENT_READS` at a time."""
    slots = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read(partition: str) -> PartitionRows:
        async with slots:
            return await table.read_partition(JOBS_TABLE, partition, "", "", READ_TIMEOUT_SECONDS)

    return tuple(await asyncio.gather(*(read(part) for part in list_job_partitions())))


def make_job_events(
    rows: tuple[PartitionRow, ...], ended: Container[JobId], recovered: bool
) -> tuple[JobAccepted | JobCancelled, ...]:
    """Convert rows of the jobs table to events; skip deleted rows and jobs in `ended`.

    Accepted jobs precede cancellations. Rows that cannot be decoded are logged and skipped.
    """
    accepted: list[JobAccepted] = []
    cancelled: list[JobCancelled] = []
    for row in rows:
        job = JobId(row.key.removesuffix(CANCEL_SUFFIX))
        if row.is_deleted or job in ended:
            continue
        if row.key.endswith(CANCEL_SUFFIX):
            cancelled.append(JobCancelled(job))
            continue
        try:
            accepted.append(JobAccepted(decode_job(row.value), recovered))
        except msgspec.DecodeError as error:
            log_warning_event(Event.COMMAND_REFUSED, key=row.key, error=str(error))
    return (*accepted, *cancelled)
