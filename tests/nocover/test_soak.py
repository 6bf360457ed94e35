"""Runs the soak test with a few fixed seeds, and tests that its checks detect violations."""

from __future__ import annotations

import asyncio

import pytest

from tests.common.fleet.store import StandInStore
from tests.common.fleet.workers import ObservedRun, StandInWorker
from tests.soak.clients import Job, UnansweredCall
from tests.soak.plans import FaultKind, make_plan, make_worker_plan
from tests.soak.processes import HostProcess, Leadership, check_hosts
from tests.soak.promises import (
    check_accepted_count,
    check_final_states,
    check_leaders,
    check_planned_stops,
    check_runs,
)
from tests.soak.regressions import REGRESSIONS
from tests.soak.runs import run_leader_cut, run_lost_renewals, run_seed

SEEDS = (4,)
"""A planned stop, a pause and hanging table connections of one host, along with resets."""
CUT_SEEDS = (4, 5)
"""Cuts of 12 s with half of the workers, and with a quarter."""
LATE_SEEDS = (10,)
"""Two leaders at once by the former rule, in one of two runs."""
DISRUPTED_SEEDS = (13, 10)
"""A task that crashes its workers, and workers that lose a part or all of their capacity."""


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSIONS])
def test_all_guarantees_hold_under_injected_faults(seed, tmp_path):
    assert asyncio.run(run_seed(seed, tmp_path, disrupts_workers=False)) == []


@pytest.mark.parametrize("seed", DISRUPTED_SEEDS)
def test_all_guarantees_hold_when_tasks_crash_workers_and_capacity_shrinks(seed, tmp_path):
    assert asyncio.run(run_seed(seed, tmp_path)) == []


@pytest.mark.parametrize("seed", CUT_SEEDS)
def test_all_guarantees_hold_while_the_leader_is_cut_off_with_some_of_the_workers(seed, tmp_path):
    """The users' own runs: tasks ran on both sides of the cut (docs/incidents/cut-leader.md)."""
    assert asyncio.run(run_leader_cut(seed, tmp_path)) == []


@pytest.mark.parametrize("seed", LATE_SEEDS)
def test_all_guarantees_hold_while_renewals_of_the_leader_get_no_answer(seed, tmp_path):
    """A late copy of a renewal made two leaders (docs/incidents/late-renewals.md)."""
    assert asyncio.run(run_lost_renewals(seed, tmp_path)) == []


def test_a_takeover_from_a_host_that_counts_on_its_lease_is_a_violation():
    former = Leadership("h1", 1.0, 2.5)
    assert check_leaders([Leadership("h2", 2.0, 9.0), former])
    assert not check_leaders([Leadership("h2", 2.6, 9.0), former])
    assert not check_leaders([Leadership("h2", 0.5, 0.9), former])


def test_a_seed_always_gives_the_same_plan_and_all_kinds_of_faults_occur():
    assert make_plan(7) == make_plan(7)
    assert make_worker_plan(7) == make_worker_plan(7)
    seen = {fault.kind for seed in range(60) for fault in make_plan(seed)}
    assert seen == set(FaultKind)


def make_run(
    task: str, started_at: float, ended_at: float, outcome: str = "done", **rest
) -> ObservedRun:
    return ObservedRun(
        rest.get("worker", "w0"),
        task,
        1,
        started_at,
        ended_at,
        outcome,
        rest.get("acknowledged", True),
    )


def find_problem_kinds(job: Job, *log: ObservedRun) -> list[str]:
    workers = [StandInWorker("w0", StandInStore(), []), StandInWorker("w1", StandInStore(), [])]
    problems = check_runs([job], list(log), workers, {})
    return sorted({problem.partition(":")[0] for problem in problems})


def test_runs_that_overlap_or_follow_an_acknowledged_end_are_found():
    job = Job("a", (1,))
    first = make_run("a.0.0.0", 1.0, 2.0)
    assert find_problem_kinds(job, first, make_run("a.0.0.0", 1.5, 3.0, worker="w1")) == ["TWICE"]
    assert find_problem_kinds(job, first, make_run("a.0.0.0", 2.5, 3.0, worker="w1")) == ["TWICE"]
    unacknowledged = make_run("a.0.0.0", 1.0, 2.0, acknowledged=False)
    assert find_problem_kinds(job, unacknowledged, make_run("a.0.0.0", 2.5, 3.0, worker="w1")) == []
    lapsed = make_run("a.0.0.0", 1.0, 2.0, "lapsed")
    assert find_problem_kinds(job, lapsed, make_run("a.0.0.0", 2.5, 3.0, worker="w1")) == []


def test_runs_of_refused_unknown_and_cancelled_jobs_are_found():
    run = make_run("a.0.0.0", 9.0, 9.5)
    assert find_problem_kinds(Job("a", (1,), submit_statuses=[503, 429]), run) == ["REFUSED"]
    assert find_problem_kinds(Job("a", (1,), submit_statuses=[503, 0]), run) == []
    assert find_problem_kinds(Job("b", (1,)), run) == ["UNASKED"]
    assert find_problem_kinds(Job("a", (1,), cancelled_at=2.0), run) == ["UNASKED"]


def test_steps_out_of_order_and_states_shown_too_early_are_found():
    early = make_run("a.0.1.0", 1.5, 2.0)
    assert find_problem_kinds(Job("a", (1, 1)), make_run("a.0.0.0", 1.0, 1.8), early) == ["ORDER"]
    assert find_problem_kinds(Job("a", (2,), completed_at=3.0), make_run("a.0.0.0", 1.0, 2.0)) == [
        "MIXED"
    ]


def test_an_overcommitted_worker_is_found():
    job = Job("a", (5,))
    runs = [make_run(f"a.0.0.{number}", 1.0 + number / 100, 3.0) for number in range(5)]
    assert find_problem_kinds(job, *runs) == ["LIMIT"]


def test_starts_beyond_a_capacity_that_shrank_are_found_once_its_grace_period_is_over():
    worker = StandInWorker("w0", StandInStore(), [])
    worker.capacities = [(0.0, 4_000), (10.0, 1_000), (20.0, 4_000)]

    def check_starts(started_at: float, **delays: list[float]) -> list[str]:
        runs = [make_run(f"a.0.0.{number}", started_at, 30.0) for number in range(2)]
        return check_runs([Job("a", (2,))], runs, [worker], delays)

    assert check_starts(15.4) == []
    assert len(check_starts(15.6)) == 2
    assert check_starts(15.6, w0=[15.0]) == []
    assert len(check_starts(17.0, w0=[16.0])) == 2
    assert check_starts(20.1) == []


def test_a_task_that_keeps_crashing_workers_is_found():
    job = Job("a", (1,), crashes_workers=True)
    crashes = [make_run("a.0.0.0", at, at + 0.1, "crashed") for at in range(1, 7)]
    assert find_problem_kinds(job, *crashes) == ["BUDGET"]
    assert find_problem_kinds(job, *crashes[:5]) == []
    assert find_problem_kinds(Job("a", (1,)), *crashes) == []


def test_a_job_that_is_reported_as_failed_without_cause_is_found():
    crashes = [make_run("a.0.0.0", at, at + 0.1, "crashed") for at in range(1, 3)]
    job = Job("a", (1,), accepted_at=1.0, failed_at=2.0, state="failed", crashes_workers=True)
    assert find_problem_kinds(job, *crashes) == ["LOST"]
    job.failed_at = 2.2
    assert find_problem_kinds(job, *crashes) == []
    assert check_final_states([job]) == []
    job.state = "running"
    assert check_final_states([job]) != []
    other = Job("a", (1,), accepted_at=1.0, failed_at=2.0, state="completed")
    assert check_final_states([other]) != []


def test_accepted_work_that_is_not_done_is_found():
    assert check_final_states([Job("a", (1,), accepted_at=1.0, state="running")]) != []
    assert check_final_states([Job("a", (1,), accepted_at=1.0, state="completed")]) == []
    assert check_final_states([Job("a", (1,))]) == []


def test_calls_that_a_planned_stop_cuts_are_found(tmp_path):
    host = HostProcess("h0", "127.0.0.1", tmp_path, {})
    host.planned_stops = [(10.0, 13.0)]
    call = UnansweredCall("h0", 11.0, 12.0, "reset")
    assert len(check_planned_stops([host], [call], {})) == 1
    assert check_planned_stops([host], [call], {"h0": [9.0]}) == []
    assert check_planned_stops([host], [UnansweredCall("h0", 2.0, 3.0, "reset")], {}) == []


def test_a_run_with_too_few_accepted_jobs_is_found():
    jobs = [Job(str(number), (1,)) for number in range(40)]
    assert len(check_accepted_count(jobs)) == 1
    for job in jobs:
        job.accepted_at = 1.0
    assert check_accepted_count(jobs) == []


def test_a_host_that_exits_by_itself_is_found_once(tmp_path):
    host = HostProcess("h0", "127.0.0.1", tmp_path, {})

    async def scenario() -> None:
        await host.start()
        assert host.process is not None
        await host.process.wait()
        check_hosts([host])
        check_hosts([host])

    asyncio.run(scenario())
    assert len(check_planned_stops([host], [], {})) == 1
