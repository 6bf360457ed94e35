"""A worker has no more runs than can be stopped in time, and no job stands still for that.

Guards against tasks of a cancelled job that run on because thousands of runs share one worker's
commands (review/10).
"""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from lentilpath_core.ids import Epoch, Instant
from lentilpath_core.pool import (
    AdvicePolicy,
    JobCancelled,
    Obstacle,
    QueueId,
    RunEnd,
    StartAnswer,
    StartRun,
    StepSpec,
)
from lentilpath_core.pool._crowding import CROWDED_RUNS
from lentilpath_core.resources import Resources
from lentilpathd._pool._command_slots import (
    LEAST_ANSWER_MS,
    MAX_CONCURRENT_STOPS,
    count_stoppable_runs,
)
from lentilpathd._pool._command_times import CommandKind, CommandTimes
from lentilpathd._pool._metrics import PoolMetrics
from lentilpathd._pool._worker_links import WorkerLinks
from tests.common.pools import (
    PoolHarness,
    list_advice_requests,
    list_starts,
    make_job_id,
    make_queue,
    make_worker,
)
from tests.cover.test_pool_commands import make_writer
from tests.cover.test_pool_explanations import explain

TINY = Resources(1, 1, 0)
MOST = 50
ADVISED = make_queue(QueueId("advised"), advice=AdvicePolicy(1, 0, 2_000))


def make_pool(workers: int) -> PoolHarness:
    harness = PoolHarness(make_queue(), ADVISED)
    harness.state.most_runs_per_worker = MOST
    harness.add_workers(*(make_worker(f"w{number}") for number in range(workers)))
    return harness


def start_all(harness: PoolHarness) -> list[StartRun]:
    """Let passes follow one another, whose starts are answered, until nothing more starts."""
    all_starts: list[StartRun] = []
    while starts := list_starts(harness.place()):
        all_starts.extend(starts)
        for start in starts:
            harness.answer_start(start, StartAnswer.STARTED)
    return all_starts


def count_by_worker(starts: list[StartRun]) -> list[int]:
    return sorted(Counter(each.worker for each in starts).values())


def test_no_worker_has_more_runs_than_can_be_stopped_in_time():
    harness = make_pool(4)
    for job in range(1, 9):
        harness.submit(job, StepSpec(30, TINY, 4_000))
    starts = start_all(harness)
    # Two jobs would have nothing running, and start one task each.
    assert len(starts) == 4 * MOST + 1
    assert max(count_by_worker(starts)) <= MOST + 1


def test_tasks_of_a_wide_job_wait_for_the_ends_of_others():
    harness = make_pool(2)
    harness.submit(1, StepSpec(1_000, TINY, 4_000))
    starts = start_all(harness)
    assert count_by_worker(starts) == [MOST, MOST]
    ended = starts[:7]
    by_worker = Counter(each.worker for each in ended)
    assert len(by_worker) == 1
    ends = tuple(
        (number, each.task, each.run, RunEnd.DONE) for number, each in enumerate(ended, start=1)
    )
    running = tuple(
        (each.task, each.run, 1) for each in starts[7:] if each.worker == ended[0].worker
    )
    harness.report(ended[0].worker, running=running, ended=ends)
    assert len(list_starts(harness.place())) == 7


def test_small_tasks_fill_one_worker_only_up_to_a_point():
    harness = make_pool(3)
    harness.submit(1, StepSpec(CROWDED_RUNS, TINY, 4_000))
    assert count_by_worker(start_all(harness)) == [CROWDED_RUNS]
    harness = make_pool(3)
    harness.submit(1, StepSpec(3 * CROWDED_RUNS + 30, TINY, 4_000))
    assert count_by_worker(start_all(harness)) == [CROWDED_RUNS + 10] * 3


def test_a_job_that_has_nothing_running_starts_one_task_beyond_the_bound():
    harness = make_pool(1)
    harness.submit(1, StepSpec(2 * MOST, TINY, 4_000))
    assert len(start_all(harness)) == MOST
    harness.submit(2, StepSpec(3, TINY, 4_000))
    (start,) = start_all(harness)
    assert start.task.job == make_job_id(2)


@pytest.mark.parametrize("kind", ["gang", "lasting"])
def test_gangs_of_idle_jobs_and_lasting_tasks_start_beyond_the_bound(kind):
    harness = make_pool(1)
    harness.submit(1, StepSpec(2 * MOST, TINY, 4_000))
    start_all(harness)
    harness.submit(2, StepSpec(5, TINY, 4_000, gang=kind == "gang", lasting=kind == "lasting"))
    assert len(start_all(harness)) == 5


def test_a_worker_below_the_bound_is_used_before_one_beyond_it_even_on_another_rack():
    harness = PoolHarness()
    harness.state.most_runs_per_worker = MOST
    harness.add_workers(make_worker("near", rack="r1"))
    harness.submit(1, StepSpec(MOST, TINY, 4_000))
    start_all(harness)
    harness.list_workers(make_worker("near", rack="r1", sequence=1), make_worker("far", rack="r2"))
    harness.report("far")
    harness.submit(2, StepSpec(1, TINY, 4_000, data_rack="r1"))  # type: ignore[arg-type]
    (start,) = start_all(harness)
    assert start.worker == "far"


def test_tasks_that_are_planned_while_tickets_are_renewed_count():
    harness = make_pool(1)
    harness.state.most_runs_per_worker = 20
    harness.submit(1, StepSpec(20, TINY, 4_000), queue=ADVISED.queue)
    (first,) = list_advice_requests(harness.place())
    harness.grant_permissions(first, "w0", valid_ms=0)
    (renewal,) = list_advice_requests(harness.place())
    harness.submit(2, StepSpec(3, TINY, 4_000))
    assert len(start_all(harness)) == 1
    assert len(list_starts(harness.grant_permissions(renewal, "w0"))) == 20


def test_a_plan_that_is_dropped_leaves_its_places():
    harness = make_pool(1)
    harness.submit(1, StepSpec(MOST, TINY, 4_000), queue=ADVISED.queue)
    (first,) = list_advice_requests(harness.place())
    harness.grant_permissions(first, "w0", valid_ms=0)
    harness.place()
    harness.handle_event(JobCancelled(make_job_id(1)))
    harness.submit(2, StepSpec(MOST + 1, TINY, 4_000))
    assert len(start_all(harness)) == MOST


def test_a_worker_with_too_many_runs_is_named_as_such():
    harness = make_pool(2)
    harness.submit(1, StepSpec(3 * MOST, TINY, 4_000))
    start_all(harness)
    (step,) = explain(harness, StepSpec(4, TINY, 4_000)).steps
    assert step.placed == 1
    assert [(each.obstacle, each.workers) for each in step.obstacles] == [(Obstacle.CROWDED, 2)]


@pytest.mark.parametrize(
    ("cancel_ms", "answer_ms", "rounds"),
    [(3_000, 50, 25), (3_000, 450, 5), (3_000, 250, 8), (5_000, 450, 9), (500, 450, 1)],
)
def test_the_bound_follows_from_the_time_for_a_cancelling(cancel_ms, answer_ms, rounds):
    assert count_stoppable_runs(cancel_ms, answer_ms) == rounds * MAX_CONCURRENT_STOPS


def test_the_bound_follows_the_answers_to_stops_down_to_the_longest_that_is_allowed():
    settings = SimpleNamespace(cancel_ms=3_000, longest_stop_ms=400)
    context: Any = SimpleNamespace(settings=settings, metrics=PoolMetrics())
    state = PoolHarness().state
    links = WorkerLinks(
        context, Epoch(1), state, make_writer(), lambda event: None, lambda: True, lambda *_: 0
    )
    links.bound_runs()
    assert state.most_runs_per_worker == count_stoppable_runs(3_000, LEAST_ANSWER_MS)

    def answer_stop(answer_ms: int) -> int:
        sent_at = Instant(1_000)
        answered_at = Instant(1_000 + answer_ms)
        links._report_times(CommandTimes(CommandKind.STOP, sent_at, sent_at, answered_at))
        return state.most_runs_per_worker

    assert answer_stop(300) == count_stoppable_runs(3_000, 300)
    assert answer_stop(2_000) == count_stoppable_runs(3_000, 450)
    for _ in range(60):
        answer_stop(20)
    assert answer_stop(20) == count_stoppable_runs(3_000, LEAST_ANSWER_MS)


def test_as_many_small_tasks_run_on_the_only_worker_as_in_review_2():
    harness = PoolHarness()
    harness.state.most_runs_per_worker = count_stoppable_runs(3_000, LEAST_ANSWER_MS)
    harness.add_workers(make_worker("w0", Resources(16_000, 65_536, 0)))
    for job in range(1, 29):
        harness.submit(job, StepSpec(25, Resources(20, 32, 0), 8_000))
    assert len(start_all(harness)) == 28 * 25
