"""Submissions to a table that is slow, or silent to one host, are settled with few writes."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from lentilpath_core.errors import OutcomeUnknown
from lentilpathd._pool import (
    _direct_path,
    _holding,
    _jobs,
    _leader_query,
    _members,
    _settling,
    _table_path,
)
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._records import JOB_PARTITIONS
from lentilpathd._pool._refusals import SubmissionResult
from tests.common.former_rules import (
    cut_late_writes,
    send_to_silent_paths,
    store_in_one_partition,
)
from tests.common.pools import make_record
from tests.common.tables import OnePartitionTable
from tests.common.virtual_time import run_in_virtual_time
from tests.cover.test_pool_answers import QUEUE, make_jobs
from tests.cover.test_pool_table_path import InMemoryBus

SLOW_ANSWER_SECONDS = 0.8
"""A transaction and its answer while the table is about 80 times slower than usual."""
DEADLINE_MS = 3_000
SUBMISSIONS = 60
SUBMISSION_GAP_SECONDS = 0.05
MODULES = (_direct_path, _holding, _jobs, _leader_query, _members, _settling, _table_path)


class SlowTable(OnePartitionTable):
    """A table that answers each write after `delay` seconds, or never if that is `None`.

    Its `silent` partitions answer no call.
    """

    def __init__(self, delay: float | None, silent: frozenset[str] = frozenset()) -> None:
        super().__init__()
        self.delay = delay
        self.silent = silent
        self.writes = 0

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.writes += 1
        is_silent = self.delay is None or transaction.part in self.silent
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(3_600 if is_silent else self.delay or 0)
        except TimeoutError as error:
            raise OutcomeUnknown("no answer in time") from error
        return await super().commit(transaction, timeout)


def submit_many(
    patch: pytest.MonkeyPatch, *tables: SlowTable
) -> tuple[list[SubmissionResult], int]:
    """Submit a burst through the first of the hosts; return the results and the writes made."""
    hosts: dict[str, InMemoryBus] = {}
    buses = [InMemoryBus(f"h{number}", hosts) for number in range(len(tables))]
    known = tuple(bus.host for bus in buses)
    paths = [
        _table_path.TablePath(table, cast(Any, bus), lambda now: known, PoolMetrics())
        for table, bus in zip(tables, buses, strict=True)
    ]
    jobs = make_jobs(cast(Any, paths[0]), None)

    async def submit(number: int) -> SubmissionResult:
        await asyncio.sleep(number * SUBMISSION_GAP_SECONDS)
        answer = await jobs.submit(make_record(number), QUEUE, DEADLINE_MS)
        return answer.result

    async def scenario() -> list[SubmissionResult]:
        return list(await asyncio.gather(*(submit(number) for number in range(SUBMISSIONS))))

    results = run_in_virtual_time(scenario(), patch, *MODULES)
    return results, sum(table.writes for table in tables)


def test_a_slow_table_accepts_all_jobs_with_few_repeated_writes(monkeypatch):
    slow = [SlowTable(SLOW_ANSWER_SECONDS) for _ in range(3)]
    results, writes = submit_many(monkeypatch, *slow)
    assert set(results) == {SubmissionResult.ACCEPTED}
    assert writes <= 1.5 * SUBMISSIONS


def test_the_former_rule_left_jobs_of_the_same_burst_in_doubt(monkeypatch):
    cut_late_writes(monkeypatch)
    slow = [SlowTable(SLOW_ANSWER_SECONDS) for _ in range(3)]
    results, _ = submit_many(monkeypatch, *slow)
    assert results.count(SubmissionResult.UNCLEAR) > SUBMISSIONS / 10


def test_a_host_to_which_the_table_is_silent_stores_through_another(monkeypatch):
    results, _ = submit_many(monkeypatch, SlowTable(None), SlowTable(0.01), SlowTable(0.01))
    assert set(results) == {SubmissionResult.ACCEPTED}


def test_a_table_that_is_silent_to_all_leaves_no_job_reported_as_not_run(monkeypatch):
    results, _ = submit_many(monkeypatch, SlowTable(None), SlowTable(None))
    assert results[0] is SubmissionResult.UNCLEAR
    assert SubmissionResult.ACCEPTED not in results


USUAL_ANSWER_SECONDS = 0.01
SILENT_PARTITIONS = frozenset(str(number) for number in range(0, JOB_PARTITIONS, 3))
"""A third of the partitions, as on the users' days."""


def submit_to_a_partly_silent_table(patch: pytest.MonkeyPatch) -> list[SubmissionResult]:
    tables = [SlowTable(USUAL_ANSWER_SECONDS, SILENT_PARTITIONS) for _ in range(3)]
    results, _ = submit_many(patch, *tables)
    return results


def test_jobs_are_stored_while_a_third_of_the_partitions_is_silent(monkeypatch):
    results = submit_to_a_partly_silent_table(monkeypatch)
    assert results.count(SubmissionResult.ACCEPTED) >= 0.9 * SUBMISSIONS


def test_the_former_rule_left_the_jobs_of_silent_partitions_in_doubt(monkeypatch):
    store_in_one_partition(monkeypatch)
    send_to_silent_paths(monkeypatch)
    results = submit_to_a_partly_silent_table(monkeypatch)
    assert results.count(SubmissionResult.UNCLEAR) >= 0.25 * SUBMISSIONS
