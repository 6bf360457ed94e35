"""Stored job records suffice for a new leader and are removed when no longer needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lentilpath_core.ids import Epoch, RowVersion, WallTime
from lentilpath_core.pool import (
    DeleteJob,
    FinalRecord,
    JobState,
    RecordFinal,
    RecordRun,
    RunEnd,
    RunNumber,
    RunRecord,
    RunsRecovered,
    StartAnswer,
)
from lentilpathd._pool._ports import PartitionRow, PartitionRows, PartitionTransaction
from lentilpathd._pool._records import (
    PARTITIONS_PER_JOB,
    get_job_partitions,
    make_end_key,
    make_run_key,
)
from lentilpathd._pool._recovery import read_pool
from lentilpathd._pool._removal import JobRemover
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import PoolHarness, list_starts, make_job_id, make_task, make_worker
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable, make_leadership
from tests.cover.test_pool_answers import make_jobs

MANY_ENDS = 130
"""More rows than one transaction may have entries."""
END = RecordRun(make_task(1), RunRecord(RunNumber(1), RunEnd.DONE))
FINAL = RecordFinal(make_job_id(1), FinalRecord(JobState.COMPLETED, WallTime(5)))


class PuttingTable(OnePartitionTable):
    """A table that notes the keys of all rows that were ever written."""

    def __init__(self) -> None:
        super().__init__()
        self.put_keys: set[str] = set()

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.put_keys.update(key for key, _ in transaction.puts)
        return await super().commit(transaction, timeout)


class CallingTable(OnePartitionTable):
    """A table that calls a function once each transaction is applied, before its answer."""

    def __init__(self, call: Callable[[], None]) -> None:
        super().__init__()
        self.call = call

    async def commit(self, transaction, timeout, prefer_relay=False):
        outcome = await super().commit(transaction, timeout)
        self.call()
        return outcome


def write(table: OnePartitionTable, *records) -> list[object]:
    events: list[object] = []

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), events.append)
        task = asyncio.create_task(writer.run())
        for record in records:
            writer.queue(record)
            assert await writer.wait_durable(writer.queued_count, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    return events


def test_an_end_is_announced_after_it_is_stored():
    table = OnePartitionTable()
    assert len(write(table, END)) == 1
    assert [key for key in table.rows if key.startswith("end/")] != []


def test_the_ends_of_a_job_are_removed_when_its_final_state_is_stored():
    table = OnePartitionTable()
    write(table, END, FINAL)
    assert [key for key in table.rows if key != "0lease"] == [f"final/{make_job_id(1)}"]


def make_ends(count: int) -> list[RecordRun]:
    return [
        RecordRun(make_task(1, number), RunRecord(RunNumber(1), RunEnd.DONE))
        for number in range(count)
    ]


def list_end_keys(table: OnePartitionTable) -> list[str]:
    return [key for key in table.rows if key.startswith("end/")]


def test_more_ends_than_fit_in_one_transaction_are_all_removed():
    table = OnePartitionTable()
    next_batches = [RecordFinal(make_job_id(job), FINAL.final) for job in (2, 3)]
    write(table, *make_ends(MANY_ENDS), FINAL, *next_batches)
    assert list_end_keys(table) == []


def test_ends_that_wait_beside_the_final_state_of_their_job_are_not_stored():
    table = PuttingTable()

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda event: None)
        writer.queue(END)
        writer.queue(FINAL)
        task = asyncio.create_task(writer.run())
        assert await writer.wait_durable(2, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert table.put_keys == {"0lease", f"final/{make_job_id(1)}"}


def test_ends_that_a_former_leader_did_not_remove_are_removed_by_the_next_one():
    table = OnePartitionTable()
    write(table, *make_ends(MANY_ENDS))
    keys = tuple(list_end_keys(table))
    assert len(keys) == MANY_ENDS

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda event: None)
        writer.add_stored_ends(keys, {make_job_id(1)})
        task = asyncio.create_task(writer.run())
        await wait_until(lambda: len(list_end_keys(table)) < MANY_ENDS)
        writer.queue(FINAL)
        await wait_until(lambda: not list_end_keys(table))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_job_is_forgotten_only_after_its_retention_time():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.pass_time(1)
    harness.report("w1", ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.confirm_records()
    harness.confirm_records()
    memory_ms = harness.state.job_memory_ms
    assert DeleteJob(make_job_id(1)) not in harness.pass_time(memory_ms - 100)
    assert DeleteJob(make_job_id(1)) in harness.pass_time(200)


def test_the_rows_of_a_forgotten_job_are_removed(monkeypatch):
    monkeypatch.setattr("lentilpathd._pool._removal.BATCH_DELAY_SECONDS", 0.001)
    table = OnePartitionTable()
    write(table, FINAL)
    del table.rows["0lease"]

    async def scenario() -> None:
        remover = JobRemover(table, Epoch(1), RowVersion(0))
        task = asyncio.create_task(remover.run())
        remover.queue(make_job_id(1))
        await asyncio.wait_for(table.emptied.wait(), 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


class PartitionsTable(OnePartitionTable):
    """A table that notes the partitions of its transactions and holds rows in one of them only."""

    def __init__(self, part: str = "") -> None:
        super().__init__()
        self.part = part
        self.deleted: set[tuple[str, str]] = set()

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.deleted.update((transaction.part, key) for key in transaction.deletes)
        return await super().commit(transaction, timeout)

    async def read_partition(self, table, partition, first, end, timeout):
        if partition != self.part:
            return PartitionRows((), RowVersion(self.version), self.clock_ms)
        return await super().read_partition(table, partition, first, end, timeout)


def test_a_forgotten_job_is_removed_from_each_partition_that_may_hold_it():
    table = PartitionsTable()
    job = make_job_id(1)
    asyncio.run(JobRemover(table, Epoch(1), RowVersion(0))._remove([job]))
    partitions = get_job_partitions(job)
    assert len(set(partitions)) == PARTITIONS_PER_JOB
    assert {(part, job) for part in partitions} <= table.deleted


@pytest.mark.parametrize("number", range(PARTITIONS_PER_JOB))
def test_a_job_is_known_whichever_of_its_partitions_holds_it(number: int):
    job = make_job_id(1)
    table = PartitionsTable(get_job_partitions(job)[number])
    table.rows[job] = PartitionRow(table.part, job, b"", RowVersion(1))
    assert asyncio.run(make_jobs(table, None).get_state(job)) is JobState.QUEUED
    assert asyncio.run(make_jobs(PartitionsTable(), None).get_state(job)) is None


def test_a_crash_under_a_run_has_a_row_of_its_own_which_can_be_deleted():
    table = OnePartitionTable()
    crash = RecordRun(make_task(1), RunRecord(RunNumber(1), RunEnd.CRASHED))

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda _event: None)
        task = asyncio.create_task(writer.run())
        for record in (crash, END):
            writer.queue(record)
        assert await writer.wait_durable(2, 5.0)
        assert len([key for key in table.rows if key.startswith("end/")]) == 2
        writer.forget_end(make_run_key(make_task(1), RunNumber(1), RunEnd.CRASHED))
        await wait_until(lambda: len([key for key in table.rows if key.startswith("end/")]) == 1)
        assert make_end_key(END.task, END.record) in table.rows
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_row_that_is_forgotten_while_records_are_stored_does_not_wait_for_later_records():
    """A later leader may count crashes of a task that was cleared."""
    record = RecordRun(make_task(1), RunRecord(RunNumber(1), RunEnd.CRASHED))

    async def scenario() -> None:
        table = CallingTable(lambda: None)
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda _event: None)
        task = asyncio.create_task(writer.run())
        writer.queue(record)
        assert await writer.wait_durable(1, 5.0)
        table.call = lambda: writer.forget_end(make_end_key(record.task, record.record))
        writer.queue(END)
        await wait_until(lambda: list_end_keys(table) == [make_end_key(END.task, END.record)])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stored", [False, True])
def test_a_suspicion_that_is_cleared_before_it_is_durable_leaves_no_row(is_stored: bool):
    table = OnePartitionTable()
    key = make_run_key(make_task(1), RunNumber(1), RunEnd.SUSPECTED)
    suspicion = RecordRun(make_task(1), RunRecord(RunNumber(1), RunEnd.SUSPECTED))

    async def scenario() -> None:
        # The core repeats the deletion for a record that turns out to be obsolete.
        writer = RecordWriter(
            table, Epoch(1), make_leadership(table), lambda _event: writer.forget_end(key)
        )
        task = asyncio.create_task(writer.run())
        writer.queue(suspicion)
        if is_stored:
            await wait_until(lambda: key in table.rows)
        writer.forget_end(key)
        assert await writer.wait_durable(1, 5.0)
        await wait_until(lambda: list_end_keys(table) == [])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


class LateTable(OnePartitionTable):
    """Keeps what was written, to be done once more after newer writes."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions: list[PartitionTransaction] = []

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.transactions.append(transaction)
        return await super().commit(transaction, timeout, prefer_relay)

    def repeat_write(self, of_key: str) -> None:
        """Do the first write of a row once more."""
        keys = [dict(each.puts) for each in self.transactions]
        first = next(number for number, puts in enumerate(keys) if of_key in puts)
        assert self.apply(self.transactions[first]).applied


def test_ends_that_a_late_write_puts_back_are_removed_by_the_next_leader():
    """A batch that got no answer is done after the one that has removed its rows."""
    table = LateTable()
    write(table, END, FINAL)
    assert list_end_keys(table) == []
    table.repeat_write(make_end_key(END.task, END.record))
    (key,) = list_end_keys(table)
    recovered = asyncio.run(read_pool(table))
    assert recovered.end_keys == (key,)
    assert recovered.ended_jobs == {make_job_id(1)}
    # The job's end stands, and the run's does not count beside it.
    assert recovered.events[-1] == RunsRecovered(())

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda event: None)
        writer.add_stored_ends(recovered.end_keys, recovered.ended_jobs)
        task = asyncio.create_task(writer.run())
        await wait_until(lambda: not list_end_keys(table))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def test_a_final_state_that_a_late_write_puts_back_is_removed_again_by_the_next_leader(
    monkeypatch,
):
    monkeypatch.setattr("lentilpathd._pool._removal.BATCH_DELAY_SECONDS", 0.001)
    table = LateTable()
    write(table, FINAL)
    asyncio.run(JobRemover(table, Epoch(1), RowVersion(0))._remove([make_job_id(1)]))
    key = f"final/{make_job_id(1)}"
    assert key not in table.rows
    table.repeat_write(key)
    harness = PoolHarness()
    for event in asyncio.run(read_pool(table)).events:
        harness.handle_event(event)
    assert DeleteJob(make_job_id(1)) in harness.pass_time(harness.state.job_memory_ms + 100)
