"""A leader's records while the table is 80 times slower: few transactions, and no long queue.

A partition of the table does its transactions one after another. The load is that of a burst: 60
runs end each second, and each transaction takes its partition 0.4 s.
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpath_core.ids import Epoch, HostId, Instant
from lentilpath_core.pool import RecordRun, RunEnd, RunNumber, RunRecord
from lentilpathd._pool import _leadership, _writer
from lentilpathd._pool._handover import must_lead_on
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._table_path import TablePath
from lentilpathd._pool._writer import RecordWriter
from tests.common import former_rules
from tests.common.former_rules import crowd_the_leaders_partition
from tests.common.pools import make_task
from tests.common.tables import OnePartitionTable, make_leadership
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_settling import MODULES
from tests.cover.test_pool_table_path import InMemoryBus

USUAL_SECONDS = 0.005
SLOW_SECONDS = 0.4
ANSWER_SECONDS = 0.3
"""Added to the answers of a slow table, while the partition does the next transaction."""
USUAL_TIME_SECONDS = 2.0
SLOW_TIME_SECONDS = 4.0
ENDS_PER_SECOND = 60
MAX_WAIT_SECONDS = 2 * (SLOW_SECONDS + ANSWER_SECONDS) + 3 * SLOW_SECONDS
"""A record waits for the transaction in flight and for its own, and both for the attempts that
were made before it was known that the table is slow."""


class SerialTable(OnePartitionTable):
    """A table whose partition does one transaction after another."""

    def __init__(self) -> None:
        super().__init__()
        self.is_slow = False
        self.commits = 0
        self.turn = asyncio.Lock()
        self.in_progress: set[asyncio.Future[Any]] = set()

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.commits += 1
        applied = asyncio.ensure_future(self._apply(transaction))
        self.in_progress.add(applied)
        done, _ = await asyncio.wait({applied}, timeout=timeout)
        if not done:
            raise OutcomeUnknown("no answer in time")
        return applied.result()

    async def _apply(self, transaction):
        async with self.turn:
            await asyncio.sleep(SLOW_SECONDS if self.is_slow else USUAL_SECONDS)
            result = await super().commit(transaction, 1.0)
        await asyncio.sleep(ANSWER_SECONDS if self.is_slow else 0.0)
        return result

    async def read_partition(self, table, partition, first, end, timeout):
        await asyncio.sleep(ANSWER_SECONDS if self.is_slow else USUAL_SECONDS)
        return await super().read_partition(table, partition, first, end, timeout)


async def end_runs(writer: RecordWriter, waits: list[float]) -> None:
    """Queue the end of a run at each interval, and note how long each waits to be stored."""
    loop = asyncio.get_running_loop()

    async def measure(count: int, queued_at: float) -> None:
        assert await writer.wait_durable(count, 30.0)
        waits.append(loop.time() - queued_at)

    async with asyncio.TaskGroup() as group:
        for number in range(int((USUAL_TIME_SECONDS + SLOW_TIME_SECONDS) * ENDS_PER_SECOND)):
            record = RunRecord(RunNumber(1), RunEnd.DONE)
            writer.queue(RecordRun(make_task(1, number), record))
            group.create_task(measure(writer.queued_count, loop.time()))
            await asyncio.sleep(1 / ENDS_PER_SECOND)


def play_slow_table(patch: pytest.MonkeyPatch) -> tuple[int, float]:
    """Return the transactions of the slow seconds, and the longest time until an end is stored."""

    async def scenario() -> tuple[int, float]:
        table = SerialTable()
        buses: dict[str, InMemoryBus] = {}
        hosts = (HostId("h1"), HostId("h2"), HostId("h3"))
        paths = [
            TablePath(table, cast(Any, InMemoryBus(host, buses)), lambda now: hosts, PoolMetrics())
            for host in hosts
        ]
        leadership = make_leadership(cast(Any, paths[0]))
        writer = RecordWriter(paths[0], Epoch(1), leadership, lambda event: None)
        waits: list[float] = []
        tasks = [asyncio.ensure_future(path.run()) for path in paths]
        tasks.append(asyncio.ensure_future(writer.run()))
        tasks.append(asyncio.ensure_future(leadership.renew_forever(Epoch(1))))
        ending = asyncio.ensure_future(end_runs(writer, waits))
        await asyncio.sleep(USUAL_TIME_SECONDS)
        table.is_slow, before = True, table.commits
        await asyncio.sleep(SLOW_TIME_SECONDS)
        table.is_slow, commits = False, table.commits - before
        await ending
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *table.in_progress, return_exceptions=True)
        return commits, max(waits)

    modules = (*MODULES, _writer, _leadership, former_rules)
    return run_in_virtual_time(scenario(), patch, *modules)


def test_ends_are_stored_with_few_transactions_while_the_table_is_slow(monkeypatch):
    commits, longest = play_slow_table(monkeypatch)
    assert commits <= SLOW_TIME_SECONDS / SLOW_SECONDS
    assert longest <= MAX_WAIT_SECONDS


def test_the_former_rule_filled_the_leaders_partition_with_repeated_writes(monkeypatch):
    crowd_the_leaders_partition(monkeypatch)
    commits, longest = play_slow_table(monkeypatch)
    assert commits > 1.5 * SLOW_TIME_SECONDS / SLOW_SECONDS
    assert longest > MAX_WAIT_SECONDS


def test_a_stopping_leader_leads_on_while_the_table_is_slow_and_its_grace_period_lasts():
    now, stop_at = Instant(10_000), Instant(14_000)
    assert must_lead_on(True, stop_at, now)
    assert not must_lead_on(False, stop_at, now)
    assert not must_lead_on(True, stop_at, stop_at)
