"""Allocations never exceed the resources of a worker and are always released."""

from __future__ import annotations

from lentilpath_core.pool import AdvicePolicy, JobCancelled, RunEnd, StartAnswer, StepSpec
from lentilpath_core.resources import Resources
from tests.common.pools import (
    TASK_ROOM,
    WORKER_ROOM,
    PoolBench,
    list_asks,
    list_starts,
    list_stops,
    make_job_id,
    make_queue,
    make_task,
    make_worker,
)

ADVICE = AdvicePolicy(20.0, 1.0, 2_000)


def test_no_more_tasks_start_than_fit():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, StepSpec(20, TASK_ROOM))
    assert len(list_starts(bench.place())) == 8


def test_a_run_of_an_unknown_job_is_stopped_and_blocks_starts_on_its_worker_until_it_ended():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    effects = bench.report("w1", running=((make_task(9), 1, 50),))
    assert len(list_stops(effects)) == 1
    bench.submit(1)
    assert list_starts(bench.place()) == []
    bench.report("w1", ended=((1, make_task(9), 1, RunEnd.STOPPED),))
    assert len(list_starts(bench.place())) == 1


def test_a_run_that_is_being_stopped_holds_its_room():
    bench = PoolBench()
    bench.add_workers(make_worker("w1"))
    bench.submit(1, StepSpec(1, WORKER_ROOM))
    (start,) = list_starts(bench.place())
    bench.answer_start(start, StartAnswer.STARTED)
    bench.give(JobCancelled(make_job_id(1)))
    bench.submit(2)
    assert list_starts(bench.place()) == []
    bench.report("w1", ended=((1, start.task, start.run, RunEnd.STOPPED),))
    assert len(list_starts(bench.place())) == 1


def make_bench_with_expired_ticket():
    """Return a bench whose step has an expired ticket for a worker, and the request to renew it."""
    bench = PoolBench(make_queue(advice=ADVICE))
    bench.add_workers(make_worker("w1"))
    bench.submit(1, StepSpec(1, WORKER_ROOM))
    (ask,) = list_asks(bench.place())
    bench.allow(ask, "w1", valid_ms=100)
    (again,) = list_asks(bench.place())
    assert again.workers == ("w1",)
    return bench, again


def test_room_is_held_while_a_ticket_is_renewed_and_used_when_it_is():
    bench, ask = make_bench_with_expired_ticket()
    assert bench.state.workers[ask.workers[0]].free == Resources()
    (start,) = list_starts(bench.allow(ask, "w1"))
    assert start.ticket == "ticket-w1"


def test_room_that_was_held_for_a_ticket_is_free_again_when_the_job_is_cancelled():
    bench, ask = make_bench_with_expired_ticket()
    bench.give(JobCancelled(make_job_id(1)))
    assert bench.state.workers[ask.workers[0]].free == WORKER_ROOM


def test_room_that_was_held_for_a_ticket_is_free_again_when_no_answer_comes():
    bench, _ = make_bench_with_expired_ticket()
    bench.pass_time(2_000)
    bench.report("w1")
    bench.place()
    bench.pass_time(2_000)
    bench.report("w1")
    assert len(list_asks(bench.place())) == 1
