"""A crowd of callers beside a silent table takes a bounded number of connections and bytes."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import msgspec
import pytest

from lentilpath_core.errors import Unavailable
from lentilpath_core.ids import Instant
from lentilpath_core.pool import (
    MAX_HELD_BYTES,
    JobState,
    StepSpec,
    estimate_job_bytes,
    measure_loads,
)
from lentilpath_core.pool._job_sizes import TASK_BYTES
from lentilpath_core.pool._validity import MAX_JOB_TASKS
from lentilpathd._pool import _jobs
from lentilpathd._pool._call_limits import MAX_RECENT_BYTES, RECENT_MS, RecentJobs
from lentilpathd._pool._jobs import Jobs
from lentilpathd._pool._refusals import SubmissionResult
from tests.common.pools import TASK_RESOURCES, PoolHarness, make_job_id, make_queue, make_record
from tests.common.requests import wait_until
from tests.common.tables import OnePartitionTable
from tests.cover.test_pool_answers import QUEUE, make_jobs

LIMIT = 4
CROWD = 12
DEADLINE_MS = 60_000


class HeldTable(OnePartitionTable):
    """A table that answers nothing until `released` is set, and counts the calls in progress."""

    def __init__(self) -> None:
        super().__init__()
        self.released = asyncio.Event()
        self.calls = 0

    def get_commit_timeout(self) -> float:
        return DEADLINE_MS / 1_000

    async def commit(self, transaction, timeout, prefer_relay=False):
        self.calls += 1
        await self.released.wait()
        return await super().commit(transaction, timeout)

    async def read_partition(self, table, partition, first, end, timeout):
        self.calls += 1
        await self.released.wait()
        return await super().read_partition(table, partition, first, end, timeout)


@pytest.fixture(autouse=True)
def lower_limits(monkeypatch):
    monkeypatch.setattr(_jobs, "MAX_CALLS", LIMIT)


async def submit_crowd(jobs: Jobs, table: HeldTable, text: str = "") -> list[SubmissionResult]:
    """Submit the crowd's jobs, release the table once as many as fit wait, return the results."""
    submissions = [
        asyncio.create_task(
            jobs.submit(msgspec.structs.replace(make_record(number), text=text), QUEUE, DEADLINE_MS)
        )
        for number in range(CROWD)
    ]
    await wait_until(lambda: table.calls >= 1)
    await asyncio.sleep(0)
    refused = [each.result().result for each in submissions if each.done()]
    in_progress = table.calls
    table.released.set()
    accepted = [each.result for each in await asyncio.gather(*submissions)][: CROWD - len(refused)]
    assert in_progress == len(accepted)
    return [*accepted, *refused]


def test_submissions_beyond_the_limit_are_refused_at_once_and_the_others_are_stored():
    async def scenario() -> None:
        table = HeldTable()
        jobs = make_jobs(table, state=None)
        results = await submit_crowd(jobs, table)
        assert results == [SubmissionResult.ACCEPTED] * LIMIT + [SubmissionResult.REFUSED] * (
            CROWD - LIMIT
        )
        later = await jobs.submit(make_record(CROWD), QUEUE, DEADLINE_MS)
        assert later.result is SubmissionResult.ACCEPTED
        assert len(table.rows) == LIMIT + 1

    asyncio.run(scenario())


def test_long_jobs_are_bounded_by_their_sum_and_a_single_one_is_always_taken(monkeypatch):
    monkeypatch.setattr(_jobs, "MAX_CALL_BYTES", 3_000)

    async def scenario() -> None:
        for length, fitting in ((1_000, 2), (4_000, 1)):
            table = HeldTable()
            results = await submit_crowd(make_jobs(table, state=None), table, "x" * length)
            assert results.count(SubmissionResult.ACCEPTED) == fitting

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("state", "is_leading", "result"),
    [
        (JobState.QUEUED, True, SubmissionResult.ACCEPTED),
        (None, False, SubmissionResult.UNCLEAR),
    ],
)
def test_a_job_beyond_the_limit_is_refused_only_if_the_leader_does_not_know_it(
    state, is_leading, result
):
    async def scenario() -> None:
        table = HeldTable()
        results = await submit_crowd(make_jobs(table, state, is_leading=is_leading), table)
        assert results[LIMIT:] == [result] * (CROWD - LIMIT)

    asyncio.run(scenario())


def test_queries_and_cancellations_beyond_the_limit_are_told_to_come_back():
    async def scenario() -> None:
        table = HeldTable()
        jobs = make_jobs(table, state=None)
        first = asyncio.create_task(jobs.get_state(make_job_id(0)))
        await wait_until(lambda: table.calls >= 1)
        calls = [jobs.get_state(make_job_id(number)) for number in range(1, LIMIT)]
        waiting = [asyncio.create_task(call) for call in calls]
        await wait_until(lambda: table.calls >= LIMIT)
        with pytest.raises(Unavailable):
            await jobs.get_state(make_job_id(LIMIT))
        with pytest.raises(Unavailable):
            await jobs.cancel(make_job_id(LIMIT), DEADLINE_MS)
        assert table.calls == LIMIT
        table.released.set()
        assert await asyncio.gather(first, *waiting) == [None] * LIMIT

    asyncio.run(scenario())


def test_short_submissions_of_many_tasks_are_refused_before_they_fill_the_leaders_memory():
    """Guards against jobs of 100 bytes that take 4 MB each of this and of each later leader."""
    step = StepSpec(MAX_JOB_TASKS, TASK_RESOURCES)
    harness = PoolHarness(make_queue())
    table = OnePartitionTable()
    hosts = [make_jobs(table, state=None) for _ in range(8)]
    for jobs in hosts:
        context = cast(Any, jobs)._context
        context.heartbeat_sender.get_loads = lambda now: measure_loads(harness.state, harness.now)

    async def submit(number: int, step: StepSpec) -> SubmissionResult:
        record = make_record(number, step)
        answer = await hosts[number % 8].submit(record, QUEUE, DEADLINE_MS)
        if answer.result is SubmissionResult.ACCEPTED:
            harness.submit(number, step)
        return answer.result

    async def scenario() -> list[SubmissionResult]:
        results = [await submit(number, step) for number in range(40)]
        ordinary = StepSpec(10, TASK_RESOURCES)
        assert await submit(40, ordinary) is SubmissionResult.ACCEPTED
        return results

    results = asyncio.run(scenario())
    assert set(results) == {SubmissionResult.ACCEPTED, SubmissionResult.REFUSED}
    assert results.count(SubmissionResult.ACCEPTED) * MAX_JOB_TASKS * TASK_BYTES <= MAX_HELD_BYTES


def test_the_leaders_memory_is_shared_by_the_hosts_until_its_digest_counts_a_job():
    recent = RecentJobs()
    now = Instant(0)
    assert recent.admit(MAX_RECENT_BYTES, 0, now)
    assert not recent.admit(1, 0, Instant(RECENT_MS - 1))
    assert recent.admit(1, 0, Instant(RECENT_MS))
    assert not recent.admit(1, MAX_HELD_BYTES, Instant(RECENT_MS))


def test_hundreds_of_ordinary_jobs_in_a_second_are_admitted_by_one_host():
    ordinary = msgspec.structs.replace(make_record(1, *[StepSpec(10, TASK_RESOURCES)] * 2), text="")
    recent = RecentJobs()
    size_bytes = estimate_job_bytes(ordinary)
    assert all(recent.admit(size_bytes, 0, Instant(0)) for _ in range(900))
