"""Jobs that would complete too late to have any value are refused with a retry delay."""

from __future__ import annotations

from lentilpath_core.pool import (
    JobAccepted,
    JobState,
    QueueId,
    QueueLoad,
    StartAnswer,
    StepSpec,
    decide_admission,
    get_job_state,
    measure_loads,
)
from lentilpath_core.resources import Resources
from tests.common.pools import (
    PoolHarness,
    list_starts,
    make_job_id,
    make_queue,
    make_record,
    make_worker,
)

URGENT = make_queue(QueueId("urgent"), 0, target_ms=500)
PATIENT = make_queue(QueueId("patient"), 2, target_ms=3_000)
WIDE = StepSpec(80, Resources(1_000, 64, 0), 1_000)
"""Ten times the work that the worker does in one second."""
CHECK = StepSpec(1, Resources(1_000, 64, 0), 500)


def make_loaded_harness(jobs: int, queue: QueueId) -> PoolHarness:
    harness = PoolHarness(URGENT, PATIENT)
    harness.add_workers(make_worker("w1"))
    for job in range(1, jobs + 1):
        harness.submit(job, WIDE, queue=queue)
    return harness


def test_the_wait_of_a_queue_counts_work_of_equal_or_higher_urgency():
    harness = make_loaded_harness(1, QueueId("patient"))
    loads = measure_loads(harness.state, harness.now)
    assert loads.get(PATIENT) == QueueLoad(1, 10_000)
    assert loads.get(URGENT) == QueueLoad(0, 0)


def test_a_job_is_accepted_while_it_can_still_complete_with_value():
    record = make_record(1, CHECK, queue=QueueId("urgent"))
    assert decide_admission(record, URGENT, None) is None
    assert decide_admission(record, URGENT, QueueLoad(5, 4_000)) is None


def test_a_job_that_cannot_complete_with_value_is_refused_until_the_work_before_it_has_drained():
    record = make_record(16, CHECK, queue=QueueId("urgent"))
    retry_ms = decide_admission(record, URGENT, QueueLoad(50, 10_000))
    assert retry_ms is not None
    assert decide_admission(record, URGENT, QueueLoad(50, 10_000 - retry_ms)) is None


def test_refused_callers_get_different_retry_delays():
    load = QueueLoad(50, 20_000)
    retries = {
        decide_admission(make_record(job, CHECK, queue=QueueId("urgent")), URGENT, load)
        for job in range(16)
    }
    assert len(retries) == 16


def test_a_burst_of_patient_work_does_not_turn_urgent_jobs_away():
    harness = make_loaded_harness(20, QueueId("patient"))
    loads = measure_loads(harness.state, harness.now)
    urgent = make_record(99, CHECK, queue=QueueId("urgent"))
    patient = make_record(98, CHECK, queue=QueueId("patient"))
    assert decide_admission(urgent, URGENT, loads.get(URGENT)) is None
    assert decide_admission(patient, PATIENT, loads.get(PATIENT)) is not None


def make_recovering_harness() -> PoolHarness:
    """Return a new leader that has heard from one of ten workers, with a job of 80 core-s."""
    harness = PoolHarness(URGENT, PATIENT, epoch=2)
    workers = [make_worker(f"w{number}") for number in range(10)]
    harness.list_workers(*workers)
    harness.state.unconfirmed_workers.update(each.worker for each in workers[1:])
    harness.report("w0")
    record = make_record(1, WIDE, queue=QueueId("patient"))
    harness.handle_event(JobAccepted(record, recovered=True))
    return harness


def test_a_new_leader_counts_workers_that_it_has_not_heard_from():
    """Counting a tenth of the capacity refused jobs for ten times the wait, with workers idle."""
    harness = make_recovering_harness()
    harness.submit(2, WIDE, queue=QueueId("patient"))
    assert measure_loads(harness.state, harness.now).get(PATIENT) == QueueLoad(2, 1_000)


def test_a_new_leader_does_not_count_work_as_waiting_that_may_be_running():
    harness = make_recovering_harness()
    assert measure_loads(harness.state, harness.now).get(PATIENT).wait_ms == 0
    harness.state.unconfirmed_workers.clear()
    assert measure_loads(harness.state, harness.now).get(PATIENT).wait_ms == 1_000


def test_work_that_lasts_is_never_refused_for_the_load():
    record = make_record(1, StepSpec(1, Resources(1_000, 64, 0), lasting=True))
    assert decide_admission(record, URGENT, QueueLoad(50, 10**6)) is None


def test_a_job_whose_only_start_has_no_answer_yet_is_still_pending():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"))
    harness.submit(1)
    (start,) = list_starts(harness.place())
    assert measure_loads(harness.state, harness.now).get(make_queue()).pending == 1
    assert get_job_state(harness.state, make_job_id(1)) is JobState.QUEUED
    harness.answer_start(start, StartAnswer.STARTED)
    assert measure_loads(harness.state, harness.now).get(make_queue()).pending == 0
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
