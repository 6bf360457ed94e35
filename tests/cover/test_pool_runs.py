"""A task runs once and in one place, whatever its worker answers or fails to answer."""

from __future__ import annotations

from lentilpath_core.ids import WorkerId
from lentilpath_core.pool import (
    FinalsRecorded,
    GiveUpRun,
    JobAccepted,
    JobCancelled,
    JobState,
    Life,
    RecordFinal,
    RecordRun,
    RunEnd,
    RunNumber,
    RunsRecorded,
    RunsRecovered,
    StartAnswer,
    StepSpec,
    StopAnswered,
    StopReason,
    get_job_state,
    restore_former_workers,
)
from tests.common.pools import (
    SETTLE_MS,
    TASK_RESOURCES,
    PoolHarness,
    let_rest,
    list_records,
    list_starts,
    list_stops,
    make_job_id,
    make_queue,
    make_record,
    make_task,
    make_worker,
)


def make_harness_with_start():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    return harness, start


def test_an_outdated_start_waits_for_the_report_that_tells_how_the_run_ended():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.OUTDATED)
    assert list_starts(harness.place()) == []
    harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.confirm_records()
    harness.confirm_records()
    assert list_starts(harness.place()) == []
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_an_outdated_start_that_no_later_report_lists_is_started_again():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.OUTDATED)
    harness.report(start.worker)
    harness.report(start.worker)
    (again,) = list_starts(harness.place())
    assert again.task == start.task
    assert again.run > start.run


def test_a_done_task_is_shown_only_when_it_is_stored():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    effects = harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    end, final = list_records(effects)
    assert isinstance(end, RecordRun)
    assert isinstance(final, RecordFinal)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    harness.handle_event(RunsRecorded(((end.task, end.record),)))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    harness.handle_event(FinalsRecorded(((final.job, final.final),)))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_job_with_work_left_gets_no_final_state_with_an_end():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(2, TASK_RESOURCES), StepSpec(1, TASK_RESOURCES, after=(0,)))
    first, second = list_starts(harness.place())
    for number, start in ((1, first), (2, second)):
        harness.answer_start(start, StartAnswer.STARTED)
        effects = harness.report("w1", ended=((number, start.task, start.run, RunEnd.DONE),))
        assert [type(each) for each in list_records(effects)] == [RecordRun]


class UnsearchableList(list[int]):
    """A list in which no item is looked for from end to end."""

    def __contains__(self, item):
        raise AssertionError(f"{item} is searched for in the list")

    def remove(self, item):
        raise AssertionError(f"{item} is searched for in the list")


class UnsearchableSet(set[int]):
    """A set that is not walked through."""

    def __or__(self, other):
        raise AssertionError("the set is copied")

    def __iter__(self):
        raise AssertionError("the set is walked through")


def test_an_event_of_one_task_does_not_search_all_tasks_of_a_large_step():
    # Each end took time in proportion to the step's tasks, so the leader stood still for seconds.
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(20, TASK_RESOURCES))
    (step,) = harness.state.open_steps.values()
    step.waiting = UnsearchableList(step.waiting)
    step.done, step.recording = UnsearchableSet(), UnsearchableSet()
    first, second, third, *others = list_starts(harness.place())
    running = tuple((each.task, each.run, 50) for each in others)
    ends = (
        (1, first.task, first.run, RunEnd.DONE),
        (2, second.task, second.run, RunEnd.FAILED),
        (3, third.task, third.run, RunEnd.STOPPED),
    )
    harness.report("w1", running, ends)
    harness.confirm_records()
    assert step.done == {first.task.number}
    assert list(step.waiting) == [second.task.number, third.task.number, *range(8, 20)]


def test_a_gang_is_completed_with_the_end_of_one_member():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(3, TASK_RESOURCES, gang=True))
    first, *others = starts = list_starts(harness.place())
    for start in starts:
        harness.answer_start(start, StartAnswer.STARTED)
    running = tuple((each.task, each.run, 99) for each in others)
    effects = harness.report("w1", running, ((1, first.task, first.run, RunEnd.DONE),))
    assert [type(each) for each in list_records(effects)] == [RecordRun, RecordFinal]
    assert list_stops(effects) == []
    assert len(list_stops(harness.confirm_records())) == 2


def test_a_step_starts_once_all_tasks_before_it_are_reported_done_and_no_sooner():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(2, TASK_RESOURCES), StepSpec(1, TASK_RESOURCES, after=(0,)))
    first, other = list_starts(harness.place())
    for start in (first, other):
        harness.answer_start(start, StartAnswer.STARTED)
    running = ((other.task, other.run, 50),)
    harness.report("w1", running, ((1, first.task, first.run, RunEnd.DONE),))
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=((2, other.task, other.run, RunEnd.DONE),))
    (second,) = list_starts(harness.place())
    assert second.task == make_task(1, step=1)
    harness.answer_start(second, StartAnswer.STARTED)
    harness.report("w1", ended=((3, second.task, second.run, RunEnd.DONE),))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    harness.confirm_records()
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_new_leader_starts_no_step_again_whose_earlier_steps_were_not_stored_as_done():
    specs = (StepSpec(1, TASK_RESOURCES), StepSpec(1, TASK_RESOURCES, after=(0,)))
    harness = PoolHarness(epoch=2)
    workers = (make_worker("w1"), make_worker("w2"))
    restore_former_workers(harness.state, workers)
    harness.list_workers(*workers)
    harness.handle_event(JobAccepted(make_record(1, *specs), recovered=True))
    harness.handle_event(RunsRecovered(()))
    harness.report("w2", ((make_task(1, step=1), RunNumber(1), 50),))
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=((1, make_task(1), RunNumber(1), RunEnd.DONE),))
    assert list_starts(harness.place()) == []


def test_a_step_that_a_former_leader_started_goes_on_while_a_lost_end_before_it_is_repeated():
    specs = (StepSpec(1, TASK_RESOURCES), StepSpec(1, TASK_RESOURCES, after=(0,)))
    harness = PoolHarness(epoch=2)
    workers = (make_worker("w1"), make_worker("w2"))
    restore_former_workers(harness.state, workers)
    harness.list_workers(*workers)
    harness.handle_event(JobAccepted(make_record(1, *specs), recovered=True))
    harness.handle_event(RunsRecovered(()))
    second = make_task(1, step=1)
    harness.report("w2", ((second, RunNumber(1), 50),))
    harness.list_workers(make_worker("w1", life=Life(2)), workers[1])
    harness.report("w1")
    (first,) = list_starts(harness.place())
    assert first.task == make_task(1)
    harness.answer_start(first, StartAnswer.STARTED)
    harness.report("w2", ended=((1, second, RunNumber(1), RunEnd.DONE),))
    harness.report(first.worker, ended=((2, first.task, first.run, RunEnd.DONE),))
    assert list_starts(harness.place()) == []
    harness.confirm_records()
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_run_on_a_silent_worker_starts_elsewhere_only_after_its_lease():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, running=((start.task, start.run, 10),))
    other = "w2" if start.worker == "w1" else "w1"
    harness.pass_time(4_000)
    harness.report(other)
    assert list_starts(harness.place()) == []
    harness.pass_time(1_500)
    harness.report(other)
    (again,) = list_starts(harness.place())
    assert again.worker == other


def test_a_run_of_a_worker_that_was_restarted_starts_again_at_once():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, running=((start.task, start.run, 10),))
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.add_workers(make_worker(start.worker, life=Life(2)), *others)
    (again,) = list_starts(harness.place())
    assert again.worker != start.worker
    assert again.run > start.run


def test_a_run_starts_again_on_its_restarted_worker_once_that_one_has_rested():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report(start.worker, running=((start.task, start.run, 10),))
    harness.add_workers(*(make_worker(name, life=Life(2)) for name in ("w1", "w2")))
    assert list_starts(harness.place()) == []
    let_rest(harness, "w1")
    (again,) = list_starts(harness.place())
    assert (again.worker, again.life, again.run > start.run) == ("w1", 2, True)


def fail_next_run(harness: PoolHarness, number: int) -> None:
    harness.pass_time(3_500)
    harness.report("w1")
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    harness.report("w1", ended=((number, start.task, start.run, RunEnd.FAILED),))


def test_failures_count_when_reported_and_end_the_job_at_the_limit_once_stored():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    for number in range(1, 4):
        fail_next_run(harness, number)
    harness.pass_time(3_500)
    harness.report("w1")
    assert list_starts(harness.place()) == []
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    for _ in range(2):
        harness.confirm_records()
    assert get_job_state(harness.state, make_job_id(1)) is JobState.FAILED
    assert list_starts(harness.place()) == []


def test_the_stored_failure_of_an_earlier_run_does_not_repeat_a_task_at_its_limit():
    """BUDGET: a third run started while the second of two failures was being stored."""
    harness = PoolHarness(make_queue(max_attempts=2))
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    fail_next_run(harness, 1)
    first = list_records(harness.effects)
    fail_next_run(harness, 2)
    for each in first:
        if isinstance(each, RecordRun):
            harness.handle_event(RunsRecorded(((each.task, each.record),)))
    harness.pass_time(3_500)
    harness.report("w1")
    assert list_starts(harness.place()) == []


def test_a_start_without_an_answer_may_have_reached_the_next_incarnation_of_its_worker():
    harness, start = make_harness_with_start()
    restarted = make_worker(start.worker, life=Life(2))
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.effects.clear()
    harness.list_workers(restarted, *others)
    (stop,) = list_stops(harness.effects)
    assert (stop.life, stop.task, stop.run) == (2, start.task, start.run)
    assert stop.reason is StopReason.UNCLEAR
    harness.report(start.worker)
    assert list_starts(harness.place()) == []
    harness.handle_event(StopAnswered(stop.worker, stop.life, stop.task, stop.run))
    harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.confirm_records()
    harness.confirm_records()
    assert list_starts(harness.place()) == []
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_start_that_the_next_incarnation_took_is_not_repeated_although_its_stop_was_answered():
    harness, start = make_harness_with_start()
    # The next incarnation has run the task already, and answers the stop that was meant for the
    # one before it.
    harness.handle_event(StopAnswered(start.worker, start.life, start.task, start.run))
    restarted = make_worker(start.worker, life=Life(2))
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.list_workers(restarted, *others)
    assert list_starts(harness.place()) == []
    harness.report(start.worker, ended=((1, start.task, start.run, RunEnd.DONE),))
    harness.confirm_records()
    harness.confirm_records()
    assert list_starts(harness.place()) == []
    assert get_job_state(harness.state, make_job_id(1)) is JobState.COMPLETED


def test_a_start_that_never_reached_the_next_incarnation_is_repeated_after_its_stop():
    harness, start = make_harness_with_start()
    restarted = make_worker(start.worker, life=Life(2))
    others = [each for each in harness.listed.values() if each.worker != start.worker]
    harness.effects.clear()
    harness.list_workers(restarted, *others)
    (stop,) = list_stops(harness.effects)
    harness.handle_event(StopAnswered(stop.worker, stop.life, stop.task, stop.run))
    harness.report(start.worker)
    (again,) = list_starts(harness.place())
    assert (again.task, again.run) == (start.task, start.run + 1)


def test_a_run_of_a_task_that_runs_elsewhere_is_stopped_as_a_duplicate():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    other = "w2" if start.worker == "w1" else "w1"
    (stop,) = list_stops(harness.report(other, running=((start.task, 7, 10),)))
    assert (stop.worker, stop.run, stop.reason) == (other, 7, StopReason.DUPLICATE)


def test_a_run_of_a_job_that_is_over_is_not_called_a_duplicate():
    harness, start = make_harness_with_start()
    harness.answer_start(start, StartAnswer.STARTED)
    harness.handle_event(JobCancelled(make_job_id(1)))
    other = "w2" if start.worker == "w1" else "w1"
    (stop,) = list_stops(harness.report(other, running=((start.task, 7, 10),)))
    assert stop.reason is StopReason.JOB_OVER


def test_a_run_that_is_given_up_tells_when_its_worker_was_heard():
    harness, _ = make_harness_with_start()
    reported_at = harness.state.workers[WorkerId("w1")].reported_at
    harness.pass_time(SETTLE_MS + 1)
    (given_up,) = [each for each in harness.effects if isinstance(each, GiveUpRun)]
    assert given_up.worker == "w1"
    assert (given_up.is_confirmed, given_up.report_age_ms) == (False, harness.now - reported_at)
