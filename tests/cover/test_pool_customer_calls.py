"""What hosts and a new leader do with quotas and shares: refusals, their reasons, recovery."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lentilpath_core.ids import ConfigVersion, CustomerId, RowVersion, WallTime
from lentilpath_core.pool import (
    CustomerPolicy,
    FinalRecord,
    JobEnded,
    JobState,
    PoolConfiguration,
    PoolLoads,
    ShareLoads,
    StepSpec,
)
from lentilpathd._clock import read_wall_time
from lentilpathd._pool._ports import PartitionRow
from lentilpathd._pool._records import encode_record, make_final_key
from lentilpathd._pool._recovery import read_pool
from lentilpathd._pool._refusals import SubmissionResult
from tests.common.pools import TASK_RESOURCES, make_queue, make_record
from tests.common.tables import OnePartitionTable
from tests.cover.test_pool_answers import ScriptedTable, make_jobs

SMALL = CustomerId("small")
POLICY = CustomerPolicy(SMALL, 1.0, TASK_RESOURCES.multiply(2))
BUSY = ShareLoads({SMALL: 400}, ((0, 60_000),))


@pytest.mark.parametrize(
    ("tasks", "load", "shares", "result", "reason"),
    [
        (1, PoolLoads(), ShareLoads(), SubmissionResult.ACCEPTED, ""),
        (1, PoolLoads(), BUSY, SubmissionResult.REFUSED, "'over-share'"),
        (1, PoolLoads({}, ((0, 60_000),)), BUSY, SubmissionResult.REFUSED, "'full'"),
        (3, PoolLoads(), ShareLoads(), SubmissionResult.OVER_QUOTA, "'quota'"),
    ],
)
def test_a_refusal_is_logged_with_its_reason(tasks, load, shares, result, reason, monkeypatch):
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(
        "lentilpathd._pool._refusals.log_event", lambda event, **fields: logged.append(fields)
    )
    table = ScriptedTable()
    jobs = make_jobs(table, state=None)
    context = cast(Any, jobs)._context
    configuration = PoolConfiguration(ConfigVersion(1), customers={SMALL: POLICY})
    context.get_configuration = lambda: configuration
    context.heartbeat_sender = SimpleNamespace(
        get_loads=lambda now: load,
        get_shares=lambda now: shares,
        get_leader=context.heartbeat_sender.get_leader,
    )
    record = make_record(1, StepSpec(tasks, TASK_RESOURCES, 500, gang=True), customer=SMALL)
    answer = asyncio.run(jobs.submit(record, make_queue(), 3_000))
    assert answer.result is result
    assert (reason in str(logged)) if reason else not any("reason" in each for each in logged)
    assert bool(table.rows) is (result is SubmissionResult.ACCEPTED)


def test_a_new_leader_learns_when_ended_jobs_were_accepted_and_which_may_still_run():
    table = OnePartitionTable()

    def store(number: int, state: JobState, ended_at: int) -> str:
        record = make_record(number, customer=SMALL, accepted_at=1_000 + number)
        final = FinalRecord(state, WallTime(ended_at), SMALL)
        for key, row in ((record.job, record), (make_final_key(record.job), final)):
            table.rows[key] = PartitionRow("cell", key, encode_record(row), RowVersion(1))
        return record.job

    now = read_wall_time()
    stopped = store(1, JobState.CANCELLED, now - 5_000)
    store(2, JobState.CANCELLED, now - 20_000)
    store(3, JobState.COMPLETED, now - 5_000)
    events = [each for each in asyncio.run(read_pool(table)).events if isinstance(each, JobEnded)]
    assert sorted(each.accepted_at or 0 for each in events) == [1_001, 1_002, 1_003]
    assert [each.job for each in events if each.record is not None] == [stopped]
