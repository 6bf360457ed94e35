"""The return of a table that gave no answers is noticed, and used for writes in doubt, at once."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from lentilpath_core.errors import LentilpathError, OutcomeUnknown, TableUnavailable
from lentilpath_core.ids import Epoch, HostId, JobId, RowVersion, WallTime
from lentilpath_core.pool import FinalRecord, JobState, RecordFinal
from lentilpathd._pool import _leadership, _writer
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._refusals import SubmissionResult
from lentilpathd._pool._table_path import TablePath
from lentilpathd._pool._writer import RecordWriter
from tests.common.pools import make_record
from tests.common.tables import OnePartitionTable, make_leadership
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_answers import QUEUE, make_jobs
from tests.cover.test_pool_settling import MODULES
from tests.cover.test_pool_table_path import PUT, InMemoryBus

ANSWER_SECONDS = 0.02
OUTAGE_SECONDS = 2.6
DEADLINE_MS = 3_000
PROBE_STEP_SECONDS = 0.01


class OutageTable(OnePartitionTable):
    """A table that drops all calls that it receives while `is_silent` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_silent = False
        self.timeout_error: type[LentilpathError] = OutcomeUnknown
        self.writes = 0

    async def _reach(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(3_600 if self.is_silent else ANSWER_SECONDS)
        except TimeoutError as error:
            raise self.timeout_error("no answer in time") from error

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.writes += 1
        await self._reach(timeout)
        return await super().commit(transaction, timeout)

    async def read_partition(self, table, partition, first, end, timeout):
        await self._reach(timeout)
        return await super().read_partition(table, partition, first, end, timeout)


def make_path(table: OutageTable) -> TablePath:
    return TablePath(table, cast(Any, InMemoryBus("h1", {})), lambda now: (), PoolMetrics())


async def poll(path: TablePath) -> None:
    """Read the leadership rows as each host does."""
    while True:
        await asyncio.gather(path.read_partition("t", "cell", "", "", 1.5), return_exceptions=True)
        await asyncio.sleep(0.35)


async def stop(*tasks: asyncio.Future[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("offset", [0.0, 0.1, 0.2, 0.4, 0.6, 0.8])
def test_a_direct_path_that_works_again_is_noticed_within_300_ms(monkeypatch, offset):
    async def scenario() -> float:
        table = OutageTable()
        path = make_path(table)
        running = asyncio.ensure_future(path.run())
        table.is_silent = True
        writes = (path.commit(PUT, 0.5) for _ in range(2))
        await asyncio.gather(*writes, return_exceptions=True)
        assert not path.is_direct_path_up()
        await asyncio.sleep(OUTAGE_SECONDS + offset)
        table.is_silent = False
        waited = 0.0
        while not path.is_direct_path_up():
            await asyncio.sleep(PROBE_STEP_SECONDS)
            waited += PROBE_STEP_SECONDS
        await stop(running)
        return waited

    assert run_in_virtual_time(scenario(), monkeypatch, *MODULES) <= 0.3


def test_a_call_that_did_not_connect_in_an_outage_does_not_close_the_path_after_its_return(
    monkeypatch,
):
    async def scenario() -> bool:
        table = OutageTable()
        path = make_path(table)
        table.is_silent = True
        table.timeout_error = TableUnavailable
        old = [asyncio.ensure_future(path.commit(PUT, 2.5)) for _ in range(4)]
        await asyncio.sleep(0.1)
        table.is_silent = False
        await path.read_partition("t", "cell", "", "", 0.5)
        await asyncio.gather(*old, return_exceptions=True)
        return path.is_direct_path_up()

    assert run_in_virtual_time(scenario(), monkeypatch, *MODULES)


def test_a_write_that_was_sent_into_an_outage_is_settled_once_the_table_is_back(monkeypatch):
    async def scenario() -> SubmissionResult:
        table = OutageTable()
        path = make_path(table)
        tasks = [asyncio.ensure_future(path.run()), asyncio.ensure_future(poll(path))]
        await asyncio.sleep(1.0)
        table.is_silent = True
        await asyncio.sleep(0.5)
        jobs = make_jobs(cast(Any, path), None)
        submission = asyncio.ensure_future(jobs.submit(make_record(1), QUEUE, DEADLINE_MS))
        await asyncio.sleep(OUTAGE_SECONDS - 0.5)
        table.is_silent = False
        answer = await submission
        await stop(*tasks)
        return answer.result

    result = run_in_virtual_time(scenario(), monkeypatch, *MODULES)
    assert result is SubmissionResult.ACCEPTED


def test_a_long_poll_from_before_an_outage_does_not_make_the_path_count_as_up(monkeypatch):
    async def scenario() -> bool:
        table = OutageTable()
        table.follow_gate = asyncio.Event()
        path = make_path(table)
        polling = asyncio.ensure_future(path.follow("t", RowVersion(0), 1.5, 2.5))
        await path.commit(PUT, 1.0)
        await asyncio.sleep(0.1)
        table.is_silent = True
        write = asyncio.ensure_future(path.commit(PUT, 1.0))
        await asyncio.sleep(0.2)
        assert not path.is_direct_path_up()
        table.follow_gate.set()
        await polling
        await asyncio.gather(write, return_exceptions=True)
        return path.is_direct_path_up()

    assert not run_in_virtual_time(scenario(), monkeypatch, *MODULES)


def make_cut_path() -> tuple[TablePath, OutageTable]:
    """Return the path of a host that has another host as its relay, and its own table."""
    buses: dict[str, InMemoryBus] = {}
    hosts = (HostId("h1"), HostId("h2"))
    tables = [OutageTable() for _ in hosts]
    paths = [
        TablePath(table, cast(Any, InMemoryBus(host, buses)), lambda now: hosts, PoolMetrics())
        for table, host in zip(tables, hosts, strict=True)
    ]
    return paths[0], tables[0]


def test_records_are_stored_soon_while_the_table_is_silent_to_the_leaders_host_alone(monkeypatch):
    async def scenario() -> float:
        path, table = make_cut_path()
        writer = RecordWriter(path, Epoch(1), make_leadership(cast(Any, path)), lambda event: None)
        tasks = [asyncio.ensure_future(each.run()) for each in (path, writer)]
        await path.commit(PUT, 1.0)
        table.is_silent = True
        started_at = asyncio.get_running_loop().time()
        for number in range(3):
            final = FinalRecord(JobState.COMPLETED, WallTime(0))
            writer.queue(RecordFinal(JobId(f"{number:016x}"), final))
            assert await writer.wait_durable(number + 1, 5.0)
        waited = asyncio.get_running_loop().time() - started_at
        await stop(*tasks)
        return waited

    modules = (*MODULES, _writer, _leadership)
    assert run_in_virtual_time(scenario(), monkeypatch, *modules) <= 0.4


@pytest.mark.parametrize("offset", [0.0, 0.3, 0.6, 0.9])
def test_records_are_stored_soon_after_the_table_has_returned_to_all_hosts(monkeypatch, offset):
    """Guards against jobs that are done but shown so a second after the table's return."""

    async def scenario() -> float:
        table = OutageTable()
        path = make_path(table)
        writer = RecordWriter(path, Epoch(1), make_leadership(cast(Any, path)), lambda event: None)
        tasks = [asyncio.ensure_future(each.run()) for each in (path, writer)]
        await path.commit(PUT, 1.0)
        table.is_silent = True
        writer.queue(RecordFinal(JobId("f" * 16), FinalRecord(JobState.COMPLETED, WallTime(0))))
        await asyncio.sleep(OUTAGE_SECONDS + offset)
        table.is_silent = False
        returned_at = asyncio.get_running_loop().time()
        assert await writer.wait_durable(1, 5.0)
        waited = asyncio.get_running_loop().time() - returned_at
        await stop(*tasks)
        return waited

    modules = (*MODULES, _writer, _leadership)
    assert run_in_virtual_time(scenario(), monkeypatch, *modules) <= 0.45


def test_a_read_that_is_waiting_when_the_path_goes_down_is_relayed(monkeypatch):
    async def scenario() -> float:
        path, table = make_cut_path()
        await path.commit(PUT, 1.0)
        table.is_silent = True
        started_at = asyncio.get_running_loop().time()
        await path.read_partition("t", "cell", "", "", 1.5)
        return asyncio.get_running_loop().time() - started_at

    assert run_in_virtual_time(scenario(), monkeypatch, *MODULES) <= 0.2
