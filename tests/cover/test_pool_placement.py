"""Tasks start where their queue, label, advice and bounds allow, and gangs start whole."""

from __future__ import annotations

from lentilpath_core.ids import RackId
from lentilpath_core.pool import (
    AdvicePolicy,
    QueueId,
    RunEnd,
    StartAnswer,
    StepSpec,
    _placement,
    is_placement_due,
)
from lentilpath_core.pool._placement import (
    MAX_STARTS,
    MAX_TURN_STARTS,
    MAX_UNANSWERED_STARTS,
    MAX_UNPLACED_STEPS,
    MAX_UNPLACED_TURNS,
)
from lentilpath_core.resources import Resources
from tests.common.pools import (
    TASK_RESOURCES,
    PoolHarness,
    list_advice_requests,
    list_starts,
    list_stops,
    make_queue,
    make_task,
    make_worker,
)

ADVICE = AdvicePolicy(20.0, 1.0, 2_000)
URGENT = make_queue(QueueId("urgent"), 0)
PATIENT = make_queue(QueueId("patient"), 2, target_ms=10_000)
BIG = Resources(6_000, 512, 0)


def test_a_label_and_a_bound_per_worker_are_kept():
    harness = PoolHarness()
    harness.add_workers(
        make_worker("w1"), make_worker("w2", rack="r2"), make_worker("w3", rack="r2")
    )
    harness.submit(1, StepSpec(9, TASK_RESOURCES, label="r2", most_per_worker=2))
    starts = list_starts(harness.place())
    assert sorted(each.worker for each in starts) == ["w2", "w2", "w3", "w3"]


def test_the_rack_with_the_data_is_preferred_but_not_waited_for():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2", rack="r2"))
    harness.submit(1, StepSpec(10, TASK_RESOURCES, data_rack=RackId("r2")))
    starts = list_starts(harness.place())
    assert sum(each.worker == "w2" for each in starts) == 8
    assert len(starts) == 10


def test_a_leaving_worker_gets_no_starts():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1", leaves_in_ms=2_000), make_worker("w2"))
    harness.submit(1, StepSpec(4, TASK_RESOURCES))
    assert {each.worker for each in list_starts(harness.place())} == {"w2"}


def test_a_step_with_advice_starts_only_where_it_is_allowed_with_its_ticket():
    harness = PoolHarness(make_queue(advice=ADVICE))
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(2, TASK_RESOURCES))
    effects = harness.place()
    assert list_starts(effects) == []
    (ask,) = list_advice_requests(effects)
    assert sorted(ask.workers) == ["w1", "w2"]
    harness.grant_permissions(ask, "w2")
    starts = list_starts(harness.place())
    assert [(each.worker, each.ticket) for each in starts] == [("w2", "ticket-w2")] * 2


def test_a_gang_starts_whole_with_one_run_number_or_not_at_all():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(3, BIG, gang=True))
    assert list_starts(harness.place()) == []
    harness.add_workers(make_worker("w1"), make_worker("w2"), make_worker("w3"))
    starts = list_starts(harness.place())
    assert len(starts) == 3
    assert len({each.run for each in starts}) == 1


def test_a_gang_whose_member_was_refused_is_stopped_and_starts_again_whole():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(2, BIG, gang=True))
    first, second = list_starts(harness.place())
    harness.answer_start(first, StartAnswer.STARTED)
    effects = harness.answer_start(second, StartAnswer.LATE)
    assert [each.task for each in list_stops(effects)] == [first.task]
    assert list_starts(harness.place()) == []
    harness.report(first.worker, ended=((1, first.task, first.run, RunEnd.STOPPED),))
    again = list_starts(harness.place())
    assert len(again) == 2
    assert {each.run for each in again} == {first.run + 1}


def test_resources_are_reserved_for_a_waiting_gang_while_less_urgent_work_waits():
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1, BIG, 500), queue=PATIENT.queue)
    (running,) = list_starts(harness.place())
    harness.answer_start(running, StartAnswer.STARTED)
    harness.submit(2, StepSpec(2, Resources(4_000, 512, 0), 500, gang=True), queue=URGENT.queue)
    harness.submit(3, StepSpec(2, TASK_RESOURCES, 500), queue=PATIENT.queue)
    assert list_starts(harness.place()) == []
    harness.report("w1", ended=((1, running.task, running.run, RunEnd.DONE),))
    assert [each.task.job[-1] for each in list_starts(harness.place())] == ["2", "2"]


def test_urgent_work_starts_before_patient_work_and_jobs_without_value_start_last():
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1, BIG, 500), queue=URGENT.queue)
    harness.pass_time(60_000)
    harness.report("w1")
    harness.confirm_workers()
    harness.submit(2, StepSpec(1, BIG, 500), queue=PATIENT.queue)
    harness.submit(3, StepSpec(1, BIG, 500), queue=URGENT.queue)
    order = []
    for number in range(1, 4):
        (start,) = list_starts(harness.place())
        order.append(start.task.job[-1])
        harness.answer_start(start, StartAnswer.STARTED)
        harness.report("w1", ended=((number, start.task, start.run, RunEnd.DONE),))
    assert order == ["3", "2", "1"]


def start_two_of_one_queue(after_contention: bool, expects_contention: bool = True) -> list[str]:
    """Return the order in which a wide job and a later narrow one start on one worker."""
    harness = PoolHarness(URGENT)
    harness.state.expects_contention = expects_contention
    harness.add_workers(make_worker("w1"))
    harness.submit(1, StepSpec(1, Resources(8_000, 512, 0), 500), queue=URGENT.queue)
    (running,) = list_starts(harness.place())
    harness.answer_start(running, StartAnswer.STARTED)
    harness.submit(2, StepSpec(8, TASK_RESOURCES, 500), queue=URGENT.queue)
    harness.pass_time(10)
    harness.submit(3, StepSpec(2, TASK_RESOURCES, 500), queue=URGENT.queue)
    if after_contention:
        assert list_starts(harness.place()) == []
    harness.report("w1", ended=((1, running.task, running.run, RunEnd.DONE),))
    return [each.task.job[-1] for each in list_starts(harness.place())]


def test_the_least_work_starts_first_once_not_all_fits():
    """By deadline alone, a wide job delays all narrow ones behind it and late ones follow it."""
    assert start_two_of_one_queue(after_contention=True) == ["3"] * 2 + ["2"] * 6


def test_the_earliest_deadline_starts_first_while_all_fits():
    """Without contention, or the setting, the decisions stay those of earlier releases."""
    assert start_two_of_one_queue(after_contention=True, expects_contention=False) == ["2"] * 8
    assert start_two_of_one_queue(after_contention=False) == ["2"] * 8


def test_a_worker_that_fails_tasks_of_several_jobs_gets_none_for_a_while():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1", Resources(16_000, 8_192, 0)))
    for job in (1, 2, 3):
        harness.submit(job)
    starts = list_starts(harness.place())
    for number, start in enumerate(starts[:2], 1):
        harness.report("w1", ended=((number, start.task, start.run, RunEnd.FAILED),))
    harness.confirm_records()
    assert list_starts(harness.place()) == []
    harness.pass_time(3_100)
    harness.report("w1")
    assert len(list_starts(harness.place())) > 0


def test_a_stalled_run_is_stopped_and_resumes_elsewhere_from_its_checkpoint():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(1, TASK_RESOURCES, 500, saves_progress=True))
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    stops = []
    for _ in range(6):
        stops.extend(list_stops(harness.pass_time(1_000)))
        stops.extend(
            list_stops(
                harness.report(start.worker, ((start.task, start.run, 30),), checkpoint="c1")
            )
        )
    assert stops
    harness.report(
        start.worker, ended=((1, start.task, start.run, RunEnd.STOPPED),), checkpoint="c2"
    )
    for name in ("w1", "w2"):
        harness.report(name)
    harness.confirm_workers()
    (again,) = list_starts(harness.place())
    assert again.worker != start.worker
    assert again.checkpoint == "c2"


def test_a_step_that_fits_is_started_however_many_steps_before_it_fit_nowhere():
    # A pass examined only the first 40 steps that fit nowhere, so those behind them never started.
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    for job in range(1, 101):
        harness.submit(job, StepSpec(3, BIG, gang=True), queue=URGENT.queue)
    harness.submit(101, StepSpec(1, TASK_RESOURCES), queue=PATIENT.queue)
    starts = []
    for _ in range(5):
        starts.extend(list_starts(harness.place()))
        harness.pass_time(250)
    assert [each.task.job for each in starts] == ["0000000000000065"]


def test_a_pass_examines_a_bounded_number_of_steps_that_fit_nowhere(monkeypatch):
    examined = []
    monkeypatch.setattr(
        _placement, "_choose_places", lambda _state, step, *_: examined.append(step.key.job)
    )
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    for job in range(1, 201):
        harness.submit(job, StepSpec(2, BIG, gang=True))
    for _ in range(10):
        before = len(examined)
        harness.place()
        assert len(examined) - before <= MAX_UNPLACED_STEPS + MAX_UNPLACED_TURNS
    assert len(set(examined)) == 200


def make_wide_harness():
    """Return a pool in which 1,000 tasks find room, ten on each worker."""
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(
        *(make_worker(f"w{number}", Resources(10_000, 8_192, 0)) for number in range(100))
    )
    return harness


def test_a_pass_starts_a_bounded_number_of_tasks_and_the_next_ones_go_on():
    # All tasks of a job started in one pass, which blocked each leader for longer than its lease.
    harness = make_wide_harness()
    harness.submit(1, StepSpec(1_000, TASK_RESOURCES), queue=URGENT.queue)
    started: list[int] = []
    while is_placement_due(harness.state):
        starts = list_starts(harness.place())
        assert 0 < len(starts) <= MAX_STARTS
        started.extend(each.task.number for each in starts)
    assert started == list(range(1_000))


def test_a_pass_that_ends_at_a_steps_last_task_is_followed_by_another():
    harness = make_wide_harness()
    harness.submit(1, StepSpec(MAX_STARTS, TASK_RESOURCES), queue=URGENT.queue)
    harness.submit(2, StepSpec(1, TASK_RESOURCES), queue=PATIENT.queue)
    assert {each.task.job for each in list_starts(harness.place())} == {make_task(1).job}
    assert is_placement_due(harness.state)
    assert {each.task.job for each in list_starts(harness.place())} == {make_task(2).job}


def test_small_jobs_start_beside_a_large_one_that_takes_several_passes():
    harness = make_wide_harness()
    harness.submit(1, StepSpec(600, TASK_RESOURCES), queue=URGENT.queue)
    for job in range(2, 102):
        harness.submit(job, StepSpec(2, TASK_RESOURCES), queue=PATIENT.queue)
    jobs = [each.task.job for each in list_starts(harness.place())]
    assert jobs == [make_task(1).job] * MAX_STARTS + [
        make_task(job).job for job in range(2, 2 + MAX_TURN_STARTS // 2) for _ in range(2)
    ]


def test_no_later_task_starts_while_a_large_job_needs_all_the_room():
    harness = make_wide_harness()
    harness.submit(1, StepSpec(1_100, TASK_RESOURCES), queue=URGENT.queue)
    harness.submit(2, StepSpec(1, TASK_RESOURCES), queue=PATIENT.queue)
    started = [start.task.job for _ in range(10) for start in list_starts(harness.place())]
    assert started == [make_task(1).job] * 1_000


def test_a_gang_with_more_members_than_a_pass_starts_is_started_whole():
    harness = make_wide_harness()
    harness.submit(1, StepSpec(10, TASK_RESOURCES), queue=URGENT.queue)
    harness.submit(2, StepSpec(MAX_STARTS + 50, TASK_RESOURCES, gang=True), queue=PATIENT.queue)
    starts = list_starts(harness.place())
    assert [each.task.job for each in starts].count(make_task(2).job) == MAX_STARTS + 50


def test_a_large_job_leaves_the_links_of_workers_to_other_jobs_until_its_starts_are_answered():
    # All its starts waited in the workers' links, and those of other jobs for many seconds behind.
    small = Resources(10, 1, 0)
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(make_worker("w1"), make_worker("w2"))
    harness.submit(1, StepSpec(200, small), queue=URGENT.queue)
    harness.submit(2, StepSpec(1, small), queue=PATIENT.queue)
    starts = list_starts(harness.place())
    assert [each.task.job for each in starts].count(make_task(2).job) == 1
    large = [each for each in starts if each.task.job == make_task(1).job]
    assert [str(each.worker) for each in large].count("w1") == MAX_UNANSWERED_STARTS
    assert [str(each.worker) for each in large].count("w2") == MAX_UNANSWERED_STARTS
    assert list_starts(harness.place()) == []
    assert not is_placement_due(harness.state)
    harness.answer_start(large[0], StartAnswer.STARTED)
    assert is_placement_due(harness.state)
    (further,) = list_starts(harness.place())
    assert (further.worker, further.task.number) == (large[0].worker, 2 * MAX_UNANSWERED_STARTS)
