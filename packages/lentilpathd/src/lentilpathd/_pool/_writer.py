"""Writes the leader's records to the table, in batches of one transaction each."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Container, Mapping
from itertools import islice

from lentilpath_core.errors import OutcomeUnknown, Unavailable, WriteRejected
from lentilpath_core.ids import Epoch, Instant, JobId, WorkerId
from lentilpath_core.pool import (
    FinalsRecorded,
    PoolEvent,
    RecordFinal,
    RecordRun,
    RecordWorkers,
    RunsRecorded,
    WorkersRecorded,
)
from lentilpathd._clock import read_instant
from lentilpathd._events import Event, log_event, log_warning_event
from lentilpathd._pool._leadership import PoolLeadership
from lentilpathd._pool._ports import Deposed, PartitionTransaction, SharedTable
from lentilpathd._pool._records import (
    EPOCH_KEY,
    POOL_PARTITION,
    POOL_TABLE,
    encode_record,
    format_task,
    make_end_key,
    make_final_key,
    parse_end_key,
)
from lentilpathd._pool._settling import commit_repeatedly
from lentilpathd._pool._worker_rows import WorkerShares

MAX_ENTRIES = 95
"""Rows in one transaction; the platform accepts 100 entries, including the condition."""
MAX_PUTS = 60
"""Leaves room in the transaction for deleting obsolete rows."""
SLOW_COMMIT_MS = 200
"""A table is slow if it takes this long for a transaction, 20 times as long as usual. Its
transactions are then filled with records, and deletions wait."""
BATCH_DELAY_SECONDS = 0.008
"""Pause in which records are collected for a batch. A partition commits 200 transactions a second;
with this pause the writer needs at most 125 of them."""
COMMIT_TIMEOUT_SECONDS = 3.0
"""Enough for two attempts while the table is 100 times slower than usual."""
RETRY_SECONDS = 0.15
"""Several times the batch delay; doubled after each failure."""
MAX_RETRY_SECONDS = 1.0
"""Half of the leader's lease."""
RETURN_CHECK_SECONDS = 0.05
"""How soon the writer notices that the table has returned. Callers see the ends of their jobs only
once they are stored."""

Record = RecordRun | RecordFinal | RecordWorkers


class RecordWriter:
    """Stores records in order; a record is durable once its transaction was confirmed."""

    def __init__(
        self,
        table: SharedTable,
        epoch: Epoch,
        leadership: PoolLeadership,
        handle_event: Callable[[PoolEvent], None],
        report_wait: Callable[[int], None] = lambda wait_ms: None,
    ) -> None:
        self._report_wait = report_wait
        self._table = table
        self._epoch = epoch
        self._leadership = leadership
        self._handle_event = handle_event
        self._queue: deque[tuple[Record, Instant]] = deque()
        """Records that wait, each with the time at which it was queued."""
        self._queued = asyncio.Event()
        self._durable = asyncio.Condition()
        self._end_keys: dict[JobId, list[str]] = {}
        """Keys of stored ends of runs, by job, for jobs without a final state."""
        self._worker_shares = WorkerShares(epoch)
        self._stored_ends: dict[WorkerId, tuple[Instant, int]] = {}
        self._stored_holds: dict[WorkerId, tuple[Instant, int]] = {}
        self._obsolete_keys: deque[str] = deque()
        """Keys of rows that other stored rows replace, still to be deleted."""
        self._commit_ms = 0
        """Duration of the last transaction."""
        self.queued_count = 0
        """Number of records queued so far."""
        self.durable_count = 0
        """Number of durable records, in the order in which they were queued."""

    def add_stored_ends(self, end_keys: tuple[str, ...], ended_jobs: Container[JobId] = ()) -> None:
        """Add the keys of ends that earlier leaders have stored; delete those of ended jobs."""
        for key in end_keys:
            job = parse_end_key(key).job
            if job in ended_jobs:
                self._obsolete_keys.append(key)
            else:
                self._end_keys.setdefault(job, []).append(key)
        if self._obsolete_keys:
            self._queued.set()

    def add_stored_workers(
        self,
        keys: tuple[str, ...],
        ends: Mapping[WorkerId, tuple[Instant, int]] | None = None,
        held: Mapping[WorkerId, tuple[Instant, int]] | None = None,
    ) -> None:
        """Add the keys of the workers' rows that earlier leaders have stored.

        `ends` holds when the runs on suspended workers have ended, by this host's clock and, as it
        is stored, in ms by that of the table service. `held` holds until when a command for a
        former life may hold the runs on a worker, by both clocks.
        """
        self._worker_shares.add_former_rows(keys)
        self._stored_ends = dict(ends or {})
        self._stored_holds = dict(held or {})

    def forget_end(self, key: str) -> None:
        """Delete the row of a run's end together with the next records."""
        keys = self._end_keys.get(parse_end_key(key).job, [])
        if key in keys:
            keys.remove(key)
            self._obsolete_keys.append(key)
            self._queued.set()

    def queue(self, record: Record) -> None:
        """Queue a record to be stored in the next batch."""
        self._queue.append((record, read_instant()))
        self.queued_count += 1
        self._queued.set()

    async def wait_durable(self, count: int, timeout: float) -> bool:
        """Wait until the first `count` records are durable; return whether they are.

        `timeout` is in seconds.
        """
        try:
            async with asyncio.timeout(timeout), self._durable:
                await self._durable.wait_for(lambda: self.durable_count >= count)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write batches until cancelled; raises `Deposed`."""
        while True:
            await self._queued.wait()
            await asyncio.sleep(BATCH_DELAY_SECONDS)
            popped = self._pop_batch()
            batch = [record for record, _ in popped]
            self._queued.clear()
            await self._store(batch)
            if self._queue or len(self._obsolete_keys) >= MAX_PUTS:
                self._queued.set()
            stored_at = read_instant()
            for record, queued_at in popped:
                self._report_wait(stored_at - queued_at)
                self._log(record, stored_at - queued_at)
            self._report_durable(batch)
            async with self._durable:
                self.durable_count += len(batch)
                self._durable.notify_all()

    def _pop_batch(self) -> list[tuple[Record, Instant]]:
        max_puts = MAX_PUTS
        if self._commit_ms >= SLOW_COMMIT_MS:
            first = [record for record, _ in islice(self._queue, MAX_ENTRIES)]
            # A list of workers has several rows.
            max_puts = MAX_PUTS if _select_worker_lists(first) else MAX_ENTRIES
        return [self._queue.popleft() for _ in range(min(max_puts, len(self._queue)))]

    async def _store(self, batch: list[Record]) -> None:
        puts: dict[str, bytes] = {}
        ended = {record.job for record in batch if isinstance(record, RecordFinal)}
        for record in batch:
            if isinstance(record, RecordRun):
                if record.task.job in ended:
                    # The final state replaces the ends of the job's runs.
                    continue
                key = make_end_key(record.task, record.record)
                self._end_keys.setdefault(record.task.job, []).append(key)
                puts[key] = encode_record(record.record)
            elif isinstance(record, RecordFinal):
                puts[make_final_key(record.job)] = encode_record(record.final)
        puts.update(self._replace_workers(batch))
        deletes = self._pop_obsolete_keys(batch, puts.keys(), MAX_ENTRIES - len(puts))
        delay_seconds = RETRY_SECONDS
        while True:
            sent_at = read_instant()
            try:
                await self._commit(tuple(puts.items()), tuple(deletes))
            except WriteRejected as error:
                # The records can't be given up, and the jobs of others wait behind them.
                log_warning_event(Event.RECORDS_REJECTED, count=len(batch), error=str(error))
                await asyncio.sleep(MAX_RETRY_SECONDS)
                continue
            except (Unavailable, OutcomeUnknown) as error:
                # Writing equal rows twice is idempotent, so a write of unknown outcome is retried.
                log_warning_event(Event.RECORDS_NOT_STORED, count=len(batch), error=str(error))
                await self._wait_for_table(sent_at, delay_seconds)
                delay_seconds = min(2 * delay_seconds, MAX_RETRY_SECONDS)
                continue
            self._commit_ms = read_instant() - sent_at
            if delay_seconds != RETRY_SECONDS:
                log_event(Event.RECORDS_STORED_AGAIN, count=len(batch))
            return

    async def _commit(self, puts: tuple[tuple[str, bytes], ...], deletes: tuple[str, ...]) -> None:
        with self._leadership.carry_renewal(self._epoch) as renewal:
            transaction = PartitionTransaction(
                POOL_TABLE,
                POOL_PARTITION,
                checks=((EPOCH_KEY, self._leadership.epoch_version),),
                puts=(*puts, renewal.put),
                deletes=deletes,
            )
            commit = await commit_repeatedly(self._table, transaction, COMMIT_TIMEOUT_SECONDS)
            self._leadership.record_renewal(renewal, commit)
        if not commit.result.applied:
            raise Deposed(f"epoch {self._epoch} was superseded by another leader")

    async def _wait_for_table(self, failed_at: Instant, delay_seconds: float) -> None:
        """Wait before the next attempt, at most until the table has returned since `failed_at`."""
        for _ in range(math.ceil(delay_seconds / RETURN_CHECK_SECONDS)):
            if self._table.get_returned_at() > failed_at:
                return
            await asyncio.sleep(RETURN_CHECK_SECONDS)

    def _replace_workers(self, batch: list[Record]) -> dict[str, bytes]:
        """Return the rows of the last list of workers in the batch; it replaces the others."""
        lists = _select_worker_lists(batch)
        if not lists:
            return {}
        runs_end_ms = {
            worker: self._find_table_time(worker, ends_at)
            for worker, ends_at in lists[-1].suspended
        }
        held_until_ms = {
            worker: None if until is None else self._find_hold_time(worker, until)
            for worker, until in lists[-1].held
        }
        puts, obsolete = self._worker_shares.replace_workers(
            lists[-1].workers, runs_end_ms, held_until_ms
        )
        self._obsolete_keys.extend(obsolete)
        return puts

    def _find_table_time(self, worker: WorkerId, ends_at: Instant) -> int:
        # Each conversion adds a margin, so what an earlier leader has stored is stored as it is.
        if worker in self._stored_ends and self._stored_ends[worker][0] == ends_at:
            return self._stored_ends[worker][1]
        return self._leadership.convert_to_table_clock(ends_at, read_instant())

    def _find_hold_time(self, worker: WorkerId, until: Instant) -> int:
        stored = self._stored_holds.get(worker)
        if stored is None or stored[0] != until:
            until_ms = self._leadership.convert_to_table_clock(until, read_instant())
            stored = self._stored_holds[worker] = until, until_ms
        return stored[1]

    def _pop_obsolete_keys(
        self, batch: list[Record], written: Container[str], max_keys: int
    ) -> list[str]:
        """Return at most `max_keys` keys to delete in the transaction that writes the batch.

        The others, and those that the transaction itself writes, go with a later one.
        """
        for record in batch:
            if isinstance(record, RecordFinal):
                self._obsolete_keys.extend(self._end_keys.pop(record.job, ()))
        deletes = [key for key in self._obsolete_keys if key not in written][:max_keys]
        chosen = set(deletes)
        self._obsolete_keys = deque(key for key in self._obsolete_keys if key not in chosen)
        return deletes

    def _log(self, record: Record, stored_ms: int) -> None:
        if isinstance(record, RecordRun):
            log_event(
                Event.RUN_ENDED,
                task=format_task(record.task),
                run=record.record.run,
                end=record.record.end.value,
                stored_ms=stored_ms,
                epoch=self._epoch,
            )
        elif isinstance(record, RecordFinal):
            log_event(
                Event.JOB_ENDED,
                job=record.job,
                state=record.final.state.value,
                cause=record.cause.value if record.cause is not None else None,
                task=format_task(record.failed_task) if record.failed_task is not None else None,
                stored_ms=stored_ms,
                epoch=self._epoch,
            )

    def _report_durable(self, batch: list[Record]) -> None:
        runs = tuple((each.task, each.record) for each in batch if isinstance(each, RecordRun))
        finals = tuple((each.job, each.final) for each in batch if isinstance(each, RecordFinal))
        if runs:
            self._handle_event(RunsRecorded(runs))
        if finals:
            self._handle_event(FinalsRecorded(finals))
        if lists := _select_worker_lists(batch):
            self._handle_event(_make_recorded(lists[-1]))


def _make_recorded(record: RecordWorkers) -> WorkersRecorded:
    suspended = {worker for worker, _ in record.suspended}
    lives = [(each.worker, each.life) for each in record.workers]
    return WorkersRecorded(
        tuple(each for each in lives if each[0] not in suspended),
        tuple(each for each in lives if each[0] in suspended),
        record.number,
    )


def _select_worker_lists(batch: list[Record]) -> list[RecordWorkers]:
    """Return the lists of workers in a batch; only the last one is stored."""
    return [record for record in batch if isinstance(record, RecordWorkers)]
