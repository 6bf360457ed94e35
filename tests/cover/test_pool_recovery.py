"""A new leader recovers the stored state from a table that fails some of its reads.

All partitions were read again when the read of one had failed, so that a recovery took until all
33 reads had succeeded in a row.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

import pytest

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import ConfigVersion, Epoch, Instant, RowVersion
from lentilpath_core.pool import JobAccepted, PoolConfiguration, RecordWorkers
from lentilpathd._pool import _recovery
from lentilpathd._pool._ports import PartitionRow, PartitionRows
from lentilpathd._pool._records import (
    JOB_PARTITIONS,
    JOBS_TABLE,
    POOL_PARTITION,
    POOL_TABLE,
    encode_record,
    list_job_partitions,
)
from lentilpathd._pool._recovery import RepeatedReads, read_pool
from lentilpathd._pool._worker_rows import WorkerShares
from tests.common.pools import QUEUE, make_job_id, make_queue, make_record, make_worker
from tests.common.requests import wait_until
from tests.common.simulated_pool import SharedRows, SimulatedHost, list_states, run_logged
from tests.common.simulated_workers import Faults, SimulatedCluster, read_time
from tests.common.virtual_time import run_in_virtual_time

FAILING_SHARE = 0.2
MOST_SECONDS = 3.0
"""The time of over ten attempts to read a partition, in virtual time."""
JOB = make_record(1)


class FailingRows(SharedRows):
    """A table of which each read fails with some probability, or `failures` times first."""

    def __init__(self, seed: int, share: float = 0.0) -> None:
        super().__init__()
        self.random = Random(seed)
        self.share = share
        self.failures: dict[str, int] = {}
        self.reads: list[str] = []
        self.versions: dict[str, int] = {}
        self.put_job(JOB)

    async def read_partition(self, table, partition, first, end, timeout):
        await asyncio.sleep(0.01)
        self.clock_ms = int(asyncio.get_running_loop().time() * 1_000)
        if self.random.random() < self.share or self.failures.get(partition, 0):
            self.failures[partition] = max(0, self.failures.get(partition, 0) - 1)
            raise self.random.choice([TableUnavailable("away"), OutcomeUnknown("no answer")])
        self.reads.append(partition)
        rows = tuple(row for row in self.rows.values() if row.part == partition)
        version = RowVersion(self.versions.get(partition, 1_000))
        return PartitionRows(rows, version, self.clock_ms)


def recover(table: FailingRows, patch: pytest.MonkeyPatch) -> _recovery.RecoveredPool:
    reading = read_pool(RepeatedReads(table, Epoch(2)), 1)
    return run_in_virtual_time(reading, patch, _recovery)


async def measure_recovery(cluster: SimulatedCluster, rows: FailingRows) -> float:
    """Return the time from a leader's takeover until it has recovered the state, in seconds."""
    for worker in cluster.workers.values():
        worker.boot()
    host = SimulatedHost("h0", SharedRows(), cluster)
    read_leader = host.path.read_partition

    async def read_partition(table, partition, first, end, timeout):
        # The leader's rows are polled apart from the recovery, which reads partitions as a whole.
        path = read_leader if first or end else rows.read_partition
        return await path(table, partition, first, end, timeout)

    host.path.read_partition = read_partition  # type: ignore[method-assign]
    leading = asyncio.create_task(host.run())
    try:
        await wait_until(lambda: host.term is not None)
        began = read_time()
        await wait_until(lambda: bool(list_states([host])))
        return read_time() - began
    finally:
        leading.cancel()
        await asyncio.wait({leading})


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_recovers_soon_from_a_table_that_fails_a_fifth_of_its_reads(seed, monkeypatch):
    cluster = SimulatedCluster(seed, Faults(), 2)
    cluster.configuration = PoolConfiguration(ConfigVersion(1), {QUEUE: make_queue()})
    took: list[float] = []

    async def scenario() -> list[str]:
        took.append(await measure_recovery(cluster, FailingRows(seed, FAILING_SHARE)))
        return []

    run_logged(scenario(), cluster, monkeypatch)
    assert took[0] < MOST_SECONDS


@pytest.mark.parametrize("seed", range(4))
def test_a_partition_that_was_read_is_not_read_again(seed, monkeypatch):
    table = FailingRows(seed, FAILING_SHARE)
    recovered = recover(table, monkeypatch)
    assert sorted(table.reads) == sorted([*list_job_partitions(), POOL_PARTITION])
    assert len(table.reads) == JOB_PARTITIONS + 1
    accepted = [each.record for each in recovered.events if isinstance(each, JobAccepted)]
    assert accepted == [JOB]


@pytest.mark.parametrize("late", ["", "7", POOL_PARTITION])
def test_changes_are_followed_from_the_oldest_read_whichever_is_repeated(late, monkeypatch):
    table = FailingRows(0)
    table.failures = {late: 20}
    table.versions = {"5": 400, late: 2_000}
    assert recover(table, monkeypatch).jobs_version == 400


def test_the_end_of_a_suspended_workers_runs_does_not_move_while_jobs_are_being_read(monkeypatch):
    worker, left_ms = make_worker("w1"), 5_000
    moments: list[Instant] = []
    for failures in (0, 10):
        table = FailingRows(0)
        table.failures = {"7": failures}
        ends_ms = {worker.worker: 1_000_000 + left_ms}
        rows = WorkerShares(Epoch(1)).replace_workers(RecordWorkers((worker,)).workers, ends_ms)[0]
        for key, value in rows.items():
            table.rows[key] = PartitionRow(POOL_PARTITION, key, value, RowVersion(1))
        moments.append(recover(table, monkeypatch).suspended_workers[worker.worker][0])
    assert moments[0] == moments[1]


def test_reads_that_fail_at_once_share_a_line_of_the_log(caplog, monkeypatch):
    table = FailingRows(0)
    table.failures = dict.fromkeys([*list_job_partitions(), POOL_PARTITION], 5)
    with caplog.at_level(logging.INFO):
        recover(table, monkeypatch)
    lines = [each.getMessage() for each in caplog.records if "LP506" in each.getMessage()]
    assert 1 <= len(lines) <= 5
    assert JOBS_TABLE in lines[0] or POOL_TABLE in lines[0]


def test_a_job_of_any_partition_is_recovered(monkeypatch):
    for part in list_job_partitions():
        table = FailingRows(0, FAILING_SHARE)
        record = make_record(2)
        table.rows[make_job_id(2)] = PartitionRow(
            part, record.job, encode_record(record), RowVersion(9)
        )
        accepted = [
            each.record.job
            for each in recover(table, monkeypatch).events
            if isinstance(each, JobAccepted)
        ]
        assert sorted(accepted) == [JOB.job, record.job]
