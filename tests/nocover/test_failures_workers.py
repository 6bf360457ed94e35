"""Workers pause, die, lose answers and go silent."""

import signal
import time

from lentilpath_standins._control import set_faults
from tests.common.cells import (
    WORKER_LEASES,
    check_nothing_doubled_or_overcommitted,
    list_runs,
    run_cell,
    submit,
    wait_until,
    wait_until_ran,
    wait_until_recorded,
    wait_until_settled,
)

ZONE = "portland-dock"
PAST_LEASE_SECONDS = WORKER_LEASES.lease_ms / 1_000 + 3.0


def wait_for_runs(deployment, count):
    wait_until(lambda: len(list_runs(deployment)) >= count, f"{count} tasks were started")


def test_tasks_of_a_worker_paused_past_its_lease_run_elsewhere_only_after_it(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {"check": 40, "notice": 10}
        submit(deployment, "check", "tasks=40 cpu=1 memory=1GiB run=1500ms idempotent=yes")
        submit(deployment, "notice", "tasks=10 cpu=1 memory=1GiB run=1500ms")
        wait_for_runs(deployment, 40)
        paused = deployment.cell.workers[0].name
        deployment.send_signal(paused, signal.SIGSTOP)
        time.sleep(PAST_LEASE_SECONDS)
        deployment.send_signal(paused, signal.SIGCONT)
        wait_until_recorded(deployment, jobs)
        wait_until_ran(deployment, {"check": 40})
        check_nothing_doubled_or_overcommitted(deployment, may_repeat={"check"})


def test_idempotent_tasks_of_a_dead_worker_run_again_and_others_are_reported(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {"check": 20, "notice": 20}
        submit(deployment, "check", "tasks=20 cpu=1 memory=1GiB run=3s idempotent=yes")
        submit(deployment, "notice", "tasks=20 cpu=1 memory=1GiB run=3s")
        wait_for_runs(deployment, 40)
        deployment.kill(deployment.cell.workers[0].name)
        wait_until_recorded(deployment, jobs)
        wait_until_ran(deployment, {"check": 20})
        check_nothing_doubled_or_overcommitted(deployment, may_repeat={"check"})


def test_a_worker_that_starts_anew_has_forgotten_its_tasks_and_gets_new_ones(tmp_path):
    with run_cell(tmp_path, workers=1) as deployment:
        wait_until_settled(deployment, ZONE)
        submit(deployment, "check", "tasks=30 cpu=1 memory=1GiB run=1s idempotent=yes")
        wait_for_runs(deployment, 30)
        worker = deployment.cell.workers[0]
        deployment.kill(worker.name)
        deployment.start_worker(worker)
        wait_until_ran(deployment, {"check": 30})
        wait_until_recorded(deployment, {"check": 30})
        check_nothing_doubled_or_overcommitted(deployment, may_repeat={"check"})


def test_lost_answers_and_silent_connections_of_workers_double_nothing(tmp_path):
    with run_cell(tmp_path) as deployment:
        wait_until_settled(deployment, ZONE)
        jobs = {f"notice-{number}": 20 for number in range(4)}
        lossy, silent = deployment.cell.workers
        for place, job in enumerate(jobs):
            set_faults(lossy.address, lose_answers=8)
            set_faults(silent.address, silence_open=place + 1)
            submit(deployment, job, "tasks=20 cpu=1 memory=1GiB run=500ms")
        set_faults(lossy.address, lose_answers=0)
        wait_until_recorded(deployment, jobs)
        wait_until_ran(deployment, jobs)
        check_nothing_doubled_or_overcommitted(deployment)
