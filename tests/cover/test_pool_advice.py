"""Steps ask about the workers they need, in calls that are made at the same time."""

from __future__ import annotations

from lentilpath_core.ids import Instant
from lentilpath_core.pool import AdvicePolicy, QueueId, StepSpec
from lentilpath_core.pool._advice import MAX_BACKLOG_MS, TOO_LATE_BACKLOG_MS
from lentilpath_core.resources import Resources
from tests.common.pools import (
    TASK_RESOURCES,
    WORKER_CAPACITY,
    PoolHarness,
    list_advice_requests,
    list_starts,
    make_job_id,
    make_queue,
    make_worker,
)

SLOW_ADVICE = AdvicePolicy(390.0, 5.6, 2_500)
"""As for the largest gangs of the data sheets: 100 workers take a second."""
GANGS = make_queue(QueueId("gangs"), advice=SLOW_ADVICE, target_ms=60_000)
MANY_WORKERS = 150
FIRST_CLASS = (False, False, 0, 0)
"""Calls of this class of rank go before all others."""


def make_harness(workers: int = MANY_WORKERS) -> PoolHarness:
    harness = PoolHarness(GANGS)
    harness.add_workers(*(make_worker(f"w{number:03}") for number in range(workers)))
    return harness


def test_a_gang_asks_about_all_workers_at_once_in_short_calls():
    harness = make_harness()
    harness.submit(1, StepSpec(20, TASK_RESOURCES, 4_000, gang=True), queue=GANGS.queue)
    calls = list_advice_requests(harness.place())
    named = [worker for call in calls for worker in call.workers]
    assert len(named) == len(set(named)) == MANY_WORKERS
    assert max(call.cost_ms for call in calls) <= 2 * SLOW_ADVICE.call_ms + SLOW_ADVICE.worker_ms


def test_nothing_is_asked_again_while_answers_are_awaited():
    harness = make_harness()
    harness.submit(1, StepSpec(20, TASK_RESOURCES, 4_000, gang=True), queue=GANGS.queue)
    first, *_ = list_advice_requests(harness.place())
    harness.grant_permissions(first)
    assert list_advice_requests(harness.place()) == []


def test_no_more_is_asked_than_the_service_answers_soon_and_urgent_steps_go_on_asking_longer():
    harness = make_harness(40)
    harness.state.advice_hosts = 1
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    harness.state.advice_backlog_ms = {FIRST_CLASS: MAX_BACKLOG_MS}
    assert list_advice_requests(harness.place()) == []
    harness.state.advice_backlog_ms = {FIRST_CLASS: TOO_LATE_BACKLOG_MS}
    (call,) = list_advice_requests(harness.place())
    assert sum(harness.state.advice_backlog_ms.values()) == TOO_LATE_BACKLOG_MS + call.cost_ms
    harness.grant_permissions(call, *call.workers)
    harness.submit(2, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    (start,) = list_starts(harness.place())
    assert start.task.job == make_job_id(1)


def test_calls_of_less_urgent_steps_keep_no_step_from_asking():
    """Guards against an urgent step that waits for the calls of others which it would overtake."""
    harness = make_harness(40)
    harness.state.advice_hosts = 1
    harness.state.advice_backlog_ms = {(True, False, 2, 0): 10 * MAX_BACKLOG_MS}
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    assert list_advice_requests(harness.place()) != []


def test_a_step_that_is_too_late_asks_only_while_few_calls_wait():
    harness = make_harness(40)
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    harness.now = Instant(harness.now + 10 * GANGS.target_ms)
    for name in harness.listed:
        harness.report(name)
    harness.state.advice_hosts = 1
    harness.state.advice_backlog_ms = {FIRST_CLASS: TOO_LATE_BACKLOG_MS}
    assert list_advice_requests(harness.place()) == []
    harness.state.advice_backlog_ms = {}
    assert list_advice_requests(harness.place()) != []


def test_a_narrow_step_asks_about_the_workers_with_most_room():
    harness = make_harness(40)
    harness.submit(1, StepSpec(5, WORKER_CAPACITY, 4_000), queue=GANGS.queue)
    (call,) = list_advice_requests(harness.place())
    harness.grant_permissions(call, *call.workers)
    full = {each.worker for each in list_starts(harness.place())}
    harness.submit(2, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    (call,) = list_advice_requests(harness.place())
    assert not full & set(call.workers)


def test_a_step_that_fits_nowhere_it_asked_about_asks_about_the_others():
    harness = make_harness(40)
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    (first,) = list_advice_requests(harness.place())
    assert len(first.workers) < 40
    harness.grant_permissions(first)
    (second,) = list_advice_requests(harness.place())
    assert not set(first.workers) & set(second.workers)


def test_a_call_without_an_answer_is_repeated():
    harness = make_harness(10)
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 4_000), queue=GANGS.queue)
    (call,) = list_advice_requests(harness.place())
    harness.lose_advice(call)
    assert list_advice_requests(harness.place()) == []
    harness.pass_time(1_000)
    (again,) = list_advice_requests(harness.place())
    assert set(again.workers) == set(call.workers)


def test_a_gang_renews_its_tickets_on_more_workers_than_one_call_may_name():
    harness = make_harness()
    whole = Resources(WORKER_CAPACITY.millicores, 512, 0)
    harness.submit(1, StepSpec(120, whole, 4_000, gang=True), queue=GANGS.queue)
    for call in list_advice_requests(harness.place()):
        harness.grant_permissions(call, *call.workers, valid_ms=100)
    effects = harness.place()
    for call in list_advice_requests(effects):
        effects = harness.grant_permissions(call, *call.workers)
    assert len(list_starts(effects)) == 120
