"""Workers are paused, killed or restarted, lose responses or leave connections hanging."""

import signal
import time

from lentilpath_standins._control import set_faults
from tests.common.cells import (
    WORKER_LEASES,
    check_no_duplicate_runs_or_overcommit,
    list_runs,
    run_cell,
    submit,
    wait_until,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

ZONE = "portland-dock"
PAST_LEASE_SECONDS = WORKER_LEASES.lease_ms / 1_000 + 3.0


def wait_for_runs(deployment, count):
    wait_until(lambda: len(list_runs(deployment)) >= count, f"{count} tasks have started")


def test_tasks_of_a_worker_paused_past_its_lease_run_elsewhere_only_after_the_lease(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {"check": 40, "notice": 10}
        submit(deployment, "check", "tasks=40 cpu=1 memory=1GiB run=1500ms idempotent=yes")
        submit(deployment, "notice", "tasks=10 cpu=1 memory=1GiB run=1500ms")
        wait_for_runs(deployment, 40)
        paused = deployment.cell.workers[0].name
        deployment.send_signal(paused, signal.SIGSTOP)
        time.sleep(PAST_LEASE_SECONDS)
        deployment.send_signal(paused, signal.SIGCONT)
        wait_until_jobs_end(deployment, jobs)
        wait_until_tasks_succeed(deployment, {"check": 40})
        check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs={"check"})


def test_idempotent_tasks_of_a_dead_worker_run_again_and_others_are_reported(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {"check": 20, "notice": 20}
        submit(deployment, "check", "tasks=20 cpu=1 memory=1GiB run=3s idempotent=yes")
        submit(deployment, "notice", "tasks=20 cpu=1 memory=1GiB run=3s")
        wait_for_runs(deployment, 40)
        deployment.kill(deployment.cell.workers[0].name)
        wait_until_jobs_end(deployment, jobs)
        wait_until_tasks_succeed(deployment, {"check": 20})
        check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs={"check"})


def test_a_restarted_worker_has_lost_its_tasks_and_they_run_again(tmp_path):
    with run_cell(tmp_path, workers=1) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        submit(deployment, "check", "tasks=30 cpu=1 memory=1GiB run=1s idempotent=yes")
        wait_for_runs(deployment, 30)
        worker = deployment.cell.workers[0]
        deployment.kill(worker.name)
        deployment.start_worker(worker)
        wait_until_tasks_succeed(deployment, {"check": 30})
        wait_until_jobs_end(deployment, {"check": 30})
        check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs={"check"})


def test_lost_responses_and_hanging_connections_of_workers_run_no_task_twice(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_roster_complete(deployment, ZONE)
        jobs = {f"notice-{number}": 20 for number in range(4)}
        lossy, silent = deployment.cell.workers
        for place, job in enumerate(jobs):
            set_faults(lossy.address, lose_answers=8)
            set_faults(silent.address, silence_open=place + 1)
            submit(deployment, job, "tasks=20 cpu=1 memory=1GiB run=500ms")
        set_faults(lossy.address, lose_answers=0)
        wait_until_jobs_end(deployment, jobs)
        wait_until_tasks_succeed(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)
