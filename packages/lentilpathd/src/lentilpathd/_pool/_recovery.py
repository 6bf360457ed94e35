"""Recovers the stored state of a pool at the start of a leader's term."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Container, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec

from lentilpath_core.errors import InvalidJob, OutcomeUnknown, Unavailable
from lentilpath_core.ids import Epoch, Instant, JobId, RowVersion, WallTime, WorkerId
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
    check_job,
)
from lentilpathd._clock import read_instant, read_wall_time
from lentilpathd._events import Event, log_warning_event
from lentilpathd._pool._leases import CLOCK_DRIFT
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
    parse_job_id,
)
from lentilpathd._pool._worker_rows import WORKER_KEYS_END, StoredWorkers, decode_workers

T = TypeVar("T")

READ_TIMEOUT_SECONDS = 3.0
"""All partitions are read concurrently; a read takes 0.4 s while the table is 100 times slower."""
MAX_CONCURRENT_READS = 32
"""All partitions at once: a leader far from the table would pay a round trip for each further
batch."""

MAX_RUNS_MS = 15_000
"""No run goes on for longer without a command: the longest lease, 10.4 s, and the difference
between the hosts' clocks."""
STOPPED_RUNS_MS = 15_000
"""Runs that an earlier leader stopped may go on this long, if the stop was lost: the longest lease,
10.4 s, and the difference between the hosts' clocks."""


RETRY_SECONDS = 0.2
"""Five attempts a second; a recovery makes 34 calls, of the 2,000 a second that all hosts may
make."""
REPORT_INTERVAL_MS = 200
"""All reads may fail at once; one line of the log stands for those that fail in this time."""


class PartitionReader(Protocol):
    """The reading of partitions; see `PartitionedTable`."""

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows with keys from `first` up to `end`, exclusive; empty for no bound."""
        ...


class RepeatedReads:
    """Reads partitions until it succeeds, each by itself.

    A recovery reads so many partitions that with few failures some read of nearly every attempt
    fails. Partitions that were read are not read again because another was not.
    """

    def __init__(self, table: PartitionedTable, epoch: Epoch) -> None:
        self._table = table
        self._epoch = epoch
        self._next_report_at = Instant(0)

    async def read_partition(
        self, table: str, partition: str, first: str, end: str, timeout: float
    ) -> PartitionRows:
        """Return the rows of a partition, whenever the table answers; see `PartitionedTable`.

        `timeout` is that of each attempt.
        """
        while True:
            try:
                return await self._table.read_partition(table, partition, first, end, timeout)
            except (Unavailable, OutcomeUnknown) as error:
                self._report(f"{table}/{partition}: {error}", read_instant())
            await asyncio.sleep(RETRY_SECONDS)

    def _report(self, error: str, now: Instant) -> None:
        if now >= self._next_report_at:
            self._next_report_at = Instant(now + REPORT_INTERVAL_MS)
            log_warning_event(Event.POOL_RECOVERY_FAILED, epoch=self._epoch, error=error)


@dataclass(frozen=True, slots=True)
class RecoveredPool:
    """The stored state of a pool, as events for the decision core."""

    events: tuple[PoolEvent, ...]
    """To be handled in this order."""
    former_workers: tuple[ListedWorker, ...]
    unreadable_workers: tuple[str, ...]
    """Keys of rows of former workers that cannot be used."""
    suspended_workers: Mapping[WorkerId, tuple[Instant, int]]
    """Former workers that were sent no commands, and when the runs on them have ended: by this
    host's clock, and in ms by that of the table service."""
    held_workers: Mapping[WorkerId, tuple[Instant, int] | None]
    """Former workers whose runs a command for a former life may hold, and until when by both
    clocks; `None` while such commands may still take effect."""
    worker_keys: tuple[str, ...]
    """Keys of the rows that hold the former workers."""
    end_keys: tuple[str, ...]
    """Keys of the stored ends of runs."""
    ended_jobs: frozenset[JobId]
    """Jobs whose final state is stored, also if it cannot be read."""
    jobs_version: RowVersion
    """Version from which changes of the jobs table are followed."""


@dataclass(frozen=True, slots=True)
class EndedJobs:
    """Jobs with a known final state, and those whose stored final state cannot be read."""

    finals: Container[JobId]
    unreadable: frozenset[JobId]

    def __contains__(self, job: object) -> bool:
        """Return whether the job has ended."""
        return job in self.finals or job in self.unreadable


async def read_pool(table: PartitionReader, suspends_since: int = 0) -> RecoveredPool:
    """Read all rows of a pool; raises `Unavailable` or `OutcomeUnknown`.

    Rows that cannot be used are logged and skipped. Suspensions count if they were stored in the
    epoch `suspends_since` or later; 0 for none.
    """
    # The records may be read before the jobs: only this leader changes them since its takeover.
    reads, (pool_rows, pool_read_at) = await asyncio.gather(
        read_all_jobs(table), _read_records(table)
    )
    job_rows = [row for read in reads for row in read.rows]
    jobs_version = min(read.version for read in reads)
    finals: dict[JobId, FinalRecord] = {}
    ended: set[JobId] = set()
    ends: dict[str, tuple[TaskKey, RunRecord]] = {}
    for row in pool_rows.rows:
        try:
            if row.key.startswith(FINAL_PREFIX):
                job = parse_job_id(row.key.removeprefix(FINAL_PREFIX))
                # The job has ended even if its state cannot be read, so it never runs again.
                ended.add(job)
                finals[job] = decode_final(row.value)
            elif row.key.startswith(END_PREFIX):
                ends[row.key] = parse_end_key(row.key), decode_end(row.value)
        except ValueError as error:
            log_warning_event(Event.ROW_UNREADABLE, key=row.key, error=error)
    worker_rows = {row.key: row.value for row in pool_rows.rows if _holds_workers(row)}
    stored = decode_workers(worker_rows, suspends_since)
    for key, reason in stored.unusable.items():
        log_warning_event(Event.ROW_UNREADABLE, key=key, error=reason)
    recent = _read_recently_ended(job_rows, finals, read_wall_time())
    accepted_at = _read_acceptance(job_rows, finals)
    events: list[PoolEvent] = [
        JobEnded(job, final, recent.get(job), accepted_at.get(job)) for job, final in finals.items()
    ]
    events.extend(make_job_events(tuple(job_rows), ended, recovered=True))
    open_ends = tuple(end for end in ends.values() if end[0].job not in ended)
    events.append(RunsRecovered(open_ends))
    return RecoveredPool(
        tuple(events),
        stored.workers,
        tuple(stored.unusable),
        _convert_times(stored.runs_end_ms, pool_rows.clock_ms, pool_read_at),
        _convert_holds(stored, pool_rows.clock_ms, pool_read_at),
        tuple(worker_rows),
        tuple(ends),
        frozenset(ended),
        jobs_version,
    )


async def _read_records(table: PartitionReader) -> tuple[PartitionRows, Instant]:
    """Read the leader's rows; return them, and when they had been read.

    The time goes with the clock in the answer: the jobs may take much longer to read.
    """
    rows = await table.read_partition(POOL_TABLE, POOL_PARTITION, "", "", READ_TIMEOUT_SECONDS)
    return rows, read_instant()


def _read_recently_ended(
    rows: list[PartitionRow], finals: dict[JobId, FinalRecord], wall_now: WallTime
) -> dict[JobId, JobRecord]:
    """Return the jobs whose runs were stopped so recently that some may not have ended.

    A completed job has no run that holds resources much longer than its last task.
    """
    since_ms = wall_now - STOPPED_RUNS_MS
    recent = {
        job
        for job, final in finals.items()
        if final.at >= since_ms and final.customer and final.state is not JobState.COMPLETED
    }
    accepted = make_job_events(
        tuple(row for row in rows if row.key in recent), ended=(), recovered=True
    )
    return {each.record.job: each.record for each in accepted if isinstance(each, JobAccepted)}


def _holds_workers(row: PartitionRow) -> bool:
    return row.key.startswith(WORKERS_KEY)


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
                log_warning_event(Event.ROW_UNREADABLE, key=row.key, error=error)
    return found


async def read_repeatedly(read: Callable[[], Awaitable[T]], epoch: Epoch) -> T:
    """Read until it succeeds, and return what was read."""
    while True:
        try:
            return await read()
        except (Unavailable, OutcomeUnknown) as error:
            log_warning_event(Event.POOL_RECOVERY_FAILED, epoch=epoch, error=str(error))
            await asyncio.sleep(RETRY_SECONDS)


async def read_commanded_workers(
    table: PartitionedTable, suspends_since: int = 0
) -> tuple[ListedWorker, ...]:
    """Read the workers that an earlier leader could command; see `read_pool`.

    Raises `Unavailable` or `OutcomeUnknown`.
    """
    read = await table.read_partition(
        POOL_TABLE, POOL_PARTITION, WORKERS_KEY, WORKER_KEYS_END, READ_TIMEOUT_SECONDS
    )
    stored = decode_workers({row.key: row.value for row in read.rows}, suspends_since)
    return tuple(each for each in stored.workers if each.worker not in stored.runs_end_ms)


def _convert_times(
    times_ms: Mapping[WorkerId, int], clock_ms: int, now: Instant
) -> Mapping[WorkerId, tuple[Instant, int]]:
    """Return until when runs may go on, by both clocks.

    The table service's clock has reached `clock_ms`. No time is further ahead than runs can last.
    """
    times: dict[WorkerId, tuple[Instant, int]] = {}
    for worker, at in times_ms.items():
        left_ms = min(max(0, at - clock_ms), MAX_RUNS_MS)
        times[worker] = Instant(int(now + left_ms * (1 + CLOCK_DRIFT))), at
    return times


def _convert_holds(
    stored: StoredWorkers, clock_ms: int, now: Instant
) -> Mapping[WorkerId, tuple[Instant, int] | None]:
    known = {worker: at for worker, at in stored.held_until_ms.items() if at is not None}
    unknown = stored.held_until_ms.keys() - known.keys()
    return {**dict.fromkeys(unknown), **_convert_times(known, clock_ms, now)}


async def read_all_jobs(table: PartitionReader) -> tuple[PartitionRows, ...]:
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

    Accepted jobs precede cancellations. Of a job that is stored in several partitions, the row that
    was accepted first counts, since a later one may be of another customer. Rows that cannot be
    used are logged and skipped.
    """
    accepted: dict[JobId, JobAccepted] = {}
    cancelled: list[JobCancelled] = []
    for row in rows:
        if row.is_deleted or JobId(row.key.removesuffix(CANCEL_SUFFIX)) in ended:
            continue
        try:
            job = parse_job_id(row.key.removesuffix(CANCEL_SUFFIX))
            if row.key.endswith(CANCEL_SUFFIX):
                cancelled.append(JobCancelled(job))
            else:
                record = _decode_checked_job(row)
                known = accepted.get(job)
                if known is None or record.accepted_at < known.record.accepted_at:
                    accepted[job] = JobAccepted(record, recovered)
        except (ValueError, InvalidJob) as error:
            log_warning_event(Event.ROW_UNREADABLE, key=row.key, error=error)
    return (*accepted.values(), *cancelled)


def _decode_checked_job(row: PartitionRow) -> JobRecord:
    record = decode_job(row.value)
    if record.job != row.key:
        raise InvalidJob(f"the row of {row.key} holds the job {record.job[:40]!r}")
    check_job(record)
    return record
