"""A pool of thousands of workers stores them in rows that the table accepts, a few per change."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from lentilpath_core.errors import OutcomeUnknown, WriteRejected
from lentilpath_core.ids import Epoch, WorkerId
from lentilpath_core.pool import Life, ListedWorker, RecordWorkers, WorkersRecorded
from lentilpathd._pool._ports import PartitionTransaction
from lentilpathd._pool._records import (
    LEASE_KEY,
    POOL_PARTITION,
    POOL_TABLE,
    WORKERS_KEY,
)
from lentilpathd._pool._recovery import read_commanded_workers, read_pool
from lentilpathd._pool._worker_rows import WORKER_SHARES, WorkerShares
from lentilpathd._pool._writer import RecordWriter
from tests.common.fleet.deployment import Fleet, make_step, run_fleet
from tests.common.pools import make_worker
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable, make_leadership

MANY_WORKERS = 3_000
MAX_ROWS_PER_CHANGE = 3
"""Rows that one worker's change may write: its own, the lease, and one to spare."""


def make_workers(count: int) -> tuple[ListedWorker, ...]:
    return tuple(
        make_worker(f"worker-{number:05}", rack=f"r{number // 9}", machine=f"m-{number:05}")
        for number in range(count)
    )


class RecordingTable(OnePartitionTable):
    """Keeps the number of rows that each transaction has put."""

    def __init__(self) -> None:
        super().__init__()
        self.put_counts: list[int] = []

    async def commit(self, transaction, timeout, prefer_relay=False):
        commit = await super().commit(transaction, timeout, prefer_relay)
        self.put_counts.append(len(transaction.puts))
        return commit


def store(table: OnePartitionTable, *lists: tuple[ListedWorker, ...]) -> list[object]:
    events: list[object] = []

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), events.append)
        task = asyncio.create_task(writer.run())
        for workers in lists:
            writer.queue(RecordWorkers(workers))
            assert await writer.wait_durable(writer.queued_count, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    return events


def store_as_successor(table: OnePartitionTable, workers: tuple[ListedWorker, ...]) -> None:
    """Store a list as the next leader, which knows of the rows in the table."""
    keys = asyncio.run(read_pool(table)).worker_keys

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(2), make_leadership(table), lambda event: None)
        writer.add_stored_workers(keys)
        task = asyncio.create_task(writer.run())
        writer.queue(RecordWorkers(workers))
        await wait_until(lambda: not table.rows.keys() & set(keys))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


def read(table: OnePartitionTable) -> dict[WorkerId, Life]:
    recovered = asyncio.run(read_pool(table)).former_workers
    assert set(recovered) == set(asyncio.run(read_commanded_workers(table)))
    return {each.worker: each.life for each in recovered}


def get_lives(workers: tuple[ListedWorker, ...]) -> dict[WorkerId, Life]:
    return {each.worker: each.life for each in workers}


def test_thousands_of_workers_are_stored_and_recovered():
    table, workers = OnePartitionTable(), make_workers(MANY_WORKERS)
    (event,) = store(table, workers)
    assert isinstance(event, WorkersRecorded)
    assert len(event.lives) == MANY_WORKERS
    assert read(table) == get_lives(workers)
    recovered = asyncio.run(read_pool(table)).former_workers
    assert {each.machine for each in recovered} == {each.machine for each in workers}


def test_a_worker_that_left_is_not_recovered_even_if_it_was_the_only_one():
    table, workers = OnePartitionTable(), make_workers(MANY_WORKERS)
    store(table, workers, workers[:7], workers[:1])
    assert read(table) == get_lives(workers[:1])
    store_as_successor(table, ())
    assert read(table) == {}


def test_one_restarted_worker_rewrites_its_own_row_only():
    table, workers = RecordingTable(), make_workers(MANY_WORKERS)
    restarted = make_worker(workers[0].worker, life=Life(2), rack="r0")
    store(table, workers, (restarted, *workers[1:]))
    assert table.put_counts[1] <= MAX_ROWS_PER_CHANGE
    assert read(table)[restarted.worker] == 2


class LateTable(OnePartitionTable):
    """Applies the transactions of the time in which `is_late` was set once more, later."""

    def __init__(self) -> None:
        super().__init__()
        self.is_late = True
        self.late: list[PartitionTransaction] = []

    async def commit(self, transaction, timeout, prefer_relay=False):
        if self.is_late:
            self.late.append(transaction)
        return await super().commit(transaction, timeout, prefer_relay)

    def apply_late(self) -> None:
        for transaction in self.late:
            asyncio.run(super().commit(transaction, 1.0))


def test_a_list_that_the_table_applies_late_hides_no_worker_that_was_added_since():
    table, workers = LateTable(), make_workers(MANY_WORKERS)

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda event: None)
        task = asyncio.create_task(writer.run())
        writer.queue(RecordWorkers(workers[:-1]))
        assert await writer.wait_durable(1, 5.0)
        table.is_late = False
        writer.queue(RecordWorkers(workers))
        assert await writer.wait_durable(2, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    table.apply_late()
    assert read(table) == get_lives(workers)


def test_rows_of_an_earlier_leader_are_deleted_by_the_first_list_of_its_successor():
    table, workers = OnePartitionTable(), make_workers(MANY_WORKERS)
    store(table, workers)
    store_as_successor(table, workers[:10])
    assert read(table) == get_lives(workers[:10])
    assert len([key for key in table.rows if key.startswith(WORKERS_KEY)]) == WORKER_SHARES


def test_lists_that_are_stored_in_one_transaction_leave_the_last_one():
    table, workers = OnePartitionTable(), make_workers(MANY_WORKERS)

    async def scenario() -> None:
        writer = RecordWriter(table, Epoch(1), make_leadership(table), lambda event: None)
        for each in (workers, workers[:1], workers[:5], workers):
            writer.queue(RecordWorkers(each))
        task = asyncio.create_task(writer.run())
        assert await writer.wait_durable(4, 5.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert read(table) == get_lives(workers)


def test_the_row_of_an_earlier_release_is_read_and_then_replaced():
    table, workers = OnePartitionTable(), make_workers(20)
    values = WorkerShares(Epoch(1)).replace_workers(workers, {})[0].values()
    rows = [each for value in values for each in msgspec.msgpack.decode(value)]
    row = (WORKERS_KEY, msgspec.msgpack.encode(rows))
    former = PartitionTransaction(POOL_TABLE, POOL_PARTITION, puts=(row,))
    asyncio.run(table.commit(former, 1.0))
    assert read(table) == get_lives(workers)
    store_as_successor(table, workers[:3])
    assert read(table) == get_lives(workers[:3])
    assert WORKERS_KEY not in table.rows


class ReadRecordingTable(OnePartitionTable):
    """Keeps the keys of the rows that were read."""

    def __init__(self) -> None:
        super().__init__()
        self.read_keys: set[str] = set()

    async def read_partition(self, table, partition, first, end, timeout):
        read = await super().read_partition(table, partition, first, end, timeout)
        self.read_keys.update(row.key for row in read.rows)
        return read


def test_hosts_that_watch_the_leadership_do_not_read_the_workers():
    table = ReadRecordingTable()
    store(table, make_workers(MANY_WORKERS))
    asyncio.run(make_leadership(table, "h2")._read_snapshot())
    assert table.read_keys == {LEASE_KEY}


def test_a_write_that_the_table_rejects_is_named_and_not_taken_for_an_unclear_one():
    async def scenario() -> None:
        async with run_fleet(hosts=1, workers=1) as fleet:
            host = fleet.hosts[0]
            long = PartitionTransaction("t", "p", puts=(("k", b"x" * 70_000),))
            with pytest.raises(WriteRejected) as caught:
                await host.host.table.commit(long, 1.0)
            assert not isinstance(caught.value, OutcomeUnknown)
            assert host.host.table.is_direct_path_up()
            await expect_long_job_refused(fleet)

    asyncio.run(scenario())


async def expect_long_job_refused(fleet: Fleet) -> None:
    host = fleet.hosts[0]
    body = {"spec": "x" * 70_000, "steps": [make_step()]}
    response = await host.call("POST", "/checks/00000000000000aa", body)
    assert response.status == 400
    assert (await host.call("GET", "/checks/00000000000000aa")).status == 410


def test_a_host_without_a_direct_path_learns_that_its_write_is_rejected():
    async def scenario() -> None:
        async with run_fleet(hosts=3, workers=1) as fleet:
            cut = next(each for each in fleet.hosts if not each.host.is_leading())
            cut.faults.is_unavailable = True
            await wait_until(lambda: not cut.host.table.is_direct_path_up())
            long = PartitionTransaction("t", "p", puts=(("k", b"x" * 70_000),))
            with pytest.raises(WriteRejected):
                await cut.host.table.commit(long, 1.0)

    asyncio.run(scenario())
