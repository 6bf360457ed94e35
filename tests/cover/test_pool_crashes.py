"""A task that crashes the workers that start it is given up; others are not taken for it."""

from __future__ import annotations

import pytest

from lentilpath_core.ids import WorkerId, WorkerTime
from lentilpath_core.pool import (
    AdvicePolicy,
    ClearRun,
    ForgetCrash,
    JobAccepted,
    JobCancelled,
    JobState,
    Life,
    MachineId,
    RecordFinal,
    RecordRun,
    RunEnd,
    RunningRun,
    RunNumber,
    RunRecord,
    RunsRecovered,
    StartAnswer,
    StartRun,
    StartUnanswered,
    StepSpec,
    WorkerProcess,
    WorkerReport,
    WorkerReported,
    WorkersListed,
    get_job_state,
)
from lentilpath_core.pool._crashes import (
    MAX_CRASHES,
    MAX_REPORT_DELAY_MS,
    RESOLUTION_MS,
    SILENT_ENTRY_MS,
    SURVIVAL_MS,
)
from lentilpath_core.pool._state import Step
from tests.common.pools import (
    LIFE,
    SETTLE_MS,
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

NAMES = ("w1", "w2", "w3", "w4", "w5", "w6")
REPORTED_ENDS = [each for each in RunEnd if each not in (RunEnd.CRASHED, RunEnd.SUSPECTED)]


def make_harness(
    epoch: int = 1, advice: AdvicePolicy | None = None, missing: tuple[str, ...] = ()
) -> PoolHarness:
    harness = PoolHarness(make_queue(advice=advice), epoch=epoch)
    names = [each for each in NAMES if each not in missing]
    harness.add_workers(*(make_worker(name, machine=f"machine-{name}") for name in names))
    return harness


def pass_time(harness: PoolHarness, ms: int, silent: str = "", is_registry_up: bool = True) -> None:
    """Let time pass while all listed workers but one report the runs that they were given."""
    for _ in range(ms // 250):
        harness.pass_time(250)
        if is_registry_up:
            harness.list_workers(*harness.listed.values())
        for name in harness.listed:
            if name != silent:
                report_runs(harness, name)


def report_runs(harness: PoolHarness, name: str) -> None:
    attempts = harness.state.workers[WorkerId(name)].attempts.values()
    harness.report(name, tuple((each.task, each.run, 50) for each in attempts))


def crash_worker(harness: PoolHarness, start: StartRun, new_name: str = "") -> None:
    """Let the worker fall silent directly after the start, and its next process be listed.

    That one has the same name or, on the same machine, another one.
    """
    former = harness.listed[start.worker]
    lose_entry(harness, start)
    name, life = new_name or start.worker, Life(former.life + 1)
    successor = make_worker(name, life=life, machine=former.machine)
    harness.list_workers(*harness.listed.values(), successor)
    harness.report(name)
    harness.confirm_records()
    harness.confirm_records()


def lose_entry(harness: PoolHarness, start: StartRun) -> None:
    """Let the worker fall silent right after the start until its entry is gone."""
    harness.effects.clear()
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    harness.list_workers(*(each for name, each in harness.listed.items() if name != start.worker))
    pass_time(harness, 500)
    harness.confirm_records()
    harness.confirm_records()


def start_one(harness: PoolHarness) -> StartRun:
    (start,) = list_starts(harness.place())
    harness.answer_start(start, StartAnswer.STARTED)
    return start


def lose_answer(harness: PoolHarness, start: StartRun) -> None:
    harness.handle_event(StartUnanswered(start.worker, start.life, start.task, start.run))


def test_a_task_that_crashes_each_worker_that_starts_it_is_given_up_and_its_job_fails():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES):
        crash_worker(harness, start_one(harness))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.FAILED
    assert list_starts(harness.place()) == []


def test_a_task_is_given_up_if_each_worker_that_starts_it_is_replaced_on_its_machine():
    harness = make_harness()
    harness.submit(1)
    for number in range(MAX_CRASHES):
        crash_worker(harness, start_one(harness), new_name=f"new-{number}")
    assert get_job_state(harness.state, make_job_id(1)) is JobState.FAILED


def test_a_worker_that_is_replaced_on_another_machine_is_not_known_to_have_crashed():
    harness = make_harness()
    harness.submit(1)
    for number in range(MAX_CRASHES):
        lose_entry(harness, start_one(harness))
        another = make_worker(f"new-{number}", life=Life(2), machine=f"new-{number}")
        harness.list_workers(*harness.listed.values(), another)
        harness.report(another.worker)
        pass_time(harness, RESOLUTION_MS)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING


def test_crashes_that_an_earlier_release_stored_do_not_fail_a_job():
    """It also stored them for workers that were only cut off."""
    harness = make_harness()
    harness.submit(1)
    for run in range(1, MAX_CRASHES + 1):
        record = RunRecord(RunNumber(run), RunEnd.CRASHED)
        harness.handle_event(RunsRecovered(((make_task(1), record),)))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.QUEUED
    assert len(list_starts(harness.place())) == 1


def test_a_crash_is_stored_and_counts_for_the_next_leader():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    crash_worker(harness, start)
    successor = make_harness(epoch=2)
    successor.handle_event(JobAccepted(make_record(1), recovered=True))
    record = RunRecord(start.run, RunEnd.CRASHED, WorkerProcess(start.worker, start.life))
    successor.handle_event(RunsRecovered(((start.task, record),)))
    for _ in range(MAX_CRASHES - 1):
        crash_worker(successor, start_one(successor))
    assert get_job_state(successor.state, make_job_id(1)) is JobState.FAILED


def list_suspicions(harness: PoolHarness) -> list[RecordRun]:
    records = [each for each in harness.effects if isinstance(each, RecordRun)]
    return [each for each in records if each.record.end is RunEnd.SUSPECTED]


def list_forgotten(harness: PoolHarness) -> list[tuple[RunNumber, RunEnd]]:
    return [(each.run, each.end) for each in harness.effects if isinstance(each, ForgetCrash)]


def make_successor(*recovered: RecordRun, missing: tuple[str, ...] = ()) -> PoolHarness:
    """Return the next leader, which has read these records and finds some workers missing."""
    harness = make_harness(epoch=2, missing=missing)
    harness.handle_event(JobAccepted(make_record(1), recovered=True))
    harness.handle_event(RunsRecovered(tuple((each.task, each.record) for each in recovered)))
    return harness


def make_suspicion(run: int, name: str, life: int = LIFE) -> RecordRun:
    process = WorkerProcess(WorkerId(name), Life(life), MachineId(f"machine-{name}"))
    return RecordRun(make_task(1), RunRecord(RunNumber(run), RunEnd.SUSPECTED, process))


def get_step(harness: PoolHarness) -> Step:
    (step,) = harness.state.jobs[make_job_id(1)].steps.values()
    return step


def test_a_suspicion_is_stored_with_the_process_and_deleted_once_it_is_cleared():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    (suspicion,) = list_suspicions(harness)
    assert suspicion == make_suspicion(start.run, start.worker)
    harness.confirm_records()
    assert list_forgotten(harness) == []
    harness.report(start.worker)
    assert (start.run, RunEnd.SUSPECTED) in list_forgotten(harness)


def test_a_start_without_an_answer_is_stored_as_a_suspicion_until_its_run_has_survived():
    """A later leader would not know of the first crash under a task."""
    harness = make_harness()
    harness.submit(1)
    (start,) = list_starts(harness.place())
    lose_answer(harness, start)
    assert list_suspicions(harness) == [make_suspicion(start.run, start.worker)]
    harness.confirm_records()
    assert list_forgotten(harness) == []
    harness.answer_start(start, StartAnswer.STARTED)
    pass_time(harness, SURVIVAL_MS + MAX_REPORT_DELAY_MS + 250)
    assert list_forgotten(harness) == [(start.run, RunEnd.SUSPECTED)]


def test_a_start_without_an_answer_of_a_run_that_was_listed_blames_it_for_no_crash():
    harness = make_harness()
    harness.submit(1)
    (start,) = list_starts(harness.place())
    lose_answer(harness, start)
    harness.report(start.worker, ((start.task, start.run, 10),))
    others = [each for name, each in harness.listed.items() if name != start.worker]
    later = make_worker(start.worker, life=Life(2), machine=f"machine-{start.worker}")
    harness.list_workers(later, *others)
    assert (start.run, RunEnd.SUSPECTED) in list_forgotten(harness)
    assert get_step(harness).suspected_runs == {}


def test_a_suspicion_is_deleted_once_the_crash_is_stored():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    crash_worker(harness, start)
    assert (start.run, RunEnd.SUSPECTED) in list_forgotten(harness)
    assert (start.run, RunEnd.CRASHED) not in list_forgotten(harness)
    assert get_step(harness).crashed_runs == {0: {start.run}}


def test_a_suspicion_that_is_stored_after_it_was_cleared_is_deleted_again():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    harness.report(start.worker)
    harness.effects = list(list_suspicions(harness))
    harness.confirm_records()
    assert list_forgotten(harness) == [(start.run, RunEnd.SUSPECTED)]


def test_no_suspicion_is_stored_for_a_job_that_is_over():
    """Its row would stay behind the final state, which deletes those before it."""
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    harness.handle_event(JobCancelled(make_job_id(1)))
    harness.confirm_records()
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    assert list_suspicions(harness) == []


@pytest.mark.parametrize("missing", [(), ("w1",)])
def test_a_suspicion_of_the_former_leader_is_dropped_once_the_same_process_is_heard(missing):
    successor = make_successor(make_suspicion(1, "w1"), missing=missing)
    assert get_step(successor).suspected_runs == {0: {1}}
    returned = make_worker("w1", sequence=9, machine="machine-w1")
    others = [each for name, each in successor.listed.items() if name != "w1"]
    successor.list_workers(returned, *others)
    assert get_step(successor).suspected_runs == {}
    assert list_forgotten(successor) == [(1, RunEnd.SUSPECTED)]
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {}


@pytest.mark.parametrize("missing", [(), ("w1",)])
@pytest.mark.parametrize("name", ["w1", "another"])
def test_a_suspicion_of_the_former_leader_is_a_crash_once_a_later_process_is_listed(missing, name):
    """A job went on after its task had crashed many workers: each new leader began anew."""
    successor = make_successor(make_suspicion(1, "w1"), missing=missing)
    others = [each for known, each in successor.listed.items() if known != "w1"]
    successor.list_workers(*others)
    pass_time(successor, SETTLE_MS + 500)
    later = make_worker(name, life=Life(LIFE + 1), machine="machine-w1")
    successor.list_workers(later, *others)
    pass_time(successor, 250)
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {0: {1}}
    for _ in range(MAX_CRASHES - 1):
        crash_worker(successor, start_one(successor))
    assert get_job_state(successor.state, make_job_id(1)) is JobState.FAILED


def test_a_suspicion_whose_process_was_over_before_the_takeover_is_a_crash():
    successor = make_successor(make_suspicion(1, "w1", life=LIFE - 1))
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {0: {1}}


@pytest.mark.parametrize("lives", [(LIFE, LIFE + 1), (LIFE + 1, LIFE)])
def test_of_two_suspected_processes_of_a_missing_worker_the_former_is_over(lives):
    suspicions = [make_suspicion(run, "w1", life) for run, life in enumerate(lives, start=1)]
    successor = make_successor(*suspicions, missing=("w1",))
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {0: {1 + lives.index(LIFE)}}
    assert get_step(successor).suspected_runs == {0: {1 + lives.index(LIFE + 1)}}


def test_suspicions_of_the_former_leader_alone_do_not_fail_a_job():
    suspicions = [make_suspicion(run, f"w{run}") for run in range(1, MAX_CRASHES + 1)]
    successor = make_successor(*suspicions, missing=("w1", "w2", "w3"))
    assert list_starts(successor.place()) == []
    pass_time(successor, RESOLUTION_MS + SILENT_ENTRY_MS)
    successor.confirm_records()
    assert len(list_starts(successor.place())) == 1
    assert successor.state.jobs[make_job_id(1)].final is None


@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.CRASHED])
def test_an_obsolete_suspicion_of_the_former_leader_is_dropped(end):
    """The leader was lost after it had stored how the run ended, and before it deleted it."""
    process = WorkerProcess(WorkerId("w1"), Life(LIFE))
    ended = RecordRun(make_task(1), RunRecord(RunNumber(1), end, process))
    successor = make_successor(ended, make_suspicion(1, "w1"), missing=("w1",))
    assert get_step(successor).suspected_runs == {}
    assert (1, RunEnd.SUSPECTED) in list_forgotten(successor)
    successor.list_workers(make_worker("w1", life=Life(LIFE + 1)), *successor.listed.values())
    successor.confirm_records()
    assert get_step(successor).crashed_runs == ({0: {1}} if end is RunEnd.CRASHED else {})


def test_a_start_that_is_survived_clears_the_suspicions_of_the_former_leader():
    successor = make_successor(make_suspicion(1, "w1"), missing=("w1",))
    start = start_one(successor)
    successor.pass_time(SURVIVAL_MS)
    report_runs(successor, start.worker)
    assert list_forgotten(successor) == [(start.run, RunEnd.SUSPECTED), (1, RunEnd.SUSPECTED)]
    successor.list_workers(make_worker("w1", life=Life(LIFE + 1)), *successor.listed.values())
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {}


def suspect_first_start(harness: PoolHarness) -> StartRun:
    """Return the second start of a task that may have crashed its first worker."""
    harness.submit(1)
    first = start_one(harness)
    lose_entry(harness, first)
    harness.effects.clear()
    (start,) = list_starts(harness.place())
    return start


def test_a_start_is_stored_before_it_is_sent_once_its_task_is_suspected():
    harness = make_harness()
    start = suspect_first_start(harness)
    (stored,) = list_suspicions(harness)
    assert stored == make_suspicion(start.run, start.worker)
    assert harness.effects.index(stored) < harness.effects.index(start)


def test_a_start_of_a_task_without_a_suspicion_is_not_stored():
    harness = make_harness()
    harness.submit(1)
    start_one(harness)
    assert list_suspicions(harness) == []


def test_a_crash_under_the_start_in_flight_at_a_takeover_counts():
    """A job went on after its task had crashed many workers: each takeover lost one crash."""
    harness = make_harness()
    start = suspect_first_start(harness)
    (stored,) = list_suspicions(harness)
    successor = make_successor(stored, missing=(start.worker,))
    later = make_worker(start.worker, life=Life(LIFE + 1))
    successor.list_workers(later, *successor.listed.values())
    successor.confirm_records()
    assert get_step(successor).crashed_runs == {0: {start.run}}


def test_a_stored_start_is_kept_while_it_is_in_flight():
    harness = make_harness()
    start = suspect_first_start(harness)
    harness.confirm_records()
    harness.answer_start(start, StartAnswer.STARTED)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    assert list_forgotten(harness) == []
    assert list_suspicions(harness) == []


@pytest.mark.parametrize("is_durable", [False, True])
@pytest.mark.parametrize("outcome", ["refused", "survived", *REPORTED_ENDS])
def test_a_stored_start_that_has_crashed_nothing_is_deleted(outcome, is_durable):
    harness = make_harness()
    start = suspect_first_start(harness)
    if is_durable:
        harness.confirm_records()
    if outcome == "refused":
        harness.answer_start(start, StartAnswer.UNHEALTHY)
    elif outcome == "survived":
        harness.answer_start(start, StartAnswer.STARTED)
        harness.pass_time(SURVIVAL_MS)
        report_runs(harness, start.worker)
    else:
        harness.report(start.worker, ended=((1, start.task, start.run, outcome),))
    assert (start.run, RunEnd.SUSPECTED) in list_forgotten(harness)
    harness.effects = list(list_suspicions(harness))
    harness.confirm_records()
    again = [] if is_durable else [(start.run, RunEnd.SUSPECTED)]
    assert list_forgotten(harness) == again


def test_a_task_that_may_have_crashed_too_many_workers_waits_until_that_is_known():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES - 1):
        crash_worker(harness, start_one(harness))
    start = start_one(harness)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    assert list_starts(harness.place()) == []
    harness.report(start.worker)
    assert list_starts(harness.place()) != []
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING


def test_a_worker_that_stays_registered_was_cut_off_and_clears_its_runs():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES + 1):
        start = start_one(harness)
        pass_time(harness, SETTLE_MS + SILENT_ENTRY_MS + 1_000, silent=start.worker)
        assert not harness.state.workers[start.worker].suspects
        harness.report(start.worker)
    harness.confirm_records()
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING


def test_a_worker_whose_entry_was_gone_and_that_returns_was_cut_off_and_clears_its_runs():
    """A job was shown as failed although its workers had only been cut off."""
    harness = make_harness()
    harness.submit(1)
    for _ in range(2 * MAX_CRASHES):
        start = start_one(harness)
        lose_entry(harness, start)
        returned = make_worker(start.worker, sequence=9, machine=f"machine-{start.worker}")
        harness.list_workers(*harness.listed.values(), returned)
        ended = ((1, start.task, start.run, RunEnd.LAPSED),)
        harness.report(start.worker, ended=ended)
    harness.confirm_records()
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    assert len(list_starts(harness.place())) == 1


def test_missing_entries_alone_do_not_show_that_a_task_crashes_its_workers():
    harness = make_harness()
    harness.submit(1)
    for _ in NAMES[:-1]:
        lose_entry(harness, start_one(harness))
        pass_time(harness, SETTLE_MS)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING
    assert len(list_starts(harness.place())) == 1


def test_a_registry_that_is_away_does_not_show_that_a_worker_lives():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    pass_time(harness, 3 * SILENT_ENTRY_MS, silent=start.worker, is_registry_up=False)
    pass_time(harness, 1_000, silent=start.worker)
    assert harness.state.workers[start.worker].suspects


def test_a_later_process_that_may_not_be_taken_up_yet_does_not_show_that_the_former_one_lives():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    others = [each for name, each in harness.listed.items() if name != start.worker]
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    later = make_worker(start.worker, life=Life(LIFE + 1), machine=f"machine-{start.worker}")
    for _ in range(SILENT_ENTRY_MS // 250 + 1):
        harness.pass_time(250, is_confirmed=False)
        harness.handle_event(WorkersListed((later, *others), is_confirmed=False))
    assert get_step(harness).suspected_runs == {0: {start.run}}
    harness.list_workers(later, *others)
    harness.confirm_records()
    assert get_step(harness).crashed_runs == {0: {start.run}}


def test_a_worker_whose_own_reports_go_on_was_cut_off_and_clears_its_runs():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    assert harness.state.workers[start.worker].suspects
    others = [each for name, each in harness.listed.items() if name != start.worker]
    harness.effects.clear()
    harness.list_workers(make_worker(start.worker, sequence=9), *others)
    (cleared,) = [each for each in harness.effects if isinstance(each, ClearRun)]
    assert (cleared.worker, cleared.task, cleared.run) == (start.worker, start.task, start.run)
    assert not harness.state.workers[start.worker].suspects


def test_runs_that_a_report_has_listed_are_not_blamed_for_the_crash_and_clear_their_task():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES - 1):
        crash_worker(harness, start_one(harness))
    start = start_one(harness)
    harness.pass_time(SURVIVAL_MS)
    report_runs(harness, start.worker)
    crash_worker(harness, start)
    crash_worker(harness, start_one(harness))
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING


def test_a_report_made_between_a_start_and_the_crash_does_not_clear_the_task():
    harness = make_harness()
    harness.submit(1)
    crash_worker(harness, start_one(harness))
    for _ in range(MAX_CRASHES - 1):
        asked_at = harness.now
        start = start_one(harness)
        running = RunningRun(start.task, start.run, "", 0)
        report = WorkerReport(WorkerTime(harness.now), (running,), ())
        harness.pass_time(SURVIVAL_MS)
        harness.handle_event(WorkerReported(start.worker, start.life, report, asked_at))
        crash_worker(harness, start)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.FAILED


def test_a_delayed_answer_that_was_made_after_a_start_clears_the_task():
    """An innocent task was given up: each of its workers crashed by chance within a long poll."""
    harness = make_harness()
    harness.submit(1)
    crash_worker(harness, start_one(harness))
    for _ in range(MAX_CRASHES - 1):
        asked_at = harness.now
        start = start_one(harness)
        running = RunningRun(start.task, start.run, "", 0)
        report = WorkerReport(WorkerTime(harness.now), (running,), ())
        harness.pass_time(SURVIVAL_MS + MAX_REPORT_DELAY_MS)
        harness.handle_event(WorkerReported(start.worker, start.life, report, asked_at))
        crash_worker(harness, start)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.RUNNING


def test_a_run_that_was_listed_before_the_crash_is_not_the_first_to_be_blamed():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    report_runs(harness, start.worker)
    crash_worker(harness, start)
    (step,) = harness.state.jobs[make_job_id(1)].steps.values()
    assert step.crashed_runs == {}


def test_a_start_that_a_worker_has_not_answered_may_have_crashed_it_too():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES):
        assert get_job_state(harness.state, make_job_id(1)) is JobState.QUEUED
        (start,) = list_starts(harness.place())
        lose_answer(harness, start)
        crash_worker(harness, start)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.FAILED


def test_a_start_that_was_not_sent_before_its_worker_crashed_has_not_crashed_it():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES + 1):
        (start,) = list_starts(harness.place())
        crash_worker(harness, start)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.QUEUED


def test_a_start_that_a_worker_refused_has_not_crashed_it():
    harness = make_harness()
    harness.submit(1)
    for _ in range(MAX_CRASHES):
        (start,) = list_starts(harness.place())
        harness.answer_start(start, StartAnswer.UNHEALTHY)
        crash_worker(harness, start)
    assert get_job_state(harness.state, make_job_id(1)) is JobState.QUEUED


def test_a_worker_that_leaves_as_announced_has_not_crashed():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    others = [each for name, each in harness.listed.items() if name != start.worker]
    harness.list_workers(make_worker(start.worker, leaves_in_ms=1_000, sequence=2), *others)
    harness.effects.clear()
    harness.list_workers(*others)
    pass_time(harness, SETTLE_MS + 500, silent=start.worker)
    assert not any(isinstance(each, RecordRun) for each in harness.effects)
    assert len(list_starts(harness.place())) == 1


def test_a_restart_under_the_same_id_counts_although_the_run_is_stopped_there():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    others = [each for name, each in harness.listed.items() if name != start.worker]
    harness.effects.clear()
    harness.list_workers(make_worker(start.worker, life=Life(2)), *others)
    harness.confirm_records()
    (step,) = harness.state.jobs[make_job_id(1)].steps.values()
    assert step.crashed_runs == {0: {start.run}}


def test_a_suspected_task_starts_where_nothing_else_is_starting_and_nothing_joins_it():
    harness = make_harness()
    harness.submit(1)
    crash_worker(harness, start_one(harness))
    harness.submit(2, StepSpec(4, TASK_RESOURCES, 500))
    starts = list_starts(harness.place())
    (suspected,) = [each for each in starts if each.task.job == make_job_id(1)]
    assert suspected.worker not in {each.worker for each in starts if each is not suspected}
    harness.submit(3, StepSpec(20, TASK_RESOURCES, 500))
    assert suspected.worker not in {each.worker for each in list_starts(harness.place())}
    harness.answer_start(suspected, StartAnswer.STARTED)
    harness.pass_time(SURVIVAL_MS)
    report_runs(harness, suspected.worker)
    harness.submit(4, StepSpec(12, TASK_RESOURCES, 500))
    assert suspected.worker in {each.worker for each in list_starts(harness.place())}


def test_each_suspected_task_gets_a_worker_of_its_own_while_tickets_are_renewed():
    # They all chose the same worker, on which only one of them could start at a time.
    harness = make_harness(advice=AdvicePolicy(20.0, 1.0, 2_000))
    for job in (1, 2):
        harness.submit(job, StepSpec(2, TASK_RESOURCES, 500))
    for ask in list_advice_requests(harness.place()):
        harness.grant_permissions(ask, *NAMES)
    starts = list_starts(harness.place())
    for start in starts:
        harness.answer_start(start, StartAnswer.STARTED)
    assert len({start.worker for start in starts}) == 1
    crash_worker(harness, starts[0])
    renewals = list_advice_requests(harness.place())
    again = [
        start for each in renewals for start in list_starts(harness.grant_permissions(each, *NAMES))
    ]
    assert len({start.worker for start in again}) == len(again) == 4


def test_crashes_that_a_survived_start_has_cleared_are_deleted_for_the_next_leader_too():
    harness = make_harness()
    harness.submit(1)
    first = start_one(harness)
    crash_worker(harness, first)
    start = start_one(harness)
    harness.pass_time(SURVIVAL_MS)
    harness.effects.clear()
    report_runs(harness, start.worker)
    expected = [(start.run, RunEnd.SUSPECTED), (first.run, RunEnd.CRASHED)]
    assert list_forgotten(harness) == expected
    assert {each.task for each in harness.effects if isinstance(each, ForgetCrash)} == {first.task}


def test_a_crash_that_is_stored_after_its_task_was_cleared_does_not_count():
    harness = make_harness()
    harness.submit(1)
    first = start_one(harness)
    pass_time(harness, SETTLE_MS + 500, silent=first.worker)
    others = [each for name, each in harness.listed.items() if name != first.worker]
    harness.list_workers(make_worker(first.worker, life=Life(2)), *others)
    start = start_one(harness)
    harness.pass_time(SURVIVAL_MS)
    report_runs(harness, start.worker)
    follow = harness.confirm_records()
    assert any(isinstance(each, ForgetCrash) for each in follow)
    (step,) = harness.state.jobs[make_job_id(1)].steps.values()
    assert step.crashed_runs == {}


def test_each_member_of_a_gang_is_judged_by_its_own_workers():
    harness = make_harness()
    harness.submit(1, StepSpec(2, TASK_RESOURCES, 500, gang=True, most_per_worker=1))
    first = list_starts(harness.place())
    crash_worker(harness, first[0])
    assert harness.state.jobs[make_job_id(1)].final is None
    other = first[1]
    harness.report(other.worker, ended=((1, other.task, other.run, RunEnd.BROKEN),))
    second = list_starts(harness.place())
    assert len(second) == 2
    crash_worker(harness, second[1])
    assert harness.state.jobs[make_job_id(1)].final is None


def test_a_gang_with_more_suspected_members_than_workers_starts_again():
    harness = PoolHarness()
    harness.add_workers(make_worker("w1"), make_worker("w2"), make_worker("w3"))
    harness.submit(1, StepSpec(4, TASK_RESOURCES, 500, gang=True))
    starts = list_starts(harness.place())
    assert len({start.worker for start in starts}) == 1
    crash_worker(harness, starts[0])
    assert len(list_starts(harness.place())) == 4


def test_the_final_state_of_a_given_up_job_is_stored():
    harness = make_harness()
    harness.submit(1)
    start = start_one(harness)
    for run in range(start.run, start.run + MAX_CRASHES):
        record = RunRecord(RunNumber(run), RunEnd.CRASHED, WorkerProcess(start.worker, LIFE))
        harness.handle_event(RunsRecovered(((make_task(1), record),)))
    (final,) = [each for each in harness.effects if isinstance(each, RecordFinal)]
    assert final.final.state is JobState.FAILED


def test_a_crash_that_an_earlier_release_stored_is_suspected_by_one_leader_only():
    """Its record stayed when the task was cleared, so each later leader suspected it again."""
    harness = make_harness()
    harness.submit(1)
    record = RunRecord(RunNumber(1), RunEnd.CRASHED)
    harness.handle_event(RunsRecovered(((make_task(1), record),)))
    assert ForgetCrash(make_task(1), RunNumber(1)) in harness.effects
    (start,) = list_starts(harness.place())
    assert start.is_suspected
