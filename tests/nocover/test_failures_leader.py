"""The leader of a zone is killed, paused or partitioned while it places tasks."""

import signal
import time

from tests.common.cells import (
    check_no_duplicate_runs_or_overcommit,
    open_relays,
    run_cell,
    set_platform_faults,
    submit,
    wait_for_leader,
    wait_until_jobs_end,
    wait_until_roster_complete,
    wait_until_tasks_succeed,
)

ZONE = "portland-dock"
MANY_TASKS = "tasks=60 cpu=1 memory=1GiB run=700ms"
PAUSE_SECONDS = 4.0
"""Longer than the leader's lease."""


def test_a_killed_leader_loses_no_task_and_runs_none_twice(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        leader = wait_until_roster_complete(deployment, ZONE)
        jobs = {f"rebuild-{number}": 60 for number in range(3)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        deployment.kill(leader)
        wait_for_leader(deployment, ZONE, other_than=leader)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_a_leader_that_resumes_after_its_lease_starts_nothing(tmp_path):
    with run_cell(tmp_path, entry_hosts=3) as deployment:
        leader = wait_until_roster_complete(deployment, ZONE)
        jobs = {f"rebuild-{number}": 60 for number in range(3)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        deployment.send_signal(leader, signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        wait_for_leader(deployment, ZONE, other_than=leader)
        deployment.send_signal(leader, signal.SIGCONT)
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_a_partitioned_leader_is_replaced_and_starts_nothing(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=3, relays=relays) as deployment:
        leader = wait_until_roster_complete(deployment, ZONE)
        others = [host for host in deployment.cell.entry_hosts if host.host != leader]
        jobs = {f"rebuild-{number}": 60 for number in range(2)}
        for job in jobs:
            submit(deployment, job, MANY_TASKS)
        # The leader can still reach the workers, but neither its peers nor the platform.
        pairs = [pair for pair in relays.list_pairs({leader}) if "worker" not in pair[1]]
        relays.cut(*pairs)
        set_platform_faults(deployment, cut=[leader])
        wait_for_leader(deployment, ZONE, other_than=leader)
        submit(deployment, "after-the-cut", MANY_TASKS, hosts=others)
        jobs["after-the-cut"] = 60
        wait_until_tasks_succeed(deployment, jobs)
        relays.heal()
        set_platform_faults(deployment, cut=[])
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment)


def test_tasks_of_a_worker_that_only_the_leader_cannot_reach_do_not_run_twice(tmp_path):
    with open_relays() as relays, run_cell(tmp_path, entry_hosts=2, relays=relays) as deployment:
        leader = wait_until_roster_complete(deployment, ZONE)
        jobs = {"rebuild": 40}
        submit(deployment, "rebuild", "tasks=40 cpu=1 memory=1GiB run=2s idempotent=yes")
        time.sleep(0.5)
        relays.cut((leader, f"{ZONE}-worker-1"))
        time.sleep(PAUSE_SECONDS + 2.0)
        relays.heal()
        wait_until_tasks_succeed(deployment, jobs)
        wait_until_jobs_end(deployment, jobs)
        check_no_duplicate_runs_or_overcommit(deployment, idempotent_jobs=jobs)
