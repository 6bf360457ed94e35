"""An accepted job is done even if its queue is removed from the configuration.

A new leader knew the policy of a recovered job's queue from the configuration in force only, so
that it never started the jobs of a queue that had been removed before its term (review/4).
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from lentilpath_core.errors import InvalidJob
from lentilpath_core.ids import ConfigVersion, WallTime
from lentilpath_core.pool import (
    AcceptedPolicy,
    AdvicePolicy,
    ConfigurationSet,
    JobAccepted,
    JobRecord,
    JobState,
    PoolConfiguration,
    QueueId,
    QueuePolicy,
    RunEnd,
    StartAnswer,
    StepSpec,
    check_job,
    get_job_state,
    keep_policy,
    restore_former_workers,
)
from lentilpathd._pool._records import decode_job, decode_record, encode_record
from lentilpathd._pool._recovery import read_pool
from tests.common.pools import (
    QUEUE,
    SERVICE,
    TASK_RESOURCES,
    PoolHarness,
    list_advice_requests,
    list_starts,
    make_job_id,
    make_queue,
    make_record,
    make_task,
    make_worker,
)
from tests.common.tables import OnePartitionTable
from tests.cover.test_pool_answers import make_jobs

OTHER_QUEUE = make_queue(QueueId("other"))
TWO_STEPS = (StepSpec(1, TASK_RESOURCES, 500), StepSpec(1, TASK_RESOURCES, 500, after=(0,)))
ADVICE = AdvicePolicy(4.0, 0.5, 2_000)


def accept(record: JobRecord, policy: QueuePolicy) -> OnePartitionTable:
    """Return a table in which a host has stored the job as accepted."""
    table = OnePartitionTable()
    asyncio.run(make_jobs(table, state=None).submit(record, policy, 400))
    return table


def lead_without_the_queue(*recovered: JobAccepted) -> PoolHarness:
    """Return a new leader whose configuration lacks the queue of the recovered jobs."""
    harness = PoolHarness(OTHER_QUEUE, epoch=2)
    restore_former_workers(harness.state, (make_worker("w1"),))
    harness.list_workers(make_worker("w1"))
    for event in recovered:
        harness.handle_event(event)
    harness.report("w1")
    return harness


def recover(table: OnePartitionTable) -> tuple[JobAccepted, ...]:
    events = asyncio.run(read_pool(table)).events
    return tuple(event for event in events if isinstance(event, JobAccepted))


def run_task(harness: PoolHarness, number: int, end: RunEnd = RunEnd.DONE) -> None:
    """Start the only task that may start, and let it end."""
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report("w1", ended=((number, start.task, start.run, end),))
    harness.confirm_records()
    # The final state that may follow from the end.
    harness.confirm_records()


def test_a_new_leader_completes_the_jobs_of_a_queue_that_was_removed_before_its_term():
    table = accept(make_record(1, *TWO_STEPS), make_queue())
    harness = lead_without_the_queue(*recover(table))
    run_task(harness, 1)
    run_task(harness, 2)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_new_leader_starts_a_scheduled_job_of_a_removed_queue_when_it_is_due():
    record = make_record(1, accepted_at=1)
    scheduled = msgspec.structs.replace(record, repeats=1, first_due=WallTime(1_002_000))
    harness = lead_without_the_queue(*recover(accept(scheduled, make_queue())))
    harness.pass_time(1_000)
    assert list_starts(harness.place()) == []
    harness.report("w1")
    harness.pass_time(1_000)
    assert [each.task for each in list_starts(harness.place())] == [make_task(1)]


def test_a_job_that_a_host_accepts_after_the_leader_has_removed_its_queue_runs():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    queues = {OTHER_QUEUE.queue: OTHER_QUEUE}
    harness.handle_event(ConfigurationSet(PoolConfiguration(ConfigVersion(2), queues)))
    harness.handle_event(JobAccepted(keep_policy(make_record(1), make_queue())))
    assert [each.task for each in list_starts(harness.place())] == [make_task(1)]


def test_a_job_of_a_removed_queue_fails_after_as_many_attempts_as_its_policy_allows():
    record = keep_policy(make_record(1), make_queue(max_attempts=2))
    harness = lead_without_the_queue(JobAccepted(record, recovered=True))
    run_task(harness, 1, RunEnd.FAILED)
    assert get_job_state(harness.state, record.job) is not JobState.FAILED
    run_task(harness, 2, RunEnd.FAILED)
    assert get_job_state(harness.state, record.job) is JobState.FAILED


def test_a_job_of_a_removed_queue_still_needs_the_permission_of_the_advice_service():
    record = keep_policy(make_record(1), make_queue(advice=ADVICE))
    harness = lead_without_the_queue(JobAccepted(record, recovered=True))
    effects = harness.place()
    assert list_starts(effects) == []
    assert [each.workers for each in list_advice_requests(effects)] == [("w1",)]


def test_the_policy_in_force_goes_before_the_one_that_a_job_was_accepted_under():
    record = keep_policy(make_record(1), make_queue(max_attempts=1))
    harness = PoolHarness(make_queue(max_attempts=2))
    harness.add_workers(make_worker("w1"))
    harness.handle_event(JobAccepted(record))
    run_task(harness, 1, RunEnd.FAILED)
    assert get_job_state(harness.state, record.job) is not JobState.FAILED


def test_a_job_that_an_earlier_release_has_stored_runs_under_the_policy_in_force():
    stored = encode_record(make_record(1))
    assert b"policy" not in stored
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.handle_event(JobAccepted(decode_job(stored)))
    assert [each.task for each in list_starts(harness.place())] == [make_task(1)]


def test_an_earlier_release_can_read_the_job():
    fields = [each for each in msgspec.structs.fields(JobRecord) if each.name != "policy"]
    former = msgspec.defstruct(
        "FormerRecord",
        [
            (each.name, each.type) if each.required else (each.name, each.type, each.default)
            for each in fields
        ],
    )
    record = keep_policy(make_record(1), make_queue(advice=ADVICE))
    found = decode_record(encode_record(record), former)
    assert [getattr(found, each.name) for each in fields] == [
        getattr(record, each.name) for each in fields
    ]


@pytest.mark.parametrize(
    "policy",
    [
        AcceptedPolicy(SERVICE, 0, -1, 2.0, 1_000),
        AcceptedPolicy(SERVICE, 0, 3, float("nan"), 1_000),
        AcceptedPolicy(SERVICE, 0, 3, 2.0, 2**60),
        AcceptedPolicy(SERVICE, 0, 3, 2.0, 1_000, AdvicePolicy(float("inf"), 0.0, 1)),
    ],
)
def test_a_stored_policy_with_numbers_that_no_configuration_has_is_refused(policy):
    with pytest.raises(InvalidJob):
        check_job(msgspec.structs.replace(make_record(1), policy=policy))


def test_a_stored_policy_takes_a_few_dozen_bytes():
    record = make_record(1, queue=QUEUE)
    kept = keep_policy(record, make_queue(queue=QUEUE))
    assert len(encode_record(kept)) - len(encode_record(record)) <= 48
