"""What a customer's tasks hold stays within its quota, counted by the worst case."""

from __future__ import annotations

import pytest

from lentilpath_core.errors import QuotaTooSmall
from lentilpath_core.ids import ConfigVersion, CustomerId, WallTime
from lentilpath_core.pool import (
    AdvicePolicy,
    CustomerPolicy,
    FinalRecord,
    JobAccepted,
    JobEnded,
    JobState,
    PoolConfiguration,
    RunEnd,
    StartRun,
    StepSpec,
    carry_customers,
    check_job_fits_quota,
    restore_former_workers,
)
from lentilpath_core.resources import Resources
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_advice_requests,
    list_starts,
    list_stops,
    make_job_id,
    make_queue,
    make_record,
    make_task,
    make_worker,
)

SMALL, OTHER = CustomerId("small"), CustomerId("other")
ADVICE = AdvicePolicy(50.0, 1.0, 2_000)


def make_quota(tasks: int, customer: CustomerId = SMALL) -> CustomerPolicy:
    return CustomerPolicy(customer, 1.0, TASK_RESOURCES.multiply(tasks))


def make_pool(tasks: int, **rest) -> PoolHarness:
    harness = PoolHarness(make_queue(**rest), customers=(make_quota(tasks), CustomerPolicy(OTHER)))
    harness.add_workers(*(make_worker(name) for name in ("w1", "w2", "w3")))
    return harness


def submit(harness: PoolHarness, job: int, count: int = 1, gang: bool = False, **rest) -> None:
    rest.setdefault("customer", SMALL)
    harness.submit(job, StepSpec(count, TASK_RESOURCES, 500, gang=gang), **rest)


def end_runs(harness: PoolHarness, starts: list[StartRun]) -> None:
    for number, start in enumerate(starts, 1):
        own = [each for each in starts if each.worker == start.worker]
        number = own.index(start) + 1
        ended = ((number, start.task, start.run, RunEnd.DONE),)
        running = tuple((each.task, each.run, 0) for each in own[number:])
        harness.report(start.worker, running, ended)


def test_a_step_wider_than_the_quota_runs_in_waves():
    harness = make_pool(2)
    submit(harness, 1, count=5)
    first = list_starts(harness.place())
    assert len(first) == 2
    assert not list_starts(harness.place())
    end_runs(harness, first)
    assert len(list_starts(harness.place())) == 2


def test_a_gang_starts_whole_or_not_at_all():
    harness = make_pool(3)
    submit(harness, 1, count=2)
    submit(harness, 2, count=2, gang=True)
    assert {each.task.job for each in list_starts(harness.place())} == {make_job_id(1)}


def test_a_customer_at_its_quota_neither_counts_as_unplaced_nor_asks_for_advice():
    harness = make_pool(2)
    submit(harness, 1, count=2)
    assert len(list_starts(harness.place())) == 2
    for job in range(2, 90):
        submit(harness, job)
    submit(harness, 90, customer=OTHER)
    assert [each.task.job for each in list_starts(harness.place())] == [make_job_id(90)]
    skipped = harness.state.jobs[make_job_id(2)]
    assert all(step.examined_at == 0 for step in skipped.steps.values())


def test_slots_of_a_plan_count_and_a_quota_that_shrank_meanwhile_is_obeyed():
    harness = make_pool(3, advice=ADVICE)
    submit(harness, 1, count=3)
    (first,) = list_advice_requests(harness.place())
    harness.grant_permissions(first, "w1", valid_ms=0)
    (renewal,) = list_advice_requests(harness.place())
    submit(harness, 2)
    assert not harness.place()
    harness.set_customers(2, make_quota(1))
    assert len(list_starts(harness.grant_permissions(renewal, "w1"))) == 1


def test_a_quota_that_shrinks_stops_nothing_and_one_that_grows_counts_in_the_next_pass():
    harness = make_pool(4)
    submit(harness, 1, count=6)
    starts = list_starts(harness.place())
    harness.set_customers(2, make_quota(2))
    end_runs(harness, starts[:2])
    assert not list_starts(harness.place())
    assert not list_stops(harness.effects)
    harness.set_customers(3, make_quota(3))
    assert len(list_starts(harness.place())) == 1


def test_a_gang_beyond_a_shrunk_quota_starts_alone_within_the_margin_or_waits():
    harness = make_pool(12)
    harness.set_customers(2, make_quota(10))
    submit(harness, 1)
    submit(harness, 2, count=11, gang=True)
    starts = list_starts(harness.place())
    assert [each.task.job for each in starts] == [make_job_id(1)]
    end_runs(harness, starts)
    assert len(list_starts(harness.place())) == 11
    harness.set_customers(3, make_quota(9))
    submit(harness, 3, count=11, gang=True)
    assert not list_starts(harness.place())


def test_a_gang_that_its_quota_forbids_reserves_nothing():
    harness = make_pool(20)
    submit(harness, 1, count=20, customer=OTHER)
    submit(harness, 2, count=2)
    harness.place()
    submit(harness, 3, count=19, gang=True)
    harness.place()
    assert not harness.state.reservations


def take_over(quota: int) -> PoolHarness:
    """Return a new leader that knows a worker that has not reported, and one that has."""
    harness = PoolHarness(epoch=2, customers=(make_quota(quota),))
    restore_former_workers(harness.state, (make_worker("w1"),))
    harness.list_workers(make_worker("w1"), make_worker("w2"))
    return harness


def test_after_a_takeover_recovered_tasks_count_until_the_workers_have_reported():
    harness = take_over(4)
    record = make_record(1, StepSpec(3, TASK_RESOURCES, 500), customer=SMALL)
    harness.handle_event(JobAccepted(record, recovered=True))
    harness.report("w2")
    submit(harness, 2, count=4)
    assert len(list_starts(harness.place())) == 1
    harness.report("w1", running=((make_task(1), 1, 50),))
    assert len(list_starts(harness.place())) == 2


@pytest.mark.parametrize("state", [JobState.CANCELLED, JobState.FAILED])
def test_after_a_takeover_runs_of_a_job_that_ended_just_before_count(state):
    harness = take_over(4)
    record = make_record(1, StepSpec(3, TASK_RESOURCES, 500), customer=SMALL)
    final = FinalRecord(state, WallTime(0), SMALL)
    harness.handle_event(JobEnded(record.job, final, record))
    harness.report("w2")
    submit(harness, 2, count=4)
    assert len(list_starts(harness.place())) == 1
    harness.report("w1")
    assert len(list_starts(harness.place())) == 3


def test_runs_on_a_silent_worker_count_until_their_leases_lapse():
    harness = make_pool(1)
    submit(harness, 1)
    submit(harness, 2)
    (start,) = list_starts(harness.place())
    others = {"w1", "w2", "w3"} - {start.worker}
    harness.pass_time(3_000)
    for worker in others:
        harness.report(worker)
    assert not list_starts(harness.place())
    harness.pass_time(3_000)
    for worker in others:
        harness.report(worker)
    assert len(list_starts(harness.place())) == 1


def test_a_removed_customer_keeps_its_quota_also_under_a_later_leader_of_the_same_host():
    former = PoolConfiguration(ConfigVersion(1), customers={SMALL: make_quota(2)})
    carried = carry_customers(former, PoolConfiguration(ConfigVersion(2)))
    assert carried.former_customers == {SMALL: make_quota(2)}
    harness = make_pool(2)
    harness.set_customers(2, CustomerPolicy(OTHER))
    submit(harness, 1, count=4)
    assert len(list_starts(harness.place())) == 2


def test_a_customer_whose_quota_is_not_known_has_one_task_at_a_time():
    harness = make_pool(2)
    submit(harness, 1, count=3, customer=CustomerId("removed before"))
    assert len(list_starts(harness.place())) == 1
    assert not list_starts(harness.place())


@pytest.mark.parametrize(
    ("spec", "is_refused"),
    [
        (StepSpec(5, TASK_RESOURCES), False),
        (StepSpec(3, TASK_RESOURCES, gang=True), True),
        (StepSpec(1, TASK_RESOURCES.multiply(3)), True),
    ],
)
def test_a_task_or_gang_that_can_never_run_is_refused_with_the_quota(spec, is_refused):
    record = make_record(1, spec, customer=SMALL)
    check_job_fits_quota(record, CustomerPolicy(SMALL))
    if not is_refused:
        check_job_fits_quota(record, make_quota(2))
        return
    with pytest.raises(QuotaTooSmall, match="'small', 2000 millicores"):
        check_job_fits_quota(record, make_quota(2))


def test_a_quota_that_no_float_can_hold_is_no_limit():
    harness = PoolHarness(customers=(CustomerPolicy(SMALL, 1.0, Resources(10**400, 0, 0)),))
    harness.add_workers(make_worker("w1"))
    submit(harness, 1, count=2)
    assert len(list_starts(harness.place())) == 2
