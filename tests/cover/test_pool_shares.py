"""What a customer sends beyond its weight waits behind others, and the rest is shared by weight."""

from __future__ import annotations

import random

import pytest

from lentilpath_core.ids import CustomerId, Epoch, Instant, JobId, WallTime
from lentilpath_core.pool import (
    MAX_LISTED_CUSTOMERS,
    OTHER_CUSTOMERS,
    CustomerPolicy,
    FinalRecord,
    JobAccepted,
    JobEnded,
    JobState,
    QueueId,
    QueueLoad,
    ShareLoads,
    StepSpec,
    decide_share_admission,
    find_wait_ms,
    list_usages,
    measure_loads,
    measure_shares,
)
from lentilpath_core.pool._buckets import CAPACITY_SECONDS, MIN_CAPACITY, PERIOD_MS, TokenBucket
from lentilpath_core.pool._order import rank_step
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_starts,
    make_job_id,
    make_queue,
    make_record,
    make_worker,
)

A, B = CustomerId("a"), CustomerId("b")
MINUTE = WallTime(50 * PERIOD_MS)
RATE = 4.0


def draw_acceptances(rate: float, seconds: float, seed: int = 1) -> list[WallTime]:
    rng = random.Random(seed)
    at, found = float(MINUTE), []
    while (at := at + rng.expovariate(rate) * 1_000) < MINUTE + seconds * 1_000:
        found.append(WallTime(int(at)))
    return found


def mark(jobs: list[tuple[JobId, WallTime]], weight: float = RATE) -> dict[JobId, bool]:
    bucket = TokenBucket(weight)
    marks: dict[JobId, bool] = {}
    for job, at in jobs:
        marks |= bucket.add(job, at, WallTime(MINUTE + PERIOD_MS))
    return marks


def name_jobs(acceptances: list[WallTime]) -> list[tuple[JobId, WallTime]]:
    return [(make_job_id(number), at) for number, at in enumerate(acceptances)]


def test_jobs_beyond_six_times_the_weight_are_marked_and_a_usual_burst_is_not():
    heavy = mark(name_jobs(draw_acceptances(6 * RATE, 8.0)))
    assert len(heavy) - sum(heavy.values()) <= RATE * (8.0 + CAPACITY_SECONDS) + 1
    burst = mark(name_jobs(draw_acceptances(2.2 * RATE, 4.0)))
    assert not any(burst.values())


def test_the_marks_do_not_depend_on_the_order_in_which_a_leader_learns_of_jobs():
    jobs = name_jobs(draw_acceptances(2 * RATE, 90.0))
    expected = mark(jobs)
    for seed in range(5):
        shuffled = random.Random(seed).sample(jobs, len(jobs))
        assert mark(shuffled) == expected
    reweighted = TokenBucket(1.0)
    for job, at in jobs:
        reweighted.add(job, at, MINUTE)
    reweighted.set_weight(RATE)
    assert reweighted._periods == _bucket(jobs)._periods


def _bucket(jobs: list[tuple[JobId, WallTime]]) -> TokenBucket:
    bucket = TokenBucket(RATE)
    for job, at in jobs:
        bucket.add(job, at, MINUTE)
    return bucket


def test_a_bucket_says_when_it_has_a_token_again():
    bucket = TokenBucket(RATE)
    assert bucket.compute_delay_ms(MINUTE) == 0
    for number in range(60):
        bucket.add(make_job_id(number), MINUTE, MINUTE)
    delay_ms = bucket.compute_delay_ms(MINUTE)
    assert 0 < delay_ms <= 1_000 / RATE + 1
    assert bucket.compute_delay_ms(WallTime(MINUTE + delay_ms)) == 0
    assert TokenBucket(0.0).compute_delay_ms(MINUTE) > 0


def test_a_weight_close_to_0_gives_a_delay_to_the_end_of_the_period():
    bucket = TokenBucket(5e-324)
    for number in range(int(MIN_CAPACITY)):
        bucket.add(make_job_id(number), MINUTE, MINUTE)
    assert bucket.compute_delay_ms(MINUTE) == PERIOD_MS


def make_pool(**weights: float) -> PoolHarness:
    policies = tuple(CustomerPolicy(CustomerId(name), each) for name, each in weights.items())
    harness = PoolHarness(make_queue(target_ms=3_000), customers=policies)
    harness.now = Instant(MINUTE)
    harness.pass_time(0)
    harness.add_workers(make_worker("w1"))
    return harness


def submit(harness: PoolHarness, job: int, customer: CustomerId, count: int = 1) -> None:
    step = StepSpec(count, TASK_RESOURCES, 500)
    harness.submit(job, step, customer=customer, accepted_at=harness.now)


def test_work_beyond_a_share_starts_after_that_of_others_but_before_worthless_work():
    harness = make_pool(a=1.0, b=1.0)
    for job in range(1, 40):
        submit(harness, job, A)
    submit(harness, 40, B)
    worthless = make_record(41, customer=B, accepted_at=MINUTE)
    harness.handle_event(JobAccepted(worthless))
    harness.state.jobs[worthless.job].accepted_at = Instant(harness.now - 60_000)
    ranked = sorted(
        (rank_step(harness.state, step, harness.now), key.job)
        for key, step in harness.state.open_steps.items()
    )
    order = [job for _, job in ranked]
    over = [job.record.job for job in harness.state.jobs.values() if job.is_over_share]
    assert len(over) == 39 - MIN_CAPACITY
    assert order.index(make_job_id(40)) < min(order.index(job) for job in over)
    assert order[-1] == worthless.job
    assert make_job_id(40) in {each.task.job for each in list_starts(harness.place())}


@pytest.mark.parametrize(("weight", "expected"), [(1.0, 4), (3.0, 6)])
def test_a_free_fleet_is_shared_by_weight_within_one_pass(weight, expected):
    harness = make_pool(a=weight, b=1.0)
    for job in range(1, 6):
        submit(harness, job, B, count=1)
    for job in range(11, 17):
        submit(harness, job, A, count=1)
    for usage in harness.state.customers.values():
        usage.bucket.set_weight(100.0)
    for known in harness.state.jobs.values():
        known.is_over_share = False
    starts = list_starts(harness.place())
    assert len(starts) == 8
    assert sum(each.task.job >= make_job_id(11) for each in starts) == expected


def test_an_idle_customers_share_is_used_by_others_and_is_available_again_at_once():
    harness = make_pool(a=1.0, b=1.0)
    submit(harness, 1, A, count=20)
    assert len(list_starts(harness.place())) == 8
    submit(harness, 2, B)
    ranked = {
        key.job: rank_step(harness.state, step, harness.now)
        for key, step in harness.state.open_steps.items()
    }
    assert ranked[make_job_id(2)] < ranked[make_job_id(1)]


def test_a_new_leader_marks_the_same_jobs_from_the_stored_records():
    harness = make_pool(a=1.0)
    for job in range(1, 17):
        submit(harness, job, A)
    first = {job.record.job: job.is_over_share for job in harness.state.jobs.values()}
    later = make_pool(a=1.0)
    later.state.epoch = Epoch(2)
    final = FinalRecord(JobState.COMPLETED, MINUTE, A)
    records = [job.record for job in harness.state.jobs.values()]
    for record in records[:4]:
        later.handle_event(JobEnded(record.job, final, None, record.accepted_at))
    for record in reversed(records[4:]):
        later.handle_event(JobAccepted(record, recovered=True))
    marks = {job.record.job: job.is_over_share for job in later.state.jobs.values()}
    assert marks == {job: first[job] for job in marks}
    assert sum(marks.values()) == 16 - MIN_CAPACITY


def test_work_beyond_a_share_is_refused_first_until_the_bucket_has_tokens():
    harness = make_pool(a=1.0, b=1.0)
    for job in range(1, 150):
        submit(harness, job, A)
    harness.pass_time(1)
    policy = make_queue(target_ms=100)
    load = measure_loads(harness.state, harness.now).get(policy)
    shares = measure_shares(harness.state, harness.now)
    assert set(shares.delays_ms) == {A}
    record = make_record(200, customer=A)
    retry_ms = decide_share_admission(record, policy, load, shares)
    assert retry_ms is not None
    assert shares.delays_ms[A] <= retry_ms <= 1.5 * shares.delays_ms[A] + 1
    assert decide_share_admission(make_record(201, customer=B), policy, load, shares) is None
    assert decide_share_admission(record, policy, load, ShareLoads()) is None
    assert decide_share_admission(record, policy, QueueLoad(0, 0), ShareLoads({A: 5})) is None


def test_less_urgent_work_does_not_get_work_beyond_a_share_refused():
    patient = QueueId("batches")
    harness = PoolHarness(
        make_queue(),
        make_queue(patient, priority=2, target_ms=60_000),
        customers=(CustomerPolicy(A),),
    )
    harness.add_workers(make_worker("w1"))
    for job in range(1, 200):
        step = StepSpec(1, TASK_RESOURCES, 5_000)
        harness.submit(job, step, queue=patient, customer=A, accepted_at=0)
    shares = measure_shares(harness.state, harness.now)
    assert shares.delays_ms[A] > 0
    assert find_wait_ms(shares.waits_ms, 2) > 60_000
    assert find_wait_ms(shares.waits_ms, make_queue().priority) == 0


def test_gauges_by_customer_are_bounded():
    names = {f"c{number:03}": 1.0 for number in range(MAX_LISTED_CUSTOMERS + 9)}
    harness = make_pool(**names)
    submit(harness, 1, CustomerId("c058"), count=9)
    harness.place()
    usages = list_usages(harness.state)
    assert len(usages) == MAX_LISTED_CUSTOMERS + 1
    assert usages[0] == (CustomerId("c058"), 8_000, 1)
    assert usages[-1] == (OTHER_CUSTOMERS, 0, 0)
