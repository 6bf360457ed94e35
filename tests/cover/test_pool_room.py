"""Allocations never exceed the resources of a worker and are always released."""

from __future__ import annotations

from lentilpath_core.pool import (
    AdvicePolicy,
    JobCancelled,
    RunEnd,
    StartAnswer,
    StepSpec,
    StopRun,
)
from lentilpath_core.resources import Resources
from tests.common.pools import (
    TASK_RESOURCES,
    WORKER_CAPACITY,
    PoolHarness,
    list_advice_requests,
    list_starts,
    list_stops,
    make_job_id,
    make_queue,
    make_task,
    make_worker,
)

ADVICE = AdvicePolicy(20.0, 1.0, 2_000)


def test_no_more_tasks_start_than_fit():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(20, TASK_RESOURCES))
    assert len(list_starts(harness.place())) == 8


def test_a_run_of_an_unknown_job_is_stopped_and_blocks_starts_on_its_worker_until_it_ended():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    effects = harness.report("w1", running=((make_task(9), 1, 50),))
    assert len(list_stops(effects)) == 1
    harness.submit(1)
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=((1, make_task(9), 1, RunEnd.STOPPED),))
    assert len(list_starts(harness.place())) == 1


def test_a_run_that_is_being_stopped_holds_its_room():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1, WORKER_CAPACITY))
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.handle_event(JobCancelled(make_job_id(1)))
    harness.submit(2)
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=((1, start.task, start.run, RunEnd.STOPPED),))
    assert len(list_starts(harness.place())) == 1


def make_harness_with_expired_ticket():
    """Return a harness whose step has an expired ticket for w1, and the request to renew it."""
    harness = PoolHarness(make_queue(advice=ADVICE))
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1, WORKER_CAPACITY))
    (ask,) = list_advice_requests(harness.place())
    harness.grant_permissions(ask, "w1", valid_ms=100)
    (again,) = list_advice_requests(harness.place())
    assert again.workers == ("w1",)
    return harness, again


def test_room_is_held_while_a_ticket_is_renewed_and_used_when_it_is():
    harness, ask = make_harness_with_expired_ticket()
    assert harness.state.workers[ask.workers[0]].free == Resources()
    (start,) = list_starts(harness.grant_permissions(ask, "w1"))
    assert start.ticket == "ticket-w1"


def test_room_that_was_held_for_a_ticket_is_free_again_when_the_job_is_cancelled():
    harness, ask = make_harness_with_expired_ticket()
    harness.handle_event(JobCancelled(make_job_id(1)))
    assert harness.state.workers[ask.workers[0]].free == WORKER_CAPACITY


def test_room_that_was_held_for_a_ticket_is_free_again_when_no_answer_comes():
    harness, _ = make_harness_with_expired_ticket()
    harness.pass_time(2_000)
    harness.report("w1")
    harness.place()
    harness.pass_time(2_000)
    harness.report("w1")
    assert len(list_advice_requests(harness.place())) == 1


def shrink_worker(harness: PoolHarness, name: str, tasks: int) -> list[StopRun]:
    """List a worker with room for this many tasks, and return the stops that follow."""
    harness.effects.clear()
    harness.list_workers(make_worker(name, room=TASK_RESOURCES.multiply(tasks), sequence=2))
    return list_stops(harness.effects)


def test_tickets_that_come_after_a_worker_has_shrunk_start_no_more_than_fits():
    # Each task of a plan was compared with the free room by itself, whatever the others take.
    harness = PoolHarness(make_queue(advice=ADVICE))
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(6, TASK_RESOURCES))
    (ask,) = list_advice_requests(harness.place())
    harness.grant_permissions(ask, "w1", valid_ms=100)
    (again,) = list_advice_requests(harness.place())
    shrink_worker(harness, "w1", tasks=2)
    assert len(list_starts(harness.grant_permissions(again, "w1"))) == 2
    assert harness.state.workers[again.workers[0]].free == Resources()


def test_starts_that_a_shrunk_worker_has_not_answered_are_withdrawn_the_latest_first():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(2, TASK_RESOURCES))
    answered = list_starts(harness.place())
    for start in answered:
        harness.answer_start(start, StartAnswer.STARTED)
    harness.pass_time(100)
    harness.submit(2, StepSpec(4, TASK_RESOURCES))
    pending = list_starts(harness.place())
    stops = shrink_worker(harness, "w1", tasks=3)
    assert len(stops) == 3
    assert {each.task for each in stops} < {each.task for each in pending}
    assert shrink_worker(harness, "w1", tasks=3) == []


def test_a_worker_that_has_shrunk_gets_starts_again_when_it_has_grown():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    shrink_worker(harness, "w1", tasks=1)
    harness.submit(1, StepSpec(8, TASK_RESOURCES))
    assert len(list_starts(harness.place())) == 1
    harness.list_workers(make_worker("w1", sequence=3))
    assert len(list_starts(harness.place())) == 7
